import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const WINDOW_MS = 5_000;
const suite = uvu.suite("usage of organisations");

const inputs = {
  lastWindow: undefined,
  counting: [] as string[],
  windowMs: WINDOW_MS,
  patienceMs: 6_000,
};

function record(
  vm: string,
  closedThrough: number,
  counts: Record<number, Record<string, number>>,
): serving.UsageRecord {
  const windows = Object.entries(counts).map(
    ([window, each]) => [Number(window), new Map(Object.entries(each))] as const,
  );
  return { vm, closedThrough, windows: new Map(windows) };
}

suite("each request counts once, in the window in which it began", () => {
  const anyRequest = fc.record({ organisation: fc.constantFrom("hall", "yard"), unixMs: fc.nat(60_000) });
  fc.assert(
    fc.property(fc.array(anyRequest), (requests) => {
      const counter = new serving.UsageCounter(WINDOW_MS);
      for (const { organisation, unixMs } of requests) counter.count(organisation, unixMs);
      const { windows } = counter.record("vm-1", 60_000);
      for (const [window, counts] of windows) {
        for (const [organisation, count] of counts) {
          const begun = requests.filter(
            (each) => each.organisation === organisation && Math.floor(each.unixMs / WINDOW_MS) === window,
          );
          assert.is(count, begun.length);
        }
      }
      const counted = [...windows.values()].flatMap((counts) => [...counts.values()]);
      assert.is(
        counted.reduce((sum, each) => sum + each, 0),
        requests.length,
      );
    }),
  );
});

suite("a report adds up the records of all incarnations, with those of daemons that have ended", () => {
  const records = [
    record("vm-1", 7, { 7: { hall: 3, yard: 1 } }),
    record("vm-1", 6, { 7: { hall: 2 } }),
    record("vm-2", 7, { 7: { hall: 5 } }),
  ];
  const report = serving.nextReport({ ...inputs, records, counting: ["vm-1", "vm-2"], unixMs: 8 * WINDOW_MS + 100 });
  assert.is(report?.window, 7);
  assert.equal(
    [...(report?.counts ?? [])],
    [
      ["hall", 10],
      ["yard", 1],
    ],
  );
});

// A report that is sent before all daemons have recorded the window would miss their requests for good.
suite("a window is reported once every live daemon has recorded it, or when there is no more time to wait", () => {
  const records = [record("vm-1", 7, { 7: { hall: 3 } }), record("vm-2", 6, { 7: { hall: 1 } })];
  const at = (unixMs: number): serving.UsageReport | undefined =>
    serving.nextReport({ ...inputs, records, counting: ["vm-1", "vm-2"], unixMs });
  assert.is(at(8 * WINDOW_MS - 1), undefined);
  assert.is(at(8 * WINDOW_MS + 5_999), undefined);
  assert.is(at(8 * WINDOW_MS + 6_000)?.counts.get("hall"), 4);
});

suite("windows are reported in order and never again", () => {
  const records = [record("vm-1", 9, { 6: { hall: 1 }, 8: { hall: 2 }, 9: { hall: 3 } })];
  const after = (lastWindow: number | undefined): number | undefined =>
    serving.nextReport({ ...inputs, records, lastWindow, unixMs: 10 * WINDOW_MS })?.window;
  assert.equal([undefined, 5, 6, 7, 8, 9, 12].map(after), [6, 6, 8, 8, 9, undefined, undefined]);
});

suite("counts that nobody reports are bounded", () => {
  const counter = new serving.UsageCounter(WINDOW_MS);
  for (let window = 0; window < 1_000; window++) counter.count("hall", window * WINDOW_MS);
  assert.is(counter.record("vm-1", 0).windows.size, 24);
  counter.markReported(998);
  assert.equal([...counter.record("vm-1", 0).windows.keys()], [999]);
});

// The clock of a VM that steps by seconds would move its requests into other windows.
suite("true time follows the majority of the clocks", () => {
  const anyClocks = fc.record({
    right: fc.array(fc.integer({ min: -40, max: 40 }), { minLength: 3, maxLength: 9 }),
    stepped: fc.array(fc.integer({ min: -9_000, max: 9_000 }), { maxLength: 2 }),
  });
  fc.assert(
    fc.property(anyClocks, ({ right, stepped }) => {
      const offset = serving.medianOffset([...stepped, ...right]) ?? NaN;
      assert.ok(offset >= Math.min(...right) && offset <= Math.max(...right));
    }),
  );
});

suite.run();
