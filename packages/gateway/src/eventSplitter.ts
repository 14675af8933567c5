/** One complete event of a server-sent event stream, as bytes, with its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*?)\r?$/m;

/**
 * Splits the bytes of a stream into complete events. An endpoint may break off inside an event; if a part of that event
 * had been forwarded, it could not be taken back when the stream is resumed on another endpoint.
 */
export class EventSplitter {
  #incomplete: Buffer = Buffer.alloc(0);

  /** @returns number of buffered bytes of an incomplete event */
  get unfinishedBytes(): number {
    return this.#incomplete.length;
  }

  /**
   * @param chunk - the next bytes
   * @returns the events that they complete
   */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: ID_FIELD.exec(event.toString("latin1"))?.[1] });
      start = end;
    }
    this.#incomplete = bytes.subarray(start);
    return events;
  }
}

/** @returns index after the blank line that ends the event, or -1 if the event is incomplete */
function endOfEvent(bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}
