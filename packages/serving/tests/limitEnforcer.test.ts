import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("a daemon's part of the limits that endpoints state");
const ENGINE: serving.Endpoint = {
  id: "e1",
  service: "assistant",
  address: "127.0.0.1:1",
  dataCentre: "a",
  slots: 8,
  role: serving.EngineRole.Decode,
  leaving: false,
  bornAt: 1,
};

/** A division that is set by the test. */
class FixedRate implements serving.LimitDivision {
  rate = 1;

  ownRate(): number {
    return this.rate;
  }
}

interface Fixture {
  readonly table: serving.LimitTable;
  readonly division: FixedRate;
  readonly enforcer: serving.LimitEnforcer;
  senders: readonly string[];
}

function create(): Fixture {
  const table = new serving.LimitTable();
  const division = new FixedRate();
  const fixture: Fixture = { table, division, senders: ["vm-1"], enforcer: undefined as never };
  const parts = { table, division, own: "vm-1", senders: () => fixture.senders, unixMs: () => 0 };
  return Object.assign(fixture, { enforcer: new serving.LimitEnforcer(parts) });
}

function state(table: serving.LimitTable, requestsPerSecond: number, at: number): void {
  const stated = { statement: serving.LimitStatement.Stated as const, requestsPerSecond };
  const answer = { call: serving.AnsweredCall.Run, stated, isSuccess: true, versionAtSend: 0 };
  table.noteAnswer(ENGINE, answer, at, at);
}

/** Sends whenever that is allowed; returns the instants. */
function sendAll({ enforcer }: Fixture, from: number, until: number): number[] {
  const sentAt: number[] = [];
  for (let now = from; now < until; now += 10) {
    if (enforcer.waitMs(ENGINE, now) > 0) continue;
    enforcer.noteSent(ENGINE, now);
    sentAt.push(now);
  }
  return sentAt;
}

suite("without a limit nothing waits", () => {
  const { enforcer } = create();
  assert.is(enforcer.waitMs(ENGINE, 0), 0);
  assert.is(enforcer.ownRate(ENGINE, 0), Infinity);
});

suite("requests are spaced by the rate", () => {
  const fixture = create();
  state(fixture.table, 3, 0);
  const sentAt = sendAll(fixture, 0, 10_000);
  assert.ok(sentAt.length >= 8 && sentAt.length <= 9, String(sentAt));
});

// The daemon that had the part before may not know yet that it has lost it.
suite("a part that begins is used only once the others know of it", () => {
  const fixture = create();
  fixture.division.rate = 100;
  state(fixture.table, 1_000, 0);
  assert.ok((sendAll(fixture, 0, 5_000)[0] ?? 0) >= 1_500);
});

// A prefill that goes on at a second engine, a call of the gateway itself: whatever arrives counts.
suite("what is sent beyond the allowance delays the next requests", () => {
  const fixture = create();
  state(fixture.table, 3, 0);
  sendAll(fixture, 0, 3_000);
  for (let extra = 0; extra < 4; extra++) fixture.enforcer.noteSent(ENGINE, 3_000);
  assert.ok(fixture.enforcer.waitMs(ENGINE, 3_000) >= 4_000);
});

suite("a changed rate keeps what is owed", () => {
  const fixture = create();
  state(fixture.table, 3, 0);
  sendAll(fixture, 0, 3_000);
  for (let extra = 0; extra < 4; extra++) fixture.enforcer.noteSent(ENGINE, 3_000);
  fixture.division.rate = 2;
  state(fixture.table, 4, 3_000);
  fixture.enforcer.refresh(3_100);
  const waitMs = fixture.enforcer.waitMs(ENGINE, 3_100);
  assert.ok(waitMs > 1_800 && waitMs <= 2_500, String(waitMs));
});

suite("a daemon that loses its part stops at once", () => {
  const fixture = create();
  state(fixture.table, 3, 0);
  sendAll(fixture, 0, 3_000);
  fixture.division.rate = 0;
  fixture.senders = ["vm-1", "vm-2"];
  fixture.enforcer.refresh(3_100);
  assert.is(fixture.enforcer.waitMs(ENGINE, 3_100), Infinity);
});

suite("few senders: all daemons choose the same ones, each with at most its part", () => {
  const division = new serving.FewSenders();
  for (const count of [1, 2, 9, 69, 690]) {
    const senders = Array.from({ length: count }, (_, index) => `vm-${index}`);
    for (const requestsPerSecond of [0.5, 2.7, 40, 900]) {
      const inputs = { endpointKey: "e1/1", requestsPerSecond, senders, period: 0 };
      const rates = senders.map((own) => division.ownRate({ ...inputs, own }));
      const sum = rates.reduce((total, rate) => total + rate, 0);
      assert.ok(Math.abs(sum - requestsPerSecond) < 1e-6, `${count} daemons, ${requestsPerSecond}: ${sum}`);
      assert.ok(rates.filter((rate) => rate > 0).length <= requestsPerSecond + 2);
    }
  }
});

// The chosen daemons may have no requests for the endpoint, and nobody would learn that its limit is over.
suite("few senders: others are chosen while no answer confirms the limit", () => {
  const division = new serving.FewSenders();
  const senders = Array.from({ length: 9 }, (_, index) => `vm-${index}`);
  const isChosen = (own: string, period: number): boolean =>
    division.ownRate({ endpointKey: "e1/1", requestsPerSecond: 0.5, own, senders, period }) > 0;
  const periods = Array.from({ length: 30 }, (_, period) => period);
  assert.ok(senders.every((own) => periods.some((period) => isChosen(own, period))));
});

suite.run();
