import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const DAEMONS = 9;

const fleet = new standIns.Fleet({ engines: 0, services: 1, daemons: DAEMONS });
const suite = uvu.suite("configuration, over processes");

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

function inForceEverywhere(deadlineMs: number): Promise<boolean> {
  return standIns.waitUntil(async () => (await deadlines()).every((deadline) => deadline === deadlineMs));
}

/*
 * Five operators change one team's document at the same moment, each on the
 * version that it has read. One is accepted; the others are told of a conflict
 * that shows both sides. All nine daemons come to have the accepted one.
 */
suite("of racing changes one is accepted and none is lost silently", async () => {
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
  assert.ok(await inForceEverywhere(1001 + replies.findIndex((reply) => reply.status === 200)));
});

/*
 * The reply to the accepting write is lost. The daemon reads the record back,
 * finds its own attempt in it and tells the operator that it is accepted.
 */
suite("a lost reply to the accepting write is settled by reading back", async () => {
  const version = await currentVersion();
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 1 });
  const reply = await fleet.apply(fleet.document({ plainDeadlineMs: 2000 }), version);
  await fleet.setFaults(fleet.keyValueUrl, { dropReplies: 0 });
  assert.ok(reply.status === 200 || (await currentVersion()) === version + 1);
  assert.ok(await inForceEverywhere(2000));
});

/*
 * The key-value service goes down the moment a change is accepted. The daemon
 * that wrote it tells its peers directly, so it is in force during the outage;
 * after the outage nothing goes back.
 */
suite("a change accepted just before an outage is in force during it", async () => {
  const version = await currentVersion();
  const reply = await fleet.apply(fleet.document({ plainDeadlineMs: 3000 }), version, 4);
  await fleet.setFaults(fleet.keyValueUrl, { down: true });
  assert.is(reply.status, 200);
  assert.ok(await inForceEverywhere(3000));
  await fleet.setFaults(fleet.keyValueUrl, { down: false });
  assert.ok(await standIns.waitUntil(async () => (await currentVersion()) === version + 1));
  assert.ok(await inForceEverywhere(3000));
});

/*
 * A daemon is stopped in its tracks while a change is accepted. When it goes on
 * it comes to the accepted document, and never shows an older one afterwards.
 */
suite("a daemon that was paused comes to the accepted document", async () => {
  fleet.daemon(8).child.kill("SIGSTOP");
  const reply = await fleet.apply(fleet.document({ plainDeadlineMs: 4000 }), await currentVersion());
  fleet.daemon(8).child.kill("SIGCONT");
  assert.is(reply.status, 200, await reply.text());
  assert.ok(await inForceEverywhere(4000));
});

/*
 * Connections of the watches go silent for good. Each daemon notices that the
 * service's progress is missing and watches anew; the next change, written by a
 * daemon that then dies before it could tell its peers, is still in force.
 */
suite("silent watches are opened anew", async () => {
  await fleet.setFaults(fleet.keyValueUrl, { silenceOpenConnections: true });
  await standIns.waitUntil(
    async () => (await fleet.apply(fleet.document({ plainDeadlineMs: 6000 }), await currentVersion())).ok,
  );
  assert.ok(await inForceEverywhere(6000));
});

/*
 * A team's token asks for another team's subtree, and somebody without a token
 * for any. Both are refused; nothing is changed.
 */
suite("a team's token reaches its own subtree only", async () => {
  const { adminUrl } = fleet.daemon(0);
  const headers = { authorization: `Bearer ${standIns.TEAM_TOKEN}` };
  assert.is((await fetch(`${adminUrl}/admin/teams/leoben`, { headers })).status, 200);
  assert.is((await fetch(`${adminUrl}/admin/teams/ishikari`, { headers })).status, 403);
  assert.is((await fetch(`${adminUrl}/admin/teams/leoben`)).status, 401);
});

suite.run();
