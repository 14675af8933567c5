import * as standIns from "@camphorcourse/stand-ins";
import type * as gatewayMeasure from "./gatewayMeasure.js";

const OUTAGE_MS = 120_000;
const RECOVERY_SECONDS = 15;
const REQUEST_INTERVAL_MS = 100;
const SLOW_RESPONSE_MS = 5000;

/** Measures nine daemons under load while the key-value service is down, and then slow, for two minutes each. */
export async function measureOutage(): Promise<gatewayMeasure.TableRow[]> {
  const fleet = new standIns.Fleet({ engines: 3, services: 1, daemons: 9 });
  try {
    await fleet.start();
    return [
      await measureFault(fleet, "down", { down: true }, { down: false }),
      await measureFault(fleet, "slow", { slowMs: SLOW_RESPONSE_MS }, { slowMs: 0 }),
    ];
  } finally {
    fleet.stop();
  }
}

async function measureFault(
  fleet: standIns.Fleet,
  name: string,
  begin: standIns.FaultChange,
  end: standIns.FaultChange,
): Promise<gatewayMeasure.TableRow> {
  await fleet.setFaults(fleet.keyValueUrl, begin);
  const served = await sendRequests(fleet, OUTAGE_MS);
  await fleet.setFaults(fleet.keyValueUrl, end);
  const rates = await measureCallRates(fleet);
  const claimed = await standIns.waitUntil(async () => (await fleet.printLabel(4, `after-${name}`)).ok);
  return {
    measure: `${OUTAGE_MS / 1000} s ${name}, 9 daemons`,
    "model requests": served.sent,
    "answered whole": served.complete,
    "calls/s after, highest": Math.max(...rates),
    "calls/s after, last": rates.at(-1) ?? 0,
    "claims work again": claimed ? "yes" : "no",
  };
}

async function sendRequests(fleet: standIns.Fleet, milliseconds: number): Promise<{ sent: number; complete: number }> {
  const end = Date.now() + milliseconds;
  const pending: Promise<boolean>[] = [];
  for (let index = 0; Date.now() < end; index++) {
    pending.push(sendRequest(fleet, index));
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MS));
  }
  const results = await Promise.all(pending);
  return { sent: results.length, complete: results.filter(Boolean).length };
}

async function sendRequest(fleet: standIns.Fleet, index: number): Promise<boolean> {
  const prompt = `outage ${index}`;
  const reply = await fleet.requestCompletion(index % fleet.daemons.length, prompt, 8);
  const read = await standIns.readStream(reply);
  return read.complete && read.text === standIns.expectedAnswer(prompt, 8);
}

async function measureCallRates(fleet: standIns.Fleet): Promise<number[]> {
  const rates: number[] = [];
  let before = await countCalls(fleet);
  for (let second = 0; second < RECOVERY_SECONDS; second++) {
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
