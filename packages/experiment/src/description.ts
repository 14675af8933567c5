/** The schema of experiment files: the engines, daemons and load that an experiment simulates. */

import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";

const positive = zod.number().check(zod.positive());
const count = zod.int().check(zod.positive());
const nonNegative = zod.number().check(zod.nonnegative());

const lengthsSchema = zod.object({
  mean: positive,
  /** Standard deviation of the logarithm; 0 for equal lengths. */
  spread: nonNegative,
  /** Maximum length. */
  most: positive,
});

const partSchema = zod.object({
  tokens: lengthsSchema,
  /** Number of different parts; each request draws one of them. */
  kinds: count,
  /** Skew of the draw; 0 for a uniform draw. */
  skew: nonNegative,
});

const requestSchema = zod.object({
  name: zod.string(),
  /** Data centre of the callers; they are spread over all daemons if it is left out. */
  dataCentre: zod.optional(zod.string()),
  perSecond: positive,
  /** Parts that requests share, in prompt order. */
  shared: zod.array(partSchema),
  ownTokens: lengthsSchema,
  events: lengthsSchema,
  objectiveMs: positive,
  pauseMs: positive,
  deadlineMs: positive,
  priority: zod.int().check(zod.nonnegative()),
  worth: positive,
  worthLate: nonNegative,
  /** Maximum number of retries by a caller whose request is rejected. */
  returns: zod.int().check(zod.nonnegative()),
});

const enginesSchema = zod.object({
  count: count,
  /** Number of prefill engines at the start. */
  prefill: zod.int().check(zod.nonnegative()),
  slots: count,
  memoryTokens: positive,
  /** Time to the first event when no prompt token has to be prefilled, in milliseconds. */
  fixedMs: nonNegative,
  tokensPerMs: positive,
  pairsMsPerMillion: nonNegative,
  /** Factor by which prefill takes longer on a decode engine. */
  decodeReadingMultiple: positive,
  /** Pause between two events of a stream, and the addition for each stream on the engine, in milliseconds. */
  pauseMs: positive,
  pausePerStreamMs: nonNegative,
  /** Factor by which a pause takes longer during prefill; `decodeReadingMultiple` if it is left out. */
  pauseReadingMultiple: zod.optional(positive),
  /** Time to copy a thousand tokens to another engine, in milliseconds. */
  copyMsPerThousand: nonNegative,
  /** Time for which a change of role makes an engine unavailable, in milliseconds. */
  changeMs: positive,
});

const swingSchema = zod.object({
  request: zod.string(),
  fromMs: nonNegative,
  untilMs: positive,
  /** Factor on the rate of the requests of that name. */
  times: positive,
});

const slowSpansSchema = zod.object({
  /** Share of the spans in which an engine is slow; each engine has spans of its own. */
  share: positive.check(zod.lte(1)),
  spanMs: positive,
  /** Factor by which it is slower then. */
  times: positive,
});

const limitSchema = zod.object({
  /** Position of the engine; the prefill engines of the start come first. */
  engine: zod.int().check(zod.nonnegative()),
  fromMs: nonNegative,
  untilMs: positive,
  /** Requests a second that the engine takes from all daemons together. */
  perSecond: nonNegative,
});

const cutSchema = zod.object({
  /** Region whose daemons exchange no heartbeats with the others. */
  region: zod.string(),
  fromMs: nonNegative,
  untilMs: positive,
});

const regionsSchema = zod.object({
  /** Region of each data centre; engines and daemons are spread evenly over the data centres. */
  dataCentres: zod.record(zod.string(), zod.string()),
  /** One-way delays, in milliseconds. */
  oneWayMs: zod.object({ dataCentre: nonNegative, region: nonNegative, remote: nonNegative }),
  /** Delay between regions from some instant on. */
  change: zod.optional(zod.object({ fromMs: nonNegative, remoteMs: nonNegative })),
  /** Whether the daemons decide by distances; without it they decide as in a deployment of one region. */
  distancesUsed: zod.boolean(),
  /** Interval at which daemons of different regions learn of each other's work, in milliseconds. */
  distantViewAgeMs: positive,
  cuts: zod.optional(zod.array(cutSchema)),
});

const descriptionSchema = zod.object({
  lastsMs: positive,
  daemons: count,
  /** Interval at which daemons learn of each other's work, in milliseconds. */
  viewAgeMs: nonNegative,
  /** Time from a caller's send until its daemon has read the request; none if it is left out. */
  readDelayMs: zod.optional(lengthsSchema),
  /** Whether daemons ignore the limit on pauses when they place prompts, pacing included; shows what the limit gains. */
  pausesIgnored: zod.optional(zod.boolean()),
  /** Whether a prompt is prefilled wherever its first event is predicted sooner, handovers regardless. */
  shortestFirstEvent: zod.optional(zod.boolean()),
  /** Share of the engines of each role that a daemon uses; all of them if it is left out. */
  engineShare: zod.optional(positive.check(zod.lte(1))),
  /** Spans in which single engines are slow; none if it is left out. */
  slowSpans: zod.optional(slowSpansSchema),
  /** Whether prompts are placed without pacing; shows what pacing gains. */
  pacingOff: zod.optional(zod.boolean()),
  /** Whether all engines keep their roles. */
  rolesFixed: zod.optional(zod.boolean()),
  /** Regions with their distances; all is in one data centre if they are left out. */
  regions: zod.optional(regionsSchema),
  /** Limits that engines state. */
  limits: zod.optional(zod.array(limitSchema)),
  /** Whether an engine with a limit counts as a whole one in the balance of roles. */
  limitsIgnoredByRoles: zod.optional(zod.boolean()),
  engines: enginesSchema,
  requests: zod.array(requestSchema),
  swings: zod.array(swingSchema),
});

/** A log-normal distribution of lengths. */
export type LengthDistribution = zod.infer<typeof lengthsSchema>;

/** One kind of request. */
export type RequestKind = zod.infer<typeof requestSchema>;

/** Number and performance of the engines; the daemons' decisions do not have access to them. */
export type EngineParameters = zod.infer<typeof enginesSchema>;

/** Regions and their distances. */
export type RegionsDescription = zod.infer<typeof regionsSchema>;

/** An experiment: engines, daemons and load. */
export type Description = zod.infer<typeof descriptionSchema>;

/**
 * Parses and validates an experiment file.
 *
 * @param text - the file's content, in JSON
 * @returns the experiment, or the faults of the file with their paths
 */
export function parseDescription(text: string): neverthrow.Result<Description, string> {
  const json = neverthrow.fromThrowable(
    () => JSON.parse(text) as unknown,
    (error) => `the file is not valid JSON: ${String(error)}`,
  )();
  return json.andThen((value) => {
    const parsed = zod.safeParse(descriptionSchema, value);
    if (parsed.success) return neverthrow.ok(parsed.data);
    const issues = parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
    return neverthrow.err(`correct the file: ${issues.join("; ")}`);
  });
}
