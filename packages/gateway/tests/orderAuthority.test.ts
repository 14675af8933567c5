import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as orderAuthorities from "../src/orderAuthority.js";
import * as ports from "../src/ports.js";

/** Short enough for a test, long against timers that fire late on a busy VM, in milliseconds. */
const LEASE_MS = 600;

/** Part of the lease's time after which a holder must no longer believe in it. */
const MARGIN_BEGINS = 0.75;

const suite = uvu.suite("the right to give orders");

/** One key under leases that run out by themselves, and a switch that makes renewals go unanswered. */
class LeaseStore implements ports.DurableStore {
  unanswered = false;
  /** Time for which a lease stands after its renewal, in milliseconds; the service may end it late. */
  leaseStandsMs = LEASE_MS;
  /** Instant of the last renewal that the service has granted. */
  renewedAt = 0;
  #revision = 10;
  #leases = 0;
  #holder: { lease: number; until: number } | undefined;

  list = (): never => {
    throw new Error("not used");
  };

  watch = this.list;

  write(): Promise<neverthrow.Result<number, ports.StoreProblem>> {
    if (this.#isHeld()) return this.#fail(ports.StoreFailure.Conflict);
    this.#revision++;
    this.#holder = { lease: this.#leases, until: performance.now() + this.leaseStandsMs };
    return Promise.resolve(neverthrow.ok(this.#revision));
  }

  grantLease(ttlMs: number): Promise<neverthrow.Result<ports.GrantedLease, ports.StoreProblem>> {
    this.#leases++;
    return Promise.resolve(neverthrow.ok({ id: this.#leases, ttlMs }));
  }

  renewLease(lease: number): Promise<neverthrow.Result<void, ports.StoreProblem>> {
    if (this.unanswered) return this.#fail(ports.StoreFailure.Unanswered);
    if (!this.#isHeld() || this.#holder?.lease !== lease) return this.#fail(ports.StoreFailure.LeaseEnded);
    this.renewedAt = performance.now();
    this.#holder.until = this.renewedAt + this.leaseStandsMs;
    return Promise.resolve(neverthrow.ok(undefined));
  }

  endLease(): Promise<neverthrow.Result<void, ports.StoreProblem>> {
    this.#holder = undefined;
    return Promise.resolve(neverthrow.ok(undefined));
  }

  #isHeld(): boolean {
    return this.#holder !== undefined && this.#holder.until > performance.now();
  }

  #fail<T>(failure: ports.StoreFailure): Promise<neverthrow.Result<T, ports.StoreProblem>> {
    return Promise.resolve(neverthrow.err({ failure, detail: failure }));
  }
}

const log = new decisionLogs.DecisionLog("vm", "fatal", { writableLength: 0, write: () => true });

function authority(store: ports.DurableStore, vm: string): orderAuthorities.OrderAuthority {
  const made = new orderAuthorities.OrderAuthority({
    store,
    key: "authority",
    vm,
    log,
    leaseMs: LEASE_MS,
    eligible: () => true,
  });
  void made.run();
  return made;
}

async function tokenOf(of: orderAuthorities.OrderAuthority): Promise<number> {
  for (let waited = 0; waited < 10_000; waited += 10) {
    const token = of.token();
    if (token !== undefined) return token;
    await pass(10);
  }
  throw new Error("no token");
}

const pass = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

// A holder is cut off and doesn't know that its lease has ended. The next one takes the key; were it to order at once,
// two daemons would order one engine by turns. It waits for a lease time, after which the first has stopped by itself.
suite("a new holder gives no order before a whole lease time has passed", async () => {
  const store = new LeaseStore();
  const started = performance.now();
  const first = authority(store, "vm-1");
  await tokenOf(first);
  assert.ok(performance.now() - started >= LEASE_MS);
  await first.end();
});

suite("of two daemons only one may give orders, also over time", async () => {
  const store = new LeaseStore();
  const both = [authority(store, "vm-1"), authority(store, "vm-2")];
  await Promise.race(both.map(tokenOf));
  for (let look = 0; look < 100; look++) {
    assert.ok(both.filter((each) => each.token() !== undefined).length <= 1);
    await pass(10);
  }
  await Promise.all(both.map((each) => each.end()));
});

// Renewals go unanswered. The holder must stop before the service ends its lease, and the next one has a higher token,
// so that an engine that checks refuses whatever the first still sends.
suite("a holder that can't renew stops by itself, and its successor's token is higher", async () => {
  const store = new LeaseStore();
  const first = authority(store, "vm-1");
  const token = await tokenOf(first);
  store.unanswered = true;
  while (performance.now() < store.renewedAt + LEASE_MS) {
    const since = performance.now() - store.renewedAt;
    if (since > LEASE_MS * MARGIN_BEGINS) assert.is(first.token(), undefined, `still believed ${since} ms after`);
    await pass(2);
  }
  await first.end();
  store.unanswered = false;
  const second = authority(store, "vm-2");
  assert.ok((await tokenOf(second)) > token);
  await second.end();
});

// One answer of the service is lost, and the next comes after the holder has stopped believing. Its key still stands.
// Were it forgotten, the holder would wait for its own key to lapse, take it anew and wait for a lease time again: for
// almost six seconds no engine could be given another role, though nobody else held the right.
suite("a holder whose renewal was lost goes on with the same token while its key stands", async () => {
  const store = new LeaseStore();
  store.leaseStandsMs = 4 * LEASE_MS;
  const holder = authority(store, "vm-1");
  const token = await tokenOf(holder);
  store.unanswered = true;
  await pass(LEASE_MS * 1.2);
  assert.is(holder.token(), undefined);
  store.unanswered = false;
  const answeredAt = performance.now();
  assert.is(await tokenOf(holder), token);
  assert.ok(performance.now() - answeredAt < LEASE_MS, "without waiting for a lease time");
  await holder.end();
});

suite("a holder that an engine refuses for a higher token gives no further order", async () => {
  const store = new LeaseStore();
  const holder = authority(store, "vm-1");
  await tokenOf(holder);
  holder.onTokenRefused();
  assert.is(holder.token(), undefined);
  await holder.end();
});

suite.run();
