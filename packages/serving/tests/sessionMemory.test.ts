import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("memory of rejected sessions");

// Guards against a caller that loses its place by returning to another daemon.
suite("a session keeps its rejections and the place of its first attempt at any daemon", () => {
  const [first, second] = [new serving.SessionMemory(), new serving.SessionMemory()];
  first.noteRejected(7n, 1_000);
  for (const record of first.takeUnsent(1_100)) second.merge(record, 1_200);
  second.noteRejected(7n, 2_000);
  assert.equal(second.find(7n, 2_000), { session: 7n, rejections: 2, firstAt: 1_000 });
  for (const record of second.takeUnsent(2_100)) first.merge(record, 2_200);
  assert.equal(first.find(7n, 2_200), { session: 7n, rejections: 2, firstAt: 1_000 });
});

suite("a rejection is sent twice, as a heartbeat may be lost, and never by the daemon that heard of it", () => {
  const [sender, receiver] = [new serving.SessionMemory(), new serving.SessionMemory()];
  sender.noteRejected(7n, 0);
  const sent = [1, 2, 3].map((now) => sender.takeUnsent(now).length);
  assert.equal(sent, [1, 1, 0]);
  receiver.merge({ session: 7n, rejections: 1, firstAt: 0 }, 1);
  assert.equal(receiver.takeUnsent(2), []);
});

// Guards against a place that outlives its use, and a flood of rejections that fills the memory.
suite("sessions are forgotten when accepted, after 30 s, and beyond 2,000 the least recently used", () => {
  const memory = new serving.SessionMemory();
  memory.noteRejected(1n, 0);
  memory.noteRejected(2n, 0);
  memory.forget(2n);
  assert.is(memory.find(2n, 1), undefined);
  assert.is(memory.find(1n, 29_999)?.rejections, 1);
  assert.is(memory.find(1n, 30_000), undefined);
  for (let each = 0; each < 5_000; each++) memory.noteRejected(BigInt(each), 40_000);
  assert.is(memory.count, 2_000);
  assert.is(memory.find(2_999n, 40_000), undefined);
  assert.is(memory.find(3_000n, 40_000)?.rejections, 1);
});

suite("a heartbeat carries eight sessions at most, whatever is rejected", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(fastCheck.bigInt({ min: 0n, max: 200n }), { maxLength: 300 }), (rejected) => {
      const memory = new serving.SessionMemory();
      for (const session of rejected) memory.noteRejected(session, 0);
      let heartbeats = 0;
      for (let sent = memory.takeUnsent(1); sent.length > 0; sent = memory.takeUnsent(1)) {
        assert.ok(sent.length <= serving.MAX_SESSIONS_PER_HEARTBEAT);
        heartbeats++;
      }
      assert.ok(heartbeats <= 64);
    }),
  );
});

suite.run();
