import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as stands from "./helpers/exchangeHarness.js";

const { Decode, Prefill } = serving.EngineRole;

/** Patience of the caller, in milliseconds. */
const PATIENCE_MS = 400;

const suite = uvu.suite("a request whose time is up");

function standStill(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

// A daemon's loop has fallen behind: the engine that read the prompt has answered in time, but is heard only after the
// caller has given up, and before the deadline's own timer has its turn. The prompt went on to the next engine, which
// worked for nobody: eight requests of a day reached an engine over half a second after their callers had left.
suite("is not sent on when its engine is heard too late", () => {
  const stand = new stands.ExchangeStand(serving.RequestClass.Stream, [Prefill, Decode], PATIENCE_MS);
  stand.exchange.start();
  const reading = stand.send(0);
  standStill(PATIENCE_MS * 1.25);
  assert.ok(reading.receiver.onHead(200, {}));
  reading.receiver.onData(Buffer.from("handle"));
  reading.receiver.onEnd();
  assert.equal(
    stand.sends.map(({ path }) => path).filter((path) => !path.startsWith("/free/")),
    [reading.path],
  );
  assert.is(stand.answer.refusals[0]?.status, 503, "nothing of it has run");
  assert.is(stand.running, 0);
});

suite.run();
