import type * as protobuf from "@bufbuild/protobuf";
import type * as messages from "@camphorcourse/protocol/gateway";
import * as endpointIncarnations from "../endpointIncarnation.js";
import * as peerWorks from "../peerWork.js";
import * as recordExchanges from "../streams/recordExchange.js";
import type * as activeSetTrackers from "./activeSetTracker.js";
import type * as peerLinkParts from "./peerLinkParts.js";
import type * as recentChangesModule from "./recentChanges.js";

/** Messages carry capacity in whole thousandths of a core. */
const THOUSANDTHS = 1_000;

/** The fields of a heartbeat. */
export type PulseFields = protobuf.MessageInitShape<typeof messages.PulseSchema>;

/** Dependencies of {@link HeartbeatState}. */
export interface HeartbeatStateParts extends Pick<
  peerLinkParts.PeerLinkParts,
  | "distances"
  | "entry"
  | "view"
  | "suspects"
  | "ready"
  | "isCutOff"
  | "isLinkLost"
  | "storeSilentMs"
  | "dutyLeaseMs"
  | "followsClosely"
  | "busyCores"
> {
  readonly activeSet: activeSetTrackers.ActiveSetTracker;
}

/** Writes the part of a heartbeat that all recipients get: the state of this daemon, and changes of endpoints. */
export class HeartbeatState {
  readonly #parts: HeartbeatStateParts;

  /** @param parts - dependencies */
  constructor(parts: HeartbeatStateParts) {
    this.#parts = parts;
  }

  /**
   * @param now - current time in milliseconds
   * @param unixMs - system time in milliseconds
   * @param changes - changes of endpoints to announce
   * @returns the fields
   */
  createFields(now: number, unixMs: number, changes: recentChangesModule.RecentChanges): PulseFields {
    const { activeSet, entry, view } = this.#parts;
    return {
      vm: entry.vm,
      incarnation: entry.incarnation,
      dataCentre: entry.dataCentre,
      callers: entry.callers,
      capacityThousandths: peerWorks.toUint32(entry.capacity * THOUSANDTHS),
      busyThousandths: peerWorks.toUint32(this.#parts.busyCores() * THOUSANDTHS),
      active: activeSet.active,
      activeVms: [...activeSet.activeVms],
      ready: this.#parts.ready(),
      cutOff: this.#parts.isCutOff(),
      linkLost: this.#parts.isLinkLost(),
      configurationRevision: BigInt(view.configurationRevision),
      ...this.#configurationAge(now),
      ...recordExchanges.versionFields(view, now),
      storeSilentMs: Math.round(this.#parts.storeSilentMs()),
      unixMs: BigInt(unixMs),
      ...this.#dutyLease,
      departures: changes.nextDepartures(now),
      followsClosely: this.#parts.followsClosely(),
      forwards: this.#parts.distances !== undefined,
      entries: changes.entries(now),
      tryingSuspect: this.#parts.suspects.isRunningTrial,
      changing: [...view.pendingRoleChanges]
        .filter(([, change]) => change.until > now)
        .map(([endpoint, change]) => ({
          endpoint,
          role: change.role,
          forMs: Math.round(change.until - now),
          startedAtMs: endpointIncarnations.toMessage(change.bornAt),
        })),
    };
  }

  get #dutyLease(): { readonly dutyLeaseMs?: number } {
    const dutyLeaseMs = this.#parts.dutyLeaseMs();
    return dutyLeaseMs === undefined ? {} : { dutyLeaseMs: peerWorks.toUint32(dutyLeaseMs) };
  }

  #configurationAge(now: number): { readonly configurationAgeMs?: number } {
    const ageMs = this.#parts.view.freshness.ageMs(now);
    return Number.isFinite(ageMs) ? { configurationAgeMs: peerWorks.toUint32(Math.ceil(ageMs)) } : {};
  }
}
