import type * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as endpointLimits from "../limits/endpointLimits.js";
import * as limitCodec from "../limits/limitCodec.js";
import * as suspectCodec from "../suspects/suspectCodec.js";
import * as workDeltas from "./workDeltas.js";

/**
 * Most limits in one heartbeat. Heartbeats to other regions are sent less often, and what all daemons have to keep
 * to should not take much longer to arrive there.
 */
const MAX_LIMITS: Readonly<Record<workDeltas.Audience, number>> = {
  [workDeltas.Audience.Near]: 8,
  [workDeltas.Audience.Distant]: 16,
};

/** Most suspects in one heartbeat; a datagram that they don't fit into keeps the first ones. */
const MAX_SUSPECTS = 24;

/** Most records that wait for an audience; the oldest are dropped. */
const MAX_PENDING = 512;

/** Where the records come from. */
export interface PublishedRecordsParts {
  readonly suspects: Pick<serving.SuspectTable, "recordOf" | "recordsToPublish">;
  readonly limits: Pick<endpointLimits.EndpointLimits, "recordsToPublish">;
}

/** The records of suspects and limits for one heartbeat. */
export type RecordFields = Pick<messages.Pulse, "limits" | "suspects">;

/** Keeps for each audience what it has to get yet: the tables say once, or in turn, what is to be published. */
export class PublishedRecords {
  readonly #parts: PublishedRecordsParts;
  readonly #hasDistant: boolean;
  readonly #suspects = pendingByAudience<string>();
  readonly #limits = pendingByAudience<serving.LimitRecord>();

  /**
   * @param parts - where the records come from
   * @param hasDistant - whether there are other regions; without them, all that is to be published is sent at once
   */
  constructor(parts: PublishedRecordsParts, hasDistant: boolean) {
    this.#parts = parts;
    this.#hasDistant = hasDistant;
  }

  /**
   * @param audience - recipients of the next heartbeat
   * @param now - current time in milliseconds
   * @returns the records for it
   */
  take(audience: workDeltas.Audience, now: number): RecordFields {
    const suspects = this.#parts.suspects.recordsToPublish(now);
    const limits = this.#parts.limits.recordsToPublish(now);
    if (!this.#hasDistant)
      return { suspects: suspects.map(suspectCodec.toMessage), limits: limits.map(limitCodec.toMessage) };
    for (const each of Object.values(workDeltas.Audience)) {
      for (const { fingerprint } of suspects) put(this.#suspects[each], fingerprint, fingerprint);
      for (const record of limits) put(this.#limits[each], record.endpointId, record);
    }
    // The ages in the records of suspects are those of the moment of sending.
    const due = takeFirst(this.#suspects[audience], MAX_SUSPECTS).flatMap(
      (fingerprint) => this.#parts.suspects.recordOf(fingerprint, now) ?? [],
    );
    return {
      suspects: due.map(suspectCodec.toMessage),
      limits: takeFirst(this.#limits[audience], MAX_LIMITS[audience]).map(limitCodec.toMessage),
    };
  }
}

function pendingByAudience<Item>(): Record<workDeltas.Audience, Map<string, Item>> {
  return { [workDeltas.Audience.Near]: new Map(), [workDeltas.Audience.Distant]: new Map() };
}

/** A record that waits keeps its place, with its newest value. */
function put<Item>(pending: Map<string, Item>, key: string, item: Item): void {
  pending.set(key, item);
  const [oldest] = pending.keys();
  if (oldest !== undefined && pending.size > MAX_PENDING) pending.delete(oldest);
}

function takeFirst<Item>(pending: Map<string, Item>, count: number): Item[] {
  const taken = [...pending].slice(0, count);
  for (const [key] of taken) pending.delete(key);
  return taken.map(([, item]) => item);
}
