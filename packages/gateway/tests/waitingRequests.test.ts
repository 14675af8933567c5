import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as waitingRequests from "../src/limits/waitingRequests.js";

const suite = uvu.suite("requests that wait for endpoints with limits");
const sleep = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Lets a number of requests through, and records which. */
class Gate {
  readonly waiting = new waitingRequests.WaitingRequests();
  readonly passed: string[] = [];
  room = 0;

  request(name: string): waitingRequests.WaitingRequest {
    const request: waitingRequests.WaitingRequest = {
      readyInMs: () => (this.room > 0 ? 0 : Infinity),
      resume: () => {
        if (this.room === 0) {
          this.waiting.add("s", request, true);
          return;
        }
        this.room--;
        this.passed.push(name);
      },
    };
    return request;
  }
}

suite("the first that came goes first", async () => {
  const gate = new Gate();
  for (const name of ["1", "2", "3"]) gate.waiting.add("s", gate.request(name), false);
  assert.is(gate.waiting.count("s"), 3);
  gate.room = 2;
  await sleep(120);
  assert.equal(gate.passed, ["1", "2"]);
  gate.room = 1;
  await sleep(120);
  assert.equal(gate.passed, ["1", "2", "3"]);
  assert.is(gate.waiting.count("s"), 0);
});

suite("one that is resumed in vain keeps its place", async () => {
  const gate = new Gate();
  const first = gate.request("1");
  let isEarly = true;
  gate.waiting.add("s", { readyInMs: () => (isEarly ? 0 : first.readyInMs()), resume: () => first.resume() }, false);
  gate.waiting.add("s", gate.request("2"), false);
  await sleep(60);
  isEarly = false;
  gate.room = 2;
  await sleep(120);
  assert.equal(gate.passed, ["1", "2"]);
});

suite("one whose caller has left is not resumed", async () => {
  const gate = new Gate();
  const leaving = gate.request("1");
  gate.waiting.add("s", leaving, false);
  gate.waiting.add("s", gate.request("2"), false);
  gate.waiting.remove(leaving);
  gate.room = 5;
  await sleep(120);
  assert.equal(gate.passed, ["2"]);
});

suite.run();
