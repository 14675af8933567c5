import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const { Wait, Break, ConfirmEnd, ResumeAtBackup } = serving.RunStep;

const SEED = 83;
const RUNS = 20_000;

/** Events of a whole stream. */
const EVENTS = 6;

/** Length of the orders that are all played. */
const EXHAUSTIVE_LENGTH = 5;

const suite = uvu.suite("a run with a copy at a second engine");

function lost(): serving.RunState {
  const state = new serving.RunState();
  assert.is(state.lost(), ConfirmEnd);
  return state;
}

suite("goes on with its copy only once its engine is confirmed to have ended", () => {
  assert.is(new serving.RunState().confirmed(true), Wait, "its stream is still open");
  assert.is(lost().confirmed(true), ResumeAtBackup);
  assert.is(lost().confirmed(false), Break, "the backup may not take it");
});

suite("breaks off without a confirmation in time, and a late one changes nothing", () => {
  const state = lost();
  assert.is(state.unconfirmed(), Break);
  assert.is(state.confirmed(true), Wait);
  assert.is(state.phase, serving.RunPhase.Ended);
});

suite("is sent to the second engine once, and breaks off if that has no copy", () => {
  const state = lost();
  assert.is(state.confirmed(true), ResumeAtBackup);
  assert.is(state.confirmed(true), Wait);
  assert.is(state.unconfirmed(), Wait);
  assert.is(state.lost(), Wait);
  assert.is(state.refused(), Break);
  assert.is(state.refused(), Wait);
});

suite("does nothing once its request is over", () => {
  const state = lost();
  assert.is(state.end(true), Wait);
  for (const step of [state.confirmed(true), state.unconfirmed(), state.lost(), state.refused()]) assert.is(step, Wait);
});

/** What happens next, to engines, network, caller and time. */
enum Incident {
  EngineWrites = "engine-writes",
  StreamArrives = "stream-arrives",
  ConnectionBreaks = "connection-breaks",
  FirstEnds = "first-ends",
  FirstComesBack = "first-comes-back",
  BackupEnds = "backup-ends",
  EngineIsProbed = "engine-is-probed",
  ConfirmationArrives = "confirmation-arrives",
  TimeIsUp = "time-is-up",
  ResumeRuns = "resume-runs",
  ResumeIsRefused = "resume-is-refused",
  CallerLeaves = "caller-leaves",
}

/**
 * One request, two engines, the connections between them and the daemon; `#apply` is what the daemon does. Whatever happens, the
 * run is active at one engine at most, and its caller gets each event once, in order.
 */
class World {
  readonly forwarded: number[] = [];
  /** Engines at which the run is active, with the next event of each. */
  readonly active = new Map<"first" | "backup", number>([["first", 1]]);
  sentToBackup = 0;
  isOver = false;
  readonly #state = new serving.RunState();
  /** What is under way to the daemon: events of the engine whose stream is open, and the break of its connection. */
  #stream: (number | "broken")[] = [];
  #isConnected = true;
  /** Whether the process that began the run has ended; another may be at its address. */
  #hasFirstEnded = false;
  #isAddressTaken = true;
  #isBackupUp = true;
  #copied = 0;
  #isConfirmationUnderWay = false;
  #isResumePending = false;

  play(incident: Incident): void {
    if (this.isOver) return;
    this.#incidents[incident]();
    assert.ok(this.active.size <= 1, "the run is active at two engines");
    assert.ok(this.sentToBackup <= 1, "the request is sent to the backup twice");
    assert.equal(
      this.forwarded,
      this.forwarded.map((_, index) => index + 1),
    );
  }

  readonly #incidents: Record<Incident, () => void> = {
    [Incident.EngineWrites]: () => this.#write(),
    [Incident.StreamArrives]: () => this.#receive(),
    [Incident.ConnectionBreaks]: () => this.#breakConnection(),
    [Incident.FirstEnds]: () => this.#endFirst(),
    [Incident.FirstComesBack]: () => {
      this.#isAddressTaken = true;
    },
    [Incident.BackupEnds]: () => this.#endBackup(),
    [Incident.EngineIsProbed]: () => {
      // Refused, or another incarnation: either shows that the process has ended, and the answer may come late.
      if (this.#hasFirstEnded) this.#isConfirmationUnderWay = true;
    },
    [Incident.ConfirmationArrives]: () => {
      if (this.#isConfirmationUnderWay) this.#apply(this.#state.confirmed(this.#isBackupUp));
    },
    [Incident.TimeIsUp]: () => this.#apply(this.#state.unconfirmed()),
    [Incident.ResumeRuns]: () => this.#runResumed(),
    [Incident.ResumeIsRefused]: () => {
      if (!this.#isResumePending) return;
      this.#isResumePending = false;
      this.#apply(this.#state.refused());
    },
    [Incident.CallerLeaves]: () => this.#end(),
  };

  #write(): void {
    for (const [engine, next] of this.active) {
      if (next > EVENTS) continue;
      this.active.set(engine, next + 1);
      if (engine === "first") this.#copied = next;
      if (this.#isConnected) this.#stream.push(next);
    }
  }

  #breakConnection(): void {
    if (!this.#isConnected) return;
    this.#isConnected = false;
    this.#stream.push("broken");
  }

  #endFirst(): void {
    this.#hasFirstEnded = true;
    this.#isAddressTaken = false;
    if (this.active.delete("first")) this.#breakConnection();
  }

  #endBackup(): void {
    this.#isBackupUp = false;
    if (this.active.delete("backup")) this.#breakConnection();
  }

  #receive(): void {
    const item = this.#stream.shift();
    if (item === undefined) return;
    if (item !== "broken") this.forwarded.push(item);
    else if (this.sentToBackup > 0) this.#end();
    else this.#apply(this.#state.lost());
  }

  #runResumed(): void {
    if (!this.#isResumePending || !this.#isBackupUp || this.#copied === 0) return;
    this.#isResumePending = false;
    this.#isConnected = true;
    this.active.set("backup", (this.forwarded.at(-1) ?? 0) + 1);
    this.#state.end(true);
  }

  #end(): void {
    this.isOver = true;
    this.#state.end(true);
    // What still runs at the first engine belongs to nobody; nothing new may be started.
    this.#isResumePending = false;
  }

  #apply(step: serving.RunStep): void {
    if (step === Break) this.#end();
    if (step !== ResumeAtBackup) return;
    assert.ok(this.#hasFirstEnded, "the request is sent though its engine may work on it");
    assert.not.ok(this.#isConnected, "the stream of the first engine is still read");
    this.#stream = [];
    this.sentToBackup++;
    this.#isResumePending = true;
  }
}

// Two engines that run one request would charge its caller twice, and bring events twice.
suite(
  "is active at one engine and brings each event once, in all orders of five incidents after the first events",
  () => {
    const all = Object.values(Incident);
    const prefix = [Incident.EngineWrites, Incident.StreamArrives, Incident.EngineWrites, Incident.FirstEnds];
    let resumed = 0;
    for (const start of [prefix, prefix.slice(0, 3)]) {
      for (let order = 0; order < all.length ** EXHAUSTIVE_LENGTH; order++) {
        const world = new World();
        for (const incident of start) world.play(incident);
        let rest = order;
        for (let index = 0; index < EXHAUSTIVE_LENGTH; index++) {
          world.play(all[rest % all.length] ?? Incident.TimeIsUp);
          rest = Math.floor(rest / all.length);
        }
        resumed += Number(world.sentToBackup > 0);
      }
    }
    assert.ok(resumed > 100, `${resumed} runs were sent to their backup`);
  },
);

// Random orders seldom reach the end of a stream: here the usual order is disturbed up to six times.
suite("is active at one engine and brings each event once, if the usual order is disturbed", () => {
  const { EngineWrites, StreamArrives, FirstEnds, EngineIsProbed, ConfirmationArrives, ResumeRuns } = Incident;
  const usual = [
    ...[EngineWrites, EngineWrites, StreamArrives, StreamArrives, EngineWrites, StreamArrives],
    ...[FirstEnds, StreamArrives, EngineIsProbed, ConfirmationArrives, ResumeRuns],
    ...new Array<Incident>(EVENTS).fill(EngineWrites),
    ...new Array<Incident>(EVENTS).fill(StreamArrives),
  ];
  const undisturbed = new World();
  for (const step of usual) undisturbed.play(step);
  assert.is(undisturbed.forwarded.length, EVENTS);
  const disturbance = fc.tuple(fc.nat(usual.length), fc.constantFrom(...Object.values(Incident)));
  let whole = 0;
  fc.assert(
    fc.property(fc.array(disturbance, { minLength: 1, maxLength: 6 }), (disturbances) => {
      const steps = [...usual];
      for (const [at, incident] of disturbances) steps.splice(at, 0, incident);
      const world = new World();
      for (const step of steps) world.play(step);
      whole += Number(world.sentToBackup > 0 && world.forwarded.length === EVENTS);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  assert.ok(whole > RUNS / 10, `${whole} runs went on to their last event`);
});

suite.run();
