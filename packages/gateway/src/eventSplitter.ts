/** One whole event of a stream, as bytes, with its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*?)\r?$/m;

/**
 * Cuts a stream's bytes into whole events. An endpoint may break off in the
 * middle of one; a part of an event that was passed on could not be taken back
 * when the stream goes on at another endpoint.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** @returns bytes of an event that has begun and not ended */
  get unfinishedBytes(): number {
    return this.#rest.length;
  }

  /**
   * @param chunk - the next bytes
   * @returns the events that they complete
   */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: ID_FIELD.exec(event.toString("latin1"))?.[1] });
      start = end;
    }
    this.#rest = bytes.subarray(start);
    return events;
  }
}

/** @returns index behind the blank line that ends the event, or -1 */
function endOfEvent(bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}
