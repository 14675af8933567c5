/** Busy share of a daemon's capacity up to which a daemon of the same data centre is preferred for passing requests on. */
const PREFERRED_UTILIZATION = 0.6;

/** A daemon that could pass on a request, as its heartbeats describe it. */
export interface RelayCandidate {
  readonly vm: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly active: boolean;
  /** Whether it can connect to no endpoint of some service itself. */
  readonly linkLost: boolean;
  /** Processor capacity of its VM and the busy part of it, in cores. */
  readonly capacity: number;
  readonly busyCores: number;
}

/** What the choice depends on besides the candidates. */
export interface RelayChoiceInputs {
  /** Data centre of this daemon. */
  readonly dataCentre: string;
  /** VMs that are not chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Data centres of daemons that didn't reach the endpoint either: their link may be lost as a whole. */
  readonly avoidedDataCentres: ReadonlySet<string>;
  /** @returns a random number from 0 to 1 */
  readonly draw: () => number;
}

/**
 * Chooses the daemon that passes on a request to an endpoint that this daemon doesn't reach.
 *
 * It answers the load pattern of many daemons that are cut off at the same moment: their requests must not all go to the
 * few able daemons nearby. Of two random candidates the less busy one is taken; daemons of the same data centre come
 * first only while they have capacity to spare, and last once one of them has failed to reach the endpoint. Active daemons have open connections and a current view; a standby daemon
 * is taken where no active one is able.
 *
 * @param candidates - the live peers
 * @param inputs - what else it depends on
 * @returns the chosen daemon, or undefined if none is able
 */
export function chooseRelay<T extends RelayCandidate>(
  candidates: readonly T[],
  { dataCentre, excluded, avoidedDataCentres, draw }: RelayChoiceInputs,
): T | undefined {
  const able = candidates.filter(({ vm, ready, linkLost }) => ready && !linkLost && !excluded.has(vm));
  const elsewhere = able.filter((candidate) => !avoidedDataCentres.has(candidate.dataCentre));
  const active = elsewhere.filter((candidate) => candidate.active);
  const near = active.filter(
    (candidate) => candidate.dataCentre === dataCentre && utilization(candidate) < PREFERRED_UTILIZATION,
  );
  const pool = [near, active, elsewhere, able].find((group) => group.length > 0) ?? [];
  const [first, second] = [0, 1].map(() => pool[Math.floor(draw() * pool.length)]);
  if (first === undefined || second === undefined) return undefined;
  return utilization(second) < utilization(first) ? second : first;
}

function utilization({ busyCores, capacity }: RelayCandidate): number {
  return busyCores / capacity;
}
