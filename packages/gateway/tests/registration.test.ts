import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as ports from "../src/ports.js";
import * as registrations from "../src/registration.js";

const log = new decisionLogs.DecisionLog("vm-1", "fatal", { writableLength: 0, write: () => true });

const ENTRY = {
  vm: "vm-1",
  incarnation: "i",
  dataCentre: "a",
  callers: "127.0.0.1:1",
  peers: "127.0.0.1:2",
  capacity: 1,
};

const sleep = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** A store that loses the answers of its first writes. */
class LossyStore implements ports.DurableStore {
  readonly leasesWritten: number[] = [];
  lostAnswers: number;
  #leases = 0;

  constructor(lostAnswers: number) {
    this.lostAnswers = lostAnswers;
  }

  list = (): never => {
    throw new Error("not used");
  };

  watch = this.list;

  write(write: ports.ConditionalWrite): Promise<neverthrow.Result<number, ports.StoreProblem>> {
    this.leasesWritten.push(write.puts[0]?.lease ?? 0);
    if (this.leasesWritten.length > this.lostAnswers) return Promise.resolve(neverthrow.ok(1));
    return Promise.resolve(neverthrow.err({ failure: ports.StoreFailure.Unanswered, detail: "lost" }));
  }

  grantLease(ttlMs: number): Promise<neverthrow.Result<ports.GrantedLease, ports.StoreProblem>> {
    this.#leases++;
    return Promise.resolve(neverthrow.ok({ id: this.#leases, ttlMs }));
  }

  renewLease = (): Promise<neverthrow.Result<void, ports.StoreProblem>> => Promise.resolve(neverthrow.ok(undefined));

  endLease = this.renewLease;
}

const suite = uvu.suite("a daemon's entry in the key-value service");

// The answer to the first write of the entry is lost, and the service executes that write seconds later, after the
// second. Under a lease that the daemon no longer renews, the entry would expire with that lease: the daemon would be
// missing from all address answers until its restart, and count itself as registered.
suite("is written under one lease, however many answers are lost", async () => {
  const store = new LossyStore(2);
  const registration = new registrations.Registration(store, "daemons/vm-1", ENTRY, log, () => true);
  void registration.run();
  for (let waited = 0; waited < 3_000 && !registration.registered; waited += 20) await sleep(20);
  assert.is(registration.registered, true);
  assert.equal(store.leasesWritten, [1, 1, 1]);
  await registration.end();
});

// The interval of a daemon that serves callers or reads for others must not grow: with it, the time in which the entry may
// lapse while the service doesn't answer would shrink.
suite("is renewed as often as ever while others rely on the daemon, and less often otherwise", () => {
  assert.is(registrations.untilRenewalMs(0, true), 3_800);
  assert.is(registrations.untilRenewalMs(0, false), 5_800);
  assert.is(registrations.untilRenewalMs(3_800, true), 0);
  assert.ok(registrations.untilRenewalMs(3_800, false) > 0);
  assert.is(registrations.untilRenewalMs(9_000, false), 0);
});

suite.run();
