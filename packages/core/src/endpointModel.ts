import * as configuration from "./configuration.js";
import type * as engineCosts from "./engineCosts.js";
import * as speedFactor from "./speedFactor.js";

/** Part of a request that an endpoint runs. */
export enum RequestPart {
  /** Prompt and answer, or a whole plain call. */
  Whole = "whole",
  /** Only the prompt's KV cache. */
  Prefill = "prefill",
  /** The answer, from an imported KV cache. */
  Decode = "decode",
}

/** A request of this daemon in flight at an endpoint. */
export interface OutstandingRequest {
  readonly part: RequestPart;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly dispatchedAt: number;
  /** Prompt tokens ahead of this request at its dispatch. */
  readonly aheadTokens: number;
  firstTokenAt?: number;
}

/** Load of the other daemons at an endpoint, from their heartbeats. */
export interface PeerLoad {
  readonly inFlight: number;
  readonly prefillTokens: number;
  readonly streams: number;
}

const FAILURES_BEFORE_BACKOFF = 3;
const MIN_BACKOFF_MS = 2000;
const MAX_BACKOFF_MS = 15_000;
const MAX_PREFIXES = 256;

/**
 * This daemon's model of one endpoint: its own requests in flight, the peers'
 * load, the endpoint's speed relative to the prior costs, and its failures.
 */
export class EndpointModel {
  readonly id: string;
  readonly dataCentre: string;
  readonly #costs: engineCosts.EngineCosts;
  readonly #outstanding = new Map<string, OutstandingRequest>();
  readonly #prefixes = new Map<string, number>();
  #backlogTokens = 0;
  #backlogAt = 0;
  #streams = 0;
  #peerLoad: PeerLoad = { inFlight: 0, prefillTokens: 0, streams: 0 };
  #peerLoadAt = 0;
  readonly #prefillSpeed = new speedFactor.SpeedFactor();
  readonly #decodeSpeed = new speedFactor.SpeedFactor();
  #failures = 0;
  #backoffUntil = 0;
  role: configuration.EndpointRole = configuration.EndpointRole.Mixed;
  /** False while the configuration or an order excludes the endpoint from new work. */
  accepting = true;

  /**
   * @param id - `team/endpoint`
   * @param dataCentre - its data centre
   * @param costs - prior costs for predictions
   */
  constructor(id: string, dataCentre: string, costs: engineCosts.EngineCosts) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.#costs = costs;
  }

  /** @returns requests of this daemon in flight at the endpoint */
  get inFlight(): number {
    return this.#outstanding.size;
  }

  /** @returns known requests of all daemons in flight at the endpoint */
  get totalInFlight(): number {
    return this.#outstanding.size + this.#peerLoad.inFlight;
  }

  /**
   * @param now - current time
   * @returns estimate of this daemon's prompt tokens at the endpoint that are not prefilled yet
   */
  ownWaitingTokens(now: number): number {
    return this.#remainingTokens(this.#backlogTokens, this.#backlogAt, now);
  }

  /** @returns this daemon's sequences that decode at the endpoint, or will */
  get ownStreams(): number {
    return this.#streams;
  }

  /** @returns sequences of all daemons that decode at the endpoint, or will */
  get streams(): number {
    return this.#streams + this.#peerLoad.streams;
  }

  /** @returns maximum sequences that decode concurrently in the current role */
  get slots(): number {
    return this.#costs.roles[this.role].slots;
  }

  /**
   * @param now - current time
   * @returns whether the endpoint may get new work
   */
  isUsable(now: number): boolean {
    return this.accepting && now >= this.#backoffUntil;
  }

  /**
   * @param part - part of a request
   * @returns whether the current role serves it
   */
  serves(part: RequestPart): boolean {
    if (this.role === configuration.EndpointRole.Mixed) return part === RequestPart.Whole;
    return part === (this.role === configuration.EndpointRole.Prefill ? RequestPart.Prefill : RequestPart.Decode);
  }

  /**
   * @param now - current time
   * @returns estimate of all daemons' prompt tokens at the endpoint that are not prefilled yet
   */
  waitingTokens(now: number): number {
    return this.ownWaitingTokens(now) + this.#remainingTokens(this.#peerLoad.prefillTokens, this.#peerLoadAt, now);
  }

  /** @returns milliseconds to prefill one prompt token while the endpoint is busy */
  prefillTokenMs(): number {
    const { chunkTokens } = this.#costs.roles[this.role];
    if (chunkTokens === 0) return Number.POSITIVE_INFINITY;
    const stepMs =
      this.#costs.stepBaseMs + chunkTokens * this.#costs.prefillTokenMs + this.streams * this.#costs.decodeStreamMs;
    return (this.#prefillSpeed.factor * stepMs) / chunkTokens;
  }

  /**
   * @param now - current time
   * @returns milliseconds per output token with one more sequence decoding
   */
  tokenMs(now: number): number {
    const streams = Math.min(this.streams + 1, Math.max(1, this.slots));
    return this.#decodeSpeed.factor * this.#stepMs(streams, this.#prefillBusyShare(now));
  }

  /**
   * @param now - current time
   * @returns milliseconds until the waiting prompt tokens have been prefilled
   */
  prefillWaitMs(now: number): number {
    const tokens = this.waitingTokens(now);
    return tokens === 0 ? 0 : tokens * this.prefillTokenMs();
  }

  /**
   * Records the dispatch of a request.
   *
   * @param request - id of the request
   * @param entry - the dispatched part and its size
   */
  onDispatched(request: string, entry: Omit<OutstandingRequest, "aheadTokens">): void {
    this.#outstanding.set(request, { ...entry, aheadTokens: this.waitingTokens(entry.dispatchedAt) });
    if (entry.part !== RequestPart.Decode) {
      this.#backlogTokens = this.ownWaitingTokens(entry.dispatchedAt) + entry.promptTokens;
      this.#backlogAt = entry.dispatchedAt;
    }
    if (entry.part !== RequestPart.Prefill) this.#streams++;
  }

  /**
   * Records that the prompt has been prefilled.
   *
   * @param request - id of the request
   * @param now - current time
   */
  onFirstToken(request: string, now: number): void {
    const entry = this.#outstanding.get(request);
    if (!entry || entry.firstTokenAt !== undefined) return;
    entry.firstTokenAt = now;
    if (entry.part === RequestPart.Decode) return;
    this.#correctBacklog(now);
    this.#learnPrefill(entry, now - entry.dispatchedAt);
  }

  /**
   * Records the end of a request at this endpoint, successful or not.
   *
   * @param request - id of the request
   * @param now - current time
   * @param outputTokens - number of generated tokens, if it succeeded
   */
  onEnded(request: string, now: number, outputTokens?: number): void {
    const entry = this.#outstanding.get(request);
    if (!entry) return;
    this.onFirstToken(request, now);
    this.#outstanding.delete(request);
    if (entry.part !== RequestPart.Prefill) this.#streams--;
    if (outputTokens !== undefined) this.#learnDecode(entry, outputTokens, now);
  }

  /**
   * Records a success and ends any backoff.
   *
   * @param now - current time
   */
  onSuccess(now: number): void {
    this.#failures = 0;
    this.#backoffUntil = Math.min(this.#backoffUntil, now);
  }

  /**
   * Records a failure. An endpoint that can't be reached, or that fails several
   * times in a row, is excluded for an exponential backoff: a crashed engine fails
   * fastest, so it would otherwise look least loaded and attract all requests.
   *
   * @param now - current time
   * @param reachable - whether the endpoint could be reached at all
   */
  onFailure(now: number, reachable: boolean): void {
    this.#failures = reachable ? this.#failures + 1 : Math.max(this.#failures + 1, FAILURES_BEFORE_BACKOFF);
    if (this.#failures < FAILURES_BEFORE_BACKOFF) return;
    const backoffMs = MIN_BACKOFF_MS * 2 ** Math.min(this.#failures - FAILURES_BEFORE_BACKOFF, 4);
    this.#backoffUntil = now + Math.min(backoffMs, MAX_BACKOFF_MS);
  }

  /**
   * Replaces the known load of the peers.
   *
   * @param load - the peers' load at the endpoint
   * @param now - current time
   */
  onPeerLoad(load: PeerLoad, now: number): void {
    this.#peerLoad = load;
    this.#peerLoadAt = now;
  }

  /**
   * @param prefix - prefix of a prompt
   * @returns number of its tokens that are probably cached here; only a hint
   */
  cachedTokens(prefix: string | undefined): number {
    return prefix === undefined ? 0 : (this.#prefixes.get(prefix) ?? 0);
  }

  /**
   * Records a prefix that the endpoint will have cached; drops the oldest one over the limit.
   *
   * @param prefix - prefix of a prompt dispatched to the endpoint
   * @param tokens - length of the prompt
   */
  rememberPrefix(prefix: string, tokens: number): void {
    this.#prefixes.delete(prefix);
    this.#prefixes.set(prefix, tokens);
    if (this.#prefixes.size <= MAX_PREFIXES) return;
    const oldest = this.#prefixes.keys().next().value;
    if (oldest !== undefined) this.#prefixes.delete(oldest);
  }

  /** Clears the known prefixes, as a role change empties the endpoint's caches. */
  forgetPrefixes(): void {
    this.#prefixes.clear();
  }

  /** Prompt tokens that remain of a backlog known at an earlier time, given the prefill speed. */
  #remainingTokens(tokens: number, at: number, now: number): number {
    return tokens === 0 ? 0 : Math.max(0, tokens - (now - at) / this.prefillTokenMs());
  }

  /** Limits the backlog, after a prefill has ended, to the prompts of the other requests in flight. */
  #correctBacklog(now: number): void {
    let remaining = 0;
    for (const entry of this.#outstanding.values()) {
      if (entry.firstTokenAt === undefined && entry.part !== RequestPart.Decode) remaining += entry.promptTokens;
    }
    this.#backlogTokens = Math.min(remaining, this.ownWaitingTokens(now));
    this.#backlogAt = now;
  }

  #stepMs(streams: number, prefillBusyShare: number): number {
    const chunk = this.#costs.roles[this.role].chunkTokens * prefillBusyShare;
    return this.#costs.stepBaseMs + streams * this.#costs.decodeStreamMs + chunk * this.#costs.prefillTokenMs;
  }

  #prefillBusyShare(now: number): number {
    if (this.role !== configuration.EndpointRole.Mixed) return 0;
    return this.waitingTokens(now) > 0 ? 1 : 0.3;
  }

  #learnPrefill(entry: OutstandingRequest, tookMs: number): void {
    const tokens = entry.aheadTokens + entry.promptTokens;
    const unscaled = (tokens * this.prefillTokenMs()) / this.#prefillSpeed.factor;
    // A prompt of any length waits for the current step and takes at least one step itself.
    this.#prefillSpeed.learn(unscaled + 2 * this.#costs.stepBaseMs, tookMs);
  }

  #learnDecode(entry: OutstandingRequest, outputTokens: number, now: number): void {
    if (entry.firstTokenAt === undefined || outputTokens < 2) return;
    const streams = Math.min(this.streams + 1, Math.max(1, this.slots));
    const predicted = (outputTokens - 1) * this.#stepMs(streams, this.#prefillBusyShare(now));
    this.#decodeSpeed.learn(predicted, now - entry.firstTokenAt);
  }
}
