import type * as serving from "@camphorcourse/serving";
import * as fc from "fast-check";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import type * as dutyLeases from "../src/duties/dutyLease.js";
import * as usageCodecs from "../src/duties/usageCodec.js";
import * as usageReporters from "../src/duties/usageReporter.js";
import * as ports from "../src/ports.js";

const WINDOW_MS = 5_000;
const KEYS = { prefix: "usage/", report: "usage/report", recordPrefix: "usage/records/" };
const RUNS = 3_000;

/** What becomes of a call. */
enum Fate {
  Answered = "answered",
  /** Carried out, but the answer is lost. */
  AnswerLost = "answer-lost",
  /** Carried out after its caller has given up, and after newer calls. */
  Late = "late",
  NotDone = "not-done",
}

const log = new decisionLogs.DecisionLog("vm", "fatal", { writableLength: 0, write: () => true });
const suite = uvu.suite("usage reporter");

/** Key-value service and platform of two daemons that both believe to hold the duty lease at times. */
class World {
  readonly accepted = new Map<number, string>();
  conflicts = 0;
  unixMs = 10 * WINDOW_MS;
  readonly #scheduler: fc.Scheduler;
  readonly #fates: Iterator<Fate>;
  readonly #checksToken: boolean;
  #report: { value: Uint8Array; revision: number } | undefined;
  #revision = 1;
  #highestToken = 0;
  /** More requests become known with every read, so that a report computed anew differs. */
  reads = 0;

  constructor(scheduler: fc.Scheduler, fates: Iterator<Fate>, checksToken: boolean) {
    this.#scheduler = scheduler;
    this.#fates = fates;
    this.#checksToken = checksToken;
  }

  reporter(token: () => number | undefined): usageReporters.UsageReporter {
    const store = { list: () => this.#list(), write: (write: ports.ConditionalWrite) => this.#write(write) };
    return new usageReporters.UsageReporter({
      store: store as unknown as ports.DurableStore,
      keys: KEYS,
      calls: { reportUsage: (report, authority) => this.#post(report, authority.token) } as ports.DutyCalls,
      lease: { token, onTokenRefused: () => undefined } as unknown as dutyLeases.DutyLease,
      vm: "vm",
      log,
      settings: { windowMs: WINDOW_MS, dueMs: 10_000 },
      counting: () => [],
      unixMs: () => this.unixMs,
    });
  }

  async #list(): Promise<neverthrow.Result<ports.StoreListing, ports.StoreProblem>> {
    await this.#scheduler.schedule(Promise.resolve());
    this.reads++;
    const windows = new Map<number, Map<string, number>>();
    for (let window = 7; window < 10; window++) windows.set(window, new Map([["hall", this.reads]]));
    const record = usageCodecs.encodeRecord({ vm: "vm", closedThrough: 9, windows });
    const items = [{ key: `${KEYS.recordPrefix}vm`, value: record, revision: 1, createdRevision: 1 }];
    if (this.#report !== undefined) items.push({ ...this.#report, key: KEYS.report, createdRevision: 1 });
    return neverthrow.ok({ items, revision: this.#revision });
  }

  #write(write: ports.ConditionalWrite): Promise<neverthrow.Result<number, ports.StoreProblem>> {
    const problem = { failure: ports.StoreFailure.Unanswered, detail: "" };
    return this.#call(() => this.#apply(write), problem);
  }

  #apply(write: ports.ConditionalWrite): neverthrow.Result<number, ports.StoreProblem> {
    const present = this.#report?.revision ?? 0;
    if (write.conditions.some(({ revision }) => revision !== present))
      return neverthrow.err({ failure: ports.StoreFailure.Conflict, detail: "" });
    const [put] = write.puts;
    this.#revision++;
    if (put !== undefined) this.#report = { value: put.value, revision: this.#revision };
    return neverthrow.ok(this.#revision);
  }

  #post(report: serving.UsageReport, token: number): Promise<neverthrow.Result<void, ports.DutyProblem>> {
    const accept = (): neverthrow.Result<void, ports.DutyProblem> => {
      if (this.#checksToken && token < this.#highestToken)
        return neverthrow.err({ failure: ports.DutyFailure.Conflict, detail: "" });
      this.#highestToken = Math.max(token, this.#highestToken);
      const counts = JSON.stringify([...report.counts]);
      if ((this.accepted.get(report.window) ?? counts) !== counts) this.conflicts++;
      this.accepted.set(report.window, counts);
      return neverthrow.ok(undefined);
    };
    return this.#call(accept, { failure: ports.DutyFailure.Unanswered, detail: "" });
  }

  async #call<T, E>(carryOut: () => neverthrow.Result<T, E>, unanswered: E): Promise<neverthrow.Result<T, E>> {
    const next = this.#fates.next();
    const fate = next.done === true ? Fate.Answered : next.value;
    if (fate === Fate.Late) void this.#scheduler.schedule(Promise.resolve()).then(carryOut);
    await this.#scheduler.schedule(Promise.resolve());
    if (fate === Fate.NotDone || fate === Fate.Late) return neverthrow.err(unanswered);
    const result = carryOut();
    return fate === Fate.Answered ? result : neverthrow.err(unanswered);
  }
}

const anyFates = fc.array(fc.constantFrom(...Object.values(Fate)), { maxLength: 14 });

// A holder pauses and its successor reports the window from records that have grown meanwhile; then a call of the first
// one arrives. The platform would have two reports of one window.
suite("two reports of one window never differ, whatever becomes of calls and holders", async () => {
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), anyFates, fc.boolean(), async (scheduler, fates, checksToken) => {
      const world = new World(scheduler, fates[Symbol.iterator](), checksToken);
      const reporters = [world.reporter(() => 5), world.reporter(() => 9)];
      const run = async (reporter: usageReporters.UsageReporter): Promise<void> => {
        for (let step = 0; step < 6; step++) await reporter.step();
      };
      const runs = Promise.all(reporters.map(run));
      await scheduler.waitFor(runs);
      await scheduler.waitAll();
      assert.is(world.conflicts, 0);
    }),
    { numRuns: RUNS },
  );
});

suite("once calls are answered again, the successor reports every window", async () => {
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), anyFates, async (scheduler, fates) => {
      const world = new World(scheduler, fates[Symbol.iterator](), true);
      const [first, second] = [world.reporter(() => 5), world.reporter(() => 9)];
      const run = async (): Promise<void> => {
        await first.step();
        for (let step = 0; step < fates.length + 8; step++) await second.step();
      };
      await scheduler.waitFor(run());
      await scheduler.waitAll();
      assert.equal([...world.accepted.keys()].sort(), [7, 8, 9]);
    }),
    { numRuns: RUNS / 10 },
  );
});

suite("a daemon without the lease reports nothing", async () => {
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), async (scheduler) => {
      const world = new World(scheduler, [][Symbol.iterator](), false);
      await scheduler.waitFor(world.reporter(() => undefined).step());
      assert.is(world.reads, 0);
      assert.is(world.accepted.size, 0);
    }),
    { numRuns: 1 },
  );
});

suite.run();
