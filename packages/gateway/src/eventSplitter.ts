import * as byteBuffers from "./answers/byteBuffer.js";

/** One complete event of a server-sent event stream, as bytes, with its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*?)\r?$/m;

/** Bytes of a blank line and the line end before it that may be in earlier pieces. */
const MAX_END_BYTES = 2;

/**
 * Splits the bytes of a stream into complete events. An endpoint may break off inside an event; if a part of that event
 * had been forwarded, it could not be taken back when the stream is resumed on another endpoint.
 */
export class EventSplitter {
  readonly #incomplete = new byteBuffers.ByteBuffer();

  /** @returns number of buffered bytes of an incomplete event */
  get unfinishedBytes(): number {
    return this.#incomplete.length;
  }

  /** @returns memory that the incomplete event takes, in bytes */
  get heldBytes(): number {
    return this.#incomplete.capacity;
  }

  /**
   * @param chunk - the next bytes
   * @returns the events that they complete
   */
  push(chunk: Buffer): StreamEvent[] {
    // What was searched before is not searched again: an event in many pieces takes work that is linear in its bytes.
    const searched = Math.max(0, this.#incomplete.length - MAX_END_BYTES);
    let bytes = chunk;
    if (this.#incomplete.length > 0) {
      this.#incomplete.append(chunk);
      bytes = this.#incomplete.bytes;
    }
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, searched); end >= 0; end = endOfEvent(bytes, start)) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: ID_FIELD.exec(event.toString("latin1"))?.[1] });
      start = end;
    }
    if (events.length === 0 && this.#incomplete.length > 0) return events;
    this.#incomplete.clear();
    if (start < bytes.length) this.#incomplete.append(bytes.subarray(start));
    return events;
  }
}

/** @returns index after the blank line that ends the event, or -1 if the event is incomplete */
function endOfEvent(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}
