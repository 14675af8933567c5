import type * as directories from "../endpointDirectory.js";

/** Times of rest: endpoints that turn a request away may say for how long they want nothing from the sender. */

/** What an answer says of a rest. */
export enum RestStatement {
  None = "none",
  Stated = "stated",
  /** A rest is stated that can't be read; nothing follows from it. */
  Unreadable = "unreadable",
}

/** The rest that an answer asks for. */
export type StatedRest =
  | { readonly statement: RestStatement.None }
  | { readonly statement: RestStatement.Stated; readonly restMs: number }
  | { readonly statement: RestStatement.Unreadable; readonly text: string };

/** Longest rest that is kept, in milliseconds: an endpoint that states a longer one by mistake is used again after it. */
export const MAX_REST_MS = 3_600_000;

/** Part of a rest by which the first request after it is delayed at random, and the longest such delay in milliseconds. */
const SPREAD_PART = 0.1;
const MAX_SPREAD_MS = 1_000;

/** Interval of the requests after a rest until the endpoint has taken one of them, in milliseconds. */
const TRIAL_INTERVAL_MS = 250;

/** Maximum number of endpoints that are resting or being tried; the one that has rested longest is dropped first. */
const MAX_RESTS = 4_096;

/** How a statement changed the rest of an endpoint. */
export interface RestChange {
  /** Time until it ends, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the endpoint was not resting before. */
  readonly isNew: boolean;
}

interface Rest {
  readonly incarnation: Pick<directories.Endpoint, "bornAt" | "address">;
  /** Its end, in milliseconds. */
  readonly until: number;
  /** When the next request may be sent, in milliseconds. */
  nextAt: number;
}

/**
 * Endpoints that rest, and those that have rested and are being tried. A rest is a time and not a judgement: it is kept
 * to its end, whatever else the endpoint answers meanwhile, and belongs to one incarnation. After it, the endpoint gets
 * one request at a time until it has taken one, and each daemon begins at another moment.
 */
export class RestTable {
  readonly #rests = new Map<string, Rest>();

  /** @returns number of endpoints that are resting or being tried */
  get count(): number {
    return this.#rests.size;
  }

  /**
   * Notes a rest. Of several that overlap the one that ends last counts.
   *
   * @param endpoint - the endpoint that asks for it
   * @param restMs - how long it is, in milliseconds
   * @param now - current time in milliseconds
   * @param draw - a uniform random number in [0, 1)
   * @returns the change; undefined if it ends no later than the known one
   */
  note(endpoint: directories.Endpoint, restMs: number, now: number, draw: number): RestChange | undefined {
    const keptMs = Math.min(MAX_REST_MS, restMs);
    const until = now + keptMs;
    const known = this.#restOf(endpoint);
    if (keptMs <= 0 || (known !== undefined && known.until >= until)) return undefined;
    const spreadMs = Math.min(MAX_SPREAD_MS, keptMs * SPREAD_PART);
    this.#rests.delete(endpoint.id);
    const { address, bornAt } = endpoint;
    this.#rests.set(endpoint.id, { incarnation: { address, bornAt }, until, nextAt: until + draw * spreadMs });
    const [oldest] = this.#rests.keys();
    if (oldest !== undefined && this.#rests.size > MAX_RESTS) this.#rests.delete(oldest);
    return { remainingMs: keptMs, isNew: known === undefined || known.until <= now };
  }

  /**
   * @param endpoint - an endpoint
   * @param now - current time in milliseconds
   * @returns whether its rest has not ended
   */
  isResting(endpoint: directories.Endpoint, now: number): boolean {
    return (this.#restOf(endpoint)?.until ?? now) > now;
  }

  /**
   * @param endpoint - an endpoint
   * @param now - current time in milliseconds
   * @returns time until it may get a request in milliseconds, 0 if it may get one now
   */
  waitMs(endpoint: directories.Endpoint, now: number): number {
    return Math.max(0, (this.#restOf(endpoint)?.nextAt ?? now) - now);
  }

  /**
   * @param endpoint - an endpoint that a request is sent to
   * @param now - current time in milliseconds
   */
  noteSent(endpoint: directories.Endpoint, now: number): void {
    const rest = this.#restOf(endpoint);
    if (rest !== undefined && now >= rest.until) rest.nextAt = now + TRIAL_INTERVAL_MS;
  }

  /**
   * @param endpoint - an endpoint that has taken a request
   * @param sentAt - when that was sent, in milliseconds
   * @returns whether this is the first one that it has taken after a rest
   */
  noteTaken(endpoint: directories.Endpoint, sentAt: number): boolean {
    const rest = this.#restOf(endpoint);
    if (rest === undefined || sentAt < rest.until) return false;
    return this.#rests.delete(endpoint.id);
  }

  #restOf({ id, address, bornAt }: directories.Endpoint): Rest | undefined {
    const rest = this.#rests.get(id);
    const isSame = rest?.incarnation.address === address && rest.incarnation.bornAt === bornAt;
    return isSame ? rest : undefined;
  }
}
