import type * as directories from "../endpointDirectory.js";
import * as distanceModels from "./distanceModel.js";
import * as overflows from "./overflow.js";

/** What the costs of the network are computed from. */
export interface NetworkInputs {
  /** Data centre of this daemon. */
  readonly dataCentre: string;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: distanceModels.DistanceModel | undefined;
  /** Latency objective of the first event, in milliseconds. */
  readonly objectiveMs: number;
}

/** Round trip to an endpoint in another data centre of a deployment of one region, in milliseconds. */
const CROSS_DATA_CENTRE_MS = 2;

/** Copies between data centres take twice as long. */
const CROSS_DATA_CENTRE_COPY_FACTOR = 2;

/**
 * Weight of the time by which a transfer takes longer than within a data centre: it uses links that also carry other
 * traffic.
 */
const TRANSFER_WEIGHT = 3;

/**
 * @param inputs - where this daemon is
 * @param engine - an engine
 * @returns network time of a request there and of its answer, in milliseconds
 */
export function networkMs({ dataCentre, distances }: NetworkInputs, engine: directories.Endpoint): number {
  if (distances !== undefined) return distances.roundTripMs(engine.dataCentre);
  return engine.dataCentre === dataCentre ? 0 : CROSS_DATA_CENTRE_MS;
}

/**
 * @param inputs - where this daemon is
 * @param from - engine that has a KV cache
 * @param to - engine that gets it
 * @returns time of the transfer, in multiples of the time of one within a data centre
 */
export function transferFactor(
  { distances }: NetworkInputs,
  from: directories.Endpoint,
  to: directories.Endpoint,
): number {
  if (distances !== undefined) return distances.transferFactor(from.dataCentre, to.dataCentre);
  return from.dataCentre === to.dataCentre ? 1 : CROSS_DATA_CENTRE_COPY_FACTOR;
}

/**
 * Extra cost of transferring a prompt's KV cache from the engine that has prefilled it: the longer time of a transfer out
 * of its data centre, and out of its region the margin by which leaving a region has to be worth it.
 *
 * @param inputs - where this daemon is
 * @param from - the engine that has prefilled the prompt, if it is known
 * @param to - the engine that gets it
 * @param copyMs - time of a transfer within a data centre, in milliseconds
 * @returns the cost, in milliseconds
 */
export function transferCostMs(
  inputs: NetworkInputs,
  from: directories.Endpoint | undefined,
  to: directories.Endpoint,
  copyMs: number,
): number {
  if (from === undefined) return 0;
  const slowerMs = TRANSFER_WEIGHT * (transferFactor(inputs, from, to) - 1) * copyMs;
  const way = inputs.distances?.wayBetween(from.dataCentre, to.dataCentre);
  const marginMs = way === distanceModels.Way.Remote ? overflows.OVERFLOW_MARGIN_SHARE * inputs.objectiveMs : 0;
  return slowerMs + marginMs;
}

/**
 * @param distances - the distances; undefined in a deployment of one region
 * @param endpoints - endpoints
 * @param dataCentre - a data centre
 * @returns those of its region if there are any, else all
 */
export function endpointsOfRegion(
  distances: distanceModels.DistanceModel | undefined,
  endpoints: readonly directories.Endpoint[],
  dataCentre: string,
): readonly directories.Endpoint[] {
  if (distances === undefined) return endpoints;
  const region = distances.regionOf(dataCentre);
  const near = endpoints.filter((each) => distances.regionOf(each.dataCentre) === region);
  return near.length > 0 ? near : endpoints;
}
