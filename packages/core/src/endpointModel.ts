import * as configuration from "./configuration.js";
import type * as engineCosts from "./engineCosts.js";
import * as speedFactor from "./speedFactor.js";

/** Which part of a request an endpoint is asked for. */
export enum RequestPart {
  /** Prompt and answer, or a whole plain call. */
  Whole = "whole",
  /** Only the prompt's KV cache. */
  Prefill = "prefill",
  /** The answer, from a KV cache that is imported. */
  Decode = "decode",
}

/** What this daemon has at an endpoint for one request. */
export interface OutstandingRequest {
  readonly part: RequestPart;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly dispatchedAt: number;
  /** Prefill work ahead of this one at dispatch, in tokens. */
  readonly aheadTokens: number;
  firstTokenAt?: number;
}

/** Use of an endpoint by the other daemons, as their heartbeats tell. */
export interface PeerLoad {
  readonly inFlight: number;
  readonly prefillTokens: number;
  readonly streams: number;
}

const FAILURES_TO_REST = 3;
const REST_MS = 2000;
const LONGEST_REST_MS = 15_000;
const PREFIXES_REMEMBERED = 256;

/**
 * One endpoint as this daemon sees it: what is outstanding there, what the peers
 * have there, how fast it is compared with the prior, and whether it fails.
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
  #peers: PeerLoad = { inFlight: 0, prefillTokens: 0, streams: 0 };
  #peersAt = 0;
  readonly #prefillSpeed = new speedFactor.SpeedFactor();
  readonly #decodeSpeed = new speedFactor.SpeedFactor();
  #failures = 0;
  #restsUntil = 0;
  role: configuration.EndpointRole = configuration.EndpointRole.Mixed;
  /** False while the configuration or an order keeps new work away. */
  accepting = true;

  /**
   * @param id - `team/endpoint`
   * @param dataCentre - where it stands
   * @param costs - what predictions start from
   */
  constructor(id: string, dataCentre: string, costs: engineCosts.EngineCosts) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.#costs = costs;
  }

  /** @returns requests of this daemon at the endpoint */
  get inFlight(): number {
    return this.#outstanding.size;
  }

  /** @returns requests of all daemons at the endpoint, as far as known */
  get totalInFlight(): number {
    return this.#outstanding.size + this.#peers.inFlight;
  }

  /**
   * @param now - current time
   * @returns this daemon's prompt tokens at the endpoint that are not taken in yet, as far as can be told
   */
  ownWaitingTokens(now: number): number {
    return this.#aged(this.#backlogTokens, this.#backlogAt, now);
  }

  /** @returns this daemon's sequences at the endpoint */
  get ownStreams(): number {
    return this.#streams;
  }

  /** @returns sequences of all daemons that decode or will */
  get streams(): number {
    return this.#streams + this.#peers.streams;
  }

  /** @returns sequences that may decode side by side in the present role */
  get slots(): number {
    return this.#costs.roles[this.role].slots;
  }

  /**
   * @param now - current time
   * @returns whether new work may be given
   */
  isUsable(now: number): boolean {
    return this.accepting && now >= this.#restsUntil;
  }

  /**
   * @param part - part of a request
   * @returns whether the present role serves it
   */
  serves(part: RequestPart): boolean {
    if (this.role === configuration.EndpointRole.Mixed) return part === RequestPart.Whole;
    return part === (this.role === configuration.EndpointRole.Prefill ? RequestPart.Prefill : RequestPart.Decode);
  }

  /**
   * @param now - current time
   * @returns prompt tokens of all daemons that wait at the endpoint
   */
  waitingTokens(now: number): number {
    return this.ownWaitingTokens(now) + this.#aged(this.#peers.prefillTokens, this.#peersAt, now);
  }

  /** @returns milliseconds that one prompt token takes while the endpoint is busy */
  prefillTokenMs(): number {
    const { chunkTokens } = this.#costs.roles[this.role];
    if (chunkTokens === 0) return Number.POSITIVE_INFINITY;
    const stepMs =
      this.#costs.stepBaseMs + chunkTokens * this.#costs.prefillTokenMs + this.streams * this.#costs.decodeStreamMs;
    return (this.#prefillSpeed.factor * stepMs) / chunkTokens;
  }

  /**
   * @param now - current time
   * @returns milliseconds between two tokens if one more sequence decodes
   */
  tokenMs(now: number): number {
    const streams = Math.min(this.streams + 1, Math.max(1, this.slots));
    return this.#decodeSpeed.factor * this.#stepMs(streams, this.#prefillBusyShare(now));
  }

  /**
   * @param now - current time
   * @returns milliseconds until the prompt tokens that wait have been taken in
   */
  prefillWaitMs(now: number): number {
    const tokens = this.waitingTokens(now);
    return tokens === 0 ? 0 : tokens * this.prefillTokenMs();
  }

  /**
   * @param request - id of the request
   * @param entry - what is dispatched
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
   * The prompt has been taken in.
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
   * The request has ended here, well or not.
   *
   * @param request - id of the request
   * @param now - current time
   * @param outputTokens - tokens that it made, if it ended well
   */
  onEnded(request: string, now: number, outputTokens?: number): void {
    const entry = this.#outstanding.get(request);
    if (!entry) return;
    this.onFirstToken(request, now);
    this.#outstanding.delete(request);
    if (entry.part !== RequestPart.Prefill) this.#streams--;
    if (outputTokens !== undefined) this.#learnDecode(entry, outputTokens, now);
  }

  /** @param now - current time; the endpoint answered as it should */
  onSuccess(now: number): void {
    this.#failures = 0;
    this.#restsUntil = Math.min(this.#restsUntil, now);
  }

  /**
   * An endpoint that can't be reached, or fails several times in a row, gets a
   * rest, longer each time: a crashed engine fails fastest and would otherwise
   * look least loaded and draw all requests.
   *
   * @param now - current time
   * @param reachable - whether the endpoint could be reached at all
   */
  onFailure(now: number, reachable: boolean): void {
    this.#failures = reachable ? this.#failures + 1 : Math.max(this.#failures + 1, FAILURES_TO_REST);
    if (this.#failures < FAILURES_TO_REST) return;
    const rest = REST_MS * 2 ** Math.min(this.#failures - FAILURES_TO_REST, 4);
    this.#restsUntil = now + Math.min(rest, LONGEST_REST_MS);
  }

  /**
   * @param use - what the peers have at the endpoint
   * @param now - current time
   */
  onPeerLoad(use: PeerLoad, now: number): void {
    this.#peers = use;
    this.#peersAt = now;
  }

  /**
   * @param prefix - beginning of a prompt
   * @returns its tokens that are probably cached here; a hint, never relied on
   */
  cachedTokens(prefix: string | undefined): number {
    return prefix === undefined ? 0 : (this.#prefixes.get(prefix) ?? 0);
  }

  /**
   * @param prefix - beginning of a prompt that the endpoint takes in
   * @param tokens - its length
   */
  rememberPrefix(prefix: string, tokens: number): void {
    this.#prefixes.delete(prefix);
    this.#prefixes.set(prefix, tokens);
    if (this.#prefixes.size <= PREFIXES_REMEMBERED) return;
    const oldest = this.#prefixes.keys().next().value;
    if (oldest !== undefined) this.#prefixes.delete(oldest);
  }

  /** A role change empties the endpoint's caches. */
  forgetPrefixes(): void {
    this.#prefixes.clear();
  }

  /** Work that was there at some time and has been worked off since. */
  #aged(tokens: number, at: number, now: number): number {
    return tokens === 0 ? 0 : Math.max(0, tokens - (now - at) / this.prefillTokenMs());
  }

  /** A prompt has been taken in: no more can wait than the others have. */
  #correctBacklog(now: number): void {
    let left = 0;
    for (const entry of this.#outstanding.values()) {
      if (entry.firstTokenAt === undefined && entry.part !== RequestPart.Decode) left += entry.promptTokens;
    }
    this.#backlogTokens = Math.min(left, this.ownWaitingTokens(now));
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
    // Whatever its length, a prompt waits for the step under way and takes one itself.
    this.#prefillSpeed.learn(unscaled + 2 * this.#costs.stepBaseMs, tookMs);
  }

  #learnDecode(entry: OutstandingRequest, outputTokens: number, now: number): void {
    if (entry.firstTokenAt === undefined || outputTokens < 2) return;
    const streams = Math.min(this.streams + 1, Math.max(1, this.slots));
    const predicted = (outputTokens - 1) * this.#stepMs(streams, this.#prefillBusyShare(now));
    this.#decodeSpeed.learn(predicted, now - entry.firstTokenAt);
  }
}
