/** Ordinary requests for streams, a few dozen a second, whose prompts consist of many small parts. Nothing else happens. */
import * as http from "node:http";
import * as sites from "./site.mjs";

const PARTS = 1_700;
const TOKENS_PER_PART = 1;
const PER_SECOND = 26;
const MAX_MS = 100_000;

await sites.run(undefined, async (site) => {
  site.beginTraffic(20);
  const agents = new Map(site.daemons.map((daemon) => [daemon, new http.Agent({ keepAlive: true })]));
  const outcomes = {};
  let sent = 0;
  const send = (daemon) => {
    const first = ++sent * PARTS;
    const count = sites.TROUBLE ? PARTS : 3;
    const tokens = (PARTS * TOKENS_PER_PART) / count;
    const parts = Array.from({ length: count }, (_, index) => `${(first + index).toString(16)}:${tokens}`);
    const request = { id: `prompt-${sent}`, parts, tokens: PARTS * TOKENS_PER_PART, agent: agents.get(daemon) };
    void site.stream(daemon, request).then((outcome) => {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    });
  };
  const timer = setInterval(() => site.daemons.forEach(send), 1_000 / PER_SECOND);
  const until = site.now + MAX_MS;
  while (site.now < until && !site.daemons.every(({ ends }) => ends.length >= 3)) {
    await sites.sleep(5_000);
    const memory = site.daemons.map((daemon) => `${daemon.vm} ${daemon.memoryMb} MB`).join(", ");
    site.note(`${sent} prompts sent, ${JSON.stringify(outcomes)}; ${memory}`);
  }
  clearInterval(timer);
  await sites.sleep(2_000);
  for (const agent of agents.values()) agent.destroy();
  const ends = site.daemons.map(({ ends: own }) => own.length);
  const lost = site.lost().length;
  const reason = `the processes ended by themselves ${ends.join(" and ")} times; ${lost} calls on kept connections ran and got no answer`;
  return { isBroken: ends.every((count) => count >= 3) || lost > 3, reason };
});
