import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const { SendFate, SendKind } = serving;

const RUNS = { seed: 6_401, numRuns: 3_000 };

/** Most events in the life of a generated request. */
const MAX_EVENTS = 24;

/** Most sends of a generated request, also the largest number of one that an event concerns. */
const MAX_SENDS = 5;

/** What an endpoint does with a send that has reached it. */
enum Reaction {
  /** Runs the request and answers. */
  Runs = "runs",
  /** Runs the request if it was sent for that, and never answers. */
  IsSilent = "is-silent",
  /** Answers that it doesn't run the request. */
  Declines = "declines",
  /** Answers a prefill with a handle, and runs a run. */
  Serves = "serves",
}

/** What happens to one send. */
enum Happening {
  /** Its bytes leave. */
  Dispatch = "dispatch",
  /** Its endpoint's own answer comes. */
  OwnAnswer = "own-answer",
  /** An answer to another request comes on its connection. */
  ForeignAnswer = "foreign-answer",
  /** Its connection breaks. */
  Break = "break",
  /** The daemon cancels it. */
  Cancel = "cancel",
}

/** The daemon wants to send the request. */
interface Sending {
  readonly kind: serving.SendKind;
  readonly reaction: Reaction;
}

/** Something happens to a send, if there are that many. */
interface Event {
  readonly send: number;
  readonly happening: Happening;
}

type Step = Sending | Event;

/** A send as it really is, whatever the daemon knows of it. */
class SimulatedSend {
  readonly entry: serving.LedgerEntry;
  readonly #reaction: Reaction;
  #isDispatched = false;
  #isWithdrawn = false;

  constructor(entry: serving.LedgerEntry, reaction: Reaction) {
    this.entry = entry;
    this.#reaction = reaction;
  }

  get hasRun(): boolean {
    if (!this.#isDispatched || this.#reaction === Reaction.Declines) return false;
    return this.entry.kind === SendKind.Run || this.#reaction === Reaction.Runs;
  }

  undergo(happening: Happening): void {
    switch (happening) {
      case Happening.Dispatch:
        this.#isDispatched ||= !this.#isWithdrawn;
        break;
      case Happening.OwnAnswer:
        if (this.#isDispatched && this.#reaction !== Reaction.IsSilent) this.entry.settle(this.#fateOfAnswer);
        break;
      case Happening.ForeignAnswer:
        if (this.#isDispatched) this.entry.settle(SendFate.Unanswered);
        break;
      case Happening.Break:
      case Happening.Cancel:
        this.#isWithdrawn ||= !this.#isDispatched;
        this.entry.settle(this.#isDispatched ? SendFate.Unanswered : SendFate.Unsent);
        break;
    }
  }

  get #fateOfAnswer(): serving.SendFate {
    if (this.#reaction === Reaction.Declines) return SendFate.Declined;
    const isHandle = this.entry.kind === SendKind.Prefill && this.#reaction === Reaction.Serves;
    return isHandle ? SendFate.Prefilled : SendFate.Answered;
  }
}

/** A request that may run once: it isn't sent again once a send may have run it. */
class SimulatedRequest {
  readonly ledger = new serving.SendLedger();
  readonly sends: SimulatedSend[] = [];

  take(step: Step): void {
    if ("happening" in step) this.sends[step.send]?.undergo(step.happening);
    else if (!this.ledger.mayHaveRun && this.sends.length < MAX_SENDS)
      this.sends.push(new SimulatedSend(this.ledger.open(`e${this.sends.length}`, step.kind), step.reaction));
  }

  /** Lets everything leave that still may. */
  dispatchAll(): void {
    for (const send of this.sends) send.undergo(Happening.Dispatch);
  }
}

const SENDING: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...Object.values(SendKind)),
  reaction: fc.constantFrom(...Object.values(Reaction)),
});
const EVENT: fc.Arbitrary<Step> = fc.record({
  send: fc.nat({ max: MAX_SENDS - 1 }),
  happening: fc.constantFrom(...Object.values(Happening)),
});
const STEPS = fc.array(fc.oneof(SENDING, { arbitrary: EVENT, weight: 3 }), { maxLength: MAX_EVENTS });

const suite = uvu.suite("the ledger of a request's sends");

// Guards against a promise that a request has not run while an endpoint has run it, or still may.
suite("a request with a proof hasn't run and never will, whatever the order of events", () => {
  let proofs = 0;
  const property = fc.property(STEPS, (steps) => {
    const request = new SimulatedRequest();
    for (const step of steps) request.take(step);
    if (request.ledger.proveNotRun() === undefined) return;
    if (request.sends.length > 0) proofs++;
    request.dispatchAll();
    assert.not.ok(request.sends.some(({ hasRun }) => hasRun));
  });
  fc.assert(property, RUNS);
  assert.ok(proofs > 0, "no generated request was sent and has a proof");
});

// Guards against a request that an endpoint runs after another one may have run it.
suite("of the sends that are to run a request, at most one does", () => {
  let ran = 0;
  const property = fc.property(STEPS, (steps) => {
    const request = new SimulatedRequest();
    for (const step of steps) request.take(step);
    request.dispatchAll();
    const runs = request.sends.filter(({ entry, hasRun }) => hasRun && entry.kind === SendKind.Run);
    ran += runs.length;
    assert.ok(runs.length <= 1);
  });
  fc.assert(property, RUNS);
  assert.ok(ran > 0, "no generated request has run");
});

// Guards against a request that is sent again after a prefill that was answered like a run.
suite("a request isn't sent on once a prefill was answered without a handle or a rejection", () => {
  const property = fc.property(STEPS, (steps) => {
    const request = new SimulatedRequest();
    for (const step of steps) {
      const isAnswered = request.sends.some(({ entry }) => entry.fate === SendFate.Answered);
      const sends = request.sends.length;
      request.take(step);
      if (isAnswered) assert.is(request.sends.length, sends);
    }
  });
  fc.assert(property, RUNS);
});

// Guards against a conclusion that a late event takes back: it has been told to the caller.
suite("once each send is settled, no later event changes the conclusion", () => {
  const property = fc.property(STEPS, fc.array(EVENT, { maxLength: MAX_EVENTS }), (steps, lateEvents) => {
    const request = new SimulatedRequest();
    for (const step of [...steps, ...cancellations()]) request.take(step);
    const { ledger } = request;
    const concluded = [ledger.proveNotRun() !== undefined, ledger.mayHaveRun, ledger.toString()];
    for (const event of lateEvents) request.take(event);
    assert.equal([ledger.proveNotRun() !== undefined, ledger.mayHaveRun, ledger.toString()], concluded);
  });
  fc.assert(property, RUNS);
});

function cancellations(): Step[] {
  return Array.from({ length: MAX_SENDS }, (_, send) => ({ send, happening: Happening.Cancel }));
}

// Guards against requests that are given up as possibly run although each endpoint has said that it didn't run them.
suite("a request that each endpoint has declined, or that never left, has a proof", () => {
  const sends = fc.array(fc.record({ kind: fc.constantFrom(...Object.values(SendKind)), isDispatched: fc.boolean() }), {
    maxLength: MAX_SENDS,
  });
  const property = fc.property(sends, fc.array(EVENT, { maxLength: MAX_EVENTS }), (all, lateEvents) => {
    const request = new SimulatedRequest();
    for (const [send, { isDispatched, kind }] of all.entries()) {
      request.take({ kind, reaction: Reaction.Declines });
      if (isDispatched) request.take({ send, happening: Happening.Dispatch });
      request.take({ send, happening: isDispatched ? Happening.OwnAnswer : Happening.Cancel });
    }
    for (const event of lateEvents) request.take(event);
    assert.is(request.sends.length, all.length);
    assert.is(request.ledger.proveNotRun()?.sends, all.length);
  });
  fc.assert(property, RUNS);
});

/** A send with its fate. */
const SETTLED = fc.record({
  kind: fc.constantFrom(...Object.values(SendKind)),
  fate: fc.constantFrom(...Object.values(SendFate)),
});

// Guards against a later send that hides what has become of an earlier one.
suite("the conclusion doesn't depend on the order of the sends", () => {
  const conclude = (sends: readonly { kind: serving.SendKind; fate: serving.SendFate }[]): boolean[] => {
    const ledger = new serving.SendLedger();
    for (const { fate, kind } of sends) ledger.open("e1", kind).settle(fate);
    return [ledger.mayHaveRun, ledger.proveNotRun() !== undefined];
  };
  const property = fc.property(fc.array(SETTLED, { maxLength: MAX_SENDS }), fc.nat(), (sends, turn) => {
    const turned = sends.map((_, index) => sends[(index + turn) % sends.length]).filter((each) => each !== undefined);
    assert.equal(conclude(turned), conclude(sends));
    assert.equal(conclude([...sends].reverse()), conclude(sends));
  });
  fc.assert(property, RUNS);
});

// Guards against a send that is under way, or whose answer is lost, and that counts as not run.
suite("a send that is open, unanswered or answered otherwise leaves no proof", () => {
  for (const kind of Object.values(SendKind)) {
    for (const fate of [SendFate.Open, SendFate.Answered, SendFate.Unanswered]) {
      const ledger = new serving.SendLedger();
      ledger.open("e1", SendKind.Run).settle(SendFate.Declined);
      ledger.open("e2", kind).settle(fate);
      assert.is(ledger.proveNotRun(), undefined, `${kind} ${fate}`);
      assert.is(ledger.mayHaveRun, kind === SendKind.Run || fate === SendFate.Answered, `${kind} ${fate}`);
    }
  }
});

suite.run();
