import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as workDeltas from "../src/distance/workDeltas.js";
import * as fairnessHelper from "./helpers/fairness.js";
import * as pacing from "./helpers/pacing.js";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as peerWorks from "../src/peerWork.js";

const VALID_MS = 700;

const suite = uvu.suite("tokens that requests hold at engines, in heartbeats");

/** A daemon's counts of work, and what it logs. */
class Daemon {
  readonly loads = new serving.EngineLoadTracker();
  readonly lines: string[] = [];
  readonly work = new peerWorks.PeerWork({
    view: new fleetViews.FleetView(),
    loads: this.loads,
    demand: new serving.Demand(),
    speeds: new serving.ServiceSpeeds(),
    acceptance: new serving.AcceptanceTracker(),
    pacing: pacing.createPacing(),
    fairness: fairnessHelper.createFairness(new fleetViews.FleetView()),
    log: new decisionLogs.DecisionLog("vm", "info", {
      writableLength: 0,
      write: (line: string) => this.lines.push(line) > 0,
    }),
  });

  receive(work: readonly messages.EndpointWork[]): void {
    this.work.apply(protobuf.create(messages.PulseSchema, { vm: "vm-1", work: [...work] }), 0, VALID_MS);
  }
}

suite("a peer counts what this daemon's requests hold", () => {
  const sender = new Daemon();
  sender.loads.beginRequest("e", 3_000);
  const receiver = new Daemon();
  receiver.receive(sender.work.createFields(workDeltas.Audience.Near, 0).work);
  assert.is(receiver.loads.heldTokens("e", 0), 3_000);
  assert.is(receiver.loads.runningRequests("e", 0), 1);
});

suite("a daemon that counts nothing reports nothing, and one of older software holds nothing", () => {
  const sender = new Daemon();
  sender.loads.beginRequest("e");
  const { work } = sender.work.createFields(workDeltas.Audience.Near, 0);
  assert.is(work[0]?.heldTokens, 0);
  const receiver = new Daemon();
  receiver.receive(work);
  assert.is(receiver.loads.heldTokens("e", 0), 0);
});

// A peer's fault must not keep requests from engines that hold nothing.
suite("tokens that are held where nothing runs are left out, and logged once a heartbeat", () => {
  const receiver = new Daemon();
  const wrong = ["e", "f"].map((endpoint) =>
    protobuf.create(messages.EndpointWorkSchema, { endpoint, running: 0, heldTokens: 9_000 }),
  );
  receiver.receive(wrong);
  assert.is(receiver.loads.heldTokens("e", 0), 0);
  assert.is(receiver.lines.filter((line) => line.includes("event=impossible-held-tokens")).length, 1);
});

suite.run();
