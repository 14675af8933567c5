import * as gapRatios from "./gapRatios.js";

/**
 * Ratio from which an engine counts as slow. Engines slow down 2.5 times or not at all; at 1.6 times the gap, of the
 * 150 ms that a stream may pause two thirds are used up before anything is prefilled beside it.
 */
export const SLOW_RATIO = 1.6;

/** Age at which a gap says nothing more about an engine, in milliseconds: it is slow for 600 ms at a time. */
const GAP_WINDOW_MS = 500;

/** Age at which what a peer reported lapses, in milliseconds: an engine is slow for no longer. */
export const PACE_VALID_MS = 600;

/** Gaps below this come from events that arrived together; they say nothing of the engine, in milliseconds. */
const TOGETHER_MS = 1;

/** Interval at which what has lapsed is removed, in milliseconds. */
const REMOVAL_INTERVAL_MS = 1_000;

/** A stream of this daemon at an engine, from its send to its end. */
export interface PacedStream {
  readonly endpointId: string;
  readonly service: string;
  /** Longest pause that is in time, in milliseconds. */
  readonly pauseMs: number;
  lastEventAt: number | undefined;
  /** The latest gap, in multiples of the expected one. */
  latest: { readonly ratio: number; readonly at: number } | undefined;
}

/** What a daemon knows about the gaps at one engine, as it is sent to the peers. */
export interface EnginePace {
  readonly endpointId: string;
  /** Gap in multiples of the expected one; for an engine that is silent, the silence. */
  readonly ratio: number;
  readonly ageMs: number;
  /** Smallest pause objective of the sender's streams there, in milliseconds. */
  readonly pauseMs: number;
}

/** What is known of an engine's gaps. */
export interface EngineGaps {
  readonly ratio: number;
  readonly ageMs: number;
  readonly isSlow: boolean;
}

/** Gaps at an engine as one observer saw them at an instant. */
interface Observation {
  readonly ratio: number;
  readonly at: number;
}

interface PeerPace extends Observation {
  readonly pause: { readonly ms: number; readonly at: number };
}

/**
 * @param pace - gaps at an engine
 * @returns whether the engine counts as slow
 */
export function isSlow({ ratio }: Pick<EnginePace, "ratio">): boolean {
  return ratio > SLOW_RATIO;
}

/** A source of expected gaps: {@link EngineSpeeds} and the load of an engine. */
export type ExpectedGap = (endpointId: string, service: string) => number;

/**
 * Learns the time between the events of streams, and detects engines that have slowed down. Load pattern: engines that
 * are 2.5 times slower for 600 ms in 15 of 100 such spans, and streams that may pause 150 ms. An event of such an
 * engine takes 120 to 150 ms, so that any prefill beside it makes all of its streams late.
 */
export class PauseTracker {
  readonly #streams = new Map<string, Set<PacedStream>>();
  readonly #ratios = new Map<string, gapRatios.GapRatios>();
  readonly #peers = new Map<string, PeerPace>();
  #removedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param endpointId - the engine that generates the stream
   * @param service - its service
   * @param pauseMs - longest pause that is in time, in milliseconds
   * @returns the stream, to be ended with {@link endStream}
   */
  beginStream(endpointId: string, service: string, pauseMs: number): PacedStream {
    const stream: PacedStream = { endpointId, service, pauseMs, lastEventAt: undefined, latest: undefined };
    const streams = this.#streams.get(endpointId);
    if (streams === undefined) this.#streams.set(endpointId, new Set([stream]));
    else streams.add(stream);
    return stream;
  }

  /**
   * @param stream - a stream
   * @param expectedMs - expected gap between two of its events, in milliseconds
   * @param now - monotonic time of its event in milliseconds
   */
  recordEvent(stream: PacedStream, expectedMs: number, now: number): void {
    const { lastEventAt } = stream;
    stream.lastEventAt = now;
    if (lastEventAt === undefined || now - lastEventAt < TOGETHER_MS) return;
    const ratio = (now - lastEventAt) / expectedMs;
    stream.latest = { ratio, at: now };
    this.#ratiosOf(stream.service).add(ratio, now - lastEventAt, now);
  }

  /**
   * Leaves out the gap until the next event, which isn't the engine's: its answer isn't read now, as the caller is slow.
   *
   * @param stream - a stream
   */
  suspend(stream: PacedStream): void {
    stream.lastEventAt = undefined;
  }

  /** @param stream - a stream that has ended; ending it twice has no effect */
  endStream(stream: PacedStream): void {
    const streams = this.#streams.get(stream.endpointId);
    if (streams === undefined) return;
    streams.delete(stream);
    if (streams.size === 0) this.#streams.delete(stream.endpointId);
  }

  /** @param endpointId - an endpoint that is gone or has restarted */
  forget(endpointId: string): void {
    this.#peers.delete(endpointId);
    for (const stream of this.#streams.get(endpointId) ?? []) {
      stream.latest = undefined;
      stream.lastEventAt = undefined;
    }
  }

  /**
   * @param pace - what a peer reported
   * @param now - monotonic time in milliseconds
   */
  notePeer({ endpointId, ratio, ageMs, pauseMs }: EnginePace, now: number): void {
    this.#removeLapsed(now);
    const known = this.#peers.get(endpointId);
    const isPauseKept = known !== undefined && known.pause.ms < pauseMs && now - known.pause.at < PACE_VALID_MS;
    const pause = isPauseKept ? known.pause : { ms: pauseMs, at: now };
    const observation = { ratio, at: now - ageMs };
    const newest = known !== undefined && known.at > observation.at ? known : observation;
    this.#peers.set(endpointId, { ratio: newest.ratio, at: newest.at, pause });
  }

  /**
   * @param service - a service
   * @param now - monotonic time in milliseconds
   * @returns the 0.9 quantile of its gaps, in multiples of the expected ones
   */
  quantile(service: string, now: number): number {
    return this.#ratios.get(service)?.quantile(now) ?? 1;
  }

  /**
   * @param endpointId - an engine
   * @param expectedMs - expected gap between the events of a stream there, in milliseconds
   * @param now - monotonic time in milliseconds
   * @returns its latest gaps, by whoever has seen them last; undefined if none are known
   */
  gapsOf(endpointId: string, expectedMs: number, now: number): EngineGaps | undefined {
    const own = this.#ownGaps(endpointId, now);
    const peer = this.#peerPace(endpointId, now);
    const newest = own === undefined || (peer !== undefined && peer.at > own.at) ? peer : own;
    const silentMs = this.#silenceMs(endpointId, peer, now);
    const silence = silentMs / expectedMs;
    if (silence > SLOW_RATIO) return { ratio: Math.max(silence, newest?.ratio ?? 0), ageMs: 0, isSlow: true };
    if (newest === undefined) return undefined;
    return { ratio: newest.ratio, ageMs: now - newest.at, isSlow: isSlow(newest) };
  }

  /**
   * @param endpointId - an engine
   * @param now - monotonic time in milliseconds
   * @returns the smallest pause objective of the known streams there, in milliseconds; infinite if none is known
   */
  tightestPauseMs(endpointId: string, now: number): number {
    const pause = this.#peers.get(endpointId)?.pause;
    const peersMs = pause !== undefined && now - pause.at < PACE_VALID_MS ? pause.ms : Number.POSITIVE_INFINITY;
    return Math.min(peersMs, this.#ownPauseMs(endpointId));
  }

  /**
   * @param expectedGap - returns the expected gap between the events of a stream at an engine, in milliseconds
   * @param now - monotonic time in milliseconds
   * @returns what own streams show, slow engines first, then those with the tightest pause objective
   */
  ownPaces(expectedGap: ExpectedGap, now: number): EnginePace[] {
    const paces: EnginePace[] = [];
    for (const [endpointId, streams] of this.#streams) {
      const [first] = streams;
      if (first === undefined) continue;
      const expectedMs = expectedGap(endpointId, first.service);
      const silence = this.#silenceMs(endpointId, undefined, now) / expectedMs;
      const gaps = silence > SLOW_RATIO ? { ratio: silence, at: now } : this.#ownGaps(endpointId, now);
      if (gaps === undefined) continue;
      const pauseMs = this.#ownPauseMs(endpointId);
      paces.push({ endpointId, ratio: gaps.ratio, ageMs: now - gaps.at, pauseMs });
    }
    return paces.sort((left, right) => Number(isSlow(right)) - Number(isSlow(left)) || left.pauseMs - right.pauseMs);
  }

  /** The median of the latest gaps of the own streams there: a single one may be late for reasons of its own. */
  #ownGaps(endpointId: string, now: number): Observation | undefined {
    const recent: Observation[] = [];
    for (const { latest } of this.#streams.get(endpointId) ?? [])
      if (latest !== undefined && now - latest.at <= GAP_WINDOW_MS) recent.push(latest);
    if (recent.length === 0) return undefined;
    const ratios = recent.map(({ ratio }) => ratio).sort((left, right) => left - right);
    const ratio = ratios[Math.floor((ratios.length - 1) / 2)] ?? 0;
    return { ratio, at: Math.max(...recent.map(({ at }) => at)) };
  }

  /** Time since any event from an engine on which own streams run, in milliseconds; 0 if none does. */
  #silenceMs(endpointId: string, peer: Observation | undefined, now: number): number {
    let heardAt: number | undefined;
    for (const { lastEventAt } of this.#streams.get(endpointId) ?? [])
      if (lastEventAt !== undefined) heardAt = Math.max(heardAt ?? 0, lastEventAt);
    if (heardAt === undefined) return 0;
    // A peer that has seen usual gaps since then has heard the engine.
    if (peer !== undefined && !isSlow(peer)) heardAt = Math.max(heardAt, peer.at);
    return now - heardAt;
  }

  #ownPauseMs(endpointId: string): number {
    let tightestMs = Number.POSITIVE_INFINITY;
    for (const { pauseMs } of this.#streams.get(endpointId) ?? []) tightestMs = Math.min(tightestMs, pauseMs);
    return tightestMs;
  }

  #peerPace(endpointId: string, now: number): PeerPace | undefined {
    const pace = this.#peers.get(endpointId);
    return pace !== undefined && now - pace.at < PACE_VALID_MS ? pace : undefined;
  }

  #ratiosOf(service: string): gapRatios.GapRatios {
    let ratios = this.#ratios.get(service);
    if (ratios === undefined) {
      ratios = new gapRatios.GapRatios();
      this.#ratios.set(service, ratios);
    }
    return ratios;
  }

  #removeLapsed(now: number): void {
    if (now - this.#removedAt < REMOVAL_INTERVAL_MS) return;
    this.#removedAt = now;
    for (const [endpointId, { at, pause }] of this.#peers)
      if (Math.max(at, pause.at) + PACE_VALID_MS <= now) this.#peers.delete(endpointId);
  }
}
