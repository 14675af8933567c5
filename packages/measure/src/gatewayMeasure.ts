import * as standIns from "@camphorcourse/stand-ins";
import * as histograms from "hdr-histogram-js";
import * as undici from "undici";

/** One row of a result table: values by column heading. */
export type TableRow = Record<string, string | number>;

interface LoadResult {
  readonly perSecond: number;
  readonly histogram: histograms.Histogram;
  readonly failed: number;
}

const AUTHORIZATION = { authorization: `Bearer ${standIns.TEAM_TOKEN}` };
/** Histograms hold whole microseconds. */
const UNITS_PER_MS = 1000;
const CONNECTIONS = 256;

/** Compares latencies through a daemon with latencies of direct calls to the endpoint, in one run. */
export async function measureGateway(): Promise<TableRow[]> {
  const fleet = new standIns.Fleet({
    engines: 2,
    services: 3,
    daemons: 3,
    engineFlags: ["--speed", "1"],
    serviceFlags: ["--duration", "1"],
  });
  const rows: TableRow[] = [];
  try {
    await fleet.start({ perEndpoint: 512 });
    rows.push(...(await measureSmallCalls(fleet)));
    rows.push(...(await measureHighestRate(fleet)));
    rows.push(...(await measureStreams(fleet)));
    rows.push(...(await measureClaims(fleet)));
  } finally {
    fleet.stop();
  }
  return rows;
}

async function measureSmallCalls(fleet: standIns.Fleet): Promise<TableRow[]> {
  const { url } = fleet.daemon(0);
  const directUrl = fleet.services[0]?.url ?? "";
  await runOpenLoopLoad(url, "/v1/services/yard-app/x", 500, 2);
  const [through, direct] = [
    await runOpenLoopLoad(url, "/v1/services/yard-app/x", 500, 10),
    await runOpenLoopLoad(directUrl, "/x", 500, 10),
  ];
  return [
    { measure: "small call, 500/s, straight", ...formatPercentiles(direct) },
    { measure: "small call, 500/s, through a daemon", ...formatPercentiles(through) },
  ];
}

async function measureHighestRate(fleet: standIns.Fleet): Promise<TableRow[]> {
  const rows: TableRow[] = [];
  for (const rate of [1000, 1500, 2000, 2500, 3000]) {
    const result = await runOpenLoopLoad(fleet.daemon(0).url, "/v1/services/yard-app/x", rate, 5);
    rows.push({ measure: `small call, ${rate}/s offered, one daemon`, ...formatPercentiles(result) });
    if (result.histogram.getValueAtPercentile(99) > 10 * UNITS_PER_MS) break;
  }
  return rows;
}

/** Sends calls at a constant rate (open loop): each at its scheduled time, even if earlier ones are unanswered. */
async function runOpenLoopLoad(
  url: string,
  path: string,
  perSecond: number,
  seconds: number,
  headersOf: (index: number) => Record<string, string> = () => ({}),
): Promise<LoadResult> {
  const pool = new undici.Pool(url, { connections: CONNECTIONS });
  const histogram = histograms.build({ highestTrackableValue: 60_000 * UNITS_PER_MS });
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  let failed = 0;
  for (let index = 0; index < perSecond * seconds; index++) {
    const dueAt = startedAt + (index * 1000) / perSecond;
    const waitMs = dueAt - performance.now();
    if (waitMs > 1) await new Promise((resolve) => setTimeout(resolve, waitMs));
    const headers = { ...AUTHORIZATION, ...headersOf(index) };
    const call = pool.request({ path, method: "POST", headers, body: "label" }).then(
      async (reply) => {
        await reply.body.dump();
        if (reply.statusCode !== 200) failed++;
        histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * UNITS_PER_MS)));
      },
      () => {
        failed++;
      },
    );
    pending.push(call);
  }
  await Promise.all(pending);
  const elapsedSeconds = (performance.now() - startedAt) / 1000;
  await pool.close();
  return { perSecond: Math.round((perSecond * seconds) / elapsedSeconds), histogram, failed };
}

async function measureStreams(fleet: standIns.Fleet): Promise<TableRow[]> {
  const engine = fleet.engines[0]?.url ?? "";
  const direct = await runStreams([engine], 30);
  const through = await runStreams([fleet.daemon(0).url], 30);
  const manyThrough = await runStreams([fleet.daemon(0).url], 200);
  return [
    { measure: "first token, 30 streams, straight", ...formatPercentiles(direct.first) },
    { measure: "first token, 30 streams, through", ...formatPercentiles(through.first) },
    { measure: "between tokens, 30 streams, straight", ...formatPercentiles(direct.between) },
    { measure: "between tokens, 30 streams, through", ...formatPercentiles(through.between) },
    { measure: "between tokens, 200 streams, through", ...formatPercentiles(manyThrough.between) },
  ];
}

async function runStreams(urls: readonly string[], count: number): Promise<{ first: LoadResult; between: LoadResult }> {
  const first = histograms.build({ highestTrackableValue: 600_000 * UNITS_PER_MS });
  const between = histograms.build({ highestTrackableValue: 600_000 * UNITS_PER_MS });
  const pool = new undici.Agent({ connections: CONNECTIONS, headersTimeout: 60_000 });
  const run = async (index: number): Promise<void> => {
    const url = urls[index % urls.length] ?? "";
    const body = JSON.stringify({
      model: "assist-llm",
      messages: [{ role: "user", content: `stream ${index}` }],
      max_tokens: 60,
      stream: true,
    });
    const startedAt = performance.now();
    const headers = { ...AUTHORIZATION, "content-type": "application/json" };
    const target = `${url}/v1/chat/completions`;
    const reply = await undici.request(target, { method: "POST", headers, body, dispatcher: pool });
    let last = 0;
    for await (const chunk of reply.body as AsyncIterable<Buffer>) {
      if (!chunk.includes("data:")) continue;
      const now = performance.now();
      if (last === 0) first.recordValue(Math.round((now - startedAt) * UNITS_PER_MS));
      else between.recordValue(Math.max(1, Math.round((now - last) * UNITS_PER_MS)));
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

/** Measures calls that must not run twice (with an idempotency key) at three daemons, and their key-value writes. */
async function measureClaims(fleet: standIns.Fleet): Promise<TableRow[]> {
  const seconds = 10;
  const before = await fetchCallCounts(fleet);
  const results = await Promise.all(
    [0, 1, 2].map((index) =>
      runOpenLoopLoad(fleet.daemon(index).url, "/v1/services/yard-app/x", 334, seconds, (call) => ({
        "idempotency-key": `measure-${index}-${call}`,
      })),
    ),
  );
  const after = await fetchCallCounts(fleet);
  const writes = ((after.txn ?? 0) - (before.txn ?? 0)) / seconds;
  const failed = results.reduce((sum, result) => sum + result.failed, 0);
  const answered = 3 * 334 * seconds - failed;
  return [
    ...results.map((result, index) => ({
      measure: `claimed calls, 334/s, daemon ${index + 1}`,
      ...formatPercentiles(result),
    })),
    { measure: "key-value writes a second for them", value: Math.round(writes) },
    { measure: "claims a write", value: (answered / seconds / Math.max(1, writes)).toFixed(1) },
  ];
}

async function fetchCallCounts(fleet: standIns.Fleet): Promise<Record<string, number>> {
  const reply = await fetch(`${fleet.keyValueUrl}/calls`);
  return (await reply.json()) as Record<string, number>;
}

function formatPercentiles({ histogram, perSecond, failed }: LoadResult): TableRow {
  const at = (percentile: number): string => (histogram.getValueAtPercentile(percentile) / UNITS_PER_MS).toFixed(2);
  return { "p50 ms": at(50), "p95 ms": at(95), "p99 ms": at(99), "answered/s": perSecond, failed };
}
