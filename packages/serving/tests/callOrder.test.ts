import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("order of calls by rank and share");

const EVEN_SHARE = { ofFairShare: 1, isShortage: true, isUneven: false };

function orderOf(options: Partial<serving.CallStanding>): serving.CallOrder {
  return serving.callOrder({ rankShift: 0, balance: serving.RankBalance.Even, share: EVEN_SHARE, ...options });
}

// A deployment without organisations and ranks is served as before.
suite("without a standing, all calls are alike", () => {
  assert.equal(serving.callOrder(undefined), { level: 0, isSetBack: false });
});

suite("the lowest rank goes two levels back, an organisation above its share one", () => {
  assert.is(orderOf({}).level, 0);
  assert.is(orderOf({ rankShift: 2 }).level, 2);
  assert.is(orderOf({ share: { ...EVEN_SHARE, ofFairShare: 1.5 } }).level, 1);
  assert.is(orderOf({ rankShift: 2, share: { ...EVEN_SHARE, ofFairShare: 1.5 } }).level, 3);
});

// Without its floor, a rank that is always behind the others would get nothing for as long as the shortage lasts.
suite("a rank that is owed room goes first", () => {
  const owed = orderOf({ rankShift: 2, balance: serving.RankBalance.Behind });
  assert.equal(owed, { level: 0, isSetBack: false });
});

// Slots kept free without a shortage would only delay the calls of the lower ranks.
suite("nothing is kept free for others unless calls are rejected", () => {
  const share = { ofFairShare: 9, isShortage: false, isUneven: false };
  assert.equal(orderOf({ rankShift: 2, share }), { level: 2, isSetBack: false });
  assert.ok(orderOf({ rankShift: 2 }).isSetBack);
  assert.ok(orderOf({ share: { ...EVEN_SHARE, ofFairShare: 2.5 } }).isSetBack);
  assert.not(orderOf({ share: { ...EVEN_SHARE, ofFairShare: 1.5 } }).isSetBack);
});

const place = fastCheck.record({
  rankShift: fastCheck.integer({ min: 0, max: 2 }),
  ofFairShare: fastCheck.double({ min: 0, max: 4, noNaN: true }),
  deadlineAt: fastCheck.integer({ min: 0, max: 600 }),
});

// A flood of a low rank must neither go before a more urgent call nor take its place in a full queue.
suite("whatever waits, no call goes before one of a more urgent rank and a smaller share", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(place, { minLength: 1, maxLength: 100 }), (calls) => {
      const queue = new serving.CallQueue<(typeof calls)[number] & serving.CallPlace>();
      for (const call of calls) {
        const { level } = orderOf({
          rankShift: call.rankShift,
          share: { ...EVEN_SHARE, ofFairShare: call.ofFairShare },
        });
        const added = { ...call, level, inTimeUntil: call.deadlineAt };
        const displaced = queue.displacedBy(added, 0);
        if (displaced !== undefined) {
          assert.ok(queue.isFull && displaced.level > level);
          queue.remove(displaced);
        }
        const isRefused = displaced === undefined && queue.isFull;
        assert.is(queue.add(added, added), !isRefused);
        assert.ok(queue.size <= serving.MAX_WAITING_CALLS);
      }
      const order = queue.inOrder(0);
      for (const [index, later] of order.entries())
        for (const earlier of order.slice(0, index)) {
          const isMoreUrgent = later.rankShift < earlier.rankShift && later.ofFairShare <= earlier.ofFairShare;
          assert.not(isMoreUrgent, JSON.stringify({ earlier, later }));
        }
    }),
  );
});

suite.run();
