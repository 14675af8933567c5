import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as eventSplitters from "../src/eventSplitter.js";

const suite = uvu.suite("cutting a stream into events");

const event = fastCheck
  .record({
    id: fastCheck.integer({ min: 0, max: 9_999 }),
    data: fastCheck.stringMatching(/^[ -~]{0,20}$/),
    crlf: fastCheck.boolean(),
  })
  .map(({ id, data, crlf }) => {
    const end = crlf ? "\r\n" : "\n";
    return { id: String(id), text: `id: ${id}${end}data: ${data}${end}${end}` };
  });

// The network cuts the stream anywhere, also inside an id. A part of an event that went to the caller could not
// be taken back when the stream goes on at another engine.
suite("events come whole and once, however the bytes are cut", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(event, { maxLength: 8 }),
      fastCheck.array(fastCheck.integer({ min: 1, max: 7 }), { minLength: 1, maxLength: 30 }),
      (events, cuts) => {
        const bytes = Buffer.from(events.map((each) => each.text).join("") + "id: 7\nda");
        const splitter = new eventSplitters.EventSplitter();
        const seen: eventSplitters.StreamEvent[] = [];
        for (let at = 0, index = 0; at < bytes.length; index++) {
          const size = cuts[index % cuts.length] ?? 1;
          seen.push(...splitter.push(bytes.subarray(at, at + size)));
          at += size;
        }
        assert.equal(
          seen.map((each) => each.bytes.toString()),
          events.map((each) => each.text),
        );
        assert.equal(
          seen.map((each) => each.id),
          events.map((each) => each.id),
        );
        assert.is(splitter.unfinishedBytes, 8);
      },
    ),
    { seed: 6 },
  );
});

suite.run();
