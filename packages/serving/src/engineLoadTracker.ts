import * as promptParts from "./promptParts.js";
import * as urgencies from "./urgency.js";

/** Work that one daemon has at one endpoint. */
export interface EndpointWork {
  /** Tokens not yet read, by urgency level. */
  readonly unread: readonly number[];
  /** Requests that are under way. */
  readonly running: number;
}

/** A read that is under way at an engine; it ends with the first event or the handle. */
export interface PendingPrefill {
  readonly endpointId: string;
  readonly level: number;
  readonly tokens: number;
  done: boolean;
}

/**
 * Age at which a peer's word of its work no longer counts, in milliseconds,
 * where it speaks several times as often: an older word is of one that is gone.
 */
export const PEER_WORK_EXPIRY_MS = 700;

/** A shared part of a prompt that an engine was given to read. */
export interface PartRead {
  readonly endpointId: string;
  readonly model: string;
  readonly part: promptParts.PromptPart;
  /** Whether it has read the part, so that others can copy it from there. */
  readonly isRead: boolean;
}

interface PeerWord {
  readonly work: ReadonlyMap<string, EndpointWork>;
  readonly validUntil: number;
}

/** Sum of all peers' work at one endpoint. */
interface PeerTotal {
  readonly unread: number[];
  running: number;
}

/** Interval at which words that have expired are taken off the totals, in milliseconds. */
const EXPIRY_CHECK_MS = 50;

/** Most reads kept to be told in the next pulse. */
const MOST_UNTOLD_READS = 128;

interface EndpointState {
  readonly unread: number[];
  running: number;
  cache: promptParts.PromptCacheView | undefined;
}

/**
 * What is under way at each endpoint, from here and from the peers. Own work is
 * exact: it is taken off when the engine has read the prompt, not when a guess
 * says so. A peer's work counts until its next word, or until it expires.
 */
export class EngineLoadTracker {
  readonly #states = new Map<string, EndpointState>();
  readonly #peers = new Map<string, PeerWord>();
  /**
   * Kept up with each word, as a placement asks for every engine. With 63 engines
   * and 61 peers, placing a prompt takes 0.13 ms of processor time; summing all
   * peers' words each time, it took 1.41 ms (mean of 300 placements in a loop).
   */
  readonly #peerTotals = new Map<string, PeerTotal>();
  #expiryCheckedAt = Number.NEGATIVE_INFINITY;
  #untoldReads: PartRead[] = [];

  /**
   * @param endpointId - the engine
   * @param tokens - tokens that it has to read
   * @param level - urgency of the request
   * @returns the read, to be ended with {@link endPrefill}
   */
  beginPrefill(endpointId: string, tokens: number, level: number): PendingPrefill {
    const state = this.#state(endpointId);
    state.unread[level] = (state.unread[level] ?? 0) + tokens;
    return { endpointId, level, tokens, done: false };
  }

  /** @param read - a read that has ended; ending it twice has no effect */
  endPrefill(read: PendingPrefill): void {
    if (read.done) return;
    read.done = true;
    const state = this.#state(read.endpointId);
    state.unread[read.level] = Math.max(0, (state.unread[read.level] ?? 0) - read.tokens);
  }

  /** @param endpointId - endpoint at which a request begins */
  beginRequest(endpointId: string): void {
    this.#state(endpointId).running++;
  }

  /** @param endpointId - endpoint at which a request has ended */
  endRequest(endpointId: string): void {
    const state = this.#state(endpointId);
    state.running = Math.max(0, state.running - 1);
  }

  /**
   * @param peer - name of the peer
   * @param work - its work, by endpoint
   * @param now - current instant in milliseconds
   * @param validMs - time for which the word counts unless the peer speaks again, in milliseconds
   */
  updatePeerWork(
    peer: string,
    work: ReadonlyMap<string, EndpointWork>,
    now: number,
    validMs: number = PEER_WORK_EXPIRY_MS,
  ): void {
    const before = this.#peers.get(peer);
    if (before !== undefined) this.#count(before.work, -1);
    this.#peers.set(peer, { work, validUntil: now + validMs });
    this.#count(work, 1);
  }

  /**
   * @param endpointId - the engine
   * @param level - urgency of a request that is to be placed
   * @param now - current instant in milliseconds
   * @returns unread tokens there that go before such a request
   */
  tokensAhead(endpointId: string, level: number, now: number): number {
    this.#expire(now);
    const own = sumUpTo(this.#states.get(endpointId)?.unread, level);
    return own + sumUpTo(this.#peerTotals.get(endpointId)?.unread, level);
  }

  /**
   * @param endpointId - the engine
   * @param level - urgency of a request that is to be placed
   * @param now - current instant in milliseconds
   * @returns unread tokens of a less urgent prompt that the engine is likely to have begun, and finishes first
   */
  tokensBegun(endpointId: string, level: number, now: number): number {
    this.#expire(now);
    const own = this.#states.get(endpointId)?.unread;
    const peers = this.#peerTotals.get(endpointId)?.unread;
    for (let less = level + 1; less < urgencies.URGENCY_LEVELS; less++) {
      const tokens = (own?.[less] ?? 0) + (peers?.[less] ?? 0);
      // Half of one prompt: on average half of the one that is being read is left.
      if (tokens > 0) return Math.min(tokens, urgencies.typicalTokens(less)) / 2;
    }
    return 0;
  }

  /**
   * @param endpointId - the endpoint
   * @param now - current instant in milliseconds
   * @returns requests under way there, from all daemons
   */
  runningRequests(endpointId: string, now: number): number {
    this.#expire(now);
    return this.ownRunning(endpointId) + (this.#peerTotals.get(endpointId)?.running ?? 0);
  }

  /**
   * @param endpointId - the endpoint
   * @returns requests under way there from this daemon
   */
  ownRunning(endpointId: string): number {
    return this.#states.get(endpointId)?.running ?? 0;
  }

  /**
   * @param endpointId - the engine
   * @param memoryTokens - tokens that it can keep
   * @returns the guess of what it keeps
   */
  cache(endpointId: string, memoryTokens: number): promptParts.PromptCacheView {
    const state = this.#state(endpointId);
    state.cache ??= new promptParts.PromptCacheView(memoryTokens);
    return state.cache;
  }

  /**
   * An engine is given a prompt to read: it will keep the parts, and the peers
   * are to know of those that their own requests may share. Without that each
   * daemon takes parts for unread that others had read at their home.
   *
   * @param endpointId - the engine
   * @param memoryTokens - tokens that it can keep
   * @param prompt - the prompt
   * @param isRead - whether it has read it already
   */
  noteCachedPrompt(endpointId: string, memoryTokens: number, prompt: promptParts.Prompt, isRead = false): void {
    this.cache(endpointId, memoryTokens).addPrompt(prompt, isRead);
    const { model, parts } = prompt;
    for (const part of parts) this.#untoldReads.push({ endpointId, model, part, isRead });
    if (this.#untoldReads.length > MOST_UNTOLD_READS) this.#untoldReads = this.#untoldReads.slice(-MOST_UNTOLD_READS);
  }

  /** @returns reads that the peers have not been told of; they are then forgotten */
  takeUnsentReads(): PartRead[] {
    const reads = this.#untoldReads;
    this.#untoldReads = [];
    return reads;
  }

  /** @returns whether there are reads to tell the peers */
  get hasUnsentReads(): boolean {
    return this.#untoldReads.length > 0;
  }

  /**
   * @param read - a part that an engine was given by a peer
   */
  notePeerRead(read: PartRead): void {
    this.#states.get(read.endpointId)?.cache?.addPart(read.model, read.part, read.isRead);
  }

  /**
   * Drops what is guessed or told of an endpoint. Own work stays: it is taken off
   * as each request ends, and what was dropped would be taken off twice.
   *
   * @param endpointId - an endpoint that is gone, or has started again and keeps nothing of before
   */
  forget(endpointId: string): void {
    const state = this.#states.get(endpointId);
    if (state !== undefined) state.cache = undefined;
    this.#untoldReads = this.#untoldReads.filter((read) => read.endpointId !== endpointId);
    this.#peerTotals.delete(endpointId);
    for (const [peer, { work, validUntil }] of this.#peers) {
      if (!work.has(endpointId)) continue;
      const others = new Map([...work].filter(([id]) => id !== endpointId));
      this.#peers.set(peer, { work: others, validUntil });
    }
  }

  /** @returns own work by endpoint, without endpoints that have none */
  ownWork(): Map<string, EndpointWork> {
    const work = new Map<string, EndpointWork>();
    for (const [endpointId, state] of this.#states) {
      if (state.running === 0 && state.unread.every((tokens) => tokens === 0)) continue;
      work.set(endpointId, { unread: [...state.unread], running: state.running });
    }
    return work;
  }

  #state(endpointId: string): EndpointState {
    let state = this.#states.get(endpointId);
    if (state === undefined) {
      state = { unread: new Array<number>(urgencies.URGENCY_LEVELS).fill(0), running: 0, cache: undefined };
      this.#states.set(endpointId, state);
    }
    return state;
  }

  #expire(now: number): void {
    if (now - this.#expiryCheckedAt < EXPIRY_CHECK_MS) return;
    this.#expiryCheckedAt = now;
    for (const [peer, word] of this.#peers) {
      if (now < word.validUntil) continue;
      this.#count(word.work, -1);
      this.#peers.delete(peer);
    }
  }

  #count(work: ReadonlyMap<string, EndpointWork>, sign: 1 | -1): void {
    for (const [endpointId, { unread, running }] of work) {
      let total = this.#peerTotals.get(endpointId);
      if (total === undefined) {
        total = { unread: new Array<number>(urgencies.URGENCY_LEVELS).fill(0), running: 0 };
        this.#peerTotals.set(endpointId, total);
      }
      total.running += sign * running;
      for (const [level, tokens] of unread.entries()) total.unread[level] = (total.unread[level] ?? 0) + sign * tokens;
      if (total.running === 0 && total.unread.every((tokens) => tokens === 0)) this.#peerTotals.delete(endpointId);
    }
  }
}

function sumUpTo(unread: readonly number[] | undefined, level: number): number {
  if (unread === undefined) return 0;
  let sum = 0;
  for (let index = 0; index <= level; index++) sum += unread[index] ?? 0;
  return sum;
}
