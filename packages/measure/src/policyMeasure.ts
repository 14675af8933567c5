import * as childProcess from "node:child_process";
import * as url from "node:url";
import * as replayModule from "./replay.js";
import * as traceModule from "./trace.js";

/** The results of one replay; the replay process prints them as JSON. */
export interface ReplayResult {
  readonly trace: string;
  readonly policy: replayModule.Policy;
  readonly seed: number;
  readonly goodput: number;
  readonly refused: number;
  readonly late: number;
  readonly roleChanges: number;
  readonly firstToken: [number, number, number];
  readonly betweenTokens: [number, number, number];
  readonly attemptsPerRequest: number;
  readonly comebackShare: number;
  readonly comebacks: number;
  readonly microsecondsPerDecision: number;
  /** Goodput of the requests that arrive in the last 30 s; shows whether the router recovered from an overload. */
  readonly goodputAtEnd: number;
}

const FINAL_SECONDS = 30;
const MAX_PROCESSES = 7;

/**
 * Replays one trace and summarizes the outcome.
 *
 * @param trace - the trace to replay
 * @param policy - the routing policy
 * @param seed - random seed of the replay
 * @returns the results
 */
export function measureReplay(trace: traceModule.Trace, policy: replayModule.Policy, seed: number): ReplayResult {
  const outcome = replayModule.replay(trace, policy, seed);
  const { requests } = outcome;
  const percentiles = (histogram: typeof outcome.firstToken): [number, number, number] => [
    histogram.getValueAtPercentile(50),
    histogram.getValueAtPercentile(95),
    histogram.getValueAtPercentile(99),
  ];
  const seconds = [...outcome.requestsBySecond.keys()];
  const from = Math.max(...seconds) - FINAL_SECONDS;
  const sumFrom = (counts: Map<number, number>): number =>
    [...counts].filter(([second]) => second >= from).reduce((sum, [, count]) => sum + count, 0);
  return {
    trace: trace.name,
    policy,
    seed,
    goodput: outcome.goodput,
    refused: outcome.refused / requests,
    late: outcome.late / requests,
    roleChanges: outcome.roleChanges,
    firstToken: percentiles(outcome.firstToken),
    betweenTokens: percentiles(outcome.betweenTokens),
    attemptsPerRequest: outcome.attempts / requests,
    comebackShare: outcome.retrySuccessShare,
    comebacks: outcome.retries,
    microsecondsPerDecision: outcome.decisions === 0 ? 0 : outcome.decisionMicroseconds / outcome.decisions,
    goodputAtEnd: sumFrom(outcome.inTimeBySecond) / Math.max(1, sumFrom(outcome.requestsBySecond)),
  };
}

/**
 * Replays each trace with each policy and seed, in several processes in parallel.
 *
 * @param seeds - random seeds of the replays
 * @param policies - the policies to compare
 * @param traceNames - names of the traces to replay; all if empty
 * @returns the results of all replays
 */
export async function measurePolicies(
  seeds: readonly number[],
  policies: readonly replayModule.Policy[],
  traceNames: readonly string[],
): Promise<ReplayResult[]> {
  const traces = traceModule.readTraces().filter(({ name }) => traceNames.length === 0 || traceNames.includes(name));
  const jobs = traces.flatMap(({ name }) =>
    policies.flatMap((policy) => seeds.map((seed) => ({ name, policy, seed }))),
  );
  const results: ReplayResult[] = [];
  const worker = async (): Promise<void> => {
    for (let job = jobs.shift(); job; job = jobs.shift()) {
      results.push(await runReplayProcess([job.name, job.policy, String(job.seed)]));
    }
  };
  await Promise.all(Array.from({ length: MAX_PROCESSES }, worker));
  return results;
}

function runReplayProcess(args: string[]): Promise<ReplayResult> {
  const script = url.fileURLToPath(new URL("replayProcess.js", import.meta.url));
  return new Promise((resolve, reject) => {
    childProcess.execFile(process.execPath, [script, ...args], (error, output) => {
      if (error) reject(error);
      else resolve(JSON.parse(output) as ReplayResult);
    });
  });
}

/**
 * Summarizes the results over the seeds.
 *
 * @param results - results of all replays
 * @returns one table row for each trace and policy: medians, and the lowest goodput
 */
export function summarize(results: readonly ReplayResult[]): Record<string, string | number>[] {
  const groups = new Map<string, ReplayResult[]>();
  for (const entry of results) {
    const name = `${entry.trace}|${entry.policy}`;
    groups.set(name, [...(groups.get(name) ?? []), entry]);
  }
  return [...groups.values()]
    .map(summarizeGroup)
    .sort((left, right) => String(left.trace).localeCompare(String(right.trace)));
}

function summarizeGroup(group: ReplayResult[]): Record<string, string | number> {
  const of = (value: (entry: ReplayResult) => number): number => median(group.map(value));
  return {
    trace: group[0]?.trace ?? "",
    policy: group[0]?.policy ?? "",
    goodput: percent(of((entry) => entry.goodput)),
    worst: percent(Math.min(...group.map((entry) => entry.goodput))),
    refused: percent(of((entry) => entry.refused)),
    late: percent(of((entry) => entry.late)),
    changes: of((entry) => entry.roleChanges),
    "first token p50/p95/p99": [0, 1, 2].map((index) => of((entry) => entry.firstToken[index] ?? 0)).join("/"),
    "between p50/p95/p99": [0, 1, 2].map((index) => of((entry) => entry.betweenTokens[index] ?? 0)).join("/"),
    attempts: of((entry) => entry.attemptsPerRequest).toFixed(2),
    "came back": of((entry) => entry.comebacks) === 0 ? "" : percent(of((entry) => entry.comebackShare)),
    "at end": percent(of((entry) => entry.goodputAtEnd)),
    "µs/request": Math.round(of((entry) => entry.microsecondsPerDecision)),
  };
}

function median(values: number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function percent(share: number): string {
  return (100 * share).toFixed(1);
}
