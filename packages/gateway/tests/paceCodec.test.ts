import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as paceCodec from "../src/pacing/paceCodec.js";

const suite = uvu.suite("paces of engines in heartbeats");

const BORN_AT = 1_700_000_000_000;
const PACE: serving.EnginePace = { endpointId: "e0", ratio: 2.47, ageMs: 30, pauseMs: 150 };

/** A daemon that knows some engines and receives paces. */
class Receiver {
  readonly view = new fleetViews.FleetView();
  readonly applied: serving.EnginePace[] = [];
  readonly lines: string[] = [];

  constructor(engines = 1) {
    for (let index = 0; index < engines; index++) {
      const properties = { service: "s", address: `127.0.0.1:${index + 1}`, dataCentre: "a", slots: 8 };
      const engine = { id: `e${index}`, ...properties, role: serving.EngineRole.Decode, leaving: false };
      this.view.directory.put({ ...engine, bornAt: BORN_AT }, index + 1);
    }
  }

  receive(paces: readonly messages.EnginePace[]): void {
    const sink = { writableLength: 0, write: (line: string) => this.lines.push(line) > 0 };
    const pulse = protobuf.create(messages.PulseSchema, { vm: "vm-2", enginePaces: [...paces] });
    const received = protobuf.fromBinary(messages.PulseSchema, protobuf.toBinary(messages.PulseSchema, pulse));
    const log = new decisionLogs.DecisionLog("vm-1", "info", sink);
    paceCodec.applyPaces(
      received,
      { view: this.view, pacing: { notePeer: (pace) => this.applied.push(pace) }, log },
      0,
    );
  }

  message(pace = PACE): messages.EnginePace {
    return paceCodec.toMessage(pace, this.view);
  }
}

suite("a pace arrives as it was sent", () => {
  const receiver = new Receiver();
  receiver.receive([receiver.message()]);
  assert.equal(receiver.applied, [PACE]);
  assert.equal(receiver.lines, []);
});

// Guards against a daemon of older software whose heartbeats change a decision.
suite("a heartbeat without paces changes nothing", () => {
  const receiver = new Receiver();
  receiver.receive([]);
  assert.equal([receiver.applied, receiver.lines], [[], []]);
});

// Guards against a faulty peer that takes engines out of use.
suite("impossible paces are left out, and logged once a heartbeat", () => {
  const receiver = new Receiver();
  const pace = receiver.message();
  receiver.receive([
    { ...pace, gapRatioPercent: 0 },
    { ...pace, gapRatioPercent: 4_000_000_000 },
    { ...pace, ageMs: serving.PACE_VALID_MS + 1 },
    { ...pace, pauseMs: 0 },
    pace,
  ]);
  assert.equal(receiver.applied, [PACE]);
  assert.is(receiver.lines.length, 1);
  assert.match(receiver.lines[0] ?? "", /impossible-paces peer=vm-2 paces=4/);
});

// Guards against memory that grows with what a faulty peer sends.
suite("no more paces are applied than a daemon may send", () => {
  const receiver = new Receiver(serving.MAX_SENT_PACES + 1);
  const paces = Array.from({ length: serving.MAX_SENT_PACES + 1 }, (_, index) =>
    receiver.message({ ...PACE, endpointId: `e${index}` }),
  );
  receiver.receive(paces);
  assert.is(receiver.applied.length, serving.MAX_SENT_PACES);
});

// Guards against an engine that has just started and counts as slow because of its previous incarnation.
suite("paces of another incarnation, and of engines that aren't known, are left out", () => {
  const receiver = new Receiver();
  const pace = receiver.message();
  receiver.receive([
    { ...pace, startedAtMs: BigInt(BORN_AT - 1) },
    { ...pace, endpoint: "unknown" },
  ]);
  assert.equal(receiver.applied, []);
});

suite.run();
