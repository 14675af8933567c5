import * as common from "@camphorcourse/common";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "../src/index.js";
import * as coreHarness from "./helpers/coreHarness.js";
import * as documents from "./helpers/documents.js";

const VMS = Array.from({ length: 9 }, (_, index) => `vm-${index + 1}`);

function documentOf(version: number): string {
  return documents.PLAIN_TEAM.replace("deadlineMs: 8000", `deadlineMs: ${1000 + version}`);
}

function versionAt(harness: coreHarness.CoreHarness, vm: string): number {
  const service = harness.core(vm).tree.service("leoben/yard-app");
  return (service?.settings.deadlineMs ?? 1000) - 1000;
}

const parsing = uvu.suite("team documents");

parsing("an error names its path and how to correct it", () => {
  const text = documents.PLAIN_TEAM.replace("deadlineMs: 8000", "deadlineMs: soon").replace("printer-2", "Printer 2");
  const parsed = core.parseTeamDocument(text, "leoben");
  assert.ok(parsed.isErr());
  const problem = parsed._unsafeUnwrapErr();
  assert.is(problem.kind, common.ProblemKind.InvalidConfiguration);
  assert.match(problem.detail, "services.yard-app.deadlineMs");
  assert.match(problem.detail, "lower-case letters");
});

parsing("an endpoint of an unknown service and another team's document are refused", () => {
  const unknown = core.parseTeamDocument(
    documents.PLAIN_TEAM.replaceAll("service: yard-app", "service: gate"),
    "leoben",
  );
  assert.match(unknown._unsafeUnwrapErr().detail, "endpoints.printer-1.service");
  const otherTeam = core.parseTeamDocument(documents.PLAIN_TEAM, "ishikari");
  assert.match(otherTeam._unsafeUnwrapErr().detail, "the path names 'ishikari'");
});

parsing("neither arbitrary text nor expanding aliases make the parser throw", () => {
  const expandingAliases = `a: &a [1,1,1,1,1,1,1,1,1]\nb: &b [*a,*a,*a,*a,*a,*a]\nc: [*b,*b,*b,*b,*b,*b]`;
  assert.ok(core.parseTeamDocument(expandingAliases, "leoben").isErr());
  fastCheck.assert(
    fastCheck.property(fastCheck.string({ unit: "binary", maxLength: 300 }), (text) => {
      assert.ok(core.parseTeamDocument(text, "leoben").isErr());
    }),
    { numRuns: 500, seed: 1 },
  );
});

parsing.run();

const forward = uvu.suite("configuration moves forward");

/*
 * Nine daemons follow a team's document while it changes repeatedly. Daemons
 * are paused and restarted, and watch events arrive late. No daemon reverts to
 * an older document, and all end with the last one.
 */
forward("no daemon reverts, whatever the order in which changes reach it", () => {
  const change = fastCheck.record({
    what: fastCheck.constantFrom("apply", "apply", "pause", "restart"),
    vm: fastCheck.integer({ min: 0, max: 8 }),
    waitMs: fastCheck.integer({ min: 0, max: 400 }),
  });
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 1, max: 1e9 }),
      fastCheck.array(change, { maxLength: 25 }),
      (seed, steps) => {
        const harness = new coreHarness.CoreHarness(seed);
        harness.configure(documentOf(1), "leoben");
        for (const vm of VMS) harness.start(vm);
        let version = 1;
        const lastVersions = new Map<string, number>();
        for (const step of steps) {
          const vm = VMS[step.vm] ?? "vm-1";
          if (step.what === "apply") harness.configure(documentOf(++version), "leoben");
          if (step.what === "pause") harness.pause(vm, 1500);
          if (step.what === "restart") {
            harness.start(vm);
            lastVersions.delete(vm);
          }
          harness.run(step.waitMs);
          for (const name of VMS) {
            const present = versionAt(harness, name);
            assert.ok(present >= (lastVersions.get(name) ?? 0), `${name} went back to ${present}`);
            lastVersions.set(name, present);
          }
        }
        harness.run(2000);
        for (const name of VMS) assert.is(versionAt(harness, name), version);
      },
    ),
    { numRuns: 40, seed: 20261202, endOnFailure: true },
  );
});

/*
 * A daemon that was paused while it pushed records to its peers delivers an old
 * record after the new one. The old record has no effect.
 */
forward("a late push of an older record changes nothing", () => {
  const store = new core.ControlStore();
  const record = (value: string, modRevision: number): core.KeyRecord => ({
    key: "k",
    value,
    createRevision: 1,
    modRevision,
  });
  assert.ok(store.apply(record("new", 9)));
  assert.not(store.apply(record("old", 5)));
  assert.is(store.get("k")?.value, "new");
  assert.ok(store.apply({ ...record("", 12), deleted: true }));
  assert.not(store.apply(record("new", 9)));
  assert.is(store.get("k"), undefined);
});

forward.run();

const freshness = uvu.suite("freshness of the view");

/*
 * A daemon is cut off from the key-value service and from its peers. After the
 * maximum age of its view it refuses new requests as not run, since an endpoint
 * may be draining without its knowledge. With most peers reachable it keeps
 * serving.
 */
freshness("a daemon that reaches neither the key-value service nor its peers refuses new requests", () => {
  const harness = new coreHarness.CoreHarness(2);
  harness.configure(documents.PLAIN_TEAM, "leoben");
  for (const vm of ["vm-1", "vm-2", "vm-3"]) harness.start(vm);
  harness.run(3000);
  harness.keyValueDown = true;
  harness.run(10_000);
  assert.is(harness.core("vm-1").refusal(harness.now), undefined);
  harness.kill("vm-2");
  harness.kill("vm-3");
  harness.run(10_000);
  assert.is(harness.core("vm-1").refusal(harness.now)?.kind, common.ProblemKind.Isolated);
  assert.is(harness.core("vm-1").refusal(harness.now)?.outcome, common.Outcome.NotRun);
});

/*
 * A daemon was paused, and requests are waiting in its sockets when it resumes.
 * It refuses them until it has contact with the service or a peer, since its
 * view may be out of date.
 */
freshness("requests that waited during a pause are not served from an outdated view", () => {
  const harness = new coreHarness.CoreHarness(2);
  harness.configure(documents.PLAIN_TEAM, "leoben");
  const daemon = harness.start("vm-1");
  harness.run(3000);
  const request = documents.plainCall("late", "key");
  const instant = { now: harness.now + 20_000, systemTime: 0 };
  const actions = daemon.handle({ type: core.EventType.RequestArrived, request }, instant);
  const refusal = actions.find((action) => action.type === core.ActionType.Refuse);
  assert.is(refusal?.type === core.ActionType.Refuse && refusal.problem.kind, common.ProblemKind.Isolated);
});

/*
 * The key-value service loses all leases at the same time. The daemons still
 * receive each other's heartbeats, so none removes the others from its roster.
 */
freshness("the loss of all registrations at once doesn't empty the roster", () => {
  const harness = new coreHarness.CoreHarness(2);
  harness.configure(documents.PLAIN_TEAM, "leoben");
  for (const vm of ["vm-1", "vm-2", "vm-3"]) harness.start(vm);
  harness.run(3000);
  const members = harness.store.range(
    `${core.constants.CONTROL_PREFIX}members/`,
    `${core.constants.CONTROL_PREFIX}members0`,
  );
  for (const { lease } of members) harness.store.revokeLease(lease);
  harness.run(300);
  assert.is(harness.core("vm-1").servingMembers(harness.now).length, 3);
  harness.run(10_000);
  assert.is(harness.core("vm-1").servingMembers(harness.now).length, 3);
});

freshness.run();
