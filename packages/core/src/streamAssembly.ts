/** What to do after a piece of a stream has come, or failed to come. */
export enum StreamStep {
  /** Pass the piece on. */
  Forward = "forward",
  /** Drop it: the caller has it already. */
  Skip = "skip",
  /** The answer is whole. */
  Complete = "complete",
  /** Open a new connection and go on from `nextIndex`. */
  Resume = "resume",
  /** This attempt can't give the whole answer. */
  Fail = "fail",
}

const MAXIMUM_RESUMES = 3;

/**
 * Judges the pieces of one attempt's stream. An answer counts as whole only
 * with its end marker and consecutive indices from the first on: a connection
 * that is closed early looks just like a short answer otherwise.
 *
 * If an attempt follows one that had already sent something to the caller, its
 * beginning must repeat what was sent; a caller must never get the first half
 * of one answer and the second half of another.
 */
export class StreamAssembly {
  readonly #alreadySent: readonly string[];
  #nextIndex = 0;
  #resumes = 0;

  /** @param alreadySent - the pieces that the caller has from an earlier attempt */
  constructor(alreadySent: readonly string[] = []) {
    this.#alreadySent = alreadySent;
  }

  /** @returns the index that must come next */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /**
   * @param index - the piece's index
   * @param content - its content
   * @returns what to do
   */
  onPiece(index: number, content: string): StreamStep {
    if (index < this.#nextIndex) return StreamStep.Skip;
    if (index > this.#nextIndex) return this.#resumeOrFail();
    const sent = this.#alreadySent[index];
    if (sent !== undefined && sent !== content) return StreamStep.Fail;
    this.#nextIndex++;
    return sent === undefined ? StreamStep.Forward : StreamStep.Skip;
  }

  /** @returns what to do on the end marker */
  onEnd(): StreamStep {
    return this.#nextIndex >= this.#alreadySent.length ? StreamStep.Complete : StreamStep.Fail;
  }

  /** @returns what to do when the connection was closed or fell silent before the end marker */
  onBroken(): StreamStep {
    return this.#resumeOrFail();
  }

  #resumeOrFail(): StreamStep {
    if (this.#resumes >= MAXIMUM_RESUMES) return StreamStep.Fail;
    this.#resumes++;
    return StreamStep.Resume;
  }
}
