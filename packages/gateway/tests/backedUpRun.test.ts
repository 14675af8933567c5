import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as contexts from "../src/context.js";
import * as fleetViews from "../src/fleetView.js";
import * as metricsModule from "../src/metrics.js";
import * as backedUpRuns from "../src/runs/backedUpRun.js";
import type * as ownRuns from "../src/runs/ownRuns.js";

/** Longer than the time for a confirmation, in milliseconds. */
const PAST_CONFIRMATION_MS = 700;

const SOURCE = engine("source", 1_000);
const BACKUP = engine("backup", 1_000);

function engine(id: string, bornAt: number): serving.Endpoint {
  const all = { service: "s", dataCentre: "a", slots: 8, role: serving.EngineRole.Decode, leaving: false };
  return { id, address: `at-${id}`, bornAt, softwareVersion: "v1", ...all };
}

interface Options {
  readonly isRefusing?: () => Promise<boolean>;
  readonly admitted?: neverthrow.Result<boolean, { readonly reason: string }>;
  readonly isLastEventNamed?: boolean;
  readonly mayGoOnAt?: boolean;
}

/** A run whose engine is lost, with stand-ins for all that serves it. */
class Loss {
  readonly view = new fleetViews.FleetView();
  readonly lines: string[] = [];
  readonly run: backedUpRuns.BackedUpRun;
  resumedAt: serving.Endpoint | undefined;
  givenUp = 0;

  constructor(options: Options = {}) {
    const { admitted = neverthrow.ok(false), isLastEventNamed = true, mayGoOnAt = true } = options;
    this.view.directory.put(SOURCE, 1);
    this.view.directory.put(BACKUP, 2);
    const context = {
      view: this.view,
      metrics: new metricsModule.Metrics(),
      log: {
        info: (_: string, { state, reason }: Record<string, string>) => this.lines.push(`${state} ${reason}`),
        warn: () => undefined,
      },
      crashDetector: { isRefusing: options.isRefusing ?? ((): Promise<boolean> => Promise.resolve(true)) },
      suspects: { admit: () => admitted },
    } as unknown as contexts.ServingContext;
    const progress = { isLastEventNamed, events: 3, lastEventId: "3" };
    const run = {
      active: { endpoint: SOURCE },
      served: { id: "r1", isStreamBegun: true, mayGoOnAt: () => mayGoOnAt, progress },
      host: {
        resumeAtBackup: ({ endpoint }: { readonly endpoint: serving.Endpoint }) => {
          this.resumedAt = endpoint;
        },
      },
    } as unknown as ownRuns.OwnRun;
    this.run = new backedUpRuns.BackedUpRun({ context, run, backup: BACKUP });
    assert.ok(this.run.onBroken(() => this.givenUp++));
  }

  async decided(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, PAST_CONFIRMATION_MS));
  }
}

const suite = uvu.suite("a run whose engine is lost, and which has a copy");

suite("goes on at the engine with the copy once its own refuses connections", async () => {
  const loss = new Loss();
  await loss.decided();
  assert.is(loss.resumedAt?.id, "backup");
  assert.is(loss.givenUp, 0);
});

// Under which engines crashed, a request would take down the engine with its copy as well, and all that runs there.
for (const admitted of [neverthrow.ok(true), neverthrow.err({ reason: "quarantined" })]) {
  suite(
    `is given up if it is suspected of crashing engines: ${admitted.isOk() ? "isolated" : "rejected"}`,
    async () => {
      const loss = new Loss({ admitted });
      await loss.decided();
      assert.is(loss.resumedAt, undefined);
      assert.is(loss.givenUp, 1);
      assert.ok(loss.lines.includes("failed suspected"));
    },
  );
}

suite("is given up if its caller could not tell where it goes on, or its events would not fit", async () => {
  for (const options of [{ isLastEventNamed: false }, { mayGoOnAt: false }]) {
    const loss = new Loss(options);
    await loss.decided();
    assert.is(loss.resumedAt, undefined);
    assert.ok(loss.lines.includes("failed not-resumable"));
  }
});

suite("is given up if the engine with the copy leaves or has restarted", async () => {
  for (const entry of [
    { ...BACKUP, leaving: true },
    { ...BACKUP, bornAt: 2_000 },
  ]) {
    const loss = new Loss();
    loss.view.directory.put(entry, 3);
    await loss.decided();
    assert.is(loss.resumedAt, undefined);
    assert.ok(loss.lines.includes("failed backup-unusable"));
  }
});

suite("is given up once, and a confirmation that comes later changes nothing", async () => {
  let confirm: (isRefusing: boolean) => void = () => undefined;
  const loss = new Loss({
    isRefusing: () =>
      new Promise((resolve) => {
        confirm = resolve;
      }),
  });
  await loss.decided();
  assert.is(loss.givenUp, 1);
  confirm(true);
  await loss.decided();
  assert.is(loss.resumedAt, undefined);
  assert.is(loss.givenUp, 1);
});

// The directory learns during the attempt that the engine's id is at another address: that address refused.
suite("doesn't take the refusal of another address for the end of its engine", async () => {
  const loss = new Loss({
    isRefusing: async () => {
      await Promise.resolve();
      loss.view.directory.put({ ...SOURCE, address: "elsewhere", bornAt: 2_000 }, 3);
      return true;
    },
  });
  await loss.decided();
  assert.is(loss.resumedAt, undefined);
  assert.is(loss.givenUp, 1);
  assert.ok(loss.lines.includes("failed unconfirmed"));
});

suite("isn't sent, and not given up, once its request is over", async () => {
  const loss = new Loss({ isRefusing: () => Promise.resolve(false) });
  loss.run.end();
  await loss.decided();
  assert.is(loss.resumedAt, undefined);
  assert.is(loss.givenUp, 0);
});

suite.run();
