/** Bytes of an answer that are no body, beyond those that its body explains: heads, interim answers, and what a socket buffers. */
const MAX_EXTRA_BYTES = 262_144;

/** Bytes of framing for each byte of a body: a chunk of one byte takes six, and a few more with an extension. */
const FRAMING_PER_BODY_BYTE = 16;

/**
 * Bounds what an answer brings beside its body. The HTTP client hands neither interim answers nor extensions of chunks on, and
 * reads them without end.
 */
export class AnswerFraming {
  #receivedBytes = 0;
  #bodyBytes = 0;

  /**
   * @param bytes - bytes that its connection has received since the request was sent
   * @returns whether the answer may go on
   */
  noteReceived(bytes: number): boolean {
    this.#receivedBytes = bytes;
    return this.#receivedBytes - this.#bodyBytes * (1 + FRAMING_PER_BODY_BYTE) <= MAX_EXTRA_BYTES;
  }

  /** @param bytes - bytes of its body that the HTTP client has handed on */
  noteBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }
}
