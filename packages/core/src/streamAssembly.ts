/** Next step after a chunk of a stream was received or its connection was lost. */
export enum StreamStep {
  /** Forward the chunk to the caller. */
  Forward = "forward",
  /** Drop the chunk: the caller already has it. */
  Skip = "skip",
  /** The answer is complete. */
  Complete = "complete",
  /** Open a new connection and resume at `nextIndex`. */
  Resume = "resume",
  /** This attempt can't produce the complete answer. */
  Fail = "fail",
}

const MAX_RESUMES = 3;

/**
 * Checks the chunks of one attempt's stream. An answer counts as complete only
 * with its end marker and consecutive indices from 0 on: otherwise a connection
 * that closes early would look like a short answer.
 *
 * If an earlier attempt already sent chunks to the caller, this attempt must
 * start with the same chunks; a caller must never get the first part of one
 * answer and the rest of another.
 */
export class StreamAssembly {
  readonly #alreadySent: readonly string[];
  #nextIndex = 0;
  #resumes = 0;

  /** @param alreadySent - chunks sent to the caller by an earlier attempt */
  constructor(alreadySent: readonly string[] = []) {
    this.#alreadySent = alreadySent;
  }

  /** @returns the expected index of the next chunk */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /**
   * @param index - the chunk's index
   * @param content - its content
   * @returns what to do
   */
  onChunk(index: number, content: string): StreamStep {
    if (index < this.#nextIndex) return StreamStep.Skip;
    if (index > this.#nextIndex) return this.#resumeOrFail();
    const sent = this.#alreadySent[index];
    if (sent !== undefined && sent !== content) return StreamStep.Fail;
    this.#nextIndex++;
    return sent === undefined ? StreamStep.Forward : StreamStep.Skip;
  }

  /** @returns what to do after the end marker */
  onEnd(): StreamStep {
    return this.#nextIndex >= this.#alreadySent.length ? StreamStep.Complete : StreamStep.Fail;
  }

  /** @returns what to do after the connection was closed or timed out before the end marker */
  onBroken(): StreamStep {
    return this.#resumeOrFail();
  }

  #resumeOrFail(): StreamStep {
    if (this.#resumes >= MAX_RESUMES) return StreamStep.Fail;
    this.#resumes++;
    return StreamStep.Resume;
  }
}
