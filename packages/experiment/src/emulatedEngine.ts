import type * as serving from "@camphorcourse/serving";
import * as servingModule from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import type * as virtualTimes from "./virtualTime.js";

/** A prompt that waits for its prefill. */
export interface PrefillJob {
  readonly prompt: serving.Prompt;
  readonly urgency: number;
  /** Engine from which the cached prefix of the prompt is copied before the prefill. */
  readonly copySource: EmulatedEngine | undefined;
  /** Called at the end of the prefill. */
  readonly onPrefilled: () => void;
}

/** A stream that an engine generates. */
export interface StreamJob {
  readonly events: number;
  /** @param pauseMs - pause before the event in milliseconds, 0 for the first event */
  readonly onEvent: (pauseMs: number) => void;
  readonly onEnd: () => void;
}

/** Unit of copied tokens. */
const TOKENS_PER_COPY_UNIT = 1_000;

/** Remaining work below which an event counts as complete, in milliseconds. */
const MIN_WORK_MS = 0.5;
/** Unit of the pairs of tokens that attention compares. */
const PAIRS_PER_UNIT = 1_000_000;

/**
 * An engine in virtual time. It prefills one prompt at a time, most urgent first,
 * caches the prompts' parts up to the size of its memory, and generates the events
 * of its streams. These slow down with the number of streams and during prefill.
 */
export class EmulatedEngine {
  readonly id: string;
  readonly dataCentre: string;
  role: serving.EngineRole;
  /** Factor by which it is slower than its parameters say. */
  slowness = 1;
  /** Tokens prefilled so far. */
  prefilledTokens = 0;
  /** Those of them in parts that some engine had prefilled before. */
  recomputedTokens = 0;
  readonly #time: virtualTimes.VirtualTime;
  readonly #parameters: descriptions.EngineParameters;
  readonly #prefilledParts: Set<string>;
  readonly #queue: PrefillJob[] = [];
  #cache: servingModule.PromptCacheView;
  #isPrefilling = false;
  #prefillingSince = 0;
  #finishedPrefillMs = 0;
  #streams = 0;
  #isChangingRole = false;

  /**
   * @param id - unique id of the engine
   * @param role - initial role
   * @param time - the virtual time of the experiment
   * @param parameters - performance of the engines
   * @param prefilledParts - ids of the parts that any engine has prefilled, shared by all engines
   * @param dataCentre - its data centre
   */
  constructor(
    id: string,
    role: serving.EngineRole,
    time: virtualTimes.VirtualTime,
    parameters: descriptions.EngineParameters,
    prefilledParts: Set<string>,
    dataCentre = "a",
  ) {
    this.dataCentre = dataCentre;
    this.id = id;
    this.role = role;
    this.#time = time;
    this.#parameters = parameters;
    this.#prefilledParts = prefilledParts;
    this.#cache = new servingModule.PromptCacheView(parameters.memoryTokens);
  }

  /** @returns the number of streams that it generates now */
  get streams(): number {
    return this.#streams;
  }

  /** @returns whether it is unavailable because its role is changing */
  get isChangingRole(): boolean {
    return this.#isChangingRole;
  }

  /**
   * Makes the engine unavailable for the time that a role change takes, then sets the role.
   *
   * @param role - the new role
   */
  changeRole(role: serving.EngineRole): void {
    this.#isChangingRole = true;
    this.#time.after(this.#parameters.changeMs, () => {
      this.role = role;
      this.#isChangingRole = false;
    });
  }

  /** @param job - a prompt to add to the prefill queue */
  prefill(job: PrefillJob): void {
    this.#queue.push(job);
    if (!this.#isPrefilling) this.#prefillNext();
  }

  /**
   * Removes a job from the prefill queue.
   *
   * @param job - the job
   * @returns whether the job was still queued; a prefill that has started is not cancelled
   */
  cancel(job: PrefillJob): boolean {
    const index = this.#queue.indexOf(job);
    if (index < 0) return false;
    this.#queue.splice(index, 1);
    return true;
  }

  /**
   * Receives a prompt that another engine has prefilled.
   *
   * @param prompt - the prompt
   * @param onReceived - called when the copy is complete and decoding can start
   * @param transferFactor - time of the copy, in multiples of the time of one within a data centre
   */
  receivePrompt(prompt: serving.Prompt, onReceived: () => void, transferFactor = 1): void {
    this.#time.after(this.#copyMs(prompt.promptTokens) * transferFactor, () => {
      this.#cache.addPrompt(prompt);
      onReceived();
    });
  }

  /** @param job - a stream to generate, of a prompt in its cache */
  stream(job: StreamJob): void {
    this.#streams++;
    this.#emitEvent(job, 0, 0);
  }

  /**
   * @param prompt - a prompt
   * @returns length of the prompt's cached prefix in tokens
   */
  cachedTokens(prompt: serving.Prompt): number {
    return this.#cache.cachedTokens(prompt);
  }

  #emitEvent(job: StreamJob, emitted: number, pauseMs: number): void {
    job.onEvent(pauseMs);
    if (emitted + 1 >= job.events) {
      this.#streams--;
      job.onEnd();
      return;
    }
    const { pauseMs: baseMs, pausePerStreamMs } = this.#parameters;
    const workMs = (baseMs + pausePerStreamMs * this.#streams) * this.slowness;
    const start = { at: this.#time.now, prefillMs: this.#totalPrefillMs };
    this.#afterWork(workMs, start, () => this.#emitEvent(job, emitted + 1, this.#time.now - start.at));
  }

  /** Total time spent in prefill, in milliseconds. */
  get #totalPrefillMs(): number {
    return this.#finishedPrefillMs + (this.#isPrefilling ? this.#time.now - this.#prefillingSince : 0);
  }

  /** Calls `done` once the work of an event is complete; prefill in chunks between its tokens slows it down. */
  #afterWork(workMs: number, start: { readonly at: number; readonly prefillMs: number }, done: () => void): void {
    const { decodeReadingMultiple, pauseReadingMultiple = decodeReadingMultiple } = this.#parameters;
    const lostMs = (this.#totalPrefillMs - start.prefillMs) * (1 - 1 / pauseReadingMultiple);
    const remainingMs = workMs - (this.#time.now - start.at - lostMs);
    if (remainingMs < MIN_WORK_MS) done();
    else this.#time.after(remainingMs, () => this.#afterWork(workMs, start, done));
  }

  #prefillNext(): void {
    let first: PrefillJob | undefined;
    for (const job of this.#queue) if (first === undefined || job.urgency < first.urgency) first = job;
    this.#finishedPrefillMs = this.#totalPrefillMs;
    this.#prefillingSince = this.#time.now;
    this.#isPrefilling = first !== undefined;
    if (first === undefined) return;
    const job = first;
    this.#queue.splice(this.#queue.indexOf(job), 1);
    const copyMs = this.#copyPrefix(job);
    const workMs = this.#prefillMs(job.prompt);
    this.#countPrefilled(job.prompt);
    this.#cache.addPrompt(job.prompt);
    this.#time.after((copyMs + workMs) * this.slowness, () => {
      this.#time.after(this.#parameters.fixedMs * this.slowness, job.onPrefilled);
      this.#prefillNext();
    });
  }

  #copyPrefix({ prompt, copySource }: PrefillJob): number {
    if (copySource === undefined) return 0;
    const copied = copySource.cachedTokens(prompt) - this.cachedTokens(prompt);
    if (copied <= 0) return 0;
    let prefixTokens = 0;
    for (const part of prompt.parts) {
      prefixTokens += part.tokens;
      if (prefixTokens <= copySource.cachedTokens(prompt)) this.#cache.addPart(prompt.model, part);
    }
    return this.#copyMs(copied);
  }

  #prefillMs(prompt: serving.Prompt): number {
    const cached = this.cachedTokens(prompt);
    const unread = Math.max(1, prompt.promptTokens - cached);
    const { tokensPerMs, pairsMsPerMillion, decodeReadingMultiple } = this.#parameters;
    const pairs = (unread * (cached + unread / 2)) / PAIRS_PER_UNIT;
    const prefillMs = unread / tokensPerMs + pairs * pairsMsPerMillion;
    return this.role === servingModule.EngineRole.Prefill ? prefillMs : prefillMs * decodeReadingMultiple;
  }

  #countPrefilled(prompt: serving.Prompt): void {
    let prefixTokens = 0;
    const cached = this.cachedTokens(prompt);
    for (const part of prompt.parts) {
      prefixTokens += part.tokens;
      if (prefixTokens <= cached) continue;
      this.prefilledTokens += part.tokens;
      if (this.#prefilledParts.has(part.id)) this.recomputedTokens += part.tokens;
      this.#prefilledParts.add(part.id);
    }
  }

  #copyMs(tokens: number): number {
    return (tokens / TOKENS_PER_COPY_UNIT) * this.#parameters.copyMsPerThousand;
  }
}
