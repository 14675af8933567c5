/** A model of an engine that batches continuously, for virtual or real time. */

/** What an engine is set up to do. */
export enum EngineRole {
  Prefill = "prefill",
  Decode = "decode",
  Mixed = "mixed",
}

/** Which part of a request an engine is asked for. */
export enum JobPart {
  Whole = "whole",
  Prefill = "prefill",
  Decode = "decode",
}

/** Costs of one role. Times in milliseconds. */
export interface RoleCosts {
  /** Prompt tokens that one step takes in at most. */
  readonly chunkTokens: number;
  /** Sequences that decode side by side at most. */
  readonly slots: number;
}

/** Costs of an engine. Times in milliseconds. */
export interface EngineCosts {
  readonly stepBaseMs: number;
  readonly prefillTokenMs: number;
  readonly decodeStreamMs: number;
  readonly importTokenMs: number;
  readonly roleChangeMs: number;
  /** Prompt tokens whose KV cache fits the prefix cache. */
  readonly prefixCacheTokens: number;
  readonly roles: Readonly<Record<EngineRole, RoleCosts>>;
}

/** Costs of the order of a mid-sized model on one accelerator. Assumed, not measured. */
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

/** One request, or a part of one, at an engine. */
export interface EngineJob {
  readonly id: string;
  readonly part: JobPart;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  /** Names the shared beginning of the prompt. */
  readonly prefix?: string;
  readonly prefixTokens?: number;
}

/** How far a job came in a step. */
export interface JobProgress {
  readonly id: string;
  readonly emitted: number;
  readonly prefillDone: boolean;
  readonly finished: boolean;
}

interface ActiveJob {
  readonly job: EngineJob;
  prefillLeft: number;
  emitted: number;
}

/** Continuous batching by a simple prefill and decode cost model. */
export class EngineModel {
  readonly #costs: EngineCosts;
  readonly #prefixes = new Map<string, number>();
  #waiting: ActiveJob[] = [];
  #decoding: ActiveJob[] = [];
  #step: { endsAt: number; chunks: Map<ActiveJob, number> } | undefined;
  #role: EngineRole;
  #awayUntil = 0;
  prefixHits = 0;

  /**
   * @param role - the role at start
   * @param costs - the cost model
   */
  constructor(role: EngineRole, costs: EngineCosts = DEFAULT_COSTS) {
    this.#role = role;
    this.#costs = costs;
  }

  /** @returns the present role */
  get role(): EngineRole {
    return this.#role;
  }

  /** @returns jobs that wait for prefill or a slot */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** @returns jobs that decode */
  get running(): number {
    return this.#decoding.length;
  }

  /** @returns prompt tokens still to be taken in */
  get waitingTokens(): number {
    return this.#waiting.reduce((sum, active) => sum + active.prefillLeft, 0);
  }

  /** @returns when the step under way ends, if there is one */
  get stepEndsAt(): number | undefined {
    return this.#step?.endsAt;
  }

  /**
   * @param now - current time
   * @returns whether a role change keeps the engine away
   */
  isUnavailable(now: number): boolean {
    return now < this.#awayUntil;
  }

  /**
   * @param part - what is asked for
   * @returns whether the present role serves it
   */
  accepts(part: JobPart): boolean {
    if (this.#role === EngineRole.Mixed) return true;
    return part === (this.#role === EngineRole.Prefill ? JobPart.Prefill : JobPart.Decode);
  }

  /**
   * @param job - the job to take in
   * @param now - current time
   */
  submit(job: EngineJob, now: number): void {
    this.#waiting.push({ job, prefillLeft: this.#prefillWork(job), emitted: 0 });
    this.#waiting.sort((left, right) => right.job.priority - left.job.priority);
    this.#beginStep(now);
  }

  /** @param id - the job to drop */
  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((active) => active.job.id !== id);
    this.#decoding = this.#decoding.filter((active) => active.job.id !== id);
  }

  /**
   * Ends the step under way and begins the next.
   *
   * @param now - the time at which the step ended
   * @returns what each job gained
   */
  finishStep(now: number): JobProgress[] {
    const step = this.#step;
    if (!step) return [];
    this.#step = undefined;
    const progress: JobProgress[] = [];
    for (const active of this.#decoding) {
      active.emitted++;
      progress.push(this.#progressOf(active, false));
    }
    this.#decoding = this.#decoding.filter((active) => active.emitted < active.job.outputTokens);
    for (const [active, tokens] of step.chunks) this.#finishChunk(active, tokens, progress);
    this.#beginStep(now);
    return progress;
  }

  /**
   * Changes the role. What runs is cut: callers must drain first.
   *
   * @param role - the new role
   * @param now - current time
   * @returns the ids of the jobs that were cut
   */
  changeRole(role: EngineRole, now: number): string[] {
    const cut = [...this.#waiting, ...this.#decoding].map((active) => active.job.id);
    this.#waiting = [];
    this.#decoding = [];
    this.#step = undefined;
    this.#prefixes.clear();
    this.#role = role;
    this.#awayUntil = now + this.#costs.roleChangeMs;
    return cut;
  }

  #prefillWork(job: EngineJob): number {
    if (job.part === JobPart.Decode) return job.promptTokens * (this.#costs.importTokenMs / this.#costs.prefillTokenMs);
    if (job.prefix === undefined) return job.promptTokens;
    const cached = this.#prefixes.get(job.prefix) ?? 0;
    if (cached > 0) this.prefixHits++;
    this.#rememberPrefix(job.prefix, job.prefixTokens ?? 0);
    return Math.max(1, job.promptTokens - cached);
  }

  #rememberPrefix(prefix: string, tokens: number): void {
    this.#prefixes.delete(prefix);
    this.#prefixes.set(prefix, tokens);
    let total = [...this.#prefixes.values()].reduce((sum, size) => sum + size, 0);
    for (const [oldest, size] of this.#prefixes) {
      if (total <= this.#costs.prefixCacheTokens) return;
      this.#prefixes.delete(oldest);
      total -= size;
    }
  }

  #beginStep(now: number): void {
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
      const tokens = Math.min(budget, active.prefillLeft);
      chunks.set(active, tokens);
      budget -= tokens;
    }
    if (chunks.size === 0 && this.#decoding.length === 0) return;
    const prefillTokens = [...chunks.values()].reduce((sum, tokens) => sum + tokens, 0);
    const duration =
      this.#costs.stepBaseMs +
      prefillTokens * this.#costs.prefillTokenMs +
      this.#decoding.length * this.#costs.decodeStreamMs;
    this.#step = { endsAt: Math.max(now, this.#awayUntil) + duration, chunks };
  }

  #finishChunk(active: ActiveJob, tokens: number, progress: JobProgress[]): void {
    if (!this.#waiting.includes(active)) return;
    active.prefillLeft -= tokens;
    if (active.prefillLeft > 0) return;
    this.#waiting = this.#waiting.filter((other) => other !== active);
    if (active.job.part === JobPart.Prefill) {
      progress.push({ id: active.job.id, emitted: 0, prefillDone: true, finished: true });
      return;
    }
    active.emitted = 1;
    progress.push(this.#progressOf(active, true));
    if (active.emitted < active.job.outputTokens) this.#decoding.push(active);
  }

  #progressOf(active: ActiveJob, prefillDone: boolean): JobProgress {
    const finished = active.emitted >= active.job.outputTokens;
    return { id: active.job.id, emitted: active.emitted, prefillDone, finished };
  }
}
