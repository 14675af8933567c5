import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as dutyLeases from "../src/duties/dutyLease.js";
import * as ports from "../src/ports.js";

/** Short enough for a test, and long compared to timers that fire late on a busy VM, in milliseconds. */
const LEASE_MS = 600;

/** Share of the lease time after which a holder must no longer rely on its lease. */
const INVALID_AFTER_SHARE = 0.75;

const suite = uvu.suite("duty lease");

/** A store with one key under expiring leases, whose renewals can be made to fail. */
class LeaseStore implements ports.DurableStore {
  unreachable = false;
  /** Number of attempts to take the lease. */
  attempts = 0;
  /** Time until a lease expires after its last renewal, in milliseconds; the service may end it late. */
  leaseDurationMs = LEASE_MS;
  /** Time of the last renewal that the service granted. */
  renewedAt = 0;
  #revision = 10;
  #leases = 0;
  #holder: { lease: number; until: number } | undefined;

  list = (): never => {
    throw new Error("not used");
  };

  watch = this.list;

  write(): Promise<neverthrow.Result<number, ports.StoreProblem>> {
    this.attempts++;
    if (this.#isHeld()) return this.#fail(ports.StoreFailure.Conflict);
    this.#revision++;
    this.#holder = { lease: this.#leases, until: performance.now() + this.leaseDurationMs };
    return Promise.resolve(neverthrow.ok(this.#revision));
  }

  grantLease(ttlMs: number): Promise<neverthrow.Result<ports.GrantedLease, ports.StoreProblem>> {
    this.#leases++;
    return Promise.resolve(neverthrow.ok({ id: this.#leases, ttlMs }));
  }

  renewLease(lease: number): Promise<neverthrow.Result<void, ports.StoreProblem>> {
    if (this.unreachable) return this.#fail(ports.StoreFailure.Unanswered);
    if (!this.#isHeld() || this.#holder?.lease !== lease) return this.#fail(ports.StoreFailure.LeaseEnded);
    this.renewedAt = performance.now();
    this.#holder.until = this.renewedAt + this.leaseDurationMs;
    return Promise.resolve(neverthrow.ok(undefined));
  }

  endLease(): Promise<neverthrow.Result<void, ports.StoreProblem>> {
    this.#holder = undefined;
    return Promise.resolve(neverthrow.ok(undefined));
  }

  /** Ends the lease, as if its time had passed. */
  expire(): void {
    this.#holder = undefined;
  }

  #isHeld(): boolean {
    return this.#holder !== undefined && this.#holder.until > performance.now();
  }

  #fail<T>(failure: ports.StoreFailure): Promise<neverthrow.Result<T, ports.StoreProblem>> {
    return Promise.resolve(neverthrow.err({ failure, detail: failure }));
  }
}

const log = new decisionLogs.DecisionLog("vm", "fatal", { writableLength: 0, write: () => true });

function authority(store: ports.DurableStore, vm: string, isFenced = false): dutyLeases.DutyLease {
  const created = new dutyLeases.DutyLease({
    isFenced,
    store,
    key: "authority",
    vm,
    log,
    leaseMs: LEASE_MS,
    eligible: () => true,
  });
  void created.run();
  return created;
}

async function tokenOf(of: dutyLeases.DutyLease): Promise<number> {
  for (let waited = 0; waited < 10_000; waited += 10) {
    const token = of.token();
    if (token !== undefined) return token;
    await sleep(10);
  }
  throw new Error("no token");
}

const sleep = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

// A holder is cut off and doesn't know that its lease has ended, and the next one takes the key. If it gave orders at
// once, two daemons would give orders to the same engine alternately. It waits for a lease time, after which the first
// has stopped by itself.
suite("a new holder gives no order before a whole lease time has passed", async () => {
  const store = new LeaseStore();
  const started = performance.now();
  const first = authority(store, "vm-1");
  await tokenOf(first);
  assert.ok(performance.now() - started >= LEASE_MS);
  await first.end();
});

// Whoever takes orders refuses the tokens of the first holder, so nothing is gained by waiting. But two holders that take
// the lease from each other in turn would act alternately.
suite("where tokens are checked a new holder acts at once, and one that takes the lease again waits", async () => {
  const store = new LeaseStore();
  const started = performance.now();
  const holder = authority(store, "vm-1", true);
  const token = await tokenOf(holder);
  assert.ok(performance.now() - started < LEASE_MS);
  holder.onTokenRefused();
  const refusedAt = performance.now();
  store.expire();
  assert.ok((await tokenOf(holder)) > token);
  assert.ok(performance.now() - refusedAt >= LEASE_MS);
  await holder.end();
});

suite("of two daemons only one may give orders, also over time", async () => {
  const store = new LeaseStore();
  const both = [authority(store, "vm-1"), authority(store, "vm-2")];
  await Promise.race(both.map(tokenOf));
  for (let look = 0; look < 100; look++) {
    assert.ok(both.filter((each) => each.token() !== undefined).length <= 1);
    await sleep(10);
  }
  await Promise.all(both.map((each) => each.end()));
});

// Renewals get no answer. The holder must stop before the service ends its lease, and the next holder has a higher
// token, so that an engine that checks it refuses what the first still sends.
suite("a holder that can't renew its lease stops by itself, and its successor's token is higher", async () => {
  const store = new LeaseStore();
  const first = authority(store, "vm-1");
  const token = await tokenOf(first);
  store.unreachable = true;
  while (performance.now() < store.renewedAt + LEASE_MS) {
    const since = performance.now() - store.renewedAt;
    if (since > LEASE_MS * INVALID_AFTER_SHARE)
      assert.is(first.token(), undefined, `still valid ${since} ms after the renewal`);
    await sleep(2);
  }
  await first.end();
  store.unreachable = false;
  const second = authority(store, "vm-2");
  assert.ok((await tokenOf(second)) > token);
  await second.end();
});

// One answer of the service is lost, and the next arrives after the lease is no longer valid locally, while the key
// still exists. If the holder gave the key up, it would wait for its own key to expire, acquire it again and wait for
// another lease time: for almost six seconds no engine could change its role, although no other daemon held the lock.
suite("a holder whose renewal was lost continues with the same token while its key exists", async () => {
  const store = new LeaseStore();
  store.leaseDurationMs = 4 * LEASE_MS;
  const holder = authority(store, "vm-1");
  const token = await tokenOf(holder);
  store.unreachable = true;
  await sleep(LEASE_MS * 1.2);
  assert.is(holder.token(), undefined);
  store.unreachable = false;
  const answeredAt = performance.now();
  assert.is(await tokenOf(holder), token);
  assert.ok(performance.now() - answeredAt < LEASE_MS, "without waiting for another lease time");
  await holder.end();
});

// A daemon is stopped while its call that takes the lease is under way. If it took the lease then, its duties would run
// on, the process would not end, and no other daemon could take over until the lease expires.
suite("a lease that is taken while the daemon stops is given back", async () => {
  const store = new LeaseStore();
  const changes: boolean[] = [];
  const taken = new Promise<void>((resolve) => {
    const write = store.write.bind(store);
    store.write = (): ReturnType<typeof write> => {
      resolve();
      return sleep(50).then(() => write());
    };
  });
  const holder = new dutyLeases.DutyLease({
    store,
    key: "authority",
    vm: "vm-1",
    log,
    leaseMs: LEASE_MS,
    eligible: () => true,
    onHeldChange: (isHeld) => changes.push(isHeld),
  });
  const ended = holder.run();
  await taken;
  await holder.end();
  await ended;
  assert.equal(changes, []);
  const successor = authority(store, "vm-2", true);
  const startedAt = performance.now();
  await tokenOf(successor);
  assert.ok(performance.now() - startedAt < LEASE_MS);
  await successor.end();
});

suite("a holder whose token an engine refuses for a higher one gives no further orders", async () => {
  const store = new LeaseStore();
  const holder = authority(store, "vm-1");
  await tokenOf(holder);
  holder.onTokenRefused();
  assert.is(holder.token(), undefined);
  await holder.end();
});

/** Two daemons that are both candidates, the second of which hears from the first. */
async function holderAndCandidate(
  store: LeaseStore,
  claims: (holder: dutyLeases.DutyLease) => readonly number[],
): Promise<{ readonly holder: dutyLeases.DutyLease; readonly candidate: dutyLeases.DutyLease }> {
  const holder = authority(store, "vm-1", true);
  await tokenOf(holder);
  const candidate = new dutyLeases.DutyLease({
    isFenced: true,
    store,
    key: "authority",
    vm: "vm-2",
    log,
    leaseMs: LEASE_MS,
    eligible: () => true,
    heldElsewhereUntil: () => claims(holder),
  });
  void candidate.run();
  return { holder, candidate };
}

/** What the holder says in its heartbeats. */
function claimOf(holder: dutyLeases.DutyLease): readonly number[] {
  return holder.validMs === undefined ? [] : [performance.now() + holder.validMs];
}

// The holder keeps the lease when another daemon becomes the candidate, which tried to take it twice in each lease time:
// more than half of the calls for the duty lease, with 24 daemons.
suite("a candidate doesn't try to take the lease while a peer says that it holds it", async () => {
  const store = new LeaseStore();
  const { holder, candidate } = await holderAndCandidate(store, claimOf);
  const { attempts } = store;
  await sleep(LEASE_MS * 3);
  assert.is(store.attempts, attempts);
  await holder.end();
  await tokenOf(candidate);
  await candidate.end();
});

// A holder that dies says nothing more: its last claim must lapse before its lease does, so that nobody waits for it.
suite("the claim of a holder that has died lapses before its lease", async () => {
  const store = new LeaseStore();
  let lastClaim: readonly number[] = [];
  const { holder, candidate } = await holderAndCandidate(store, (each) => {
    if (store.unreachable) return lastClaim;
    lastClaim = claimOf(each);
    return lastClaim;
  });
  await sleep(LEASE_MS);
  store.unreachable = true;
  const { attempts } = store;
  const leaseEndsAt = store.renewedAt + LEASE_MS;
  while (store.attempts === attempts) await sleep(10);
  assert.ok((lastClaim[0] ?? 0) < leaseEndsAt);
  await Promise.all([holder.end(), candidate.end()]);
});

// A peer with a wrong clock or other settings could keep the duties from being carried out.
suite("a claim for longer than a lease time is left out", async () => {
  const store = new LeaseStore();
  const { holder, candidate } = await holderAndCandidate(store, () => [performance.now() + 2 * LEASE_MS]);
  await holder.end();
  await tokenOf(candidate);
  await candidate.end();
});

suite.run();
