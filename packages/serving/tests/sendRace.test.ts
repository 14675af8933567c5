import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("sends of one request while endpoints stand still and go on");

/** Events of a whole stream, and the time between two of them in milliseconds. */
const EVENTS = 40;
const EVENT_INTERVAL_MS = 50;

const SILENCE_LIMIT_MS = 1_100;

/** Sends of one request that a route allows. */
const ATTEMPTS = 3;

const DEADLINE_MS = 10_000;
const TICK_MS = 10;

/** When an endpoint stands still, and whether it takes what it gets. */
interface Endpoint {
  readonly stillFromMs: number;
  readonly stillUntilMs: number;
  readonly declines: boolean;
}

/** One send of the replayed request. */
interface ReplayedSend {
  readonly endpoint: Endpoint;
  /** Number of the last event that the endpoint wrote for it. */
  written: number;
  nextAt: number;
}

interface ReplayResult {
  /** Numbers of the events that the caller got, in order. */
  readonly events: readonly number[];
  /** Whether the daemon ended the answer before the deadline. */
  readonly isCut: boolean;
  /** Most sends that were in flight at the same time. */
  readonly mostAtOnce: number;
}

/**
 * Replays one stream.
 *
 * @param endpoints - where it is sent, in this order
 * @param givesUpFirst - whether a silent send is cancelled before a replacement has brought an event
 */
function replay(endpoints: readonly Endpoint[], givesUpFirst: boolean): ReplayResult {
  const race = new serving.SendRace<ReplayedSend>();
  const events: number[] = [];
  let sent = 0;
  let mostAtOnce = 0;
  let lastEventAt = 0;
  let attemptAt = Number.NEGATIVE_INFINITY;
  const begin = (now: number): void => {
    const endpoint = endpoints[sent++];
    if (endpoint === undefined || endpoint.declines) return;
    race.begin({ endpoint, written: events.length, nextAt: now + EVENT_INTERVAL_MS });
    mostAtOnce = Math.max(mostAtOnce, race.sends.length);
  };
  begin(0);
  for (let now = 0; now < DEADLINE_MS; now += TICK_MS) {
    for (const send of [...race.sends]) {
      const { stillFromMs, stillUntilMs } = send.endpoint;
      const isStill = now >= stillFromMs && now < stillUntilMs;
      if (isStill || now < send.nextAt || !race.sends.includes(send)) continue;
      send.written++;
      send.nextAt = now + EVENT_INTERVAL_MS;
      race.settle(send);
      events.push(send.written);
      lastEventAt = now;
      if (send.written === EVENTS) return { events, isCut: false, mostAtOnce };
    }
    const { latest } = race;
    if (latest === undefined) return { events, isCut: true, mostAtOnce };
    const isSilent = now - Math.max(lastEventAt, latest.nextAt - EVENT_INTERVAL_MS) > SILENCE_LIMIT_MS;
    const silent = { isRepeatable: true, isReplaced: false, isBeingStopped: false, sinceAttemptMs: now - attemptAt };
    if (!isSilent || sent >= Math.min(ATTEMPTS, endpoints.length) || !serving.shouldReplace(silent)) continue;
    attemptAt = now;
    if (givesUpFirst) race.end(latest);
    begin(now);
  }
  return { events, isCut: false, mostAtOnce };
}

function still(fromMs: number, forMs: number): Endpoint {
  return { stillFromMs: fromMs, stillUntilMs: fromMs + forMs, declines: false };
}

const DECLINING: Endpoint = { stillFromMs: 0, stillUntilMs: 0, declines: true };

// Guards against cutting a stream whose endpoint goes on after a silence that no other endpoint made up for.
suite("replay: a stream outlasts a silence while others decline, and was cut when its send was given up first", () => {
  const endpoints = [still(300, 1_700), DECLINING, DECLINING];
  assert.equal(replay(endpoints, true).isCut, true);
  assert.equal(replay(endpoints, false).events.length, EVENTS);
});

suite("replay: a VM that stands still as a whole for 1 to 3 s cuts nothing", () => {
  for (let forMs = 1_000; forMs <= 3_000; forMs += 100) {
    const endpoints = [still(300, forMs), still(0, 300 + forMs), still(0, 300 + forMs)];
    const { events, mostAtOnce } = replay(endpoints, false);
    assert.is(events.length, EVENTS, `silent for ${forMs} ms`);
    assert.ok(mostAtOnce <= ATTEMPTS);
  }
});

suite("replay: a stream on an endpoint that stays dark goes on elsewhere", () => {
  const { events } = replay([still(300, DEADLINE_MS), still(0, 0)], false);
  assert.is(events.length, EVENTS);
});

const ENDPOINT = fastCheck.record({
  stillFromMs: fastCheck.integer({ min: 0, max: 3_000 }),
  stillUntilMs: fastCheck.integer({ min: 0, max: 6_000 }),
  declines: fastCheck.boolean(),
});

suite("each event comes once and in order, whichever send brings it", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(ENDPOINT, { minLength: 1, maxLength: 4 }), (endpoints) => {
      const { events, mostAtOnce } = replay(endpoints, false);
      assert.equal(
        events,
        events.map((_, index) => index + 1),
      );
      assert.ok(mostAtOnce <= ATTEMPTS);
    }),
    { seed: 58, numRuns: 500 },
  );
});

suite("a send that has won or ended isn't settled again", () => {
  const race = new serving.SendRace<string>();
  race.begin("silent");
  race.begin("replacement");
  assert.equal(race.settle("replacement"), ["silent"]);
  assert.equal(race.settle("silent"), []);
  assert.is(race.end("silent"), false);
  assert.is(race.latest, "replacement");
  assert.equal(race.clear(), ["replacement"]);
  assert.is(race.latest, undefined);
});

suite("an endpoint is to blame for its silence only while others are heard", () => {
  assert.ok(serving.isEndpointToBlame(20));
  assert.not.ok(serving.isEndpointToBlame(1_100));
});

suite("a run that is being stopped, is replaced or may not run twice has no second send", () => {
  const silent = { isRepeatable: true, isReplaced: false, isBeingStopped: false, sinceAttemptMs: 250 };
  assert.ok(serving.shouldReplace(silent));
  for (const change of [
    { isRepeatable: false },
    { isReplaced: true },
    { isBeingStopped: true },
    { sinceAttemptMs: 100 },
  ])
    assert.not.ok(serving.shouldReplace({ ...silent, ...change }));
});

suite.run();
