import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as eventSplitters from "../src/eventSplitter.js";

const suite = uvu.suite("splitting a stream into events");

const event = fastCheck
  .record({
    id: fastCheck.integer({ min: 0, max: 9_999 }),
    data: fastCheck.stringMatching(/^[ -~]{0,20}$/),
    crlf: fastCheck.boolean(),
  })
  .map(({ id, data, crlf }) => {
    const lineEnd = crlf ? "\r\n" : "\n";
    return { id: String(id), text: `id: ${id}${lineEnd}data: ${data}${lineEnd}${lineEnd}` };
  });

// Guards against forwarding a part of an event: the network splits the stream anywhere, also inside an id, and a part
// that was forwarded could not be taken back when the stream is resumed on another engine.
suite("each event is returned complete and once, however the bytes are split", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(event, { maxLength: 8 }),
      fastCheck.array(fastCheck.integer({ min: 1, max: 7 }), { minLength: 1, maxLength: 30 }),
      (events, sizes) => {
        const bytes = Buffer.from(events.map((each) => each.text).join("") + "id: 7\nda");
        const splitter = new eventSplitters.EventSplitter();
        const received: eventSplitters.StreamEvent[] = [];
        for (let at = 0, index = 0; at < bytes.length; index++) {
          const size = sizes[index % sizes.length] ?? 1;
          received.push(...splitter.push(bytes.subarray(at, at + size)));
          at += size;
        }
        assert.equal(
          received.map((each) => each.bytes.toString()),
          events.map((each) => each.text),
        );
        assert.equal(
          received.map((each) => each.id),
          events.map((each) => each.id),
        );
        assert.is(splitter.unfinishedBytes, 8);
      },
    ),
    { seed: 6 },
  );
});

// Guards against work that grows with the square of an event's bytes: each piece was joined with all before it.
suite("an event in many small pieces is copied a few times at most", () => {
  const copy = Buffer.prototype.copy;
  let copied = 0;
  Buffer.prototype.copy = function (this: Buffer, ...parameters: Parameters<Buffer["copy"]>): number {
    const count = copy.apply(this, parameters);
    copied += count;
    return count;
  };
  const splitter = new eventSplitters.EventSplitter();
  const piece = Buffer.alloc(100, "a");
  const pieces = 10_000;
  try {
    for (let index = 0; index < pieces; index++) splitter.push(piece);
  } finally {
    Buffer.prototype.copy = copy;
  }
  const [event] = splitter.push(Buffer.from("\n\nid: 1\n"));
  assert.is(event?.bytes.length, pieces * piece.length + 2);
  assert.is(splitter.unfinishedBytes, 6);
  assert.ok(copied <= 4 * pieces * piece.length, `${copied} bytes`);
});

suite.run();
