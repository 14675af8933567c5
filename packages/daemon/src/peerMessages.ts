import * as core from "@camphorcourse/core";
import * as protocol from "@camphorcourse/protocol";
import * as protobuf from "@bufbuild/protobuf";
import type * as common from "@camphorcourse/common";

const CLAIM_VERDICTS_TO_WIRE: Record<core.ClaimVerdict, protocol.ClaimVerdict> = {
  [core.ClaimVerdict.Granted]: protocol.ClaimVerdict.GRANTED,
  [core.ClaimVerdict.Taken]: protocol.ClaimVerdict.TAKEN,
  [core.ClaimVerdict.Unavailable]: protocol.ClaimVerdict.UNAVAILABLE,
};

const JOIN_VERDICTS_TO_WIRE: Record<core.JoinVerdict, protocol.JoinVerdict> = {
  [core.JoinVerdict.Answered]: protocol.JoinVerdict.ANSWERED,
  [core.JoinVerdict.Ceded]: protocol.JoinVerdict.CEDED,
  [core.JoinVerdict.Moved]: protocol.JoinVerdict.MOVED,
  [core.JoinVerdict.NotRun]: protocol.JoinVerdict.NOT_RUN,
  [core.JoinVerdict.Unknown]: protocol.JoinVerdict.UNKNOWN,
  [core.JoinVerdict.NotKept]: protocol.JoinVerdict.NOT_KEPT,
  [core.JoinVerdict.KeyReused]: protocol.JoinVerdict.KEY_REUSED,
};

/**
 * Converts a claim verdict to its protocol value.
 *
 * @param verdict - the verdict
 * @returns the protocol value
 */
export function claimVerdictToWire(verdict: core.ClaimVerdict): protocol.ClaimVerdict {
  return CLAIM_VERDICTS_TO_WIRE[verdict];
}

/**
 * Converts a claim verdict from its protocol value.
 *
 * @param wire - the protocol value
 * @returns the verdict; `Unavailable` for an unknown value
 */
export function claimVerdictFromWire(wire: protocol.ClaimVerdict): core.ClaimVerdict {
  return keyOf(CLAIM_VERDICTS_TO_WIRE, wire) ?? core.ClaimVerdict.Unavailable;
}

/**
 * Converts a join verdict to its protocol value.
 *
 * @param verdict - the verdict
 * @returns the protocol value
 */
export function joinVerdictToWire(verdict: core.JoinVerdict): protocol.JoinVerdict {
  return JOIN_VERDICTS_TO_WIRE[verdict];
}

/**
 * Converts a join verdict from its protocol value.
 *
 * @param wire - the protocol value
 * @returns the verdict; `Unknown` for an unknown value
 */
export function joinVerdictFromWire(wire: protocol.JoinVerdict): core.JoinVerdict {
  return keyOf(JOIN_VERDICTS_TO_WIRE, wire) ?? core.JoinVerdict.Unknown;
}

function keyOf<Key extends string, Value>(map: Record<Key, Value>, value: Value): Key | undefined {
  return (Object.keys(map) as Key[]).find((key) => map[key] === value);
}

/**
 * Converts a heartbeat to its protocol message.
 *
 * @param report - the heartbeat
 * @param timestamp - hybrid timestamp of the heartbeat
 * @returns the message
 */
export function heartbeatToWire(report: core.PeerReport, timestamp: common.HybridTimestamp): protocol.ExchangeRequest {
  return protobuf.create(protocol.ExchangeRequestSchema, {
    vm: report.vm,
    incarnation: report.incarnation,
    leaving: report.leaving,
    appliedRevision: BigInt(report.appliedRevision),
    keyValueReachable: report.keyValueReachable,
    shares: report.shares.map((share) => ({ ...share, recordRevision: BigInt(share.recordRevision) })),
    services: report.services.map(({ service, waiting, arrived, requests }) => ({
      service,
      waitingTokens: waiting.tokens,
      waitingRequests: waiting.requests,
      arrived,
      requests: BigInt(requests),
    })),
    wallMs: BigInt(timestamp.wallMs),
    counter: timestamp.counter,
  });
}

/**
 * Converts a heartbeat from its protocol message.
 *
 * @param message - the received message
 * @returns the heartbeat
 */
export function heartbeatFromWire(message: protocol.ExchangeRequest): core.PeerReport {
  return {
    vm: message.vm,
    incarnation: message.incarnation,
    leaving: message.leaving,
    appliedRevision: Number(message.appliedRevision),
    keyValueReachable: message.keyValueReachable,
    shares: message.shares.map((share) => ({
      endpoint: share.endpoint,
      inFlight: share.inFlight,
      prefillTokens: share.prefillTokens,
      streams: share.streams,
      recordRevision: Number(share.recordRevision),
    })),
    services: message.services.map((share) => ({
      service: share.service,
      waiting: { tokens: share.waitingTokens, requests: share.waitingRequests },
      arrived: demandFromWire(share.arrived),
      requests: Number(share.requests),
    })),
  };
}

function demandFromWire(message: protocol.EngineDemand | undefined): core.Demand {
  if (!message) return core.NO_DEMAND;
  const { prefillMs, decodeMs, mixedMs } = message;
  return { prefillMs, decodeMs, mixedMs };
}

/**
 * Reads the hybrid timestamp of a heartbeat.
 *
 * @param message - the received message
 * @returns its timestamp
 */
export function timestampOf(message: protocol.ExchangeRequest): common.HybridTimestamp {
  return { wallMs: Number(message.wallMs), counter: message.counter };
}

/**
 * Converts a control record to its protocol message.
 *
 * @param record - the record
 * @returns the message
 */
export function recordToWire(record: core.KeyRecord): protobuf.MessageInitShape<typeof protocol.ControlRecordSchema> {
  return {
    key: record.key,
    value: record.value,
    modificationRevision: BigInt(record.modRevision),
    creationRevision: BigInt(record.createRevision),
    deleted: record.deleted ?? false,
  };
}

/**
 * Converts a control record from its protocol message.
 *
 * @param message - the received message
 * @returns the record
 */
export function recordFromWire(message: protocol.ControlRecord): core.KeyRecord {
  return {
    key: message.key,
    value: message.value,
    createRevision: Number(message.creationRevision),
    modRevision: Number(message.modificationRevision),
    ...(message.deleted ? { deleted: true } : {}),
  };
}

/**
 * Converts a claim from its protocol message.
 *
 * @param item - the received message
 * @returns the claim
 */
export function claimFromWire(item: protocol.ClaimItem): core.Claim {
  const { key, digest, vm, incarnation, attempt } = item;
  return { key, digest, vm, incarnation, attempt };
}

/**
 * Converts a timeline event to its protocol message.
 *
 * @param event - the event
 * @returns the message
 */
export function timelineEventToWire(
  event: core.TimelineEvent,
): protobuf.MessageInitShape<typeof protocol.TimelineEventSchema> {
  const fields = Object.entries(event.fields).filter(([, value]) => value !== undefined);
  return {
    sequence: BigInt(event.sequence),
    wallMs: BigInt(event.stamp.wallMs),
    counter: event.stamp.counter,
    vm: event.vm,
    kind: event.kind,
    fields: Object.fromEntries(fields.map(([name, value]) => [name, String(value)])),
  };
}
