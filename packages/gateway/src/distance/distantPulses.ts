import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import type * as workDeltas from "./workDeltas.js";

/** Largest datagram that passes common networks without fragmentation, in bytes. */
const MAX_DATAGRAM_BYTES = 1_400;

/** Bytes that a daemon that forwards the message adds: IP:PORT of the sender, and longer ages. */
const FORWARDING_BYTES = 32;

/** Bytes that a field of a message takes beside its content. */
const FIELD_OVERHEAD_BYTES = 4;

type PulseFields = protobuf.MessageInitShape<typeof messages.PulseSchema>;

/** One item of the deltas, and the bytes that it takes. */
interface Item {
  readonly bytes: number;
  addTo(deltas: workDeltas.Deltas): void;
}

/**
 * Divides a heartbeat among datagrams: the deltas of a third of a second are often larger than one. The first message
 * holds the state and the work, which replaces what was reported before; the others hold deltas only, and daemons of older
 * software pass over these.
 *
 * @param state - the heartbeat without deltas
 * @param deltas - what it reports once
 * @returns the messages
 */
export function dividePulse(state: PulseFields, deltas: workDeltas.Deltas): messages.Pulse[] {
  const { vm = "", incarnation = "" } = state;
  const stateBytes = encodedBytes(messages.PulseSchema, protobuf.create(messages.PulseSchema, state));
  const others: PulseFields = { vm, incarnation, changesOnly: true };
  const otherBytes = encodedBytes(messages.PulseSchema, protobuf.create(messages.PulseSchema, others));
  const divided: workDeltas.Deltas[] = [emptyDeltas()];
  let usedBytes = stateBytes;
  for (const item of itemsOf(deltas)) {
    if (usedBytes + item.bytes > MAX_DATAGRAM_BYTES - FORWARDING_BYTES) {
      divided.push(emptyDeltas());
      usedBytes = otherBytes;
    }
    usedBytes += item.bytes;
    const current = divided.at(-1);
    if (current !== undefined) item.addTo(current);
  }
  return divided.map((part, index) =>
    protobuf.create(messages.PulseSchema, { ...(index === 0 ? state : others), ...part }),
  );
}

function itemsOf(deltas: workDeltas.Deltas): Item[] {
  return [
    ...deltas.sizes.map((size) => ({
      bytes: encodedBytes(messages.SizeCountSchema, size),
      addTo: (target: workDeltas.Deltas) => target.sizes.push(size),
    })),
    ...deltas.observations.map((observation) => ({
      bytes: encodedBytes(messages.ReadObservationSchema, observation),
      addTo: (target: workDeltas.Deltas) => target.observations.push(observation),
    })),
    ...deltas.reads.map((read) => ({
      bytes: encodedBytes(messages.PartReadSchema, read),
      addTo: (target: workDeltas.Deltas) => target.reads.push(read),
    })),
  ];
}

function encodedBytes<Schema extends protobuf.DescMessage>(
  schema: Schema,
  message: protobuf.MessageShape<Schema>,
): number {
  return protobuf.toBinary(schema, message).length + FIELD_OVERHEAD_BYTES;
}

function emptyDeltas(): workDeltas.Deltas {
  return { reads: [], observations: [], sizes: [] };
}
