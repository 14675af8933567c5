import type * as serving from "@camphorcourse/serving";
import * as servingModule from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import type * as virtualTimes from "./virtualTime.js";

/** A prompt that an engine is to read. */
export interface ReadJob {
  readonly prompt: serving.Prompt;
  readonly urgency: number;
  /** Engine to copy from first what it keeps of the prompt. */
  readonly copySource: EmulatedEngine | undefined;
  /** Called when the prompt has been read. */
  readonly onRead: () => void;
}

/** A stream that an engine makes. */
export interface StreamJob {
  readonly events: number;
  /** @param pauseMs - pause before the event, 0 before the first */
  readonly onEvent: (pauseMs: number) => void;
  readonly onEnd: () => void;
}

const TOKENS_IN_UNIT = 1_000;

/** Work on an event below which it counts as done, in milliseconds. */
const LEAST_WORK_MS = 0.5;
const PAIRS_IN_UNIT = 1_000_000;

/**
 * An engine in virtual time: reads the most urgent prompt that waits, one after
 * the other, keeps their parts until its memory is full, and makes the events of
 * its streams, more slowly the more there are and while it reads.
 */
export class EmulatedEngine {
  readonly id: string;
  role: serving.EngineRole;
  /** Factor by which it is slower than its figures. */
  slowness = 1;
  /** Tokens read, and those of parts that some engine had read before. */
  readTokens = 0;
  readAgainTokens = 0;
  readonly #time: virtualTimes.VirtualTime;
  readonly #figures: descriptions.EngineFigures;
  readonly #everRead: Set<string>;
  readonly #waiting: ReadJob[] = [];
  #memory: servingModule.PromptCacheView;
  #reading = false;
  #readingSince = 0;
  #readBeforeMs = 0;
  #streams = 0;
  #away = false;

  /**
   * @param id - its name
   * @param role - its role at the start
   * @param time - the experiment's time
   * @param figures - what it can do
   * @param everRead - parts that any engine has read, shared by all of them
   */
  constructor(
    id: string,
    role: serving.EngineRole,
    time: virtualTimes.VirtualTime,
    figures: descriptions.EngineFigures,
    everRead: Set<string>,
  ) {
    this.id = id;
    this.role = role;
    this.#time = time;
    this.#figures = figures;
    this.#everRead = everRead;
    this.#memory = new servingModule.PromptCacheView(figures.memoryTokens);
  }

  /** @returns streams that it makes now */
  get streams(): number {
    return this.#streams;
  }

  /** @returns whether it takes nothing new */
  get away(): boolean {
    return this.#away;
  }

  /**
   * @param role - the role that it takes once it is back
   */
  change(role: serving.EngineRole): void {
    this.#away = true;
    this.#time.after(this.#figures.changeMs, () => {
      this.role = role;
      this.#away = false;
    });
  }

  /** @param job - a prompt to read */
  read(job: ReadJob): void {
    this.#waiting.push(job);
    if (!this.#reading) this.#readNext();
  }

  /**
   * @param job - a prompt that it has not begun to read
   * @returns whether it was still waiting, and is now forgotten
   */
  cancel(job: ReadJob): boolean {
    const index = this.#waiting.indexOf(job);
    if (index < 0) return false;
    this.#waiting.splice(index, 1);
    return true;
  }

  /**
   * Takes over a prompt that another engine has read.
   *
   * @param prompt - the prompt
   * @param onTaken - called when it can go on
   */
  takeOver(prompt: serving.Prompt, onTaken: () => void): void {
    this.#time.after(this.#copyMs(prompt.promptTokens), () => {
      this.#memory.addPrompt(prompt);
      onTaken();
    });
  }

  /** @param job - a stream of a prompt that it keeps */
  stream(job: StreamJob): void {
    this.#streams++;
    this.#makeEvent(job, 0, 0);
  }

  /**
   * @param prompt - a prompt
   * @returns tokens at its beginning that it keeps
   */
  keptTokens(prompt: serving.Prompt): number {
    return this.#memory.cachedTokens(prompt);
  }

  #makeEvent(job: StreamJob, made: number, pauseMs: number): void {
    job.onEvent(pauseMs);
    if (made + 1 >= job.events) {
      this.#streams--;
      job.onEnd();
      return;
    }
    const { pauseMs: baseMs, pausePerStreamMs } = this.#figures;
    const workMs = (baseMs + pausePerStreamMs * this.#streams) * this.slowness;
    const began = { at: this.#time.now, readMs: this.#readMs };
    this.#after(workMs, began, () => this.#makeEvent(job, made + 1, this.#time.now - began.at));
  }

  /** Time that it has read for, in milliseconds. */
  get #readMs(): number {
    return this.#readBeforeMs + (this.#reading ? this.#time.now - this.#readingSince : 0);
  }

  /** Calls once so much work on an event is done; pieces of the prompts that it reads lie between its tokens. */
  #after(workMs: number, began: { readonly at: number; readonly readMs: number }, done: () => void): void {
    const { decodeReadingMultiple, pauseReadingMultiple = decodeReadingMultiple } = this.#figures;
    const lostMs = (this.#readMs - began.readMs) * (1 - 1 / pauseReadingMultiple);
    const leftMs = workMs - (this.#time.now - began.at - lostMs);
    if (leftMs < LEAST_WORK_MS) done();
    else this.#time.after(leftMs, () => this.#after(workMs, began, done));
  }

  #readNext(): void {
    let first: ReadJob | undefined;
    for (const job of this.#waiting) if (first === undefined || job.urgency < first.urgency) first = job;
    this.#readBeforeMs = this.#readMs;
    this.#readingSince = this.#time.now;
    this.#reading = first !== undefined;
    if (first === undefined) return;
    const job = first;
    this.#waiting.splice(this.#waiting.indexOf(job), 1);
    const copyMs = this.#copy(job);
    const workMs = this.#workMs(job.prompt);
    this.#countRead(job.prompt);
    this.#memory.addPrompt(job.prompt);
    this.#time.after((copyMs + workMs) * this.slowness, () => {
      this.#time.after(this.#figures.fixedMs * this.slowness, job.onRead);
      this.#readNext();
    });
  }

  #copy({ prompt, copySource }: ReadJob): number {
    if (copySource === undefined) return 0;
    const copied = copySource.keptTokens(prompt) - this.keptTokens(prompt);
    if (copied <= 0) return 0;
    let begin = 0;
    for (const part of prompt.parts) {
      begin += part.tokens;
      if (begin <= copySource.keptTokens(prompt)) this.#memory.addPart(prompt.model, part);
    }
    return this.#copyMs(copied);
  }

  #workMs(prompt: serving.Prompt): number {
    const kept = this.keptTokens(prompt);
    const unread = Math.max(1, prompt.promptTokens - kept);
    const { tokensPerMs, pairsMsPerMillion, decodeReadingMultiple } = this.#figures;
    const pairs = (unread * (kept + unread / 2)) / PAIRS_IN_UNIT;
    const prefillMs = unread / tokensPerMs + pairs * pairsMsPerMillion;
    return this.role === servingModule.EngineRole.Prefill ? prefillMs : prefillMs * decodeReadingMultiple;
  }

  #countRead(prompt: serving.Prompt): void {
    let begin = 0;
    const kept = this.keptTokens(prompt);
    for (const part of prompt.parts) {
      begin += part.tokens;
      if (begin <= kept) continue;
      this.readTokens += part.tokens;
      if (this.#everRead.has(part.id)) this.readAgainTokens += part.tokens;
      this.#everRead.add(part.id);
    }
  }

  #copyMs(tokens: number): number {
    return (tokens / TOKENS_IN_UNIT) * this.#figures.copyMsPerThousand;
  }
}
