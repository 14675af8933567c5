import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as loopWatches from "../src/loopWatch.js";

class FakeClocks implements loopWatches.Clocks {
  steadyMs = 1_000;
  timeOfDayMs = 50_000;

  steady(): number {
    return this.steadyMs;
  }

  timeOfDay(): number {
    return this.timeOfDayMs;
  }

  pass(ms: number): void {
    this.steadyMs += ms;
    this.timeOfDayMs += ms;
  }
}

const suite = uvu.suite("since when a signal may have waited");

suite("a signal that is heard while the loop turns came now", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.pass(200);
  watch.turn();
  clocks.pass(150);
  assert.is(watch.signalledFrom(), 1_350);
});

// A daemon stood still for 3.4 s, and was told to stop meanwhile. It counted its time from the moment at which it
// heard of it, and was ended by force 2.4 s before it would have ended by itself; a request that ran was cut.
suite("a signal that is heard after the process stood still may have come at the beginning", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.pass(3_400);
  assert.is(watch.signalledFrom(), 1_000);
});

// The steady clock may not count the time of a suspension; the time of day does.
suite("a suspension that only the time of day shows counts too", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.timeOfDayMs += 3_000;
  assert.is(watch.signalledFrom(), -2_000);
});

suite("a time of day that is set back does not", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.timeOfDayMs -= 3_000;
  assert.is(watch.signalledFrom(), 1_000);
});

// With the system's clocks and a real signal: the process is busy for a second, the signal comes at its beginning, and
// the watch's own timer is overdue when the loop turns again. Were the timer to leave its trace first, no gap would show.
suite("a signal that waited while the process was busy shows the gap", async () => {
  const watch = new loopWatches.LoopWatch();
  watch.start();
  await new Promise((resolve) => setTimeout(resolve, 300));
  const heard = new Promise<number>((resolve) => {
    process.once("SIGUSR2", () => resolve(performance.now() - watch.signalledFrom()));
  });
  process.kill(process.pid, "SIGUSR2");
  const busyUntil = performance.now() + 1_000;
  while (performance.now() < busyUntil);
  const gapMs = await heard;
  watch.stop();
  assert.ok(gapMs >= 1_000, `the gap was ${gapMs} ms`);
});

// A late loop looks like a busy engine or a full link to everybody outside: only its own traces tell.
suite("each trace tells how much later it came than it should have", () => {
  const clocks = new FakeClocks();
  const late: number[] = [];
  const watch = new loopWatches.LoopWatch(clocks, (lateMs) => late.push(lateMs));
  clocks.pass(200);
  watch.turn();
  clocks.pass(1_700);
  watch.turn();
  clocks.pass(150);
  watch.turn();
  assert.equal(late, [0, 1_500, 0]);
});

suite.run();
