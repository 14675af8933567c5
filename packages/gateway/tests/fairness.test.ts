import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as fairnessModule from "../src/fairness/fairness.js";
import * as promptAdmissions from "../src/fairness/promptAdmission.js";
import * as fairnessCodec from "../src/fairness/fairnessCodec.js";
import * as fleetViews from "../src/fleetView.js";
import * as workDeltas from "../src/distance/workDeltas.js";
import * as fairnessHelper from "./helpers/fairness.js";

const NEAR = workDeltas.Audience.Near;

const suite = uvu.suite("ranks and shares of organisations");

type Asking = Parameters<fairnessModule.Fairness["standingOf"]>[0];

const ROUTE: serving.Route = {
  name: "chat",
  host: "h",
  pathPrefix: "/",
  requestClass: serving.RequestClass.Stream,
  resumable: false,
  carriesPrompt: true,
  timeoutMs: 5_000,
  objectiveMs: 400,
  pauseMs: 300,
  priority: 2,
  attempts: 2,
  shares: [{ service: "s", weight: 1 }],
  isPublic: false,
};

const ENGINE: serving.Endpoint = {
  id: "d1",
  service: "s",
  address: "d1:1",
  dataCentre: "a",
  slots: 16,
  role: serving.EngineRole.Decode,
  leaving: false,
};

const PLAN: serving.EnginePlan = {
  decodeEngine: ENGINE,
  prefillEngine: undefined,
  copySource: undefined,
  unreadTokens: 1_000,
  workTokens: 1_000,
  urgency: 2,
  tokensAhead: 0,
  tokensWaiting: 0,
  predictedMs: 100,
  unloadedMs: 100,
};

function viewWith(organisations: readonly serving.Organisation[] | undefined, revision = 1): fleetViews.FleetView {
  const view = new fleetViews.FleetView();
  configure(view, organisations, revision);
  return view;
}

function configure(
  view: fleetViews.FleetView,
  organisations: readonly serving.Organisation[] | undefined,
  revision: number,
): void {
  const engine = { slots: 16, memoryTokens: 500_000, handleMs: 5_000 };
  const services = [{ name: "s", maxConnections: 100, engine }];
  const limits = { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
  const configuration = { version: 1, routes: [ROUTE], services, limits };
  const restricted = organisations === undefined ? {} : { organisations };
  view.configure({ ...configuration, ...restricted }, new Uint8Array([revision]), revision);
}

function organisation(name: string, priority?: number): serving.Organisation {
  return { name, keyDigests: [], priority };
}

/** A request of an organisation; the last part of its prompt names the session. */
function asking(name: string, session = "session"): Asking {
  const prompt = { model: "m", parts: [{ id: session, tokens: 1_000 }], promptTokens: 1_000, outputTokens: 10 };
  return {
    access: { restricted: true, organisation: organisation(name) },
    caller: { headers: { prompt } },
    route: ROUTE,
    service: "s",
  } as unknown as Asking;
}

function reject(fairness: fairnessModule.Fairness, request: Asking, now: number): void {
  fairness.noteDecision(request, PLAN, { isAccepted: false, isShort: true, isPromoted: false }, now);
}

function accept(fairness: fairnessModule.Fairness, request: Asking, now: number): void {
  fairness.noteDecision(request, PLAN, { isAccepted: true, isShort: false, isPromoted: false }, now);
}

function pulseOf(fairness: fairnessModule.Fairness, vm: string, now: number): messages.Pulse {
  const pulse = protobuf.create(messages.PulseSchema, { vm, ...fairness.createFields(NEAR, now) });
  return protobuf.fromBinary(messages.PulseSchema, protobuf.toBinary(messages.PulseSchema, pulse));
}

// Guards against a deployment without organisations that is served differently than before.
suite("without organisations nothing is decided, counted or sent, whatever peers report", () => {
  const fairness = fairnessHelper.createFairness(viewWith(undefined));
  const other = fairnessHelper.createFairness(viewWith([organisation("a"), organisation("b")]));
  for (let times = 0; times < 50; times++) reject(other, asking("a", `s${times}`), 0);
  fairness.apply(pulseOf(other, "vm-2", 0), 0);
  for (let times = 0; times < 5; times++) reject(fairness, asking("a"), 0);
  assert.is(fairness.standingOf(asking("a"), 300), undefined);
  assert.equal(fairness.createFields(NEAR, 600), {});
  assert.is(fairness.overShare(300), 0);
  assert.is(fairness.sessions, 0);
});

// Guards against shares that decide although no organisation exceeds its own.
suite("with one rank, shares decide only while an organisation is far above its share", () => {
  const fairness = fairnessHelper.createFairness(viewWith([organisation("a"), organisation("b")]));
  accept(fairness, asking("a"), 0);
  reject(fairness, asking("b"), 0);
  assert.is(fairness.standingOf(asking("a"), 300), undefined);
  for (let times = 0; times < 20; times++) accept(fairness, asking("a", `s${times}`), 300);
  for (const name of ["a", "b"])
    for (let times = 0; times < 40; times++) reject(fairness, asking(name, `r${times}`), 300);
  accept(fairness, asking("b"), 300);
  const [large, small] = ["a", "b"].map((name) => fairness.standingOf(asking(name), 600));
  assert.ok((large?.share.ofFairShare ?? 0) < 2);
  assert.is(small, undefined);
});

// Guards against a configuration whose new ranks don't come into force, or forget what was counted.
suite("a configuration that changes ranks under load takes effect with the next request", () => {
  const view = viewWith([organisation("a", 1), organisation("b", 4)]);
  const fairness = fairnessHelper.createFairness(view);
  reject(fairness, asking("b"), 0);
  assert.is(fairness.standingOf(asking("b"), 300)?.rankShift, 2);
  configure(view, [organisation("a", 4), organisation("b", 1)], 2);
  const standing = fairness.standingOf(asking("b"), 300);
  assert.is(standing?.rankShift, 0);
  assert.is(standing?.rank, 1);
  assert.is(standing?.rejections, 1);
});

// Guards against a caller that starts over at each daemon.
suite("peers learn of rejected sessions, which are told apart by organisation", () => {
  const view = viewWith([organisation("a", 1), organisation("b", 4)]);
  const [first, second] = [fairnessHelper.createFairness(view), fairnessHelper.createFairness(view)];
  reject(first, asking("a"), 0);
  second.apply(pulseOf(first, "vm-1", 10), 20);
  assert.is(second.standingOf(asking("a"), 30)?.rejections, 1);
  assert.is(second.standingOf(asking("b"), 30)?.rejections, 0);
  accept(second, asking("a"), 40);
  assert.is(second.standingOf(asking("a"), 50)?.rejections, 0);
});

// Guards against a heartbeat that grows with the number of organisations.
for (const count of [83, 1_900]) {
  suite(`a heartbeat's part for ${count} organisations is bounded, and sent twice a second at most`, () => {
    const names = Array.from({ length: count }, (_, index) => `organisation-number-${index}`);
    const fairness = fairnessHelper.createFairness(viewWith(names.map((name) => organisation(name))));
    for (const name of names) reject(fairness, asking(name, `s-${name}`), 0);
    const sizes = [0, 100, 200, 300, 400, 500].map((now) => {
      const fields = fairness.createFields(NEAR, now);
      const bytes = protobuf.toBinary(messages.PulseSchema, protobuf.create(messages.PulseSchema, fields)).length;
      return { bytes, hasShares: fields.organisationsSeen !== undefined };
    });
    assert.ok(
      sizes.every(({ bytes }) => bytes <= 450),
      JSON.stringify(sizes),
    );
    assert.equal(
      sizes.map(({ hasShares }) => hasShares),
      [true, false, false, false, false, true],
    );
  });
}

const works = fastCheck.array(
  fastCheck.record({
    organisation: fastCheck.oneof(fastCheck.constantFrom("", "a", "b", "c"), fastCheck.string({ maxLength: 200 })),
    engineMs: fastCheck.nat({ max: 100_000_000 }),
    rejectedMs: fastCheck.nat({ max: 100_000_000 }),
  }),
  { maxLength: 20 },
);

// Guards against values of a faulty peer that would hold all others back.
suite("impossible values of peers are left out", () => {
  fastCheck.assert(
    fastCheck.property(
      works,
      fastCheck.nat({ max: 100_000_000 }),
      fastCheck.nat({ max: 80_000 }),
      (work, others, seen) => {
        const pulse = protobuf.create(messages.PulseSchema, {
          organisationWork: work.map((each) => protobuf.create(messages.OrganisationWorkSchema, each)),
          otherOrganisationsMs: others,
          organisationsSeen: seen,
        });
        const { report } = fairnessCodec.fromPulse(pulse);
        if (report === undefined) return;
        assert.ok(report.largest.length <= serving.MAX_NAMED_ORGANISATIONS);
        assert.ok(report.organisations >= report.largest.length);
        assert.is(new Set(report.largest.map((each) => each.organisation)).size, report.largest.length);
        assert.ok(report.largest.every((each) => each.usedMs <= 86_400_000 && each.organisation.length > 0));
      },
    ),
  );
  const session = { session: 1n, rejections: 0, firstAgoMs: 0 };
  const faulty = protobuf.create(messages.RejectedSessionSchema, session);
  assert.is(fairnessCodec.sessionFromMessage(faulty, 0), undefined);
});

// Guards against a log that a faulty peer fills.
suite("impossible values are logged once a heartbeat", () => {
  const lines: string[] = [];
  const view = viewWith([organisation("a", 1), organisation("b", 4)]);
  const fairness = fairnessHelper.createFairness(view, (line) => lines.push(line) > 0);
  const rejectedSessions = Array.from({ length: 20 }, () => protobuf.create(messages.RejectedSessionSchema, {}));
  const organisationWork = Array.from({ length: 20 }, () => protobuf.create(messages.OrganisationWorkSchema, {}));
  const fields = { vm: "vm-2", rejectedSessions, organisationWork, organisationsSeen: 1 };
  fairness.apply(protobuf.create(messages.PulseSchema, fields), 0);
  assert.is(lines.length, 1);
});

// Guards against daemons of older software, whose heartbeats have none of the fields, that count as having no requests.
suite("a heartbeat without shares changes nothing", () => {
  const view = viewWith([organisation("a", 1), organisation("b", 4)]);
  const [first, second] = [fairnessHelper.createFairness(view), fairnessHelper.createFairness(view)];
  for (let times = 0; times < 10; times++) reject(first, asking("a", `s${times}`), 0);
  second.apply(pulseOf(first, "vm-1", 0), 0);
  second.apply(protobuf.create(messages.PulseSchema, { vm: "vm-1" }), 100);
  assert.is(second.standingOf(asking("a"), 300)?.share.isShortage, true);
});

// Guards against daemons of other regions that never learn of sessions and shares which the own region's heartbeats took.
suite("each audience gets each rejected session, and the shares in its own time", () => {
  const distances = serving.distancesBetweenRegions({ dataCentre: "a1", dataCentres: { a1: "a", b1: "b" } });
  const fairness = fairnessHelper.createFairness(
    viewWith([organisation("a"), organisation("b")]),
    undefined,
    distances,
  );
  reject(fairness, asking("a", "s1"), 0);
  // Each is sent twice, as a datagram may be lost.
  const [near, distant] = Object.values(workDeltas.Audience).map((audience, index) =>
    [0, 100, 200, 300].map((now) => fairness.createFields(audience, index * 1_000 + now)),
  );
  for (const fields of [near, distant]) {
    assert.equal(
      fields?.map((each) => each.rejectedSessions?.length),
      [1, 1, 0, 0],
    );
    assert.equal(
      fields?.map((each) => each.organisationsSeen),
      [1, undefined, undefined, undefined],
    );
  }
});

function decide(organisations: readonly serving.Organisation[] | undefined): promptAdmissions.DecidedAdmission {
  const fairness = fairnessHelper.createFairness(viewWith(organisations));
  const context = { acceptance: new serving.AcceptanceTracker(), fairness };
  const request = asking("a");
  const placement = {
    prompt: request.caller.headers.prompt,
    loads: new serving.EngineLoadTracker(),
    speeds: new serving.EngineSpeeds(),
    slowness: () => 1,
    now: 0,
  };
  const limits = { kind: "chat", isLearned: true, callerTimeoutMs: 2_400, remainingMs: 5_000, draw: 0 };
  return promptAdmissions.decideAdmission(context as never, request as never, PLAN, placement as never, limits);
}

// Guards against a log that doesn't tell why an organisation is rejected, and one that changes without organisations.
suite("the admission's fields name organisation, rank and share where they decide, and nothing otherwise", () => {
  const { admitted, fields } = decide([organisation("a", 1), organisation("b", 4)]);
  assert.is(admitted.isOk(), true);
  assert.is(fields["organisation"], "a");
  assert.is(fields["rank"], 1);
  assert.is(fields["share"], "0.00");
  const without = decide(undefined);
  assert.equal(without.fields, {});
  assert.is(without.admitted._unsafeUnwrap(), PLAN);
});

suite.run();
