/** Models an engine with continuous batching; the caller supplies virtual or real time. */

/** Which phases of a request an engine is configured to run. */
export enum EngineRole {
  Prefill = "prefill",
  Decode = "decode",
  Mixed = "mixed",
}

/** Which part of a request a job runs: prefill, decode or both. */
export enum JobPart {
  Whole = "whole",
  Prefill = "prefill",
  Decode = "decode",
}

/** Limits of one role. */
export interface RoleCosts {
  /** Maximum number of prompt tokens processed in one step; 0 means no limit. */
  readonly chunkTokens: number;
  /** Maximum number of sequences that decode concurrently. */
  readonly slots: number;
}

/** Costs of an engine. Times in milliseconds. */
export interface EngineCosts {
  /** Fixed part of the duration of a step. */
  readonly stepBaseMs: number;
  /** Added to a step for each prompt token that it prefills. */
  readonly prefillTokenMs: number;
  /** Added to a step for each sequence that decodes. */
  readonly decodeStreamMs: number;
  /** Time to import the KV cache of one prompt token that another engine has prefilled. */
  readonly importTokenMs: number;
  /** How long a role change makes the engine unavailable. */
  readonly roleChangeMs: number;
  /** Capacity of the prefix cache in prompt tokens. */
  readonly prefixCacheTokens: number;
  readonly roles: Readonly<Record<EngineRole, RoleCosts>>;
}

/** Assumed costs, of the magnitude of a mid-sized model on one accelerator. */
export const DEFAULT_COSTS: EngineCosts = {
  stepBaseMs: 6,
  prefillTokenMs: 0.05,
  decodeStreamMs: 0.45,
  importTokenMs: 0.002,
  roleChangeMs: 5000,
  prefixCacheTokens: 200_000,
  roles: {
    [EngineRole.Prefill]: { chunkTokens: 4096, slots: 0 },
    [EngineRole.Decode]: { chunkTokens: 0, slots: 64 },
    [EngineRole.Mixed]: { chunkTokens: 256, slots: 24 },
  },
};

/** A request, or one part of it, as submitted to an engine. */
export interface EngineJob {
  readonly id: string;
  readonly part: JobPart;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Jobs with a higher priority are scheduled first. */
  readonly priority: number;
  /** Identifies the prompt prefix that the job shares with others. */
  readonly prefix?: string;
  /** Length of the shared prefix. */
  readonly prefixTokens?: number;
}

/** State of a job after a step. */
export interface JobProgress {
  readonly id: string;
  /** Output tokens generated so far. */
  readonly emitted: number;
  /** Whether this step completed the job's prefill. */
  readonly prefillDone: boolean;
  readonly finished: boolean;
}

interface ActiveJob {
  readonly job: EngineJob;
  remainingPrefillTokens: number;
  emitted: number;
}

/** Simulates continuous batching with a linear cost model of prefill and decode. */
export class EngineModel {
  readonly #costs: EngineCosts;
  readonly #cachedPrefixes = new Map<string, number>();
  #waiting: ActiveJob[] = [];
  #decoding: ActiveJob[] = [];
  #step: { endsAt: number; chunks: Map<ActiveJob, number> } | undefined;
  #role: EngineRole;
  #unavailableUntil = 0;
  /** Number of jobs whose prefix was found in the prefix cache. */
  prefixHits = 0;

  /**
   * @param role - the initial role
   * @param costs - the cost model
   */
  constructor(role: EngineRole, costs: EngineCosts = DEFAULT_COSTS) {
    this.#role = role;
    this.#costs = costs;
  }

  /** @returns the current role */
  get role(): EngineRole {
    return this.#role;
  }

  /** @returns the number of jobs whose prefill has not finished */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** @returns the number of jobs that are decoding */
  get running(): number {
    return this.#decoding.length;
  }

  /** @returns the number of prompt tokens still to be processed; imported tokens are weighted by their cost */
  get waitingTokens(): number {
    return this.#waiting.reduce((sum, active) => sum + active.remainingPrefillTokens, 0);
  }

  /** @returns the time at which the current step ends, or undefined if none is running */
  get stepEndsAt(): number | undefined {
    return this.#step?.endsAt;
  }

  /**
   * @param now - current time
   * @returns whether a role change makes the engine unavailable
   */
  isUnavailable(now: number): boolean {
    return now < this.#unavailableUntil;
  }

  /**
   * @param part - the requested part of a request
   * @returns whether the current role can run it
   */
  accepts(part: JobPart): boolean {
    if (this.#role === EngineRole.Mixed) return true;
    return part === (this.#role === EngineRole.Prefill ? JobPart.Prefill : JobPart.Decode);
  }

  /**
   * Queues a job by priority and starts a step if none is running.
   *
   * @param job - the job to queue
   * @param now - current time
   */
  submit(job: EngineJob, now: number): void {
    this.#waiting.push({ job, remainingPrefillTokens: this.#prefillTokensNeeded(job), emitted: 0 });
    this.#waiting.sort((left, right) => right.job.priority - left.job.priority);
    this.#startStep(now);
  }

  /** @param id - the job to remove */
  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((active) => active.job.id !== id);
    this.#decoding = this.#decoding.filter((active) => active.job.id !== id);
  }

  /**
   * Ends the current step and starts the next one.
   *
   * @param now - the time at which the step ended
   * @returns the progress of each job that produced output or finished its prefill
   */
  finishStep(now: number): JobProgress[] {
    const step = this.#step;
    if (!step) return [];
    this.#step = undefined;
    const progress: JobProgress[] = [];
    for (const active of this.#decoding) {
      active.emitted++;
      progress.push(this.#jobProgress(active, false));
    }
    this.#decoding = this.#decoding.filter((active) => active.emitted < active.job.outputTokens);
    for (const [active, tokens] of step.chunks) this.#finishChunk(active, tokens, progress);
    this.#startStep(now);
    return progress;
  }

  /**
   * Changes the role. Aborts all jobs, so callers must drain the engine first.
   *
   * @param role - the new role
   * @param now - current time
   * @returns the ids of the aborted jobs
   */
  changeRole(role: EngineRole, now: number): string[] {
    const abortedIds = [...this.#waiting, ...this.#decoding].map((active) => active.job.id);
    this.#waiting = [];
    this.#decoding = [];
    this.#step = undefined;
    this.#cachedPrefixes.clear();
    this.#role = role;
    this.#unavailableUntil = now + this.#costs.roleChangeMs;
    return abortedIds;
  }

  #prefillTokensNeeded(job: EngineJob): number {
    if (job.part === JobPart.Decode) return job.promptTokens * (this.#costs.importTokenMs / this.#costs.prefillTokenMs);
    if (job.prefix === undefined) return job.promptTokens;
    const cached = this.#cachedPrefixes.get(job.prefix) ?? 0;
    if (cached > 0) this.prefixHits++;
    this.#cachePrefix(job.prefix, job.prefixTokens ?? 0);
    return Math.max(1, job.promptTokens - cached);
  }

  #cachePrefix(prefix: string, tokens: number): void {
    this.#cachedPrefixes.delete(prefix);
    this.#cachedPrefixes.set(prefix, tokens);
    let total = [...this.#cachedPrefixes.values()].reduce((sum, size) => sum + size, 0);
    for (const [oldest, size] of this.#cachedPrefixes) {
      if (total <= this.#costs.prefixCacheTokens) return;
      this.#cachedPrefixes.delete(oldest);
      total -= size;
    }
  }

  #startStep(now: number): void {
    if (this.#step) return;
    const limits = this.#costs.roles[this.#role];
    const chunks = new Map<ActiveJob, number>();
    let budget = limits.chunkTokens > 0 ? limits.chunkTokens : Number.POSITIVE_INFINITY;
    let slots = limits.slots - this.#decoding.length;
    for (const active of this.#waiting) {
      const needsSlot = active.job.part !== JobPart.Prefill;
      if (budget <= 0) break;
      if (needsSlot && slots <= 0) continue;
      if (needsSlot) slots--;
      const tokens = Math.min(budget, active.remainingPrefillTokens);
      chunks.set(active, tokens);
      budget -= tokens;
    }
    if (chunks.size === 0 && this.#decoding.length === 0) return;
    const prefillTokens = [...chunks.values()].reduce((sum, tokens) => sum + tokens, 0);
    const duration =
      this.#costs.stepBaseMs +
      prefillTokens * this.#costs.prefillTokenMs +
      this.#decoding.length * this.#costs.decodeStreamMs;
    this.#step = { endsAt: Math.max(now, this.#unavailableUntil) + duration, chunks };
  }

  #finishChunk(active: ActiveJob, tokens: number, progress: JobProgress[]): void {
    if (!this.#waiting.includes(active)) return;
    active.remainingPrefillTokens -= tokens;
    if (active.remainingPrefillTokens > 0) return;
    this.#waiting = this.#waiting.filter((other) => other !== active);
    if (active.job.part === JobPart.Prefill) {
      progress.push({ id: active.job.id, emitted: 0, prefillDone: true, finished: true });
      return;
    }
    active.emitted = 1;
    progress.push(this.#jobProgress(active, true));
    if (active.emitted < active.job.outputTokens) this.#decoding.push(active);
  }

  #jobProgress(active: ActiveJob, prefillDone: boolean): JobProgress {
    const finished = active.emitted >= active.job.outputTokens;
    return { id: active.job.id, emitted: active.emitted, prefillDone, finished };
  }
}
