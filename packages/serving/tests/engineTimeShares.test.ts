import * as common from "@camphorcourse/common";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("shares of engine time");

/** Amounts in thousandths: the smallest numbers of floating point have no relative precision. */
const amountUpTo = (max: number): fastCheck.Arbitrary<number> =>
  fastCheck.integer({ min: 0, max: max * 1_000 }).map((thousandths) => thousandths / 1_000);
const amounts = fastCheck.array(amountUpTo(1_000), { minLength: 1, maxLength: 40 });

// Guards against engine time that nobody gets although somebody asks for it, and against more than there is.
suite("a max-min division gives out all that there is, as far as it is asked for", () => {
  fastCheck.assert(
    fastCheck.property(amounts, amountUpTo(20_000), (demands, capacity) => {
      const share = serving.maxMinShare(demands, capacity);
      const asked = demands.reduce((sum, demand) => sum + demand, 0);
      const given = demands.reduce((sum, demand) => sum + Math.min(demand, share), 0);
      assert.ok(Math.abs(given - Math.min(asked, capacity)) < 1e-6);
    }),
  );
});

// Guards against a division by which asking for more takes away from those that ask for little.
suite("whoever asks for no more than an equal part gets it, whatever the others ask for", () => {
  fastCheck.assert(
    fastCheck.property(amounts, amountUpTo(20_000), (demands, capacity) => {
      const share = serving.maxMinShare(demands, capacity);
      assert.ok(share >= (capacity / demands.length) * (1 - 1e-9));
    }),
  );
});

const decisions = fastCheck.array(
  fastCheck.record({
    daemon: fastCheck.nat({ max: 3 }),
    organisation: fastCheck.nat({ max: 30 }),
    engineMs: fastCheck.integer({ min: 1, max: 900 }),
    isAccepted: fastCheck.boolean(),
  }),
  { maxLength: 200 },
);

function exchange(daemons: readonly serving.EngineTimeShares[], now: number): void {
  const reports = daemons.map((daemon) => daemon.report(now));
  for (const [receiver, daemon] of daemons.entries())
    for (const [sender, report] of reports.entries())
      if (sender !== receiver) daemon.updatePeer(`daemon-${sender}`, report, now);
}

// Guards against counts that grow without end, which would keep an organisation above its share for ever.
suite("nothing is left of a burst once the window and the peers' reports are over", () => {
  fastCheck.assert(
    fastCheck.property(decisions, (made) => {
      const daemons = Array.from({ length: 4 }, () => new serving.EngineTimeShares());
      for (const { daemon, organisation, engineMs, isAccepted } of made) {
        const shares = daemons[daemon];
        if (isAccepted) shares?.noteAccepted(`o${organisation}`, engineMs, 0);
        else shares?.noteRejected(`o${organisation}`, engineMs, 0);
      }
      exchange(daemons, 0);
      for (const daemon of daemons) {
        for (let each = 0; each <= 30; each++)
          assert.equal(daemon.shareOf(`o${each}`, 6_000), { ofFairShare: 0, isShortage: false, isUneven: false });
        assert.is(daemon.ownOrganisations, 0);
        assert.is(daemon.overShare(6_000), 0);
      }
    }),
  );
});

/** Its name comes last, as equally large organisations are named in the order of their names. */
const LARGE = "organisation-z";

// Guards against a large organisation that goes unnoticed as each daemon serves a few of its requests.
for (const [daemonCount, organisations] of [
  [9, 83],
  [69, 83],
  [69, 1_900],
  [690, 1_900],
] as const) {
  suite(`${daemonCount} daemons see which of ${organisations} organisations takes ten times its share`, () => {
    const daemons = Array.from({ length: daemonCount }, () => new serving.EngineTimeShares());
    for (const daemon of daemons) daemon.setConfigured(organisations);
    const random = new common.SeededRandom(1);
    const next = (): serving.EngineTimeShares | undefined => daemons[random.integer(daemonCount)];
    const rounds = Math.ceil(10_000 / organisations);
    for (let round = 0; round < rounds; round++) {
      for (let each = 1; each < organisations; each++) {
        next()?.noteAccepted(`o${each}`, 10, 1_000);
        if ((each + round) % 2 === 0) next()?.noteRejected(`o${each}`, 10, 1_000);
      }
      for (let times = 0; times < 10; times++) {
        next()?.noteAccepted(LARGE, 10, 1_000);
        next()?.noteRejected(LARGE, 10, 1_000);
      }
    }
    // A daemon names an organisation that others have named, so that it takes some heartbeats.
    for (let heartbeat = 0; heartbeat < 3; heartbeat++) exchange(daemons, 1_000);
    for (const daemon of daemons.slice(0, 9)) {
      const { ofFairShare, isShortage } = daemon.shareOf(LARGE, 1_300);
      assert.is(isShortage, true);
      assert.ok(ofFairShare > 5 && ofFairShare < 20, `${ofFairShare}`);
      const small = daemon.shareOf("o7", 1_300).ofFairShare;
      assert.ok(small < 2, `${small}`);
      assert.ok(daemon.overShare(1_300) >= 1);
    }
  });
}

// Guards against a dead daemon whose last report stays in force.
suite("the counts of a daemon that dies expire 2.5 s after its last report", () => {
  const survivor = new serving.EngineTimeShares();
  const dead = new serving.EngineTimeShares();
  dead.noteAccepted("large", 4_000, 0);
  dead.noteRejected("large", 4_000, 0);
  for (let each = 0; each < 10; each++) {
    dead.noteAccepted(`o${each}`, 10, 0);
    dead.noteRejected(`o${each}`, 4_000, 0);
  }
  survivor.updatePeer("dead", dead.report(0), 0);
  assert.ok(survivor.shareOf("large", 2_400).ofFairShare > 2);
  assert.equal(survivor.shareOf("large", 2_900), { ofFairShare: 0, isShortage: false, isUneven: false });
});

// Guards against shares that count twice what a peer reports again.
suite("a report replaces the sender's last one", () => {
  const daemon = new serving.EngineTimeShares();
  const report = {
    largest: [
      { organisation: "a", usedMs: 100, rejectedMs: 50 },
      { organisation: "b", usedMs: 100, rejectedMs: 0 },
    ],
    othersMs: 0,
    organisations: 2,
  };
  for (let times = 0; times < 5; times++) daemon.updatePeer("peer", report, 0);
  assert.equal(daemon.shareOf("a", 300), { ofFairShare: 1, isShortage: true, isUneven: false });
});

// Guards against an organisation that is held back although the others don't ask for what it takes.
suite("what the others don't ask for is within the fair share of those that do", () => {
  const daemon = new serving.EngineTimeShares();
  daemon.noteAccepted("large", 1_000, 0);
  daemon.noteRejected("large", 1_000, 0);
  daemon.noteAccepted("small", 10, 0);
  assert.equal(daemon.shareOf("large", 300), { ofFairShare: 1, isShortage: true, isUneven: false });
});

// Guards against a shortage that is assumed without a rejection.
suite("while nothing is rejected there is no fair share to exceed", () => {
  const daemon = new serving.EngineTimeShares();
  daemon.noteAccepted("large", 1e6, 0);
  daemon.noteAccepted("small", 1, 0);
  assert.equal(daemon.shareOf("large", 300), { ofFairShare: 0, isShortage: false, isUneven: false });
});

// Guards against memory that grows with the names that peers send.
suite("counts of organisations and peers are bounded", () => {
  const daemon = new serving.EngineTimeShares();
  for (let each = 0; each < 10_000; each++) daemon.noteAccepted(`o${each}`, 1, 0);
  assert.ok(daemon.ownOrganisations <= 4_096);
  const { largest } = daemon.report(0);
  assert.is(largest.length, serving.MAX_NAMED_ORGANISATIONS);
});

suite.run();
