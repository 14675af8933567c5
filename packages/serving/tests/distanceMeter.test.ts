import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("distances measured by echoes");

const REGIONS = { a1: "a", a2: "a", b1: "b" };
const OWN = "vm-own";

interface Peer {
  readonly vm: string;
  readonly dataCentre: string;
  readonly oneWayMs: number;
}

/** Two daemons that exchange heartbeats every 350 ms; the event loop of the peer is late by up to some milliseconds. */
class Exchange {
  readonly model = new serving.DistanceModel({ dataCentre: "a1", dataCentres: REGIONS });
  readonly meter = new serving.DistanceMeter(OWN, this.model);
  readonly changes: serving.DistanceChange[] = [];
  now = 1_000;
  /** Unix time minus monotonic time of the own clock. */
  clockOffsetMs = 5_000_000;
  #round = 0;

  run(peer: Peer, durationMs: number, lateMs: (round: number) => number = () => 0): void {
    const until = this.now + durationMs;
    while (this.now < until) {
      const round = this.#round++;
      const sentUnixMs = Math.round(this.now + this.clockOffsetMs);
      this.meter.noteSent(sentUnixMs, this.now);
      this.changes.push(...this.meter.update(this.now));
      const receivedAt = this.now + peer.oneWayMs + lateMs(round);
      const heldUntil = receivedAt + 120;
      const arrivesAt = heldUntil + peer.oneWayMs;
      const echo = { vm: OWN, unixMs: sentUnixMs, heldMs: Math.floor(heldUntil - receivedAt) };
      this.meter.noteReceived(peer.dataCentre, peer.vm, 1 + round, arrivesAt);
      this.meter.noteEcho(peer.dataCentre, echo, arrivesAt);
      this.now += 350;
    }
    this.changes.push(...this.meter.update(this.now));
  }
}

const PEER: Peer = { vm: "vm-b", dataCentre: "b1", oneWayMs: 12 };

// The prior of 10 ms is off by half for regions further apart; queues and late event loops must not count as distance.
suite("the distance is half of the shortest round trip, however late most echoes are", () => {
  const exchange = new Exchange();
  assert.is(exchange.model.oneWayMs("b1"), 10);
  exchange.run(PEER, 8_000, (round) => (round % 5 === 0 ? 0 : 80));
  assert.ok(Math.abs(exchange.model.oneWayMs("b1") - 12) < 1.5, String(exchange.model.oneWayMs("b1")));
  assert.is(exchange.model.oneWayMs("a2"), 1);
});

suite("a distance that grows or shrinks is followed within some seconds, and reported when it changes by half", () => {
  const exchange = new Exchange();
  exchange.run(PEER, 5_000);
  assert.equal(exchange.changes, []);
  exchange.run({ ...PEER, oneWayMs: 40 }, 16_000);
  assert.ok(Math.abs(exchange.model.oneWayMs("b1") - 40) < 2, String(exchange.model.oneWayMs("b1")));
  assert.ok(exchange.changes.some(({ dataCentre, fromMs, toMs }) => dataCentre === "b1" && toMs >= 1.5 * fromMs));
  exchange.run({ ...PEER, oneWayMs: 5 }, 5_000);
  assert.ok(Math.abs(exchange.model.oneWayMs("b1") - 5) < 1, String(exchange.model.oneWayMs("b1")));
});

// The estimate approaches the measured distance in steps, each of which is less than half.
suite("a distance that changes by half in many small steps is reported", () => {
  const exchange = new Exchange();
  exchange.run({ ...PEER, oneWayMs: 7 }, 3_000);
  assert.equal(exchange.changes, []);
  exchange.run({ ...PEER, oneWayMs: 4 }, 3_000);
  assert.is(exchange.changes.length, 1);
  assert.is(exchange.changes[0]?.fromMs, 10);
});

// The wall clock of a VM may step by seconds. Used as a time it would give round trips of seconds, or negative ones.
suite("a step of the own wall clock changes no distance, as it only identifies the heartbeats", () => {
  const exchange = new Exchange();
  exchange.run(PEER, 3_000);
  for (const step of [7_000, -9_000, 350, -350]) {
    exchange.clockOffsetMs += step;
    exchange.run(PEER, 2_000);
    assert.ok(Math.abs(exchange.model.oneWayMs("b1") - 12) < 1, `${step}: ${exchange.model.oneWayMs("b1")}`);
  }
});

// After a step backwards, the same time may be in two heartbeats, and an echo of the second would be measured from the
// first.
suite("a heartbeat whose time has occurred twice is not used", () => {
  const sent = new serving.SentHeartbeats();
  sent.note(500, 1);
  assert.is(sent.sentAt(500), 1);
  sent.note(500, 90);
  assert.is(sent.sentAt(500), undefined);
  for (let unixMs = 1_000; unixMs < 1_064; unixMs++) sent.note(unixMs, unixMs);
  assert.is(sent.sentAt(1_000), 1_000);
  sent.note(2_000, 2_000);
  assert.is(sent.sentAt(1_000), undefined, "64 are kept at most");
});

// A region that is cut off sends no echoes, and its engines look idle. Callers must not be sent there for that.
// Guards against prompts that flood a region which was cut off before this daemon started: its engines look idle.
suite("a region that has never been heard counts as silent after the same time", () => {
  const exchange = new Exchange();
  exchange.meter.update(exchange.now);
  assert.not.ok(exchange.model.isSilent("b"));
  exchange.now += 2_500;
  exchange.meter.update(exchange.now);
  assert.not.ok(exchange.model.isSilent("b"), "heartbeats from there may take a second");
  exchange.now += 1;
  exchange.meter.update(exchange.now);
  assert.ok(exchange.model.isSilent("b"));
  assert.not.ok(exchange.model.isSilent("a"), "the own region");
  exchange.meter.noteReceived("b1", PEER.vm, 5, exchange.now);
  assert.not.ok(exchange.model.isSilent("b"));
});

suite("a region that goes silent gets its prior again, and counts as silent until a heartbeat arrives", () => {
  const exchange = new Exchange();
  exchange.run({ ...PEER, oneWayMs: 30 }, 5_000);
  assert.not.ok(exchange.model.isSilent("b"));
  exchange.now += 3_000;
  exchange.meter.update(exchange.now);
  assert.ok(exchange.model.isSilent("b"));
  assert.not.ok(exchange.model.isSilent("a"));
  exchange.now += 10_000;
  exchange.meter.update(exchange.now);
  assert.is(exchange.model.oneWayMs("b1"), 10);
  exchange.meter.noteReceived("b1", PEER.vm, 5, exchange.now);
  assert.not.ok(exchange.model.isSilent("b"));
});

suite("echoes that cannot be are found out, and those for others or of unknown heartbeats are passed over", () => {
  const { meter, model } = new Exchange();
  meter.noteSent(77, 1_000);
  const echo = { vm: OWN, unixMs: 77, heldMs: 5 };
  assert.is(meter.noteEcho("b1", { ...echo, vm: "vm-other" }, 1_030), serving.EchoVerdict.Ignored);
  assert.is(meter.noteEcho("b1", { ...echo, unixMs: 78 }, 1_030), serving.EchoVerdict.Ignored);
  assert.is(meter.noteEcho("a1", echo, 1_030), serving.EchoVerdict.Ignored);
  assert.is(meter.noteEcho("unknown", echo, 1_030), serving.EchoVerdict.Ignored);
  assert.is(meter.noteEcho("b1", { ...echo, heldMs: 50 }, 1_030), serving.EchoVerdict.Impossible);
  assert.is(meter.noteEcho("b1", { ...echo, heldMs: 4_000_000_000 }, 1_030), serving.EchoVerdict.Impossible);
  assert.is(meter.noteEcho("b1", echo, 9_000), serving.EchoVerdict.Impossible);
  assert.is(model.oneWayMs("b1"), 10);
  assert.is(meter.noteEcho("b1", echo, 1_030), serving.EchoVerdict.Measured);
});

suite("whatever echoes and heartbeats arrive, a distance is a finite number that is not negative", () => {
  const echoes = fastCheck.array(
    fastCheck.record({ unixMs: fastCheck.nat(40), heldMs: fastCheck.nat(4_294_967), gapMs: fastCheck.nat(3_000) }),
  );
  fastCheck.assert(
    fastCheck.property(echoes, (items) => {
      const { meter, model } = new Exchange();
      let now = 0;
      for (const { unixMs, heldMs, gapMs } of items) {
        meter.noteSent(unixMs, now);
        now += gapMs;
        meter.noteEcho("b1", { vm: OWN, unixMs, heldMs }, now);
        meter.update(now);
        const oneWayMs = model.oneWayMs("b1");
        assert.ok(Number.isFinite(oneWayMs) && oneWayMs >= 0, String(oneWayMs));
      }
    }),
  );
});

// With one echo a heartbeat for each daemon, heartbeats would grow with the fleet.
suite("one heartbeat of each other data centre is sent back at most, its daemons in turn, each heartbeat once", () => {
  const held = new serving.HeldHeartbeats();
  for (const vm of ["b-1", "b-2", "b-3"]) held.note("b1", vm, 5, 100);
  held.note("a2", "a-1", 6, 100);
  const first = held.take(() => true, 110.9);
  assert.equal(first, [
    { vm: "b-1", unixMs: 5, heldMs: 10 },
    { vm: "a-1", unixMs: 6, heldMs: 10 },
  ]);
  held.note("b1", "b-1", 7, 120);
  const next = [1, 2, 3, 4].map(() => held.take((dataCentre) => dataCentre === "b1", 130).map(({ vm }) => vm));
  assert.equal(next, [["b-2"], ["b-3"], ["b-1"], []]);
  held.note("b1", "b-1", 8, 200);
  assert.equal(
    held.take(() => true, 9_000),
    [],
    "old heartbeats are not sent back",
  );
});

suite.run();
