import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const DAEMONS = 9;

const fleet = new standIns.Fleet({ engines: 0, services: 1, daemons: DAEMONS });
const suite = uvu.suite("configuration changes, with processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

async function deadlines(): Promise<number[]> {
  const services = await Promise.all(
    fleet.daemons.map((_, index) => fleet.admin<{ service: string; deadlineMs: number }[]>(index, "/admin/services")),
  );
  return services.map((list) => list.find((service) => service.service === "leoben/yard-app")?.deadlineMs ?? 0);
}

async function currentVersion(): Promise<number> {
  const record = await fleet.admin<{ version: number }>(0, "/admin/teams/leoben");
  return record.version;
}

function isAppliedEverywhere(deadlineMs: number): Promise<boolean> {
  return standIns.waitUntil(async () => (await deadlines()).every((deadline) => deadline === deadlineMs));
}

/*
 * Five operators change a team's document concurrently, based on the same
 * version. One change is accepted; the others get a conflict that shows both
 * documents. All nine daemons apply the accepted one.
 */
suite("one of several concurrent changes is accepted, the others get a conflict", async () => {
  const version = await currentVersion();
  const replies = await Promise.all(
    [1001, 1002, 1003, 1004, 1005].map((plainDeadlineMs, index) =>
      fleet.apply(fleet.document({ plainDeadlineMs }), version, index),
    ),
  );
  const accepted = replies.filter((reply) => reply.status === 200);
  assert.is(accepted.length, 1);
  const refused = replies.find((reply) => reply.status === 409);
  const problem = (await refused?.json()) as { title: string; detail: string };
  assert.is(problem.title, "configuration-conflict");
  assert.match(problem.detail, "theirs:");
  assert.match(problem.detail, "yours:");
  assert.ok(await isAppliedEverywhere(1001 + replies.findIndex((reply) => reply.status === 200)));
});

/*
 * The reply to the write of a change is lost. The daemon reads the record back,
 * finds its own attempt id in it and reports the change as accepted.
 */
suite("a lost reply to the write of a change is resolved by reading back", async () => {
  const version = await currentVersion();
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 1 });
  const reply = await fleet.apply(fleet.document({ plainDeadlineMs: 2000 }), version);
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 0 });
  assert.ok(reply.status === 200 || (await currentVersion()) === version + 1);
  assert.ok(await isAppliedEverywhere(2000));
});

/*
 * The key-value service goes down right after a change is accepted. The daemon
 * that wrote it pushes it to its peers directly, so that all apply it during the
 * outage. It stays applied after the outage.
 */
suite("a change accepted just before an outage is applied during it", async () => {
  const version = await currentVersion();
  const reply = await fleet.apply(fleet.document({ plainDeadlineMs: 3000 }), version, 4);
  await fleet.setFaults(fleet.keyValueUrl, { down: true });
  assert.is(reply.status, 200);
  assert.ok(await isAppliedEverywhere(3000));
  await fleet.setFaults(fleet.keyValueUrl, { down: false });
  assert.ok(await standIns.waitUntil(async () => (await currentVersion()) === version + 1));
  assert.ok(await isAppliedEverywhere(3000));
});

/*
 * A daemon is paused (SIGSTOP) while a change is accepted. After it resumes it
 * applies the accepted document.
 */
suite("a daemon that was paused applies the accepted document", async () => {
  fleet.daemon(8).child.kill("SIGSTOP");
  const reply = await fleet.apply(fleet.document({ plainDeadlineMs: 4000 }), await currentVersion());
  fleet.daemon(8).child.kill("SIGCONT");
  assert.is(reply.status, 200, await reply.text());
  assert.ok(await isAppliedEverywhere(4000));
});

/*
 * The open watch connections go permanently silent. Each daemon notices that the
 * progress notifications are missing and opens a new watch, and the next change
 * is applied everywhere.
 */
suite("silent watches are reopened", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { silenceOpenConnections: true });
  await standIns.waitUntil(
    async () => (await fleet.apply(fleet.document({ plainDeadlineMs: 6000 }), await currentVersion())).ok,
  );
  assert.ok(await isAppliedEverywhere(6000));
});

/*
 * A team's token is used for the configuration of another team (403), and a
 * request has no token (401).
 */
suite("a team's token gives access only to the team's own configuration", async () => {
  const { adminUrl } = fleet.daemon(0);
  const headers = { authorization: `Bearer ${standIns.TEAM_TOKEN}` };
  assert.is((await fetch(`${adminUrl}/admin/teams/leoben`, { headers })).status, 200);
  assert.is((await fetch(`${adminUrl}/admin/teams/ishikari`, { headers })).status, 403);
  assert.is((await fetch(`${adminUrl}/admin/teams/leoben`)).status, 401);
});

suite.run();
