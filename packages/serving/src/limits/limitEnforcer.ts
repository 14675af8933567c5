import type * as directories from "../endpointDirectory.js";
import type * as limitDivisions from "./limitDivision.js";
import type * as limitTables from "./limitTable.js";
import type * as requestLimits from "./requestLimit.js";
import * as sendAllowances from "./sendAllowance.js";

/** Dependencies of {@link LimitEnforcer}. */
export interface LimitEnforcerParts {
  readonly table: limitTables.LimitTable;
  readonly division: limitDivisions.LimitDivision;
  /** VM of this daemon. */
  readonly own: string;
  /** @returns VMs of all daemons that may send requests, this one included; the same array while they don't change */
  readonly senders: () => readonly string[];
  /** @returns true time in Unix milliseconds */
  readonly unixMs: () => number;
}

/**
 * Part of a limit that the daemons divide. The rest covers requests that several daemons send while they don't agree on
 * who may, and those that arrive later than they were sent.
 */
const DIVIDED_PART = 0.9;

/** Minimum that is divided, in requests a second: without an answer nobody would learn that a limit of 0 is over. */
const MIN_DIVIDED = 0.5;

/** Time without a confirmation after which other daemons are chosen, in milliseconds. */
const PERIOD_MS = 8_000;

/**
 * Time without a confirmation after which a request is sent to an endpoint for the answer, in milliseconds. Endpoints
 * without a limit are chosen first, and as long as they have room nobody would learn that a limit is over.
 */
const PROBE_AFTER_MS = 2_000;

/** Interval at which the parts are computed anew, in milliseconds. */
const REFRESH_MS = 100;

/** The allowance for one endpoint, and what its rate was computed from. */
interface DividedAllowance {
  readonly allowance: sendAllowances.SendAllowance;
  readonly basis: DivisionBasis;
}

interface DivisionBasis {
  readonly requestsPerSecond: number;
  readonly senders: readonly string[];
  readonly period: number;
}

/**
 * Keeps the requests of all daemons together within the limits that endpoints state. Each daemon counts what it sends
 * itself against its part; what an endpoint gets doesn't depend on messages between the daemons.
 */
export class LimitEnforcer {
  readonly #parts: LimitEnforcerParts;
  readonly #allowances = new Map<string, DividedAllowance>();
  #refreshedAt = Number.NEGATIVE_INFINITY;

  /** @param parts - dependencies */
  constructor(parts: LimitEnforcerParts) {
    this.#parts = parts;
  }

  /**
   * @param endpoint - an endpoint
   * @returns whether it limits its requests
   */
  isLimited(endpoint: directories.Endpoint): boolean {
    return this.#parts.table.limitOf(endpoint) !== undefined;
  }

  /**
   * @param endpoint - an endpoint
   * @param now - current time in milliseconds
   * @returns time until this daemon may send it a request in milliseconds; 0 if it may do so now, infinite if it has no
   *   part of the limit
   */
  waitMs(endpoint: directories.Endpoint, now: number): number {
    const record = this.#parts.table.limitOf(endpoint);
    if (record === undefined) return 0;
    this.refresh(now);
    return this.#allowanceOf(record, now).waitMs(now);
  }

  /**
   * @param endpoint - an endpoint
   * @param now - current time in milliseconds
   * @returns whether the next request should go there, since its limit has not been confirmed lately
   */
  isProbeDue(endpoint: directories.Endpoint, now: number): boolean {
    const record = this.#parts.table.limitOf(endpoint);
    if (record === undefined || this.#parts.unixMs() - record.version < PROBE_AFTER_MS) return false;
    return this.waitMs(endpoint, now) === 0;
  }

  /**
   * @param endpoint - an endpoint
   * @param now - current time in milliseconds
   * @returns requests a second that this daemon may send it; infinite without a limit
   */
  ownRate(endpoint: directories.Endpoint, now: number): number {
    const record = this.#parts.table.limitOf(endpoint);
    return record === undefined ? Number.POSITIVE_INFINITY : this.#allowanceOf(record, now).ratePerSecond;
  }

  /**
   * @param endpoint - an endpoint
   * @returns requests a second that it takes from all daemons; infinite without a limit
   */
  limitOf(endpoint: directories.Endpoint): number {
    return this.#parts.table.limitOf(endpoint)?.requestsPerSecond ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Counts a request that is sent, for whichever purpose.
   *
   * @param endpoint - the endpoint that it is sent to
   * @param now - current time in milliseconds
   */
  noteSent(endpoint: directories.Endpoint, now: number): void {
    const record = this.#parts.table.limitOf(endpoint);
    if (record !== undefined) this.#allowanceOf(record, now).note(now);
  }

  /**
   * Computes the parts of this daemon anew; to be called several times a second, so that a part that begins is usable
   * before the first request for it.
   *
   * @param now - current time in milliseconds
   */
  refresh(now: number): void {
    if (now - this.#refreshedAt < REFRESH_MS) return;
    this.#refreshedAt = now;
    const records = this.#parts.table.limits();
    const limited = new Set(records.map(({ endpointId }) => endpointId));
    for (const id of this.#allowances.keys()) if (!limited.has(id)) this.#allowances.delete(id);
    for (const record of records) this.#update(record, now);
  }

  /**
   * @param record - a limit
   * @returns whether this daemon has a part of it
   */
  hasPart({ endpointId }: requestLimits.LimitRecord): boolean {
    return (this.#allowances.get(endpointId)?.allowance.ratePerSecond ?? 0) > 0;
  }

  #allowanceOf(record: requestLimits.LimitRecord, now: number): sendAllowances.SendAllowance {
    return this.#allowances.get(record.endpointId)?.allowance ?? this.#update(record, now);
  }

  #update(record: requestLimits.LimitRecord, now: number): sendAllowances.SendAllowance {
    const divided = this.#allowances.get(record.endpointId);
    const basis = this.#basisOf(record);
    if (divided !== undefined && isEqual(divided.basis, basis)) return divided.allowance;
    const allowance = divided?.allowance ?? new sendAllowances.SendAllowance();
    allowance.setRate(this.#ownRateOf(record, basis), now);
    this.#allowances.set(record.endpointId, { allowance, basis });
    return allowance;
  }

  #basisOf({ requestsPerSecond = 0, version }: requestLimits.LimitRecord): DivisionBasis {
    const { senders, unixMs } = this.#parts;
    return {
      requestsPerSecond: Math.max(MIN_DIVIDED, requestsPerSecond * DIVIDED_PART),
      senders: senders(),
      period: Math.max(0, Math.floor((unixMs() - version) / PERIOD_MS)),
    };
  }

  #ownRateOf({ endpointId, bornAt }: requestLimits.LimitRecord, basis: DivisionBasis): number {
    const { division, own } = this.#parts;
    return division.ownRate({ ...basis, own, endpointKey: `${endpointId}/${bornAt ?? ""}` });
  }
}

function isEqual(left: DivisionBasis, right: DivisionBasis): boolean {
  return (
    left.requestsPerSecond === right.requestsPerSecond && left.senders === right.senders && left.period === right.period
  );
}
