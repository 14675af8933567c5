import * as standIns from "@camphorcourse/stand-ins";
import type * as gatewayMeasure from "./gatewayMeasure.js";

const AWAY_MS = 120_000;
const AFTER_SECONDS = 15;
const ASK_EACH_MS = 100;
const SLOW_REPLY_MS = 5000;

/** Two minutes without the key-value service, and two with a slow one, at nine daemons under load. */
export async function measureOutage(): Promise<gatewayMeasure.Line[]> {
  const fleet = new standIns.Fleet({ engines: 3, services: 1, daemons: 9 });
  try {
    await fleet.start();
    return [
      await measureAway(fleet, "down", { down: true }, { down: false }),
      await measureAway(fleet, "slow", { slowMs: SLOW_REPLY_MS }, { slowMs: 0 }),
    ];
  } finally {
    fleet.stop();
  }
}

async function measureAway(
  fleet: standIns.Fleet,
  name: string,
  begin: standIns.FaultChange,
  end: standIns.FaultChange,
): Promise<gatewayMeasure.Line> {
  await fleet.setFaults(fleet.keyValueUrl, begin);
  const served = await ask(fleet, AWAY_MS);
  await fleet.setFaults(fleet.keyValueUrl, end);
  const rates = await callRates(fleet);
  const claimed = await standIns.waitUntil(async () => (await fleet.printLabel(4, `after-${name}`)).ok);
  return {
    measure: `${AWAY_MS / 1000} s ${name}, 9 daemons`,
    "model requests": served.asked,
    "answered whole": served.whole,
    "calls/s after, highest": Math.max(...rates),
    "calls/s after, last": rates.at(-1) ?? 0,
    "claims work again": claimed ? "yes" : "no",
  };
}

async function ask(fleet: standIns.Fleet, milliseconds: number): Promise<{ asked: number; whole: number }> {
  const end = Date.now() + milliseconds;
  const pending: Promise<boolean>[] = [];
  for (let index = 0; Date.now() < end; index++) {
    pending.push(askOnce(fleet, index));
    await new Promise((resolve) => setTimeout(resolve, ASK_EACH_MS));
  }
  const results = await Promise.all(pending);
  return { asked: results.length, whole: results.filter(Boolean).length };
}

async function askOnce(fleet: standIns.Fleet, index: number): Promise<boolean> {
  const prompt = `outage ${index}`;
  const reply = await fleet.requestCompletion(index % fleet.daemons.length, prompt, 8);
  const read = await standIns.readStream(reply);
  return read.complete && read.text === standIns.expectedAnswer(prompt, 8);
}

async function callRates(fleet: standIns.Fleet): Promise<number[]> {
  const rates: number[] = [];
  let before = await countCalls(fleet);
  for (let second = 0; second < AFTER_SECONDS; second++) {
    await new Promise((resolve) => setTimeout(resolve, 1000));
    const now = await countCalls(fleet);
    rates.push(now - before);
    before = now;
  }
  return rates;
}

async function countCalls(fleet: standIns.Fleet): Promise<number> {
  const reply = await fetch(`${fleet.keyValueUrl}/calls`);
  const counts = Object.entries((await reply.json()) as Record<string, number>);
  return counts.reduce((sum, [name, count]) => (name === "waitingWatches" ? sum : sum + count), 0);
}
