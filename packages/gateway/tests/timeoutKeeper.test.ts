import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as ports from "../src/ports.js";
import * as timeoutKeepers from "../src/streams/timeoutKeeper.js";

const KEY = "longest";
const REVISION = 12;

/** Time in which a keeper has checked several times, in milliseconds. */
const CHECKS_MS = 350;

const suite = uvu.suite("the longest timeout of streams in the key-value service");

interface Outcome {
  readonly writes: readonly ports.ConditionalWrite[];
  readonly lines: readonly string[];
  readonly due: unknown;
}

async function keep(
  result: neverthrow.Result<number, ports.StoreProblem>,
  { followsClosely = true, isKnown = true } = {},
): Promise<Outcome> {
  const view = new fleetViews.FleetView();
  view.longestTimeout.noteInForce(5_000);
  if (isKnown) view.noteStoredTimeout({ timeoutMs: 2_000, revision: 9, asOf: 9 });
  const writes: ports.ConditionalWrite[] = [];
  const lines: string[] = [];
  const sink = { writableLength: 0, write: (line: string) => lines.push(line) > 0 };
  const keeper = new timeoutKeepers.TimeoutKeeper({
    store: {
      write: (write) => {
        writes.push(write);
        return Promise.resolve(result);
      },
    },
    key: KEY,
    view,
    log: new decisionLogs.DecisionLog("vm-1", "info", sink),
    followsClosely: () => followsClosely,
  });
  const ended = keeper.run();
  await new Promise((resolve) => setTimeout(resolve, CHECKS_MS));
  keeper.stop();
  await ended;
  return { writes, lines, due: view.longestTimeout.due };
}

suite("a longer timeout is written once, over the revision that was read, and can be read again", async () => {
  const { writes, lines, due } = await keep(neverthrow.ok(REVISION));
  assert.is(writes.length, 1);
  assert.equal(writes[0]?.conditions, [{ key: KEY, revision: 9 }]);
  const value = writes[0]?.puts[0]?.value ?? new Uint8Array();
  assert.is(timeoutKeepers.decodeTimeout(value)._unsafeUnwrap(), 5_000);
  assert.is(due, undefined);
  assert.match(lines[0] ?? "", /event=stream-timeout-stored timeoutMs=5000 revision=12/);
});

// All daemons would write at the same moment after each change of the configuration.
suite("a daemon that doesn't read for others writes nothing", async () => {
  assert.is((await keep(neverthrow.ok(REVISION), { followsClosely: false })).writes.length, 0);
});

// It would overwrite a longer timeout.
suite("a daemon that hasn't read what is stored writes nothing", async () => {
  assert.is((await keep(neverthrow.ok(REVISION), { isKnown: false })).writes.length, 0);
});

suite("a write that fails is due again, and logged unless another daemon has written", async () => {
  const refused = await keep(neverthrow.err({ failure: ports.StoreFailure.Refused, detail: "503" }));
  assert.equal(refused.due, { timeoutMs: 5_000, revision: 9 });
  assert.match(refused.lines[0] ?? "", /event=stream-timeout-not-stored timeoutMs=5000 failure=refused/);
  const conflict = await keep(neverthrow.err({ failure: ports.StoreFailure.Conflict, detail: "" }));
  assert.equal([conflict.lines, conflict.due], [[], { timeoutMs: 5_000, revision: 9 }]);
});

suite("a value that isn't a positive number is unreadable", () => {
  for (const value of ["", "null", "{}", '{"timeoutMs":0}', '{"timeoutMs":"9"}', '{"timeoutMs":1e999}'])
    assert.ok(timeoutKeepers.decodeTimeout(Buffer.from(value)).isErr(), value);
});

suite.run();
