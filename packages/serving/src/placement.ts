import * as common from "@camphorcourse/common";
import * as directories from "./endpointDirectory.js";
import * as boards from "./engineLoadTracker.js";
import type * as engineSpeeds from "./engineSpeeds.js";
import * as promptParts from "./promptParts.js";
import * as urgencies from "./urgency.js";

/** Where a prompt is read and where its tokens are made. */
export interface EnginePlan {
  /** Engine that makes the tokens; where another reads the prompt, as things stand now. */
  readonly decodeEngine: directories.Endpoint;
  /** Engine that reads the prompt first, or undefined where the decoder reads it. */
  readonly prefillEngine: directories.Endpoint | undefined;
  /** Engine from which the one that reads copies the shared parts that it doesn't keep, if that is faster. */
  readonly copySource: directories.Endpoint | undefined;
  /** Tokens that have to be read. */
  readonly unreadTokens: number;
  /** The reading's work, attention included, as tokens of a short prompt. */
  readonly workTokens: number;
  readonly urgency: number;
  /** Tokens that the engine has to read before. */
  readonly tokensAhead: number;
  /** Tokens that it has to read at all, less urgent ones included. */
  readonly tokensWaiting: number;
  /** Predicted time to the first event, in milliseconds. */
  readonly predictedMs: number;
  /** The part of it that it would take if nothing else were under way, in milliseconds. */
  readonly unloadedMs: number;
}

/** What the choice rests on. */
export interface PlacementInputs {
  readonly prompt: promptParts.Prompt;
  readonly engines: readonly directories.Endpoint[];
  readonly loads: boards.EngineLoadTracker;
  readonly memoryTokens: number;
  /** What is known of the speed of the service's engines. */
  readonly speeds: engineSpeeds.EngineSpeeds;
  /** Factor by which an endpoint is slower than expected, 1 for a sound one. */
  readonly slowness: (endpointId: string) => number;
  readonly dataCentre: string;
  /** Longest pause between two events with which a stream is in time, in milliseconds. */
  readonly maxPauseMs: number;
  readonly now: number;
}

/** Time that an endpoint in another data centre adds, in milliseconds: a way there and back. */
const OTHER_DATA_CENTRE_MS = 2;

/**
 * Places a prompt by the predicted time to its first event: tokens ahead of it,
 * parts already cached, both ways of reading it. Its parts' home engine comes
 * first among equals, so that one engine keeps each group of shared parts
 * instead of all of them reading it.
 *
 * @param inputs - the prompt, the engines and what is known of them
 * @returns the best plan, or undefined if no engine can make tokens
 */
export function placePrompt(inputs: PlacementInputs): EnginePlan | undefined {
  const decoders = inputs.engines.filter((engine) => engine.role !== directories.EngineRole.Prefill);
  const readers = inputs.engines.filter((engine) => engine.role === directories.EngineRole.Prefill);
  const sources = copySources(inputs);
  const direct = best(inputs, decoders, sources);
  const apart = best(inputs, readers, sources);
  const target = chooseDecodeEngine(inputs, apart?.engine);
  if (direct === undefined || target === undefined) return undefined;
  const directMs = direct.predictedMs + strainMs(inputs, direct);
  const slotMs = slotWaitMs(target, inputs.loads.runningRequests(target.id, inputs.now));
  const handoverMs = inputs.speeds.handoverMs(inputs.prompt.promptTokens);
  const apartMs = apart === undefined ? Number.POSITIVE_INFINITY : apart.predictedMs + handoverMs + slotMs;
  if (apart === undefined || directMs <= apartMs) {
    return { ...direct, decodeEngine: direct.engine, prefillEngine: undefined, predictedMs: direct.predictedMs };
  }
  const aloneMs = apart.unloadedMs + handoverMs;
  return { ...apart, decodeEngine: target, prefillEngine: apart.engine, predictedMs: apartMs, unloadedMs: aloneMs };
}

/**
 * Delay of the streams at a decode engine that counts against reading a prompt
 * there, as a share of the reading for each stream: each piece of the prompt is
 * read between two tokens of all of them, and long answers miss their deadline.
 */
const STREAM_STRAIN = 0.05;

/** What a stream that becomes late counts against reading a prompt beside it, in milliseconds. */
const LATE_STREAM_MS = 100;

function strainMs(inputs: PlacementInputs, direct: Candidate): number {
  const { loads: board, now, maxPauseMs: pauseAimMs, speeds } = inputs;
  const { id, role } = direct.engine;
  const streams = board.runningRequests(id, now);
  const readMs = speeds.prefillMs(role, direct.workTokens);
  // An event of a stream waits for all that is read between its tokens.
  const pauseMs = speeds.pause.baseMs + speeds.pause.perStreamMs * streams;
  const waitingMs = speeds.prefillMs(role, board.tokensAhead(id, urgencies.LEAST_URGENT, now));
  const lateStreams = pauseMs + waitingMs + readMs > pauseAimMs ? streams : 0;
  return readMs * streams * STREAM_STRAIN + lateStreams * LATE_STREAM_MS;
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

function best(
  inputs: PlacementInputs,
  engines: readonly directories.Endpoint[],
  sources: readonly CopySource[],
): Candidate | undefined {
  const group = promptParts.sharedGroup(inputs.prompt);
  const home = group === undefined ? undefined : homeOf(group, engines);
  let chosen: Candidate | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const engine of engines) {
    for (const candidate of candidatesAt(inputs, engine, sources)) {
      const cost = candidate.predictedMs + (engine.id === home ? 0 : homeLeavingMs(inputs, candidate));
      if (cost < chosenCost) {
        chosen = candidate;
        chosenCost = cost;
      }
    }
  }
  return chosen;
}

/**
 * Weight of reading shared parts at another engine than their home, in multiples of that reading: the copy also pushes
 * other parts out of a second cache. In a replay of long shared prompts, with both weights at 6 and at 30: 2.66 and 1.55
 * million tokens read again, goodput 0.870 and 0.877 (means of eight seeds).
 */
const READ_ELSEWHERE_WEIGHT = 30;

/** The same for shared parts that are copied from the engine that keeps them. */
const COPY_ELSEWHERE_WEIGHT = 30;

function homeLeavingMs(inputs: PlacementInputs, candidate: Candidate): number {
  const own = inputs.prompt.parts.at(-1)?.tokens ?? 0;
  const shared = Math.max(0, inputs.prompt.promptTokens - own);
  const { speeds } = inputs;
  if (candidate.copySource !== undefined) return COPY_ELSEWHERE_WEIGHT * speeds.copyMs(shared);
  return READ_ELSEWHERE_WEIGHT * speeds.prefillMs(candidate.engine.role, shared);
}

/** An engine that keeps the beginning of the prompt. */
interface CopySource {
  readonly engine: directories.Endpoint;
  readonly tokens: number;
}

/** The engines that keep most of the prompt: the first in each data centre. */
function copySources(inputs: PlacementInputs): CopySource[] {
  const { loads: board, memoryTokens, prompt } = inputs;
  const best = new Map<string, CopySource>();
  for (const engine of inputs.engines) {
    const tokens = board.cache(engine.id, memoryTokens).copyableTokens(prompt);
    if (tokens > (best.get(engine.dataCentre)?.tokens ?? 0)) best.set(engine.dataCentre, { engine, tokens });
  }
  return [...best.values()];
}

/** Copies between data centres take twice as long. */
const FAR_COPY_MULTIPLE = 2;

function homeOf(group: string, engines: readonly directories.Endpoint[]): string | undefined {
  return common.rendezvousOrder(
    group,
    engines.map((engine) => engine.id),
  )[0];
}

/** What an engine would do with the prompt: read all that it doesn't keep, or copy a part of that from another first. */
function candidatesAt(
  inputs: PlacementInputs,
  engine: directories.Endpoint,
  sources: readonly CopySource[],
): Candidate[] {
  const { prompt, speeds } = inputs;
  const cached = inputs.loads.cache(engine.id, inputs.memoryTokens).cachedTokens(prompt);
  const candidates = [candidateAt(inputs, engine, cached, undefined, 0)];
  for (const source of sources) {
    const copied = Math.min(source.tokens, prompt.promptTokens - 1) - cached;
    if (copied <= 0 || source.engine.id === engine.id) continue;
    const far = source.engine.dataCentre === engine.dataCentre ? 1 : FAR_COPY_MULTIPLE;
    candidates.push(candidateAt(inputs, engine, cached + copied, source.engine, speeds.copyMs(copied) * far));
  }
  return candidates;
}

function candidateAt(
  inputs: PlacementInputs,
  engine: directories.Endpoint,
  cachedTokens: number,
  copySource: directories.Endpoint | undefined,
  copyMs: number,
): Candidate {
  const { loads: board, now, prompt, speeds } = inputs;
  const unreadTokens = Math.max(1, prompt.promptTokens - cachedTokens);
  const level = urgencies.urgencyOf(unreadTokens);
  const tokensAhead = board.tokensAhead(engine.id, level, now);
  const tokensWaiting = board.tokensAhead(engine.id, urgencies.LEAST_URGENT, now);
  const workTokens = speeds.workTokens(engine.role, { unreadTokens, cachedTokens });
  const running = board.runningRequests(engine.id, now);
  const slowness = inputs.slowness(engine.id);
  const ownMs = speeds.fixedMs(engine.role, running) + copyMs + speeds.prefillMs(engine.role, workTokens);
  const aloneMs = ownMs * slowness + wayMs(inputs, engine);
  const predictedMs = aloneMs + queueMs(inputs, engine, level) + slotWaitMs(engine, running);
  return {
    engine,
    copySource,
    unreadTokens,
    workTokens,
    urgency: level,
    tokensAhead,
    tokensWaiting,
    predictedMs,
    unloadedMs: aloneMs,
  };
}

/** Time until an engine begins with a prompt of that level, in milliseconds. */
function queueMs(inputs: PlacementInputs, engine: directories.Endpoint, level: number): number {
  const { loads: board, now, speeds } = inputs;
  const tokens = board.tokensAhead(engine.id, level, now) + board.tokensBegun(engine.id, level, now);
  return speeds.prefillMs(engine.role, tokens) * inputs.slowness(engine.id);
}

/**
 * @param plan - where a prompt is to be read
 * @param inputs - what that rests on
 * @param level - another urgency level
 * @returns the same plan with that level
 */
export function withUrgency(plan: EnginePlan, inputs: PlacementInputs, level: number): EnginePlan {
  const engine = plan.prefillEngine ?? plan.decodeEngine;
  const savedMs = queueMs(inputs, engine, plan.urgency) - queueMs(inputs, engine, level);
  const tokensAhead = inputs.loads.tokensAhead(engine.id, level, inputs.now);
  return { ...plan, urgency: level, tokensAhead, predictedMs: plan.predictedMs - savedMs };
}

function wayMs(inputs: PlacementInputs, engine: directories.Endpoint): number {
  return engine.dataCentre === inputs.dataCentre ? 0 : OTHER_DATA_CENTRE_MS;
}

/**
 * Chooses the engine that makes the tokens of a prompt that another engine has
 * read: the one with the fewest streams, where the prompt's shared parts are at
 * home if that is no worse.
 *
 * @param inputs - the prompt, the engines and what is known of them
 * @param reader - the engine that reads the prompt, if one is known
 * @returns the engine, or undefined if none can make tokens
 */
export function chooseDecodeEngine(
  inputs: PlacementInputs,
  reader: directories.Endpoint | undefined,
): directories.Endpoint | undefined {
  const decoders = inputs.engines.filter((engine) => engine.role !== directories.EngineRole.Prefill);
  const group = promptParts.sharedGroup(inputs.prompt);
  const home = group === undefined ? undefined : homeOf(group, decoders);
  let chosen: directories.Endpoint | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const engine of decoders) {
    const running = inputs.loads.runningRequests(engine.id, inputs.now);
    const fullMs = ((1 + running) / engine.slots) * FULL_ENGINE_MS + slotWaitMs(engine, running);
    const aheadTokens = inputs.loads.tokensAhead(engine.id, urgencies.LEAST_URGENT, inputs.now);
    const aheadMs = inputs.speeds.prefillMs(engine.role, aheadTokens);
    const homeMs = engine.id === home ? 0 : DECODER_HOME_MS;
    // Waiting prompts slow the tokens of the streams beside them, though not the start of one whose prompt is read.
    const busyMs = (fullMs + aheadMs * WAITING_READS_WEIGHT) * inputs.slowness(engine.id);
    const cost = busyMs + wayMs(inputs, engine) + homeMs + farMoveMs(inputs, reader, engine);
    if (cost < chosenCost) {
      chosen = engine;
      chosenCost = cost;
    }
  }
  return chosen;
}

/**
 * What moving the prompt's memory to another data centre costs beside a move within one: it takes twice as long, and
 * fills links that carry more than this service's moves.
 */
function farMoveMs(
  inputs: PlacementInputs,
  reader: directories.Endpoint | undefined,
  engine: directories.Endpoint,
): number {
  if (reader === undefined || reader.dataCentre === engine.dataCentre) return 0;
  return FAR_MOVE_WEIGHT * inputs.speeds.copyMs(inputs.prompt.promptTokens);
}

/** Weight of a move between data centres, in multiples of the time of one within. */
const FAR_MOVE_WEIGHT = 3;

/** Weight of a decode engine's taken slots in the choice, in milliseconds when all are taken: it spreads streams evenly. */
const FULL_ENGINE_MS = 50;

/** Share of a decode engine's waiting reads that a handed-over prompt feels. */
const WAITING_READS_WEIGHT = 0.3;

/**
 * Advantage of the decode engine where the prompt's shared parts are at home, in
 * milliseconds: prompts that it reads itself find them there. Shared parts read
 * again on a day of high load: 768 thousand tokens without it, 611 with it.
 */
const DECODER_HOME_MS = 20;

/**
 * Time that each stream beyond an engine's slots adds to the wait for a slot, in
 * milliseconds. Assumed, not measured: streams of 2.5 s at 64 slots.
 */
const BEYOND_SLOTS_MS = 40;

function slotWaitMs(engine: directories.Endpoint, running: number): number {
  return Math.max(0, running + 1 - engine.slots) * BEYOND_SLOTS_MS;
}
