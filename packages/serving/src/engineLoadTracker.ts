import * as promptParts from "./promptParts.js";
import * as urgencies from "./urgency.js";

/** Work that one daemon has in progress at one endpoint. */
export interface EndpointWork {
  /** Tokens not yet prefilled, by urgency. */
  readonly unread: readonly number[];
  /** Requests in progress. */
  readonly running: number;
  /** Tokens of their prompts and requested outputs; absent if they aren't counted. */
  readonly heldTokens?: number;
}

/** A prefill in progress at an engine; it ends with the first event or with the handle of the KV cache. */
export interface PendingPrefill {
  readonly endpointId: string;
  readonly urgency: number;
  readonly tokens: number;
  done: boolean;
}

/**
 * Age at which a peer's report of its work expires, in milliseconds. Peers report
 * several times as often, so that an older report is from a daemon that is gone.
 */
export const PEER_WORK_EXPIRY_MS = 700;

/** A shared part of a prompt that an engine was given to prefill. */
export interface PartRead {
  readonly endpointId: string;
  readonly model: string;
  readonly part: promptParts.PromptPart;
  /** Whether the engine has prefilled the part, so that other engines can copy it from there. */
  readonly isRead: boolean;
}

interface PeerReport {
  readonly work: ReadonlyMap<string, EndpointWork>;
  readonly validUntil: number;
}

/** Sum of all peers' work at one endpoint. */
interface PeerTotal {
  readonly unread: number[];
  running: number;
  heldTokens: number;
}

/** Interval at which expired reports are subtracted from the totals, in milliseconds. */
const EXPIRY_CHECK_MS = 50;

/** Maximum number of reads kept for the next message to the peers. */
const MAX_UNSENT_READS = 128;

interface EndpointState {
  readonly unread: number[];
  running: number;
  heldTokens: number;
  cache: promptParts.PromptCacheView | undefined;
}

/**
 * Tracks the work in progress at each endpoint, of this daemon and of its peers.
 * Own work is exact: it is subtracted when the engine has prefilled the prompt,
 * not after an estimated time. A peer's work counts until its next report, or
 * until it expires.
 */
export class EngineLoadTracker {
  readonly #states = new Map<string, EndpointState>();
  readonly #peers = new Map<string, PeerReport>();
  /**
   * Updated with each report, as a placement queries every engine. With 63 engines
   * and 61 peers, placing a prompt takes 0.13 ms of processor time; summing all
   * peers' reports for each placement took 1.41 ms.
   */
  readonly #peerTotals = new Map<string, PeerTotal>();
  #expiryCheckedAt = Number.NEGATIVE_INFINITY;
  #unsentReads: PartRead[] = [];

  /**
   * @param endpointId - the engine
   * @param tokens - tokens that it has to prefill
   * @param urgency - urgency of the request
   * @returns the prefill, to be ended with {@link endPrefill}
   */
  beginPrefill(endpointId: string, tokens: number, urgency: number): PendingPrefill {
    const state = this.#state(endpointId);
    state.unread[urgency] = (state.unread[urgency] ?? 0) + tokens;
    return { endpointId, urgency, tokens, done: false };
  }

  /** @param prefill - a prefill that has ended; ending it twice has no effect */
  endPrefill(prefill: PendingPrefill): void {
    if (prefill.done) return;
    prefill.done = true;
    const state = this.#state(prefill.endpointId);
    state.unread[prefill.urgency] = Math.max(0, (state.unread[prefill.urgency] ?? 0) - prefill.tokens);
  }

  /**
   * @param endpointId - endpoint at which a request starts
   * @param heldTokens - tokens of its prompt and requested output, 0 if they aren't counted
   */
  beginRequest(endpointId: string, heldTokens = 0): void {
    const state = this.#state(endpointId);
    state.running++;
    state.heldTokens += heldTokens;
  }

  /**
   * @param endpointId - endpoint at which a request has ended
   * @param heldTokens - tokens that were counted for it
   */
  endRequest(endpointId: string, heldTokens = 0): void {
    const state = this.#state(endpointId);
    state.running = Math.max(0, state.running - 1);
    state.heldTokens = Math.max(0, state.heldTokens - heldTokens);
  }

  /**
   * @param endpointId - the endpoint
   * @param now - current instant in milliseconds
   * @returns tokens of the prompts and requested outputs in progress or queued there, from all daemons that count them
   */
  heldTokens(endpointId: string, now: number): number {
    this.#expire(now);
    return (this.#states.get(endpointId)?.heldTokens ?? 0) + (this.#peerTotals.get(endpointId)?.heldTokens ?? 0);
  }

  /**
   * Replaces a peer's last report of its work.
   *
   * @param peer - name of the peer
   * @param work - its work, by endpoint
   * @param now - current instant in milliseconds
   * @param validMs - time after which the report expires unless the peer sends another, in milliseconds
   */
  updatePeerWork(
    peer: string,
    work: ReadonlyMap<string, EndpointWork>,
    now: number,
    validMs: number = PEER_WORK_EXPIRY_MS,
  ): void {
    const before = this.#peers.get(peer);
    if (before !== undefined) this.#addToTotals(before.work, -1);
    this.#peers.set(peer, { work, validUntil: now + validMs });
    this.#addToTotals(work, 1);
  }

  /**
   * @param endpointId - the engine
   * @param urgency - urgency of a request that is to be placed
   * @param now - current instant in milliseconds
   * @returns unread tokens there that go before such a request
   */
  tokensAhead(endpointId: string, urgency: number, now: number): number {
    this.#expire(now);
    const own = sumUpTo(this.#states.get(endpointId)?.unread, urgency);
    return own + sumUpTo(this.#peerTotals.get(endpointId)?.unread, urgency);
  }

  /**
   * @param endpointId - the engine
   * @param urgency - urgency of a request that is to be placed
   * @param now - current instant in milliseconds
   * @returns estimated unread tokens of a less urgent prompt that the engine has started and finishes first
   */
  tokensInProgress(endpointId: string, urgency: number, now: number): number {
    this.#expire(now);
    const own = this.#states.get(endpointId)?.unread;
    const peers = this.#peerTotals.get(endpointId)?.unread;
    for (let less = urgency + 1; less < urgencies.URGENCY_LEVELS; less++) {
      const tokens = (own?.[less] ?? 0) + (peers?.[less] ?? 0);
      // On average, half of the prompt in progress is left.
      if (tokens > 0) return Math.min(tokens, urgencies.typicalTokens(less)) / 2;
    }
    return 0;
  }

  /**
   * @param endpointId - the endpoint
   * @param now - current instant in milliseconds
   * @returns requests in progress there, from all daemons
   */
  runningRequests(endpointId: string, now: number): number {
    this.#expire(now);
    return this.ownRunning(endpointId) + (this.#peerTotals.get(endpointId)?.running ?? 0);
  }

  /**
   * @param endpointId - the endpoint
   * @returns requests in progress there from this daemon
   */
  ownRunning(endpointId: string): number {
    return this.#states.get(endpointId)?.running ?? 0;
  }

  /**
   * @param endpointId - the engine
   * @param memoryTokens - tokens that its cache can hold
   * @returns the estimated contents of its prefix cache
   */
  cache(endpointId: string, memoryTokens: number): promptParts.PromptCacheView {
    const state = this.#state(endpointId);
    state.cache ??= new promptParts.PromptCacheView(memoryTokens);
    return state.cache;
  }

  /**
   * Records that an engine caches a prompt, or will do so once it has prefilled
   * it. The peers are informed, as their requests may share the parts; otherwise each
   * daemon would take for uncached what other daemons had prefilled on the
   * preferred engine.
   *
   * @param endpointId - the engine
   * @param memoryTokens - tokens that its cache can hold
   * @param prompt - the prompt
   * @param isRead - whether it has already prefilled the prompt
   */
  noteCachedPrompt(endpointId: string, memoryTokens: number, prompt: promptParts.Prompt, isRead = false): void {
    this.cache(endpointId, memoryTokens).addPrompt(prompt, isRead);
    const { model, parts } = prompt;
    for (const part of parts) this.#unsentReads.push({ endpointId, model, part, isRead });
    if (this.#unsentReads.length > MAX_UNSENT_READS) this.#unsentReads = this.#unsentReads.slice(-MAX_UNSENT_READS);
  }

  /** @returns reads that were not yet sent to the peers; they are removed here */
  takeUnsentReads(): PartRead[] {
    const reads = this.#unsentReads;
    this.#unsentReads = [];
    return reads;
  }

  /** @returns whether there are reads to send to the peers */
  get hasUnsentReads(): boolean {
    return this.#unsentReads.length > 0;
  }

  /**
   * @param read - a part that a peer gave an engine to prefill
   */
  notePeerRead(read: PartRead): void {
    this.#states.get(read.endpointId)?.cache?.addPart(read.model, read.part, read.isRead);
  }

  /**
   * Drops the estimated cache and the peers' work of an endpoint. Own work stays:
   * it is subtracted as each request ends, and dropping it here would subtract it
   * twice.
   *
   * @param endpointId - an endpoint that is gone, or has restarted with an empty cache
   */
  forget(endpointId: string): void {
    const state = this.#states.get(endpointId);
    if (state !== undefined) state.cache = undefined;
    this.#unsentReads = this.#unsentReads.filter((read) => read.endpointId !== endpointId);
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
      const { heldTokens, running, unread } = state;
      work.set(endpointId, { unread: [...unread], running, ...(heldTokens === 0 ? {} : { heldTokens }) });
    }
    return work;
  }

  #state(endpointId: string): EndpointState {
    let state = this.#states.get(endpointId);
    if (state === undefined) {
      const unread = new Array<number>(urgencies.URGENCY_LEVELS).fill(0);
      state = { unread, running: 0, heldTokens: 0, cache: undefined };
      this.#states.set(endpointId, state);
    }
    return state;
  }

  #expire(now: number): void {
    if (now - this.#expiryCheckedAt < EXPIRY_CHECK_MS) return;
    this.#expiryCheckedAt = now;
    for (const [peer, report] of this.#peers) {
      if (now < report.validUntil) continue;
      this.#addToTotals(report.work, -1);
      this.#peers.delete(peer);
    }
  }

  #addToTotals(work: ReadonlyMap<string, EndpointWork>, sign: 1 | -1): void {
    for (const [endpointId, { unread, running, heldTokens = 0 }] of work) {
      let total = this.#peerTotals.get(endpointId);
      if (total === undefined) {
        total = { unread: new Array<number>(urgencies.URGENCY_LEVELS).fill(0), running: 0, heldTokens: 0 };
        this.#peerTotals.set(endpointId, total);
      }
      total.running += sign * running;
      total.heldTokens += sign * heldTokens;
      for (let index = 0; index < unread.length; index++) {
        total.unread[index] = (total.unread[index] ?? 0) + sign * (unread[index] ?? 0);
      }
      if (total.running === 0 && total.unread.every((tokens) => tokens === 0)) this.#peerTotals.delete(endpointId);
    }
  }
}

function sumUpTo(unread: readonly number[] | undefined, urgency: number): number {
  if (unread === undefined) return 0;
  let sum = 0;
  for (let index = 0; index <= urgency; index++) sum += unread[index] ?? 0;
  return sum;
}
