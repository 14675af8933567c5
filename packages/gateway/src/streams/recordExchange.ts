import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import type * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "../daemonEntry.js";
import type * as fleetViews from "../fleetView.js";
import type * as heartbeatSockets from "../heartbeatSocket.js";
import type * as peerTables from "../peerTable.js";
import * as peerWorks from "../peerWork.js";
import type * as peerCalls from "../peers/peerCalls.js";
import type * as streamOrigins from "./streamOrigins.js";
import * as streamRecordCodec from "./streamRecordCodec.js";

/** Records of streams in one datagram; their names are short. */
const MAX_RECORDS_IN_DATAGRAM = 16;

/** Dependencies of {@link RecordExchange}. */
export interface RecordExchangeParts {
  readonly entry: daemonEntries.DaemonEntry;
  readonly peerTable: peerTables.PeerTable;
  readonly heartbeatSocket: heartbeatSockets.HeartbeatSocket;
  readonly peerClient: peerCalls.PeerClient;
  /** @returns all other daemons that are known */
  readonly otherDaemons: () => readonly daemonEntries.DaemonEntry[];
}

/** Exchanges records of streams with the daemons that keep them: datagrams tell, calls ask. */
export class RecordExchange implements streamOrigins.RecordPeers {
  readonly #parts: RecordExchangeParts;

  /** @param parts - dependencies */
  constructor(parts: RecordExchangeParts) {
    this.#parts = parts;
  }

  /** {@inheritDoc streamOrigins.RecordPeers.holders} */
  holders(): readonly serving.PossibleHolder[] {
    const { otherDaemons, peerTable } = this.#parts;
    const ready = peerTable.live(performance.now()).filter((peer) => peer.ready);
    // Daemons on standby are heard by few others, which would choose them alone.
    const dispatching = ready.filter((peer) => peer.dispatching);
    if (dispatching.length > 0) return dispatching;
    // A daemon that has just started has heard nobody yet.
    return ready.length > 0 ? ready : otherDaemons();
  }

  /** {@inheritDoc streamOrigins.RecordPeers.sendRecords} */
  sendRecords(vm: string, records: readonly serving.StreamRecord[]): void {
    const { entry, heartbeatSocket } = this.#parts;
    const address = this.#addressOf(vm);
    if (address === undefined) return;
    const now = performance.now();
    for (let first = 0; first < records.length; first += MAX_RECORDS_IN_DATAGRAM) {
      const streamRecords = records
        .slice(first, first + MAX_RECORDS_IN_DATAGRAM)
        .map((record) => streamRecordCodec.toMessage(record, now));
      const pulse = { vm: entry.vm, incarnation: entry.incarnation, changesOnly: true, streamRecords };
      heartbeatSocket.send(protobuf.create(messages.PulseSchema, pulse), [address]);
    }
  }

  /** {@inheritDoc streamOrigins.RecordPeers.findStream} */
  async findStream(
    vm: string,
    query: streamOrigins.StreamQuery,
    timeoutMs: number,
  ): Promise<serving.StreamOrigin | undefined> {
    const address = this.#addressOf(vm);
    if (address === undefined) throw new Error(`the address of ${vm} is not known`);
    return this.#parts.peerClient.findStream(address, query, timeoutMs);
  }

  #addressOf(vm: string): string | undefined {
    return this.#parts.otherDaemons().find((daemon) => daemon.vm === vm)?.peers;
  }
}

/** What a heartbeat says of the versions that may have begun streams, and of the routes. */
export type VersionFields = Pick<
  messages.Pulse,
  "routesUnchangedMs" | "versionsDigest" | "versionsAgeMs" | "versionsWindowMs"
>;

/**
 * @param view - what the daemon knows about the fleet
 * @param now - current time in milliseconds
 * @returns the fields of its next heartbeat
 */
export function versionFields({ routes, versions }: fleetViews.FleetView, now: number): VersionFields {
  const routesUnchangedMs = peerWorks.toUint32(Math.max(0, Math.floor(routes.unchangedMs(now))));
  const versionsWindowMs = peerWorks.toUint32(Math.floor(versions.windowMs));
  const known = { routesUnchangedMs, versionsDigest: versions.digest(now), versionsWindowMs };
  const ageMs = versions.ageMs(now);
  return ageMs === undefined ? known : { ...known, versionsAgeMs: peerWorks.toUint32(Math.ceil(ageMs)) };
}
