import * as fs from "node:fs";
import * as url from "node:url";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as zod from "zod";

const kindSchema = zod.strictObject({
  name: zod.string(),
  /** Requests per second at the beginning and at the end of the phase; the rate changes linearly in between. */
  perSecond: zod.tuple([zod.number(), zod.number()]),
  promptTokens: zod.number(),
  maximumOutputTokens: zod.number(),
  deadlineMs: zod.number(),
  /** Number of different prefixes that the prompts share; 0 if they share none. */
  prefixes: zod.int().default(0),
});

const eventSchema = zod.strictObject({
  atSecond: zod.number(),
  what: zod.enum(["withdraw", "return", "key-value-down", "key-value-up"]),
  engine: zod.int().optional(),
});

const traceSchema = zod.strictObject({
  name: zod.string(),
  team: zod.string(),
  roles: zod.array(zod.enum(core.EndpointRole)),
  roleChangeWeight: zod.number(),
  reportLagMs: zod.number().default(0),
  phases: zod.array(zod.strictObject({ seconds: zod.number(), kinds: zod.array(kindSchema) })),
  events: zod.array(eventSchema).default([]),
});

/** Description of a request load: phases with kinds of requests, each with its rate and sizes. */
export type Trace = zod.infer<typeof traceSchema>;

/** One request that is generated from a trace. */
export interface TraceRequest {
  readonly id: string;
  readonly atMs: number;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly outputTokens: number;
  readonly deadlineMs: number;
  readonly prefix?: string;
}

/** Sizes vary uniformly by this share around those of the kind. */
const SIZE_SPREAD = 0.5;
/** Least actual output as a share of the maximum output. */
const MIN_OUTPUT_SHARE = 0.6;
/** Share of a prompt that the shared prefix makes up. */
const PREFIX_SHARE = 0.6;

/** @returns all traces in the folder `traces`, in order of their file names */
export function readTraces(): Trace[] {
  const folder = url.fileURLToPath(new URL("../../traces/", import.meta.url));
  const files = fs.readdirSync(folder).filter((file) => file.endsWith(".json"));
  return files.sort().map((file) => traceSchema.parse(JSON.parse(fs.readFileSync(`${folder}${file}`, "utf8"))));
}

/**
 * @param trace - the trace
 * @returns its duration in milliseconds
 */
export function durationOf(trace: Trace): number {
  return trace.phases.reduce((sum, phase) => sum + phase.seconds * 1000, 0);
}

/**
 * Generates the requests of a trace.
 *
 * @param trace - the trace
 * @param seed - random seed of arrivals and sizes
 * @returns the requests in order of arrival
 */
export function generateRequests(trace: Trace, seed: number): TraceRequest[] {
  const random = new common.SeededRandom(seed);
  const requests: TraceRequest[] = [];
  let startMs = 0;
  for (const phase of trace.phases) {
    const lengthMs = phase.seconds * 1000;
    for (const kind of phase.kinds) requests.push(...generateArrivals(kind, startMs, lengthMs, random));
    startMs += lengthMs;
  }
  return requests.sort((left, right) => left.atMs - right.atMs);
}

/** Draws arrivals of a Poisson process with a changing rate, by thinning one with the highest rate. */
function generateArrivals(
  kind: zod.infer<typeof kindSchema>,
  startMs: number,
  lengthMs: number,
  random: common.SeededRandom,
): TraceRequest[] {
  const [first, last] = kind.perSecond;
  const highest = Math.max(first, last);
  const requests: TraceRequest[] = [];
  if (highest === 0) return requests;
  let at = random.exponential(1000 / highest);
  for (; at < lengthMs; at += random.exponential(1000 / highest)) {
    const rate = first + ((last - first) * at) / lengthMs;
    if (random.next() * highest > rate) continue;
    const spread = 1 + SIZE_SPREAD * (2 * random.next() - 1);
    const maximumOutputTokens = Math.max(1, Math.round(kind.maximumOutputTokens * spread));
    const share = MIN_OUTPUT_SHARE + (1 - MIN_OUTPUT_SHARE) * random.next();
    requests.push({
      id: `${kind.name}-${startMs}-${requests.length}`,
      atMs: startMs + at,
      promptTokens: Math.round(kind.promptTokens * (1 + SIZE_SPREAD * (2 * random.next() - 1))),
      maximumOutputTokens,
      outputTokens: Math.max(1, Math.round(maximumOutputTokens * share)),
      deadlineMs: kind.deadlineMs,
      ...(kind.prefixes > 0 ? { prefix: `${kind.name}-${random.integer(kind.prefixes)}` } : {}),
    });
  }
  return requests;
}

/**
 * @param request - a request
 * @returns the number of prompt tokens in the prefix that other requests share
 */
export function sharedPrefixTokens(request: TraceRequest): number {
  return request.prefix === undefined ? 0 : Math.round(request.promptTokens * PREFIX_SHARE);
}
