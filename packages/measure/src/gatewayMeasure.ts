import * as standIns from "@camphorcourse/stand-ins";
import * as histograms from "hdr-histogram-js";
import * as undici from "undici";

/** One line of the gateway's table. */
export type Line = Record<string, string | number>;

interface LoadResult {
  readonly perSecond: number;
  readonly histogram: histograms.Histogram;
  readonly failed: number;
}

const AUTHORIZATION = { authorization: `Bearer ${standIns.TEAM_TOKEN}` };
const SCALE = 1000;
const CONNECTIONS = 256;

/** Times through a daemon against times straight to the endpoint, side by side in one run. */
export async function measureGateway(): Promise<Line[]> {
  const fleet = new standIns.Fleet({
    engines: 2,
    services: 3,
    daemons: 3,
    engineFlags: ["--speed", "1"],
    serviceFlags: ["--duration", "1"],
  });
  const lines: Line[] = [];
  try {
    await fleet.start({ perEndpoint: 512 });
    lines.push(...(await measureSmallCalls(fleet)));
    lines.push(...(await measureHighestRate(fleet)));
    lines.push(...(await measureStreams(fleet)));
    lines.push(...(await measureClaims(fleet)));
  } finally {
    fleet.stop();
  }
  return lines;
}

async function measureSmallCalls(fleet: standIns.Fleet): Promise<Line[]> {
  const { url } = fleet.daemon(0);
  const direct = fleet.services[0]?.url ?? "";
  await load(url, "/v1/services/yard-app/x", 500, 2);
  const [through, straight] = [await load(url, "/v1/services/yard-app/x", 500, 10), await load(direct, "/x", 500, 10)];
  return [
    { measure: "small call, 500/s, straight", ...quantiles(straight) },
    { measure: "small call, 500/s, through a daemon", ...quantiles(through) },
  ];
}

async function measureHighestRate(fleet: standIns.Fleet): Promise<Line[]> {
  const lines: Line[] = [];
  for (const rate of [1000, 1500, 2000, 2500, 3000]) {
    const result = await load(fleet.daemon(0).url, "/v1/services/yard-app/x", rate, 5);
    lines.push({ measure: `small call, ${rate}/s offered, one daemon`, ...quantiles(result) });
    if (result.histogram.getValueAtPercentile(99) > 10 * SCALE) break;
  }
  return lines;
}

/** Open loop: calls go out at their times, whether or not earlier ones have been answered. */
async function load(
  url: string,
  path: string,
  perSecond: number,
  seconds: number,
  headersOf: (index: number) => Record<string, string> = () => ({}),
): Promise<LoadResult> {
  const pool = new undici.Pool(url, { connections: CONNECTIONS });
  const histogram = histograms.build({ highestTrackableValue: 60_000 * SCALE });
  const begun = performance.now();
  const pending: Promise<void>[] = [];
  let failed = 0;
  for (let index = 0; index < perSecond * seconds; index++) {
    const due = begun + (index * 1000) / perSecond;
    const early = due - performance.now();
    if (early > 1) await new Promise((resolve) => setTimeout(resolve, early));
    const headers = { ...AUTHORIZATION, ...headersOf(index) };
    const call = pool.request({ path, method: "POST", headers, body: "label" }).then(
      async (reply) => {
        await reply.body.dump();
        if (reply.statusCode !== 200) failed++;
        histogram.recordValue(Math.max(1, Math.round((performance.now() - due) * SCALE)));
      },
      () => {
        failed++;
      },
    );
    pending.push(call);
  }
  await Promise.all(pending);
  const took = (performance.now() - begun) / 1000;
  await pool.close();
  return { perSecond: Math.round((perSecond * seconds) / took), histogram, failed };
}

async function measureStreams(fleet: standIns.Fleet): Promise<Line[]> {
  const engine = fleet.engines[0]?.url ?? "";
  const straight = await streams([engine], 30);
  const through = await streams([fleet.daemon(0).url], 30);
  const many = await streams([fleet.daemon(0).url], 200);
  return [
    { measure: "first token, 30 streams, straight", ...quantiles(straight.first) },
    { measure: "first token, 30 streams, through", ...quantiles(through.first) },
    { measure: "between tokens, 30 streams, straight", ...quantiles(straight.between) },
    { measure: "between tokens, 30 streams, through", ...quantiles(through.between) },
    { measure: "between tokens, 200 streams, through", ...quantiles(many.between) },
  ];
}

async function streams(urls: readonly string[], count: number): Promise<{ first: LoadResult; between: LoadResult }> {
  const first = histograms.build({ highestTrackableValue: 600_000 * SCALE });
  const between = histograms.build({ highestTrackableValue: 600_000 * SCALE });
  const pool = new undici.Agent({ connections: CONNECTIONS, headersTimeout: 60_000 });
  const run = async (index: number): Promise<void> => {
    const url = urls[index % urls.length] ?? "";
    const body = JSON.stringify({
      model: "assist-llm",
      messages: [{ role: "user", content: `stream ${index}` }],
      max_tokens: 60,
      stream: true,
    });
    const begun = performance.now();
    const headers = { ...AUTHORIZATION, "content-type": "application/json" };
    const target = `${url}/v1/chat/completions`;
    const reply = await undici.request(target, { method: "POST", headers, body, dispatcher: pool });
    let last = 0;
    for await (const chunk of reply.body as AsyncIterable<Buffer>) {
      if (!chunk.includes("data:")) continue;
      const now = performance.now();
      if (last === 0) first.recordValue(Math.round((now - begun) * SCALE));
      else between.recordValue(Math.max(1, Math.round((now - last) * SCALE)));
      last = now;
    }
  };
  await Promise.all(Array.from({ length: count }, (_, index) => run(index)));
  await pool.close();
  return {
    first: { perSecond: 0, histogram: first, failed: 0 },
    between: { perSecond: 0, histogram: between, failed: 0 },
  };
}

/** Calls that may not be repeated, at three daemons, and the key-value writes that they cost. */
async function measureClaims(fleet: standIns.Fleet): Promise<Line[]> {
  const seconds = 10;
  const before = await calls(fleet);
  const results = await Promise.all(
    [0, 1, 2].map((index) =>
      load(fleet.daemon(index).url, "/v1/services/yard-app/x", 334, seconds, (call) => ({
        "idempotency-key": `measure-${index}-${call}`,
      })),
    ),
  );
  const after = await calls(fleet);
  const writes = ((after.txn ?? 0) - (before.txn ?? 0)) / seconds;
  const failed = results.reduce((sum, result) => sum + result.failed, 0);
  const answered = 3 * 334 * seconds - failed;
  return [
    ...results.map((result, index) => ({ measure: `claimed calls, 334/s, daemon ${index + 1}`, ...quantiles(result) })),
    { measure: "key-value writes a second for them", value: Math.round(writes) },
    { measure: "claims a write", value: (answered / seconds / Math.max(1, writes)).toFixed(1) },
  ];
}

async function calls(fleet: standIns.Fleet): Promise<Record<string, number>> {
  const reply = await fetch(`${fleet.keyValueUrl}/calls`);
  return (await reply.json()) as Record<string, number>;
}

function quantiles({ histogram, perSecond, failed }: LoadResult): Line {
  const at = (percentile: number): string => (histogram.getValueAtPercentile(percentile) / SCALE).toFixed(2);
  return { "p50 ms": at(50), "p95 ms": at(95), "p99 ms": at(99), "answered/s": perSecond, failed };
}
