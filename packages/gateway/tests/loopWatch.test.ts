import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as loopWatches from "../src/loopWatch.js";

class FakeClocks implements loopWatches.Clocks {
  monotonicMs = 1_000;
  systemTimeMs = 50_000;

  monotonic(): number {
    return this.monotonicMs;
  }

  systemTime(): number {
    return this.systemTimeMs;
  }

  advance(ms: number): void {
    this.monotonicMs += ms;
    this.systemTimeMs += ms;
  }
}

const suite = uvu.suite("since when a signal may have been pending");

suite("a signal received while the event loop runs was sent now", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.advance(200);
  watch.recordHeartbeat();
  clocks.advance(150);
  assert.is(watch.earliestSignalAt(), 1_350);
});

// A daemon received its stop signal during a pause of 3.4 s. It counted its grace period from the moment at which it
// handled the signal, was killed 2.4 s before its own end, and cut a running request.
suite("a signal received after a pause of the process may have been sent at the start of the pause", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.advance(3_400);
  assert.is(watch.earliestSignalAt(), 1_000);
});

// The monotonic clock may not advance during a suspension; the system time does.
suite("a suspension that only the system time shows counts as a pause", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.systemTimeMs += 3_000;
  assert.is(watch.earliestSignalAt(), -2_000);
});

suite("a system time that is set back does not count as a pause", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.systemTimeMs -= 3_000;
  assert.is(watch.earliestSignalAt(), 1_000);
});

// Uses the system's clocks and a real signal: the process is busy for a second, the signal comes at the beginning, and
// the heartbeat timer is overdue when the event loop continues. A heartbeat recorded before the signal would hide the
// gap.
suite("a signal that was pending while the process was busy shows the gap", async () => {
  const watch = new loopWatches.LoopWatch();
  watch.start();
  await new Promise((resolve) => setTimeout(resolve, 300));
  const received = new Promise<number>((resolve) => {
    process.once("SIGUSR2", () => resolve(performance.now() - watch.earliestSignalAt()));
  });
  process.kill(process.pid, "SIGUSR2");
  const busyUntil = performance.now() + 1_000;
  while (performance.now() < busyUntil);
  const gapMs = await received;
  watch.stop();
  assert.ok(gapMs >= 1_000, `the gap was ${gapMs} ms`);
});

// From outside, a lagging event loop looks like a busy engine or a saturated link; only its own heartbeats show the
// delay.
suite("each heartbeat reports its delay", () => {
  const clocks = new FakeClocks();
  const delays: number[] = [];
  const watch = new loopWatches.LoopWatch(clocks, (lateMs) => delays.push(lateMs));
  clocks.advance(200);
  watch.recordHeartbeat();
  clocks.advance(1_700);
  watch.recordHeartbeat();
  clocks.advance(150);
  watch.recordHeartbeat();
  assert.equal(delays, [0, 1_500, 0]);
});

// Guards against a pause that is hidden by its second heartbeat: it begins between the timer of one heartbeat and its recording.
suite("a heartbeat that was overdue doesn't hide the pause", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.advance(1_700);
  watch.recordHeartbeat();
  clocks.advance(20);
  watch.recordHeartbeat();
  clocks.advance(30);
  assert.is(watch.lateMs, 1_500);
  clocks.advance(150);
  watch.recordHeartbeat();
  assert.is(watch.lateMs, 0);
});

// Guards against a signal that counts as sent after a pause, as it is read after the heartbeat that ended the pause.
suite("a signal received right after the heartbeat that ended a pause may have been sent during it", () => {
  const clocks = new FakeClocks();
  const watch = new loopWatches.LoopWatch(clocks);
  clocks.advance(3_400);
  watch.recordHeartbeat();
  clocks.advance(20);
  watch.recordHeartbeat();
  clocks.advance(10);
  assert.is(watch.earliestSignalAt(), 1_000);
  clocks.advance(180);
  assert.is(watch.earliestSignalAt(), 4_610);
});

suite.run();
