import * as common from "@camphorcourse/common";
import type * as hotPartsModule from "./distance/hotParts.js";
import * as networkCosts from "./distance/networkCosts.js";
import * as directories from "./endpointDirectory.js";
import * as loadTrackers from "./engineLoadTracker.js";
import type * as engineSpeeds from "./engineSpeeds.js";
import type * as placementPacings from "./pacing/placementPacing.js";
import type * as prefillSites from "./prefillSite.js";
import * as promptParts from "./promptParts.js";
import * as urgencies from "./urgency.js";

/** The engines chosen for the prefill and the decoding of one prompt. */
export interface EnginePlan {
  /** Engine that generates the tokens. With a separate prefill engine it is only a forecast from the present load. */
  readonly decodeEngine: directories.Endpoint;
  /** Engine that prefills the prompt for the decode engine, or undefined if the decode engine does so itself. */
  readonly prefillEngine: directories.Endpoint | undefined;
  /** Engine from which the cache of shared parts is copied before the prefill, if that is faster than computing it. */
  readonly copySource: directories.Endpoint | undefined;
  /** Prompt tokens that are not cached and have to be prefilled. */
  readonly unreadTokens: number;
  /** Cost of the prefill, attention included, as the number of tokens of a short prompt that takes as long. */
  readonly workTokens: number;
  /** Urgency in the engine's queue; 0 goes first. */
  readonly urgency: number;
  /** Unread tokens that the engine handles before this prompt. */
  readonly tokensAhead: number;
  /** All unread tokens at the engine, those of less urgent prompts included. */
  readonly tokensWaiting: number;
  /** Predicted time to the first event, in milliseconds. */
  readonly predictedMs: number;
  /** The part of it that is left if no other work is under way, in milliseconds. */
  readonly unloadedMs: number;
}

/** What a placement is computed from. */
export interface PlacementInputs extends networkCosts.NetworkInputs {
  readonly prompt: promptParts.Prompt;
  readonly engines: readonly directories.Endpoint[];
  readonly loads: loadTrackers.EngineLoadTracker;
  /** Tokens that an engine's prefix cache can hold. */
  readonly memoryTokens: number;
  /** Estimated speeds of the service's engines. */
  readonly speeds: engineSpeeds.EngineSpeeds;
  /** Factor by which an endpoint is slower than expected; 1 for a healthy one. */
  readonly slowness: (endpointId: string) => number;
  /** Whether an engine limits its requests; one whose limit is used up isn't among the engines. */
  readonly isLimited: (engine: directories.Endpoint) => boolean;
  /** Longest acceptable pause between two events of a stream, in milliseconds. */
  readonly maxPauseMs: number;
  /** Parts that get a second preferred engine; undefined in a deployment of one region. */
  readonly hotParts?: hotPartsModule.HotParts | undefined;
  /** Chooses between the two ways of serving a prompt. */
  readonly siteRule: prefillSites.PrefillSiteRule;
  /** Which decode engines have time for a prefill; absent if the prompt isn't paced. */
  readonly pacing?: placementPacings.PlacementPacing | undefined;
  readonly now: number;
}

/** Tells whether a decode engine may prefill a prompt of that cost itself. */
export type MayColocate = (engine: directories.Endpoint, workTokens: number) => boolean;

/**
 * Places a prompt by the predicted time to its first event, which covers queued
 * tokens, cached parts, and both ways of serving it: prefill on the decode engine
 * (colocated) or on a prefill engine (disaggregated). Each group of shared parts
 * has a preferred engine, so that one engine caches the group instead of all of
 * them prefilling it.
 *
 * @param inputs - the prompt, the engines and what is known of them
 * @param mayColocate - restricts the decode engines that may prefill the prompt themselves
 * @returns the best plan, or undefined if no engine can generate tokens
 */
export function placePrompt(inputs: PlacementInputs, mayColocate?: MayColocate): EnginePlan | undefined {
  const decodeEngines = inputs.engines.filter((engine) => engine.role !== directories.EngineRole.Prefill);
  const hasUnlimited = decodeEngines.some((engine) => !inputs.isLimited(engine));
  const prefillEngines = inputs.engines.filter((engine) => engine.role === directories.EngineRole.Prefill);
  const sources = copySources(inputs);
  const colocated = bestCandidate(inputs, decodeEngines, sources, mayColocate);
  // A prompt that is prefilled now needs a decode engine later, when an allowance may have been used by others.
  const disaggregated = hasUnlimited ? bestCandidate(inputs, prefillEngines, sources) : undefined;
  const decodeEngine = chooseDecodeEngine(inputs, disaggregated?.engine);
  if (decodeEngine === undefined) return undefined;
  const colocatedMs =
    colocated === undefined ? Number.POSITIVE_INFINITY : colocated.predictedMs + interferenceMs(inputs, colocated);
  const slotMs = slotWaitMs(decodeEngine, inputs.loads.runningRequests(decodeEngine.id, inputs.now));
  const handoverMs = inputs.speeds.handoverMs(inputs.prompt.promptTokens);
  const disaggregatedMs =
    disaggregated === undefined ? Number.POSITIVE_INFINITY : disaggregated.predictedMs + handoverMs + slotMs;
  const { siteRule, objectiveMs } = inputs;
  const isColocated = disaggregated === undefined || siteRule.isColocated(colocatedMs, disaggregatedMs, objectiveMs);
  if (colocated !== undefined && isColocated) {
    return {
      ...colocated,
      decodeEngine: colocated.engine,
      prefillEngine: undefined,
      predictedMs: colocated.predictedMs,
    };
  }
  if (disaggregated === undefined) return undefined;
  const unloadedMs = disaggregated.unloadedMs + handoverMs;
  return {
    ...disaggregated,
    decodeEngine,
    prefillEngine: disaggregated.engine,
    predictedMs: disaggregatedMs,
    unloadedMs,
  };
}

/**
 * Cost that a prefill on a decode engine causes to each stream there, as a share
 * of the prefill time. The prompt is prefilled in chunks between two tokens of
 * all streams; without this cost, long answers miss their deadline.
 */
const INTERFERENCE_PER_STREAM = 0.05;

/** Cost of each stream that a colocated prefill makes late, in milliseconds. */
const LATE_STREAM_COST_MS = 100;

/** Cost of the delays that a colocated prefill causes to the engine's streams, in milliseconds. */
function interferenceMs(inputs: PlacementInputs, colocated: Candidate): number {
  const { loads, now, maxPauseMs, speeds } = inputs;
  const { id, role } = colocated.engine;
  const streams = loads.runningRequests(id, now);
  const prefillMs = speeds.prefillMs(role, colocated.workTokens);
  // An event of a stream waits for all prefills that run between its tokens.
  const pauseMs = speeds.pause.baseMs + speeds.pause.perStreamMs * streams;
  const queuedMs = speeds.prefillMs(role, loads.tokensAhead(id, urgencies.LEAST_URGENT, now));
  const lateStreams = pauseMs + queuedMs + prefillMs > maxPauseMs ? streams : 0;
  return prefillMs * streams * INTERFERENCE_PER_STREAM + lateStreams * LATE_STREAM_COST_MS;
}

interface Candidate {
  readonly engine: directories.Endpoint;
  readonly copySource: directories.Endpoint | undefined;
  readonly unreadTokens: number;
  readonly workTokens: number;
  readonly urgency: number;
  readonly tokensAhead: number;
  readonly tokensWaiting: number;
  readonly predictedMs: number;
  readonly unloadedMs: number;
}

function bestCandidate(
  inputs: PlacementInputs,
  engines: readonly directories.Endpoint[],
  sources: readonly CopySource[],
  mayPrefill?: MayColocate,
): Candidate | undefined {
  const prefixId = promptParts.sharedPrefixId(inputs.prompt);
  const preferredIds = prefixId === undefined ? [] : preferredEngineIds(inputs, prefixId, engines);
  let chosen: Candidate | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const engine of engines) {
    for (const candidate of candidatesFor(inputs, engine, sources)) {
      if (mayPrefill?.(engine, candidate.workTokens) === false) continue;
      const cost = candidate.predictedMs + (preferredIds.includes(engine.id) ? 0 : affinityCostMs(inputs, candidate));
      if (cost < chosenCost) {
        chosen = candidate;
        chosenCost = cost;
      }
    }
  }
  return chosen;
}

/**
 * Cost of prefilling shared parts on another engine than the preferred one, in multiples of that prefill's time: the
 * duplicate also evicts other parts from a second cache. In a replay of long shared prompts, raising this weight and the
 * next from 6 to 30 lowered the tokens prefilled again from 2.66 to 1.55 million and raised goodput from 0.870 to 0.877.
 */
const PREFILL_ELSEWHERE_WEIGHT = 30;

/** The same for shared parts that are copied from the engine that caches them, in multiples of the copy's time. */
const COPY_ELSEWHERE_WEIGHT = 30;

function affinityCostMs(inputs: PlacementInputs, candidate: Candidate): number {
  const uniqueTokens = inputs.prompt.parts.at(-1)?.tokens ?? 0;
  const sharedTokens = Math.max(0, inputs.prompt.promptTokens - uniqueTokens);
  const { speeds } = inputs;
  if (candidate.copySource !== undefined) return COPY_ELSEWHERE_WEIGHT * speeds.copyMs(sharedTokens);
  return PREFILL_ELSEWHERE_WEIGHT * speeds.prefillMs(candidate.engine.role, sharedTokens);
}

/** An engine that caches a prefix of the prompt. */
interface CopySource {
  readonly engine: directories.Endpoint;
  readonly tokens: number;
}

/** For each data centre, the first of the engines that cache the longest prefix of the prompt. */
function copySources(inputs: PlacementInputs): CopySource[] {
  const { loads, memoryTokens, prompt } = inputs;
  const longest = new Map<string, CopySource>();
  for (const engine of inputs.engines) {
    const tokens = loads.cache(engine.id, memoryTokens).copyableTokens(prompt);
    if (tokens > (longest.get(engine.dataCentre)?.tokens ?? 0)) longest.set(engine.dataCentre, { engine, tokens });
  }
  return [...longest.values()];
}

/**
 * Engines without a limit, or all if there are none. An engine that takes few requests is no preferred engine: it would
 * be chosen for those that its limit lets through, and another one for the rest, and both would prefill the shared parts.
 */
function withoutLimited(
  inputs: PlacementInputs,
  engines: readonly directories.Endpoint[],
): readonly directories.Endpoint[] {
  const unlimited = engines.filter((engine) => !inputs.isLimited(engine));
  return unlimited.length > 0 ? unlimited : engines;
}

function preferredEngineId(prefixId: string, engines: readonly directories.Endpoint[]): string | undefined {
  return common.rendezvousOrder(
    prefixId,
    engines.map((engine) => engine.id),
  )[0];
}

/** The preferred engine of shared parts; of hot ones, two. */
function preferredEngineIds(
  inputs: PlacementInputs,
  prefixId: string,
  engines: readonly directories.Endpoint[],
): readonly (string | undefined)[] {
  const { distances, hotParts, now, objectiveMs, prompt } = inputs;
  const eligible = withoutLimited(inputs, engines);
  const [first] = eligible;
  if (hotParts === undefined || first === undefined) return [preferredEngineId(prefixId, eligible)];
  const byId = new Map(eligible.map((engine) => [engine.id, engine]));
  const waitMs = (id: string): number => {
    const engine = byId.get(id);
    if (engine === undefined) return 0;
    const unread = prompt.promptTokens - inputs.loads.cache(id, inputs.memoryTokens).cachedTokens(prompt);
    return queueMs(inputs, engine, urgencies.urgencyOf(Math.max(1, unread)));
  };
  const key = `${first.role} ${distances?.regionOf(first.dataCentre) ?? ""} ${prompt.model} ${prefixId}`;
  const order = common.rendezvousOrder(prefixId, [...byId.keys()]);
  return hotParts.preferred({ key, order, waitMs, objectiveMs, now });
}

/** The ways in which an engine can prefill the prompt: compute all that it doesn't cache, or copy a part of that first. */
function candidatesFor(
  inputs: PlacementInputs,
  engine: directories.Endpoint,
  sources: readonly CopySource[],
): Candidate[] {
  const { prompt, speeds } = inputs;
  const cachedTokens = inputs.loads.cache(engine.id, inputs.memoryTokens).cachedTokens(prompt);
  const candidates = [candidateFor(inputs, engine, cachedTokens, undefined, 0)];
  for (const source of sources) {
    const copiedTokens = Math.min(source.tokens, prompt.promptTokens - 1) - cachedTokens;
    if (copiedTokens <= 0 || source.engine.id === engine.id) continue;
    const distanceFactor = networkCosts.transferFactor(inputs, source.engine, engine);
    candidates.push(
      candidateFor(
        inputs,
        engine,
        cachedTokens + copiedTokens,
        source.engine,
        speeds.copyMs(copiedTokens) * distanceFactor,
      ),
    );
  }
  return candidates;
}

function candidateFor(
  inputs: PlacementInputs,
  engine: directories.Endpoint,
  cachedTokens: number,
  copySource: directories.Endpoint | undefined,
  copyMs: number,
): Candidate {
  const { loads, now, prompt, speeds } = inputs;
  const unreadTokens = Math.max(1, prompt.promptTokens - cachedTokens);
  const urgency = urgencies.urgencyOf(unreadTokens);
  const tokensAhead = loads.tokensAhead(engine.id, urgency, now);
  const tokensWaiting = loads.tokensAhead(engine.id, urgencies.LEAST_URGENT, now);
  const workTokens = speeds.workTokens(engine.role, { unreadTokens, cachedTokens });
  const running = loads.runningRequests(engine.id, now);
  const slowness = inputs.slowness(engine.id);
  const serviceMs = speeds.fixedMs(engine.role, running) + copyMs + speeds.prefillMs(engine.role, workTokens);
  const unloadedMs = serviceMs * slowness + networkCosts.networkMs(inputs, engine);
  const predictedMs = unloadedMs + queueMs(inputs, engine, urgency) + slotWaitMs(engine, running);
  return { engine, copySource, unreadTokens, workTokens, urgency, tokensAhead, tokensWaiting, predictedMs, unloadedMs };
}

/** Time until an engine starts a prompt of that urgency, in milliseconds. */
function queueMs(inputs: PlacementInputs, engine: directories.Endpoint, urgency: number): number {
  const { loads, now, speeds } = inputs;
  const tokens = loads.tokensAhead(engine.id, urgency, now) + loads.tokensInProgress(engine.id, urgency, now);
  return speeds.prefillMs(engine.role, tokens) * inputs.slowness(engine.id);
}

/**
 * @param plan - where a prompt is to be prefilled
 * @param inputs - what the plan was computed from
 * @param urgency - another urgency
 * @returns the same plan with that urgency and the time predicted for it
 */
export function withUrgency(plan: EnginePlan, inputs: PlacementInputs, urgency: number): EnginePlan {
  const engine = plan.prefillEngine ?? plan.decodeEngine;
  const savedMs = queueMs(inputs, engine, plan.urgency) - queueMs(inputs, engine, urgency);
  const tokensAhead = inputs.loads.tokensAhead(engine.id, urgency, inputs.now);
  return { ...plan, urgency, tokensAhead, predictedMs: plan.predictedMs - savedMs };
}

/**
 * Chooses the engine that generates the tokens of a prompt which another engine
 * prefills: the one with the fewest streams, or the preferred engine of the
 * prompt's shared parts if that is no worse. Engines with a limit are chosen last.
 *
 * @param inputs - the prompt, the engines and what is known of them
 * @param prefillEngine - the engine that prefills the prompt, if it is known
 * @returns the engine, or undefined if none can generate tokens
 */
export function chooseDecodeEngine(
  inputs: PlacementInputs,
  prefillEngine: directories.Endpoint | undefined,
): directories.Endpoint | undefined {
  const decodeEngines = withoutLimited(
    inputs,
    inputs.engines.filter((engine) => engine.role !== directories.EngineRole.Prefill),
  );
  const prefixId = promptParts.sharedPrefixId(inputs.prompt);
  const { dataCentre } = prefillEngine ?? inputs;
  const near = networkCosts.endpointsOfRegion(inputs.distances, decodeEngines, dataCentre);
  const preferredId = prefixId === undefined ? undefined : preferredEngineId(prefixId, near);
  const copyMs = inputs.speeds.copyMs(inputs.prompt.promptTokens);
  let chosen: directories.Endpoint | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const engine of decodeEngines) {
    const running = inputs.loads.runningRequests(engine.id, inputs.now);
    const occupancyMs = ((1 + running) / engine.slots) * FULL_OCCUPANCY_MS + slotWaitMs(engine, running);
    const queuedTokens = inputs.loads.tokensAhead(engine.id, urgencies.LEAST_URGENT, inputs.now);
    const queuedMs = inputs.speeds.prefillMs(engine.role, queuedTokens);
    const affinityMs = engine.id === preferredId ? 0 : DECODE_AFFINITY_MS;
    // Queued prefills slow the tokens of all streams, but don't delay the start of a stream whose prompt is prefilled.
    const busyMs = (occupancyMs + queuedMs * QUEUED_PREFILL_WEIGHT) * inputs.slowness(engine.id);
    const distanceMs =
      networkCosts.networkMs(inputs, engine) + networkCosts.transferCostMs(inputs, prefillEngine, engine, copyMs);
    const cost = busyMs + affinityMs + distanceMs;
    if (cost < chosenCost) {
      chosen = engine;
      chosenCost = cost;
    }
  }
  return chosen;
}

/** Cost of a decode engine whose slots are all taken, in milliseconds; it spreads streams evenly. */
const FULL_OCCUPANCY_MS = 50;

/** Share of a decode engine's queued prefill time that counts against it for a prompt that is already prefilled. */
const QUEUED_PREFILL_WEIGHT = 0.3;

/**
 * Cost of any other decode engine than the preferred one of the prompt's shared
 * parts, in milliseconds: prompts that the preferred one prefills itself find the
 * parts cached. On a day of high load this lowered the shared tokens that were
 * prefilled again from 768 to 611 thousand.
 */
const DECODE_AFFINITY_MS = 20;

/**
 * Time that each stream beyond an engine's slots adds to the wait for a slot, in
 * milliseconds. It corresponds to streams of 2.5 s at 64 slots.
 */
const MS_PER_STREAM_BEYOND_SLOTS = 40;

function slotWaitMs(engine: directories.Endpoint, running: number): number {
  return Math.max(0, running + 1 - engine.slots) * MS_PER_STREAM_BEYOND_SLOTS;
}
