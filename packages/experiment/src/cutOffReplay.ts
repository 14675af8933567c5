import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as virtualTimes from "./virtualTime.js";

/** How a fleet reacts when daemons lose their links to all endpoints. */
export enum CutOffReaction {
  /** Each request tries endpoints until its caller leaves. */
  None = "each request for itself",
  /** Addresses of cut-off daemons are taken back. */
  Withdraw = "addresses taken back",
  /** Requests are passed on to peers. */
  PassOn = "requests passed on",
  /** Both. */
  Both = "both",
}

/** A replay of daemons that are cut off. */
export interface CutOffScenario {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly endpoints: number;
  /** Share of the first data centre's daemons that are cut off. */
  readonly cutShare: number;
  readonly requestsPerSecondEach: number;
  /** Time until a change of a daemon's state is known to its peers, in milliseconds. */
  readonly heartbeatMs: number;
  readonly reaction: CutOffReaction;
}

/** Result of a replay, counted from {@link COUNTED_FROM_MS} after the cut until its end. */
export interface CutOffOutcome {
  /** Share of the first tries that were served, at the cut-off daemons and at the others. */
  readonly servedAtCutOff: number;
  readonly servedElsewhere: number;
  /** First tries at cut-off daemons. */
  readonly triesAtCutOff: number;
  /** Requests a second that the busiest daemon passed on for others, in multiples of its callers' own. */
  readonly mostPassedOn: number;
  /** Probes and failed connections to endpoints a second of each cut-off daemon. */
  readonly probesPerSecond: number;
}

/** Time from the cut until its effect counts, in milliseconds. */
export const COUNTED_FROM_MS = 3_000;

const CUT = { fromMs: 5_000, untilMs: 17_000 };

/** Time for a connection to an endpoint that is out of reach to be given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 350;

/** Time for an answer, directly and through a peer, in milliseconds. */
const ANSWER_MS = { direct: 100, passedOn: 104 };

/** Time for a peer to say that it doesn't reach an endpoint either, in milliseconds. */
const REFUSAL_MS = 2;

/** Time for which callers wait, in milliseconds. */
const PATIENCE_MS = 2_400;

/** Peers that are asked for one request, and endpoints that are tried. */
const MAX_PEERS = 3;
const MAX_ENDPOINTS = 3;

/** Times for which callers keep an address list, in milliseconds: most of them, and some. */
const ADDRESS_TTL_MS = [2_000, 2_000, 6_000];

const CHECK_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;
const SERVICE = "service";

interface Daemon {
  readonly vm: string;
  readonly dataCentre: string;
  readonly isCut: boolean;
  readonly paths: serving.EndpointPaths;
  /** What its peers know of it. */
  published: { cutOff: boolean; linkLost: boolean };
  passedOn: number;
  probes: number;
}

interface Tally {
  tries: number;
  served: number;
}

/** Replays daemons that lose their links to all endpoints, by the decisions that serve. */
export class CutOffReplay {
  readonly #scenario: CutOffScenario;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #random: common.SeededRandom;
  readonly #daemons: readonly Daemon[];
  readonly #endpoints: readonly serving.PathTarget[];
  readonly #tallies = { cutOff: { tries: 0, served: 0 }, elsewhere: { tries: 0, served: 0 } };

  /**
   * @param scenario - the fleet, the cut and the reaction
   * @param seed - seed of the replay
   */
  constructor(scenario: CutOffScenario, seed: number) {
    this.#scenario = scenario;
    this.#random = new common.SeededRandom(seed);
    const each = Math.ceil(scenario.daemons / scenario.dataCentres);
    this.#daemons = Array.from({ length: scenario.daemons }, (_, index) => ({
      vm: `vm-${index}`,
      dataCentre: `dc-${Math.floor(index / each)}`,
      isCut: index < scenario.cutShare * each,
      paths: new serving.EndpointPaths(),
      published: { cutOff: false, linkLost: false },
      passedOn: 0,
      probes: 0,
    }));
    this.#endpoints = Array.from({ length: scenario.endpoints }, (_, index) => ({ id: `e${index}`, service: SERVICE }));
  }

  /** @returns the outcome */
  run(): CutOffOutcome {
    for (const daemon of this.#daemons) this.#startCaller(daemon, daemon);
    for (const daemon of this.#daemons.filter(({ isCut }) => isCut)) this.#check(daemon);
    this.#time.run(CUT.untilMs + PATIENCE_MS);
    const seconds = (CUT.untilMs - CUT.fromMs) / MS_PER_SECOND;
    const cut = this.#daemons.filter(({ isCut }) => isCut);
    const own = this.#scenario.requestsPerSecondEach * seconds;
    return {
      servedAtCutOff: shareOf(this.#tallies.cutOff),
      servedElsewhere: shareOf(this.#tallies.elsewhere),
      triesAtCutOff: this.#tallies.cutOff.tries,
      mostPassedOn: Math.max(...this.#daemons.map(({ passedOn }) => passedOn)) / own,
      probesPerSecond: cut.reduce((sum, { probes }) => sum + probes, 0) / (cut.length * seconds),
    };
  }

  /** Callers whose nearest daemon is one; they follow its address list, each after its own time. */
  #startCaller(home: Daemon, daemon: Daemon): void {
    const gapMs = this.#random.exponential(MS_PER_SECOND / this.#scenario.requestsPerSecondEach);
    this.#time.after(gapMs, () => {
      if (this.#time.now >= CUT.untilMs) return;
      const ttlMs = ADDRESS_TTL_MS[this.#random.integer(ADDRESS_TTL_MS.length)] ?? 0;
      const isExpired = this.#random.next() < gapMs / ttlMs;
      const chosen = isExpired ? this.#chooseAddress(home) : daemon;
      this.#serve(chosen);
      this.#startCaller(home, chosen);
    });
  }

  #chooseAddress(home: Daemon): Daemon {
    const { reaction } = this.#scenario;
    const withdraws = reaction === CutOffReaction.Withdraw || reaction === CutOffReaction.Both;
    if (!withdraws || !home.published.cutOff) return home;
    const able = this.#daemons.filter(({ published }) => !published.cutOff);
    const near = able.filter(({ dataCentre }) => dataCentre === home.dataCentre);
    const choices = near.length > 1 ? near : able;
    return choices[this.#random.integer(choices.length)] ?? home;
  }

  #serve(daemon: Daemon): void {
    const startedAt = this.#time.now;
    const isCounted = startedAt >= CUT.fromMs + COUNTED_FROM_MS && startedAt < CUT.untilMs - PATIENCE_MS;
    const tally = daemon.isCut ? this.#tallies.cutOff : this.#tallies.elsewhere;
    if (isCounted) tally.tries++;
    const onAnswer = (): void => {
      if (isCounted && this.#time.now - startedAt <= PATIENCE_MS) tally.served++;
    };
    this.#tryEndpoint(daemon, startedAt + PATIENCE_MS, 0, onAnswer);
  }

  #tryEndpoint(daemon: Daemon, until: number, tried: number, onAnswer: () => void): void {
    const now = this.#time.now;
    if (now >= until || tried >= MAX_ENDPOINTS) return;
    const offset = this.#random.integer(this.#endpoints.length);
    const candidates = [...this.#endpoints.slice(offset), ...this.#endpoints.slice(0, offset)].slice(0, MAX_ENDPOINTS);
    const usable = this.#passesOn
      ? candidates.filter((each) => daemon.paths.pathTo(each, false, now) !== serving.EndpointPath.None)
      : candidates;
    const [endpoint] = usable;
    if (endpoint === undefined) return;
    const next = (): void => this.#tryEndpoint(daemon, until, tried + 1, onAnswer);
    const path = daemon.paths.pathTo(endpoint, false, now);
    if (this.#passesOn && path !== serving.EndpointPath.Direct) {
      this.#passOn(daemon, endpoint, new Set(), new Set(), onAnswer, next);
    } else this.#connect(daemon, endpoint, onAnswer, next);
  }

  get #passesOn(): boolean {
    return [CutOffReaction.PassOn, CutOffReaction.Both].includes(this.#scenario.reaction);
  }

  #connect(daemon: Daemon, endpoint: serving.PathTarget, onAnswer: () => void, next: () => void): void {
    const since = this.#time.now;
    if (!this.#isCutNow(daemon)) {
      daemon.paths.noteReceived(endpoint, since);
      this.#time.after(ANSWER_MS.direct, onAnswer);
      return;
    }
    daemon.probes++;
    this.#time.after(CONNECT_TIMEOUT_MS, () => {
      daemon.paths.noteConnectFailed(endpoint, since, this.#time.now);
      this.#publish(daemon);
      if (this.#passesOn) this.#passOn(daemon, endpoint, new Set(), new Set(), onAnswer, next);
      else {
        // Without passing on, a peer is only asked whether it reaches the endpoint.
        daemon.paths.notePeerResult(endpoint, true, this.#time.now);
        next();
      }
    });
  }

  #passOn(
    daemon: Daemon,
    endpoint: serving.PathTarget,
    excluded: Set<string>,
    avoidedDataCentres: Set<string>,
    onAnswer: () => void,
    next: () => void,
  ): void {
    const candidates = this.#candidatesFor(daemon);
    const draw = (): number => this.#random.next();
    const { dataCentre } = daemon;
    const relay = serving.chooseRelay(candidates, { dataCentre, excluded, avoidedDataCentres, draw })?.daemon;
    if (relay === undefined || excluded.size >= MAX_PEERS) {
      next();
      return;
    }
    excluded.add(relay.vm);
    const isReached = !this.#isCutNow(relay);
    this.#time.after(isReached ? ANSWER_MS.passedOn : REFUSAL_MS, () => {
      daemon.paths.notePeerResult(endpoint, isReached, this.#time.now);
      this.#publish(daemon);
      if (!isReached) {
        avoidedDataCentres.add(relay.dataCentre);
        this.#passOn(daemon, endpoint, excluded, avoidedDataCentres, onAnswer, next);
        return;
      }
      relay.passedOn++;
      onAnswer();
    });
  }

  #candidatesFor(daemon: Daemon): (serving.RelayCandidate & { readonly daemon: Daemon })[] {
    // A daemon of a large fleet hears a part of the others; a sample stands for it.
    const sample = Array.from(
      { length: Math.min(this.#daemons.length, 40) },
      () => this.#daemons[this.#random.integer(this.#daemons.length)],
    );
    return sample.flatMap((each) =>
      each === undefined || each === daemon
        ? []
        : [
            {
              daemon: each,
              vm: each.vm,
              dataCentre: each.dataCentre,
              ready: true,
              active: true,
              linkLost: each.published.linkLost,
              capacity: 1,
              busyCores: 0.2,
            },
          ],
    );
  }

  #publish(daemon: Daemon): void {
    const cutOff = daemon.paths.isCutOff(this.#endpoints);
    const linkLost = daemon.paths.isLinkLost(this.#endpoints);
    if (cutOff === daemon.published.cutOff && linkLost === daemon.published.linkLost) return;
    this.#time.after(this.#scenario.heartbeatMs, () => {
      daemon.published = { cutOff, linkLost };
    });
  }

  #check(daemon: Daemon): void {
    const since = this.#time.now;
    for (const target of daemon.paths.takeDueProbes(since)) {
      daemon.probes++;
      if (this.#isCutNow(daemon)) {
        this.#time.after(CONNECT_TIMEOUT_MS, () => daemon.paths.noteConnectFailed(target, since, this.#time.now));
      } else daemon.paths.noteConnected(target, since);
    }
    this.#publish(daemon);
    this.#time.after(CHECK_INTERVAL_MS, () => this.#check(daemon));
  }

  #isCutNow({ isCut }: Daemon): boolean {
    return isCut && this.#time.now >= CUT.fromMs && this.#time.now < CUT.untilMs;
  }
}

function shareOf({ tries, served }: Tally): number {
  return tries === 0 ? 1 : served / tries;
}
