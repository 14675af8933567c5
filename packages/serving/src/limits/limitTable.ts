import type * as directories from "../endpointDirectory.js";
import * as requestLimits from "./requestLimit.js";

/** An answer of an endpoint. */
export interface LimitAnswer {
  readonly call: requestLimits.AnsweredCall;
  readonly stated: requestLimits.StatedLimit;
  /** Whether it is a successful answer of the endpoint itself. */
  readonly isSuccess: boolean;
  /** {@link LimitTable.versionOf} when its request was sent. */
  readonly versionAtSend: number;
}

/** How the limit of an endpoint changed. */
export interface LimitChange {
  readonly before: requestLimits.LimitRecord | undefined;
  readonly after: requestLimits.LimitRecord;
  /** Whether an answer to this daemon caused the change, and not a peer's message. */
  readonly isObserved: boolean;
}

type IncarnationKey = Pick<directories.Endpoint, "id" | "bornAt">;

/** Incarnations whose statements are kept; the one that is confirmed least recently is removed first. */
const MAX_RECORDS = 2_048;

/** Maximum number of records in one heartbeat. */
const MAX_PUBLISHED = 8;

/**
 * Time for which the statement of an endpoint that is not listed is kept, in milliseconds: the entries of live endpoints
 * lapse in an outage of the key-value service.
 */
const UNLISTED_KEPT_MS = 60_000;

/** Time for which an observed statement is published, in milliseconds: several heartbeats, as some are lost. */
const PUBLISHED_MS = 4_000;

interface Entry {
  readonly record: requestLimits.LimitRecord;
  /** Instant of the last statement in an answer to this daemon, in milliseconds. */
  readonly observedAt: number;
  /** Number of heartbeats that it was sent in. */
  publications: number;
}

/**
 * Limits of all endpoints by their latest statements, from answers to this daemon and from peers. A record belongs to
 * one incarnation: the next one starts without a limit.
 */
export class LimitTable {
  readonly #entries = new Map<string, Entry>();

  /** @returns whether no endpoint has a limit */
  get isEmpty(): boolean {
    return this.limits().length === 0;
  }

  /** @returns records of the limits in force */
  limits(): requestLimits.LimitRecord[] {
    return [...this.#entries.values()].map(({ record }) => record).filter(isInForce);
  }

  /**
   * @param endpoint - an endpoint
   * @returns the record of its limit, if one is in force
   */
  limitOf(endpoint: IncarnationKey): requestLimits.LimitRecord | undefined {
    const record = this.#recordOf(endpoint);
    return record !== undefined && isInForce(record) ? record : undefined;
  }

  /**
   * @param endpoint - an endpoint
   * @returns version of its latest known statement, 0 if there is none
   */
  versionOf(endpoint: IncarnationKey): number {
    return this.#recordOf(endpoint)?.version ?? 0;
  }

  /**
   * Applies what an answer says. An answer without a limit withdraws it only if the answer was made after the latest
   * statement: answers on different connections overtake each other.
   *
   * @param endpoint - the endpoint that has answered
   * @param answer - its answer
   * @param now - current time in milliseconds
   * @param unixMs - true time in Unix milliseconds
   * @returns the change, if the limit is another one now
   */
  noteAnswer(endpoint: IncarnationKey, answer: LimitAnswer, now: number, unixMs: number): LimitChange | undefined {
    const known = this.#recordOf(endpoint);
    const { stated } = answer;
    const isStated = stated.statement === requestLimits.LimitStatement.Stated;
    if (!isStated && !isWithdrawal(answer, known)) return undefined;
    const record = {
      endpointId: endpoint.id,
      bornAt: endpoint.bornAt,
      requestsPerSecond: isStated ? stated.requestsPerSecond : undefined,
      statedIn: answer.call,
      version: Math.max(Math.floor(unixMs), (known?.version ?? 0) + 1),
    };
    this.#put(record, now);
    return changeBetween(known, record, true);
  }

  /**
   * Applies the record of a peer, unless a newer one is known. Of two records of one version the lower limit counts.
   *
   * @param record - what the peer knows
   * @returns the change, if the limit is another one now
   */
  merge(record: requestLimits.LimitRecord): LimitChange | undefined {
    const entry = this.#entries.get(record.endpointId);
    const known = entry?.record;
    if (known !== undefined && !supersedes(record, known)) return undefined;
    this.#put(record, entry?.observedAt ?? Number.NEGATIVE_INFINITY);
    return changeBetween(known?.bornAt === record.bornAt ? known : undefined, record, false);
  }

  /**
   * Removes the statements of endpoints that are gone or have restarted; nothing would end them.
   *
   * @param isListed - whether that incarnation is listed
   * @param unixMs - true time in Unix milliseconds
   */
  removeUnlisted(isListed: (record: requestLimits.LimitRecord) => boolean, unixMs: number): void {
    for (const [id, { record }] of this.#entries)
      if (unixMs - record.version >= UNLISTED_KEPT_MS && !isListed(record)) this.#entries.delete(id);
  }

  /**
   * @param now - current time in milliseconds
   * @param isResponsible - whether this daemon publishes a limit although it hasn't observed it lately
   * @returns the records to send in the next heartbeat, those that were sent least often
   */
  recordsToPublish(
    now: number,
    isResponsible: (record: requestLimits.LimitRecord) => boolean,
  ): requestLimits.LimitRecord[] {
    const due = [...this.#entries.values()].filter(
      ({ record, observedAt }) => now - observedAt < PUBLISHED_MS || (isInForce(record) && isResponsible(record)),
    );
    const chosen = due.sort((left, right) => left.publications - right.publications).slice(0, MAX_PUBLISHED);
    for (const entry of chosen) entry.publications++;
    return chosen.map(({ record }) => record);
  }

  #recordOf({ id, bornAt }: IncarnationKey): requestLimits.LimitRecord | undefined {
    const record = this.#entries.get(id)?.record;
    return record?.bornAt === bornAt ? record : undefined;
  }

  #put(record: requestLimits.LimitRecord, observedAt: number): void {
    const publications = this.#entries.get(record.endpointId)?.publications ?? 0;
    this.#entries.delete(record.endpointId);
    this.#entries.set(record.endpointId, { record, observedAt, publications });
    if (this.#entries.size <= MAX_RECORDS) return;
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }
}

function isInForce({ requestsPerSecond }: requestLimits.LimitRecord): boolean {
  return requestsPerSecond !== undefined;
}

/** An answer that was under way when the limit was stated says nothing of it. */
function isWithdrawal(answer: LimitAnswer, known: requestLimits.LimitRecord | undefined): boolean {
  if (known === undefined || !isInForce(known)) return false;
  if (answer.stated.statement !== requestLimits.LimitStatement.None || !answer.isSuccess) return false;
  return answer.call === known.statedIn && answer.versionAtSend >= known.version;
}

function supersedes(record: requestLimits.LimitRecord, known: requestLimits.LimitRecord): boolean {
  if (record.bornAt !== known.bornAt) return (record.bornAt ?? 0) > (known.bornAt ?? 0);
  if (record.version !== known.version) return record.version > known.version;
  return (record.requestsPerSecond ?? Infinity) < (known.requestsPerSecond ?? Infinity);
}

function changeBetween(
  before: requestLimits.LimitRecord | undefined,
  after: requestLimits.LimitRecord,
  isObserved: boolean,
): LimitChange | undefined {
  return before?.requestsPerSecond === after.requestsPerSecond ? undefined : { before, after, isObserved };
}
