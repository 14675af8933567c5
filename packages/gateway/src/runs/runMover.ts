import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import type * as servedRequests from "../servedRequest.js";
import * as runDestinations from "./destinations.js";
import type * as ownRuns from "./ownRuns.js";
import * as runCalls from "./runCalls.js";
import * as runMoves from "./runMove.js";

/** Interval at which runs of leaving engines are looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Pause before a run is moved again after a move that failed, in milliseconds, and how often it is tried. */
const RETRY_MS = 250;
const MAX_TRIES = 3;

/** Time for which a leaving engine goes on with its runs if the settings don't state it, in milliseconds. */
const DEFAULT_DRAIN_MS = 2_000;

/** Time before the end of an engine's drain time from which runs no longer go back to it, in milliseconds: that of the way. */
const RETURN_MARGIN_MS = 250;

/** Most engines that are known to be leaving; the oldest is dropped first. */
const MAX_LEAVING = 1_024;

/** An engine that leaves, as it is known, and since when. */
interface LeavingEngine {
  readonly endpoint: serving.Endpoint;
  readonly since: number;
}

/** A run at an engine whose service allows moves, and its last move. */
interface MovableRun {
  readonly run: ownRuns.OwnRun;
  move: runMoves.RunMove | undefined;
}

/** The moves of a run that were tried since it last got to another engine. */
interface Tries {
  readonly count: number;
  readonly nextAt: number;
}

const NO_TRIES: Tries = { count: 0, nextAt: 0 };

/** A run as the policy sees it. */
interface Candidate extends serving.LeavingRun {
  readonly movable: MovableRun;
}

/** What a move is for. */
type MovePlan = Pick<runMoves.RunMoveParts, "reason" | "returnBefore"> & { readonly source: serving.Endpoint };

/** Moves this daemon's runs on engines that leave to engines that stay, and off engines that stay slow. */
export class RunMover implements ownRuns.OwnRuns {
  readonly #context: () => contexts.ServingContext;
  readonly #leaving = new Map<string, LeavingEngine>();
  /** Runs by request; a request has one run at a time. */
  readonly #runs = new Map<servedRequests.ServedRequest, MovableRun>();
  /** Moves whose request has been sent with the handle and has brought no event yet, by request. */
  readonly #resuming = new Map<servedRequests.ServedRequest, runMoves.RunMove>();
  readonly #tries = new Map<servedRequests.ServedRequest, Tries>();
  readonly #slowEngines = new serving.SlowEngines();
  /** When the last move of a run off a slow engine began, in milliseconds. */
  readonly #movedOffSlowAt = new WeakMap<servedRequests.ServedRequest, number>();
  #calls: runCalls.RunCalls | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** @param context - what serving needs, which is created later */
  constructor(context: () => contexts.ServingContext) {
    this.#context = context;
  }

  /** {@inheritDoc ownRuns.OwnRuns.noteChange} */
  noteChange({ change, endpoint, id }: serving.EndpointUpdate): void {
    const known = this.#leaving.get(id);
    if (change !== serving.EndpointChange.Leaving || endpoint === undefined) {
      // An engine that has said that it leaves still does if its entry is changed, or expires and is written again.
      const { directory } = this.#context().view;
      if (known !== undefined && !directory.isStatedLeaving(known.endpoint)) this.#leaving.delete(id);
      return;
    }
    if (known !== undefined && known.endpoint.bornAt === endpoint.bornAt) return;
    const [oldest] = this.#leaving.keys();
    if (oldest !== undefined && this.#leaving.size >= MAX_LEAVING) this.#leaving.delete(oldest);
    this.#leaving.set(id, { endpoint, since: performance.now() });
    this.#check();
  }

  /** {@inheritDoc ownRuns.OwnRuns.noteRunning} */
  noteRunning(run: ownRuns.OwnRun): void {
    const { active, served } = run;
    const former = this.#runs.get(served)?.move;
    this.#runs.delete(served);
    const isMoved = active.resume !== undefined && active.resume.isBackup !== true;
    if (!isMoved) this.#resuming.get(served)?.noteLost();
    this.#resuming.delete(served);
    if (isMoved && former !== undefined) this.#resuming.set(served, former);
    if (!this.#mayMove(run)) return;
    this.#runs.set(served, { run, move: undefined });
    if (isPaced(run)) this.#schedule();
  }

  /** {@inheritDoc ownRuns.OwnRuns.onClosed} */
  onClosed(
    run: Pick<ownRuns.OwnRun, "active" | "served">,
    close: serving.StreamClose,
    followUp: ownRuns.CloseFollowUp,
  ): boolean {
    const known = this.#runs.get(run.served);
    return known?.run.active === run.active && known.move?.onClosed(close, followUp) === true;
  }

  /** {@inheritDoc ownRuns.OwnRuns.onRefused} */
  onRefused(served: servedRequests.ServedRequest, detail: string): boolean {
    const move = this.#resuming.get(served);
    if (move === undefined) return false;
    this.#resuming.delete(served);
    this.#runs.set(served, { run: move.run, move });
    if (move.onRefused(detail)) return true;
    this.#runs.delete(served);
    return false;
  }

  /** {@inheritDoc ownRuns.OwnRuns.noteResumed} */
  noteResumed({ active, served }: Pick<ownRuns.OwnRun, "active" | "served">): void {
    const isReturn = active.resume?.isReturn === true;
    this.#resuming.get(served)?.noteResumed(isReturn);
    this.#resuming.delete(served);
    if (!isReturn) this.#tries.delete(served);
  }

  /** {@inheritDoc ownRuns.OwnRuns.noteOver} */
  noteOver(served: servedRequests.ServedRequest): void {
    this.#runs.get(served)?.move?.noteOver();
    this.#resuming.get(served)?.noteOver();
    this.#runs.delete(served);
    this.#resuming.delete(served);
    this.#tries.delete(served);
  }

  /** {@inheritDoc ownRuns.OwnRuns.isBeingStopped} */
  isBeingStopped(served: servedRequests.ServedRequest): boolean {
    return this.#runs.get(served)?.move?.isBeingStopped === true;
  }

  /** {@inheritDoc ownRuns.OwnRuns.underWay} */
  get underWay(): number {
    return this.#movesUnderWay().length;
  }

  #mayMove({ served }: ownRuns.OwnRun): boolean {
    const { view } = this.#context();
    const isStream = served.route.requestClass === serving.RequestClass.Stream;
    return isStream && view.table?.service(served.service)?.engine?.moves === true;
  }

  #check(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    try {
      const isAnyLeaving = this.#moveLeaving();
      if (this.#moveOffSlow() || isAnyLeaving) this.#schedule();
    } catch (error) {
      // Uncaught in a timer, it would end the daemon.
      this.#context().log.warn("run-move-fault", { detail: String(error) });
    }
  }

  #schedule(): void {
    this.#timer ??= setTimeout(() => this.#check(), CHECK_INTERVAL_MS).unref();
  }

  /** Returns whether it has to be called again. */
  #moveLeaving(): boolean {
    const now = performance.now();
    let isWaiting = false;
    for (const [id, { endpoint, since }] of this.#leaving) {
      const leftMs = since + this.#drainMs - now;
      const runs = [...this.#runs.values()].filter(({ run }) => isAt(run, endpoint));
      if (leftMs <= 0) {
        this.#leaving.delete(id);
        continue;
      }
      isWaiting ||= this.#runs.size + this.#resuming.size > 0;
      this.#moveRuns(endpoint, runs, leftMs, now);
    }
    return isWaiting;
  }

  get #drainMs(): number {
    return this.#context().settings.engineDrainMs ?? DEFAULT_DRAIN_MS;
  }

  #moveRuns(source: serving.Endpoint, runs: readonly MovableRun[], leftMs: number, now: number): void {
    const candidates = runs.map((movable) => {
      const candidate = this.#candidate(movable);
      const { count, nextAt } = this.#tries.get(movable.run.served) ?? NO_TRIES;
      return { ...candidate, isExcluded: candidate.isExcluded || count >= MAX_TRIES || now < nextAt };
    });
    const returnBefore = now + leftMs - RETURN_MARGIN_MS;
    for (const candidate of serving.chooseRunsToMove(candidates, leftMs)) {
      const { served } = candidate.movable.run;
      const { count } = this.#tries.get(served) ?? NO_TRIES;
      const plan = { source, reason: serving.MoveReason.Leaving, returnBefore: () => returnBefore };
      const isBegun = this.#move(candidate, plan, this.#destinations(candidate, now));
      this.#tries.set(served, { count: isBegun ? count + 1 : count, nextAt: now + RETRY_MS });
    }
  }

  /** Returns whether it has to be called again. */
  #moveOffSlow(): boolean {
    const now = performance.now();
    const { pacing, view } = this.#context();
    const paced = [...this.#runs.values()].filter(({ run }) => isPaced(run));
    const sources = new Map(paced.map(({ run }) => [run.active.endpoint.id, run.active.endpoint]));
    this.#slowEngines.removeUnseen(now);
    for (const source of sources.values()) {
      this.#slowEngines.note(source.id, pacing.gapsOf(source, now)?.isSlow === true, now);
      // Runs of an engine that leaves are moved for that.
      if (view.directory.isAvailable(source.id) && this.#slowEngines.isLasting(source.id, now))
        this.#moveOneOff(source, now);
    }
    return paced.length > 0;
  }

  #moveOneOff(source: serving.Endpoint, now: number): void {
    const isResuming = [...this.#resuming.values()].some(({ run }) => isAt(run, source));
    if (isResuming) return;
    const candidates = [...this.#runs.values()]
      .filter(({ run }) => isAt(run, source))
      .map((movable) => ({
        ...this.#candidate(movable),
        pauseLimitMs: movable.run.served.route.pauseMs,
        movedAt: this.#movedOffSlowAt.get(movable.run.served),
      }));
    const candidate = serving.chooseRunOffSlow(candidates, now);
    if (candidate === undefined) return;
    const { pacing } = this.#context();
    const usable = this.#destinations(candidate, now).filter(
      ({ endpoint }) => pacing.gapsOf(endpoint, now)?.isSlow !== true,
    );
    const returnBefore = (): number => this.#slowReturnBefore(source);
    this.#movedOffSlowAt.set(candidate.movable.run.served, now);
    this.#move(candidate, { source, reason: serving.MoveReason.Slow, returnBefore }, usable);
  }

  /** A slow engine may take its run back at any time, unless it leaves meanwhile. */
  #slowReturnBefore({ id }: serving.Endpoint): number {
    if (this.#context().view.directory.isAvailable(id)) return Number.POSITIVE_INFINITY;
    const leaving = this.#leaving.get(id);
    return leaving === undefined ? 0 : leaving.since + this.#drainMs - RETURN_MARGIN_MS;
  }

  #candidate(movable: MovableRun): Candidate {
    const { demand, suspects } = this.#context();
    const { active, host, served } = movable.run;
    const { progress } = served;
    const { prompt } = served.caller.headers;
    const { move } = movable;
    return {
      movable,
      startedAt: active.sentAt,
      remainingMs: served.remainingMs,
      events: progress.events,
      expectedEvents: prompt === undefined ? undefined : demand.expectedEvents(prompt.outputTokens),
      pauseMs: progress.meanPauseMs,
      isResumable: progress.isLastEventNamed && served.origin !== undefined && active.hasEvents,
      tokens: (prompt?.promptTokens ?? 0) + (prompt?.outputTokens ?? 0),
      isMoving: move?.isUnderWay === true,
      // The send may be over; and a request under which engines crashed is kept from others.
      isExcluded: host.active !== active || move?.mayBeStopped === true || suspects.isSuspected(served),
    };
  }

  /** Returns whether a move has begun. */
  #move(candidate: Candidate, plan: MovePlan, destinations: readonly serving.Destination[]): boolean {
    const context = this.#context();
    const { movable } = candidate;
    const { run } = movable;
    const { source, reason, returnBefore } = plan;
    const destination = serving.chooseDestination(candidate, source, destinations);
    const handleMs = context.view.table?.service(run.served.service)?.engine?.handleMs;
    if (destination === undefined || handleMs === undefined) {
      context.log.info("run-move", { id: run.served.id, state: "stays", reason: "no-destination", source: source.id });
      return false;
    }
    this.#calls ??= new runCalls.RunCalls(context);
    const parts = { context, calls: this.#calls, run, destination, handleMs, reason, returnBefore };
    movable.move = new runMoves.RunMove(parts);
    movable.move.start();
    return true;
  }

  #destinations({ movable, tokens }: Candidate, now: number): serving.Destination[] {
    const moving = this.#movesUnderWay();
    const coming = (engineId: string): number => moving.filter(({ destination }) => destination.id === engineId).length;
    return runDestinations.destinationsOf(this.#context(), movable.run.served, tokens, coming, now);
  }

  #movesUnderWay(): runMoves.RunMove[] {
    return [...this.#runs.values()].flatMap(({ move }) => (move?.isUnderWay === true ? [move] : []));
  }
}

function isPaced({ served }: ownRuns.OwnRun): boolean {
  return serving.isPaced(served.route.pauseMs);
}

function isAt({ active }: ownRuns.OwnRun, { address, bornAt, id }: serving.Endpoint): boolean {
  const { endpoint } = active;
  return endpoint.id === id && endpoint.bornAt === bornAt && endpoint.address === address;
}
