import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const SEED = 64;
const RUNS = 400;
const SERVICE = "service";
const VERSIONS = ["v1", "v2"];
const TIMEOUTS_MS = [1_500, 5_000, 10_000];
const DAEMONS = 3;

/** Time from one read of the daemons to the next, and from the break of a stream until it is taken up, in milliseconds. */
const STEP_MS = 500;
const PAUSE_MS = 3_000;

const suite = uvu.suite("the longest timeout of streams, which outlives the daemons");

/** One life of a daemon's process. */
interface Process {
  readonly versions: serving.SoftwareVersions;
  readonly longest: serving.LongestTimeout;
}

/** Daemons that read a key-value service, and what may have begun the streams that callers take up. */
class Fleet {
  now = 0;
  timeoutMs = 10_000;
  stored: serving.StoredTimeout = { timeoutMs: 0, revision: 0, asOf: 0 };
  readonly present = new Set(VERSIONS);
  readonly daemons: Process[];
  /** Latest instant at which a stream of each version may be taken up, in milliseconds. */
  readonly #latestTakeUp = new Map<string, number>();

  constructor(readonly isStored: boolean) {
    this.daemons = Array.from({ length: DAEMONS }, () => this.#start());
  }

  step(): void {
    this.now += STEP_MS;
    for (const daemon of this.daemons) this.#read(daemon);
    for (const daemon of this.daemons) for (const peer of this.daemons) this.#hear(daemon, peer);
    for (const version of this.present) {
      const until = this.now + this.timeoutMs + PAUSE_MS;
      this.#latestTakeUp.set(version, Math.max(until, this.#latestTakeUp.get(version) ?? 0));
    }
  }

  kill(count: number): void {
    for (let index = 0; index < count; index++) this.daemons[index] = this.#start();
  }

  /** @returns whether a daemon takes a version for the only one while streams of another may be taken up */
  isMistaken(): boolean {
    return this.daemons.some(({ versions }) => {
      const only = versions.soleVersion(SERVICE, this.now);
      const possible = [...this.#latestTakeUp].flatMap(([version, until]) => (until > this.now ? [version] : []));
      return only !== undefined && possible.some((version) => version !== only);
    });
  }

  #start(): Process {
    const daemon = { versions: new serving.SoftwareVersions(), longest: new serving.LongestTimeout() };
    daemon.versions.noteListed(this.now);
    this.#read(daemon);
    return daemon;
  }

  #read({ versions, longest }: Process): void {
    if (this.isStored) {
      versions.noteTimeout(this.stored.timeoutMs);
      longest.noteStored(this.stored);
    }
    versions.noteTimeout(this.timeoutMs);
    longest.noteInForce(this.timeoutMs);
    if (longest.due !== undefined) {
      const revision = this.stored.revision + 1;
      this.stored = { timeoutMs: longest.due.timeoutMs, revision, asOf: revision };
      longest.noteStored(this.stored);
    }
    for (const version of VERSIONS) {
      if (this.present.has(version)) versions.notePresent(endpoint(version), this.now);
      else versions.noteGone(version, this.now);
    }
    versions.noteFollowed(this.now);
  }

  #hear({ versions }: Process, peer: Process): void {
    const ageMs = peer.versions.ageMs(this.now);
    if (ageMs === undefined) return;
    const { windowMs } = peer.versions;
    versions.notePeer({ digest: peer.versions.digest(this.now), at: this.now - ageMs, windowMs }, this.now);
  }
}

function endpoint(version: string): Pick<serving.Endpoint, "id" | "service" | "softwareVersion"> {
  return { id: version, service: SERVICE, softwareVersion: version };
}

type Move = (fleet: Fleet) => void;

/** Changes of the timeout, of the versions that serve, and kills of some daemons or all, each followed by some reads. */
const moves: fc.Arbitrary<readonly Move[]> = fc.array(
  fc.oneof(
    fc.constantFrom(...TIMEOUTS_MS).map(
      (timeoutMs): Move =>
        (fleet) =>
          void (fleet.timeoutMs = timeoutMs),
    ),
    fc.constantFrom(...VERSIONS).map(
      (version): Move =>
        (fleet) =>
          void fleet.present.delete(version),
    ),
    fc.constantFrom(...VERSIONS).map(
      (version): Move =>
        (fleet) =>
          void fleet.present.add(version),
    ),
    fc.constantFrom(1, DAEMONS).map(
      (count): Move =>
        (fleet) =>
          fleet.kill(count),
    ),
    fc.integer({ min: 1, max: 30 }).map((steps): Move => (fleet) => {
      for (let step = 0; step < steps; step++) fleet.step();
    }),
  ),
  { minLength: 10, maxLength: 40 },
);

function isEverMistaken(isStored: boolean, each: readonly Move[]): boolean {
  const fleet = new Fleet(isStored);
  fleet.step();
  return each.some((move) => {
    move(fleet);
    fleet.step();
    return fleet.isMistaken();
  });
}

// Guards against a daemon that takes the timeout in force when it starts for the longest that a stream can have had.
suite("no version counts as the only one while streams of another may be taken up, whatever restarts", () => {
  fc.assert(
    fc.property(moves, (each) => !isEverMistaken(true, each)),
    { seed: SEED, numRuns: RUNS },
  );
});

// The property would hold for daemons that never conclude anything, too.
suite("daemons that all restart are mistaken without the stored timeout, and conclude in time with it", () => {
  const restart: readonly Move[] = [
    (fleet) => fleet.present.delete("v1"),
    (fleet) => void (fleet.timeoutMs = 1_500),
    (fleet) => {
      fleet.kill(DAEMONS);
      for (let step = 0; step < 12; step++) fleet.step();
    },
  ];
  assert.ok(isEverMistaken(false, restart));
  assert.not.ok(isEverMistaken(true, restart));
  const fleet = new Fleet(true);
  for (const move of restart) move(fleet);
  for (let step = 0; step < 15; step++) fleet.step();
  assert.is(fleet.daemons[0]?.versions.soleVersion(SERVICE, fleet.now), "v2");
});

suite("a timeout is written once for each raise, over what was read", () => {
  const longest = new serving.LongestTimeout();
  longest.noteInForce(5_000);
  assert.is(longest.due, undefined, "what is stored isn't known");
  longest.noteStored({ timeoutMs: 0, revision: 0, asOf: 7 });
  assert.equal(longest.due, { timeoutMs: 5_000, revision: 0 });
  longest.noteStored({ timeoutMs: 5_000, revision: 8, asOf: 8 });
  assert.is(longest.due, undefined);
  longest.noteInForce(1_500);
  assert.is(longest.due, undefined, "never lowered");
  longest.noteInForce(10_000);
  assert.equal(longest.due, { timeoutMs: 10_000, revision: 8 });
});

// A read that began before a write and is answered after it would have it written again.
suite("what was read before the last write is no news", () => {
  const longest = new serving.LongestTimeout();
  longest.noteInForce(5_000);
  longest.noteStored({ timeoutMs: 5_000, revision: 8, asOf: 8 });
  assert.not.ok(longest.noteStored({ timeoutMs: 0, revision: 0, asOf: 7 }));
  assert.is(longest.due, undefined);
});

suite.run();
