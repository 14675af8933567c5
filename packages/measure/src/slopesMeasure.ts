import * as fs from "node:fs/promises";
import * as core from "@camphorcourse/core";
import * as standIns from "@camphorcourse/stand-ins";
import type * as gatewayMeasure from "./gatewayMeasure.js";

const IDLE_MEASUREMENT_MS = 10_000;
/** Unit of the CPU times in `/proc/PID/stat`. */
const CLOCK_TICKS_PER_SECOND = 100;
const WARM_UP_MS = 4000;

interface IdleCost {
  readonly corePercent: number;
  readonly megabytes: number;
  readonly callsPerSecond: number;
}

/** Measures CPU time, memory and key-value calls of idle daemons, for more daemons, more engines and more teams. */
export async function measureSlopes(): Promise<gatewayMeasure.TableRow[]> {
  const rows: gatewayMeasure.TableRow[] = [];
  const idle = new Map<string, IdleCost>();
  for (const [name, daemons, engines, teams] of [
    ["3 daemons, 2 engines, 1 team", 3, 2, 0],
    ["9 daemons, 2 engines, 1 team", 9, 2, 0],
    ["3 daemons, 32 engines, 1 team", 3, 32, 0],
    ["3 daemons, 2 engines, 401 teams", 3, 2, 400],
  ] as const) {
    const cost = await measureIdle(daemons, engines, teams);
    idle.set(name, cost);
    rows.push({
      measure: `idle: ${name}`,
      "core % a daemon": cost.corePercent.toFixed(2),
      "MB a daemon": cost.megabytes.toFixed(0),
      "key-value calls/s, watches counted": cost.callsPerSecond.toFixed(1),
    });
  }
  return rows;
}

async function measureIdle(daemons: number, engines: number, teams: number): Promise<IdleCost> {
  const fleet = new standIns.Fleet({ engines, services: 0, daemons });
  try {
    await fleet.start();
    for (let index = 0; index < teams; index++) await applyTeam(fleet, `team-${index}`);
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
    const [cpuBefore, callsBefore] = [await readCpuSeconds(fleet), await fetchCallCounts(fleet)];
    await new Promise((resolve) => setTimeout(resolve, IDLE_MEASUREMENT_MS));
    const [cpuAfter, callsAfter] = [await readCpuSeconds(fleet), await fetchCallCounts(fleet)];
    const seconds = IDLE_MEASUREMENT_MS / 1000;
    return {
      corePercent: (100 * (cpuAfter - cpuBefore)) / seconds / daemons,
      megabytes: (await readResidentMegabytes(fleet)) / daemons,
      callsPerSecond: (callsAfter.count - callsBefore.count) / seconds + callsAfter.watches,
    };
  } finally {
    fleet.stop();
  }
}

async function applyTeam(fleet: standIns.Fleet, team: string): Promise<void> {
  const text = `team: ${team}\nservices:\n  desk: { kind: service }\nendpoints:\n  desk-1: { service: desk, url: "http://127.0.0.1:9", dataCentre: halle-a }\n`;
  await fetch(`${fleet.daemon(0).adminUrl}/admin/teams/${team}`, {
    method: "PUT",
    headers: { authorization: `Bearer ${standIns.OPERATOR_TOKEN}`, "content-type": "application/json" },
    body: JSON.stringify({ text, expectedVersion: 0, author: "measure" }),
  });
}

async function readCpuSeconds(fleet: standIns.Fleet): Promise<number> {
  const used = fleet.daemons.map(async ({ child }) => {
    const fields = (await fs.readFile(`/proc/${child.pid}/stat`, "utf8")).split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
  });
  return (await Promise.all(used)).reduce((sum, seconds) => sum + seconds, 0);
}

async function readResidentMegabytes(fleet: standIns.Fleet): Promise<number> {
  const sizes = fleet.daemons.map(async ({ child }) => {
    const status = await fs.readFile(`/proc/${child.pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
  });
  return (await Promise.all(sizes)).reduce((sum, size) => sum + size, 0);
}

async function fetchCallCounts(fleet: standIns.Fleet): Promise<{ count: number; watches: number }> {
  const reply = await fetch(`${fleet.keyValueUrl}/calls`);
  const { waitingWatches = 0, ...counts } = (await reply.json()) as Record<string, number>;
  return { count: Object.values(counts).reduce((sum, count) => sum + count, 0), watches: waitingWatches };
}

/**
 * Measures the core without a daemon around it.
 *
 * @returns the cost of a request, a tick, a heartbeat and a team
 */
export function measureCore(): gatewayMeasure.TableRow[] {
  const rows: gatewayMeasure.TableRow[] = [];
  for (const endpoints of [9, 150]) {
    const target = createCore(endpoints, 1);
    const decision = measureMicroseconds(5000, (index) => {
      const at = 1000 + index;
      const id = `r-${index}`;
      const actions = target.handle(
        { type: core.EventType.RequestArrived, request: createRequest(id) },
        { now: at, systemTime: at },
      );
      const dispatch = actions.find((action) => action.type === core.ActionType.Dispatch);
      if (dispatch?.type !== core.ActionType.Dispatch) return;
      const { attempt } = dispatch;
      target.handle(
        { type: core.EventType.AnswerDone, request: id, attempt, outputTokens: 10 },
        { now: at, systemTime: at },
      );
    });
    const tick = measureMicroseconds(500, (index) => {
      target.handle({ type: core.EventType.Tick }, { now: 10_000 + index * 100, systemTime: 0 });
    });
    const heartbeat = JSON.stringify(target.heartbeat(10_000)).length;
    rows.push({
      measure: `core: ${endpoints} engines`,
      "µs a request": decision.toFixed(1),
      "µs a tick": tick.toFixed(1),
      "heartbeat bytes, idle": heartbeat,
    });
  }
  for (const teams of [100, 1900]) {
    const before = process.memoryUsage().heapUsed;
    const target = createCore(3, teams);
    const after = process.memoryUsage().heapUsed;
    const tick = measureMicroseconds(50, (index) => {
      target.handle({ type: core.EventType.Tick }, { now: 10_000 + index * 100, systemTime: 0 });
    });
    const kilobytes = ((after - before) / 1024 / teams).toFixed(1);
    rows.push({ measure: `core: ${teams} teams of 3 engines`, "µs a tick": tick.toFixed(0), "KB a team": kilobytes });
  }
  return rows;
}

function createCore(endpoints: number, teams: number): core.Core {
  const registration = {
    vm: "vm-1",
    dataCentre: "a",
    incarnation: "one",
    callerUrl: "",
    peerUrl: "",
    adminUrl: "",
    leaving: false,
  };
  const target = new core.Core({ registration, seed: 1 });
  const records = Array.from({ length: teams }, (_, team) => {
    const list = Array.from(
      { length: endpoints },
      (__, index) => `  engine-${index}: { service: assist, url: "http://10.0.0.1:${index + 1}", dataCentre: a }`,
    );
    const text = `team: team-${team}\nservices:\n  assist: { kind: engine }\nendpoints:\n${list.join("\n")}\n`;
    const value = JSON.stringify({ text, version: 1, author: "", attempt: "", acceptedAt: 0 });
    return {
      key: core.controlKey(core.ControlKind.Team, `team-${team}`),
      value,
      createRevision: 1,
      modRevision: 1 + team,
    };
  });
  target.handle({ type: core.EventType.ControlSnapshot, records, revision: teams + 1 }, { now: 0, systemTime: 0 });
  return target;
}

function createRequest(id: string): core.RequestDescription {
  return { id, team: "team-0", service: "team-0/assist", promptTokens: 500, maximumOutputTokens: 10 };
}

function measureMicroseconds(count: number, run: (index: number) => void): number {
  // Run indexes (virtual times) continue from the warm-up: the core would treat a gap as a pause and refuse requests.
  const warmUp = Math.ceil(count / 2);
  for (let index = 0; index < warmUp; index++) run(index);
  const before = performance.now();
  for (let index = warmUp; index < warmUp + count; index++) run(index);
  return ((performance.now() - before) * 1000) / count;
}
