import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as common from "@camphorcourse/common";
import * as serving from "../src/index.js";

const SEED = 89;
const MEMORY_TOKENS = 200_000;
const HANDLE_MS = 2_000;

const suite = uvu.suite("which streams get a copy at a second engine, and where");

const STREAM: serving.BackupCandidate = { isRepeatable: false, expectedMs: 5_000, tokens: 1_000 };
const BOUNDS: serving.BackupBounds = { memoryTokens: MEMORY_TOKENS, liveDaemons: 1 };

function engine(id: string, properties: Partial<serving.Endpoint> = {}): serving.Endpoint {
  const role = serving.EngineRole.Decode;
  const all = { service: "s", address: `at-${id}`, dataCentre: "a", slots: 8, role, leaving: false };
  return { id, ...all, softwareVersion: "v1", ...properties };
}

function destination(endpoint: serving.Endpoint, running = 0, transferFactor = 1): serving.BackupDestination {
  return { endpoint, running, freeTokens: MEMORY_TOKENS, transferFactor };
}

const RECLAIMABLE = engine("source", { reclaimable: true });

function choose(policy: serving.BackupPolicy, ...destinations: serving.BackupDestination[]): string | undefined {
  return policy.chooseBackup(STREAM, RECLAIMABLE, destinations, BOUNDS, 0)?.id;
}

suite("streams that can't be repeated and last, on engines that are likely to be lost", () => {
  const policy = new serving.BackupPolicy();
  assert.ok(policy.needsBackup(STREAM, RECLAIMABLE, 0));
  assert.ok(policy.needsBackup({ ...STREAM, expectedMs: undefined }, RECLAIMABLE, 0), "of unknown length");
  assert.not.ok(policy.needsBackup({ ...STREAM, isRepeatable: true }, RECLAIMABLE, 0));
  assert.not.ok(policy.needsBackup({ ...STREAM, expectedMs: 999 }, RECLAIMABLE, 0));
  assert.not.ok(policy.needsBackup(STREAM, engine("reliable"), 0));
});

suite("an engine is likely to be lost for 30 s after one at its address has ended or was suspected", () => {
  const policy = new serving.BackupPolicy();
  policy.noteUnreliable("at-e1", 1_000);
  assert.ok(policy.needsBackup(STREAM, engine("e1"), 30_999));
  assert.ok(policy.needsBackup(STREAM, engine("successor", { address: "at-e1" }), 2_000));
  assert.not.ok(policy.needsBackup(STREAM, engine("e2"), 2_000));
  assert.not.ok(policy.needsBackup(STREAM, engine("e1"), 31_000));
});

suite("the addresses that are kept are bounded, and the oldest is dropped first", () => {
  const policy = new serving.BackupPolicy();
  for (let index = 0; index <= 1_024; index++) policy.noteUnreliable(`at-e${index}`, index);
  assert.not.ok(policy.isUnreliable(engine("e0"), 2_000));
  assert.ok(policy.isUnreliable(engine("e1"), 2_000));
});

suite("the copy is kept where the run can go on, and where it isn't lost with the first engine", () => {
  const policy = new serving.BackupPolicy();
  policy.noteUnreliable("at-shaky", 0);
  const unsuited = [
    RECLAIMABLE,
    engine("same-address", { address: RECLAIMABLE.address }),
    engine("service", { service: "other" }),
    engine("role", { role: serving.EngineRole.Prefill }),
    engine("version", { softwareVersion: "v2" }),
    engine("together", { reclaimable: true }),
    engine("shaky"),
  ];
  for (const endpoint of unsuited) assert.is(choose(policy, destination(endpoint)), undefined, endpoint.id);
  assert.is(choose(policy, destination(engine("far", { reclaimable: true, dataCentre: "b" }))), "far");
  const unknown = engine("source", { reclaimable: true, softwareVersion: undefined });
  const other = destination(engine("other", { softwareVersion: undefined }));
  assert.is(policy.chooseBackup(STREAM, unknown, [other], BOUNDS, 0), undefined, "of unknown version");
});

suite("the nearest engine is preferred, then the least occupied, and one without a slot or memory is left out", () => {
  const policy = new serving.BackupPolicy();
  const near = destination(engine("near"), 4);
  const idle = destination(engine("idle"), 1);
  const far = destination(engine("far", { dataCentre: "b" }), 0, 2);
  assert.is(choose(policy, far, near, idle), "idle");
  assert.is(choose(policy, far, near), "near");
  assert.is(choose(policy, far, { ...near, running: 8 }), "far");
  assert.is(choose(policy, far, { ...near, freeTokens: 999 }), "far");
});

// One copy beyond the share at each daemon: 81 daemons with prompts of 12,000 tokens would need twice the memory of an engine.
suite("backups at one engine stay under the daemon's share of a tenth of its memory, the first one too", () => {
  const policy = new serving.BackupPolicy();
  const only = destination(engine("only"));
  const bounds = { memoryTokens: MEMORY_TOKENS, liveDaemons: 10 };
  const large = { ...STREAM, tokens: 5_000 };
  const isAllowed = (stream: serving.BackupCandidate, now: number): boolean =>
    policy.chooseBackup(stream, RECLAIMABLE, [only], bounds, now) !== undefined;
  assert.not.ok(isAllowed(large, 0), "it exceeds the share by itself");
  const first = policy.reserve("only", 2_000);
  assert.not.ok(isAllowed(STREAM, 0));
  policy.release(first, HANDLE_MS);
  assert.not.ok(isAllowed(STREAM, HANDLE_MS - 1), "the engine may still keep the copy");
  assert.ok(isAllowed(STREAM, HANDLE_MS));
  policy.reserve("only", 1_000);
  assert.ok(isAllowed(STREAM, HANDLE_MS), "two of 1,000 tokens are within 2,000");
  policy.reserve("only", 1_000);
  assert.not.ok(isAllowed(STREAM, HANDLE_MS));
});

suite("the share holds in any order of beginnings and ends", () => {
  const engines = ["e1", "e2", "e3"].map((id) => destination(engine(id)));
  const action = fc.record({ tokens: fc.integer({ min: 1, max: 9_000 }), ends: fc.nat(5), isKept: fc.boolean() });
  const property = fc.property(
    fc.array(action, { maxLength: 60 }),
    fc.integer({ min: 1, max: 8 }),
    (actions, daemons) => {
      const policy = new serving.BackupPolicy();
      const bounds = { memoryTokens: MEMORY_TOKENS, liveDaemons: daemons };
      let open: { readonly reservation: serving.BackupReservation; until: number }[] = [];
      for (const [now, { tokens, ends, isKept }] of actions.entries()) {
        open = open.filter(({ until }) => until > now);
        const ended = open[ends];
        if (ended?.until === Infinity) {
          ended.until = isKept ? now + 5 : now;
          policy.release(ended.reservation, isKept ? now + 5 : undefined);
          open = open.filter(({ until }) => until > now);
        }
        const chosen = policy.chooseBackup({ ...STREAM, tokens }, RECLAIMABLE, engines, bounds, now);
        if (chosen === undefined) continue;
        open.push({ reservation: policy.reserve(chosen.id, tokens), until: Infinity });
        const held = open.map(({ reservation }) => reservation).filter(({ engineId }) => engineId === chosen.id);
        const total = held.reduce((sum, each) => sum + each.tokens, 0);
        assert.ok(total <= MEMORY_TOKENS / 10 / daemons, `${total} tokens of ${daemons} daemons`);
      }
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});

/** A stream of the replay. */
interface ReplayedStream {
  readonly at: serving.Endpoint;
  readonly endsAt: number;
  readonly backup: serving.Endpoint | undefined;
}

const DAEMONS = 4;
const LOST_AT = 30_000;

/**
 * A minute of streams of 0.5 to 10 s at 100 engines, 17 of which are reclaimable and in one data centre.
 *
 * @returns the streams that run when the reclaimable engines are withdrawn together, and the largest share of an engine's memory that
 *   backups took
 */
function replay(): {
  readonly open: readonly ReplayedStream[];
  readonly largestShare: number;
  readonly copied: number;
} {
  const random = new common.SeededRandom(SEED);
  const engines = Array.from({ length: 100 }, (_, index) =>
    engine(`e${index}`, { dataCentre: index % 2 === 0 ? "a" : "b", reclaimable: index % 2 === 0 && index < 34 }),
  );
  const policies = Array.from({ length: DAEMONS }, () => new serving.BackupPolicy());
  let open: (ReplayedStream & { readonly drop: () => void })[] = [];
  const tokensAt = new Map<string, number>();
  let largestShare = 0;
  let copied = 0;
  for (let now = 0; now < LOST_AT; now += 20) {
    for (const stream of open.filter(({ endsAt }) => endsAt <= now)) stream.drop();
    open = open.filter(({ endsAt }) => endsAt > now);
    const expectedMs = 500 + random.next() * 9_500;
    const stream = { isRepeatable: false, expectedMs, tokens: 1_000 + Math.floor(random.next() * 3_000) };
    const at = engines[Math.floor(random.next() * engines.length)] ?? RECLAIMABLE;
    const policy = policies[Math.floor(random.next() * DAEMONS)];
    const running = (id: string): number => open.filter((each) => each.at.id === id).length;
    const destinations = engines.map((each) => destination(each, running(each.id), each.dataCentre === "a" ? 1 : 2));
    const bounds = { memoryTokens: MEMORY_TOKENS, liveDaemons: DAEMONS };
    const backup =
      policy?.needsBackup(stream, at, now) === true
        ? policy.chooseBackup(stream, at, destinations, bounds, now)
        : undefined;
    const reservation = backup && policy?.reserve(backup.id, stream.tokens);
    if (backup !== undefined) {
      copied++;
      const tokens = (tokensAt.get(backup.id) ?? 0) + stream.tokens;
      tokensAt.set(backup.id, tokens);
      largestShare = Math.max(largestShare, tokens / MEMORY_TOKENS);
    }
    const drop = (): void => {
      if (reservation === undefined) return;
      policy?.release(reservation);
      tokensAt.set(reservation.engineId, (tokensAt.get(reservation.engineId) ?? 0) - reservation.tokens);
    };
    open.push({ at, endsAt: now + expectedMs, backup, drop });
  }
  return { open, largestShare, copied };
}

// Without copies each of these streams would be lost to its caller.
suite(
  "17 of 100 engines withdrawn together: the streams there have copies elsewhere, and those of others cost nothing",
  () => {
    const { open, largestShare, copied } = replay();
    const hit = open.filter(({ at }) => at.reclaimable === true);
    const long = hit.filter(({ endsAt }) => endsAt - LOST_AT >= 1_000);
    assert.ok(long.length >= 20, `${long.length} streams are hit`);
    const saved = long.filter(({ backup }) => backup !== undefined && backup.reclaimable !== true);
    assert.is(saved.length, long.length);
    assert.ok(open.filter(({ at }) => at.reclaimable !== true).every(({ backup }) => backup === undefined));
    assert.ok(copied < 0.25 * (LOST_AT / 20), `${copied} copies of ${LOST_AT / 20} streams`);
    assert.ok(largestShare <= 0.1, `backups take ${largestShare} of an engine's memory`);
  },
);

suite.run();
