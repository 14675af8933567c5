import * as crypto from "node:crypto";
import * as processes from "./processes.mjs";

export const TEAM_TOKEN = "leoben-demo-token";
export const OPERATOR_TOKEN = "operator-demo-token";
const PLACES = ["halle-a", "halle-b", "halle-c"];

export const digest = (text) => crypto.createHash("sha256").update(text).digest("hex");

/** The team document of a fleet: one model service, one plain service. */
export function teamDocument(engineUrls, serviceUrls, { role = "mixed", plainDeadlineMs = 5000, perRunner = 64 } = {}) {
  const engines = engineUrls.map(
    (address, index) =>
      `  engine-${index + 1}: { service: assist-llm, url: "${address}", place: ${PLACES[index % 3]}, role: ${role}, checksFencing: true }`,
  );
  const services = serviceUrls.map(
    (address, index) => `  printer-${index + 1}: { service: yard-app, url: "${address}", place: ${PLACES[index % 3]} }`,
  );
  return `# Stadtwerke Leoben: dossiers and labels
team: leoben
tokenDigests: ["${digest(TEAM_TOKEN)}"]
services:
  assist-llm: { kind: engine, model: assist, deadlineMs: 20000 }
  yard-app: { kind: service, idempotent: false, deadlineMs: ${plainDeadlineMs}, limits: { perRunner: ${perRunner} } }
runners:
${[...engines, ...services].join("\n")}
`;
}

/** Starts the platform's stand-ins, the runners and the daemons as processes of their own. */
export async function startFleet(launcher, { engines, services, daemons, engineSpeed = 5, daemonFlags = [] }) {
  const keyValue = await launcher.standIn(["key-value"]);
  const vmList = await launcher.standIn(["vm-list"]);
  const engineList = await Promise.all(
    Array.from({ length: engines }, () => launcher.standIn(["engine", "--speed", String(engineSpeed)])),
  );
  const serviceList = await Promise.all(Array.from({ length: services }, () => launcher.standIn(["service"])));
  const daemonList = [];
  for (let index = 0; index < daemons; index++) {
    daemonList.push(await startDaemon(launcher, index, keyValue.url, vmList.url, daemonFlags));
  }
  return { keyValue, vmList, engines: engineList, services: serviceList, daemons: daemonList };
}

/** Starts one daemon and waits until it answers. */
export async function startDaemon(launcher, index, keyValueUrl, vmListUrl, flags = []) {
  const [port, peerPort, adminPort] = await Promise.all([1, 2, 3].map(() => processes.freePort()));
  const vm = `vm-${index + 1}`;
  const child = launcher.start("daemon", [
    ...["--vm", vm, "--place", PLACES[index % 3]],
    ...["--listen", `127.0.0.1:${port}`, "--peer-listen", `127.0.0.1:${peerPort}`],
    ...["--admin-listen", `127.0.0.1:${adminPort}`, "--key-value", keyValueUrl, "--vm-list", vmListUrl],
    ...["--operator-token-digest", digest(OPERATOR_TOKEN), "--log-level", "warn"],
    ...flags,
  ]);
  const daemon = { vm, child, url: `http://127.0.0.1:${port}`, adminUrl: `http://127.0.0.1:${adminPort}` };
  await processes.until(async () => (await fetch(`${daemon.url}/healthz`)).ok);
  return daemon;
}

/** Waits until every daemon sees all the others. */
export function meshed(daemons) {
  return processes.until(async () => {
    const statuses = await Promise.all(
      daemons.map((daemon) =>
        processes.readJson(`${daemon.adminUrl}/admin/status`, {
          headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        }),
      ),
    );
    return statuses.every((status) => status.livePeers === daemons.length - 1);
  });
}
