import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as attempts from "./attempts.js";
import * as claimManager from "./claimManager.js";
import type * as claims from "./claims.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import * as controlEvents from "./controlEventHandler.js";
import * as controlFollower from "./controlFollower.js";
import * as controlStore from "./controlStore.js";
import * as events from "./events.js";
import type * as keyValue from "./keyValueTypes.js";
import * as leaseManager from "./leaseManager.js";
import * as leases from "./leases.js";
import * as membership from "./membership.js";
import type * as orderContext from "./orderContext.js";
import * as orderManager from "./orderManager.js";
import * as peerView from "./peerView.js";
import * as requestDesk from "./requestDesk.js";
import * as endpointModel from "./endpointModel.js";
import * as servicePool from "./servicePool.js";
import * as timeline from "./timeline.js";
import * as viewFreshness from "./viewFreshness.js";

/** What a core is told at its start. */
export interface CoreOptions {
  readonly registration: membership.Registration;
  readonly seed: number;
  readonly policy?: servicePool.PolicySettings;
  readonly lingerMs?: number;
  readonly answerBytes?: number;
}

/** An instant by both clocks, in milliseconds. */
export interface Instant {
  readonly now: number;
  readonly wall: number;
}

const DEFAULT_ANSWER_BYTES = 16 * 1024 * 1024;
const ISOLATED_RETRY_MS = 1000;

/**
 * The front door of the decisions. A daemon, a test or a trace replay
 * constructs a core, hands it events with the time, and carries out the
 * actions that come back. Nothing in here reads a clock, opens a socket, or
 * draws a random number that the seed does not determine.
 *
 * @example
 * ```ts
 * const core = new Core({ registration, seed: 1 });
 * const actions = core.handle({ type: EventType.Tick }, { now: 0, wall: Date.now() });
 * ```
 */
export class Core {
  readonly tree = new configuration.ConfigurationTree();
  readonly roster: membership.Roster;
  readonly shards = new leases.ShardLeases();
  readonly orderManager: orderManager.OrderManager;
  readonly requestDesk: requestDesk.RequestDesk;
  readonly #store = new controlStore.ControlStore();
  readonly #follower: controlFollower.ControlFollower;
  readonly #leaseManager: leaseManager.LeaseManager;
  readonly #peerView: peerView.PeerView;
  readonly #freshness = new viewFreshness.ViewFreshness();
  readonly #claimManager: claimManager.ClaimManager;
  readonly #control: controlEvents.ControlEventHandler;
  readonly #random: common.SeededRandom;
  readonly #pools = new Map<string, servicePool.ServicePool>();
  readonly #loads = new Map<string, orderContext.ReceivedLoadReport>();
  #nextSlowTickAt = 0;
  #actions: actions.Action[] = [];
  #instant: Instant = { now: 0, wall: 0 };

  /** @param options - registration, seed and policy */
  constructor(options: CoreOptions) {
    this.#random = new common.SeededRandom(options.seed);
    const { vm, incarnation } = options.registration;
    this.roster = new membership.Roster(vm);
    const context = {
      vm,
      incarnation,
      random: this.#random,
      lingerMs: options.lingerMs ?? constants.SOCKET_LINGER_MS,
      roster: this.roster,
      shards: this.shards,
      tree: this.tree,
      poolOf: (service: string) => this.#pools.get(service),
      urlOf: (endpoint: string) => this.tree.endpoint(endpoint)?.settings.url,
      loadOf: (endpoint: string) => this.#loads.get(endpoint),
      leaseIsValid: (now: number) => this.#leaseManager.isValid(now),
      requestClaim: (request: string, claim: claims.Claim) => {
        this.#claimManager.request(request, claim);
      },
      emit: (action: actions.Action) => this.#actions.push(action),
    };
    const limits = { answerBytes: options.answerBytes ?? DEFAULT_ANSWER_BYTES, windowMs: constants.CLAIM_WINDOW_MS };
    this.requestDesk = new requestDesk.RequestDesk(context, new attempts.AttemptBook(limits));
    this.orderManager = new orderManager.OrderManager(context);
    this.#peerView = new peerView.PeerView(this.#pools, this.roster, this.orderManager);
    const servingMembers = (): membership.Registration[] => this.servingMembers(this.#instant.now);
    this.#leaseManager = new leaseManager.LeaseManager(options.registration, {
      ...context,
      servingMembers,
      wantedShards: () => new Set(this.tree.services().map((service) => service.shard)),
    });
    this.#follower = new controlFollower.ControlFollower({
      ...context,
      store: this.#store,
      policy: options.policy ?? servicePool.POLICY_SETTINGS,
      orders: this.orderManager,
      pools: this.#pools,
      onUnregistered: () => {
        this.#leaseManager.onUnregistered();
      },
    });
    this.#claimManager = new claimManager.ClaimManager({
      ...context,
      servingMembers,
      onClaimAnswered: (request, verdict, standing) => {
        this.requestDesk.duplicates.onClaimAnswered(request, verdict, standing, this.#instant.now);
      },
    });
    this.#control = new controlEvents.ControlEventHandler({
      store: this.#store,
      follower: this.#follower,
      freshness: this.#freshness,
      leaseManager: this.#leaseManager,
      claimManager: this.#claimManager,
      orderManager: this.orderManager,
      peerView: this.#peerView,
      roster: this.roster,
      shards: this.shards,
      loads: this.#loads,
      emit: context.emit,
    });
  }

  /** @returns this daemon's registration as it should stand */
  get registration(): membership.Registration {
    return this.#leaseManager.registration;
  }

  /** @returns the revision up to which every control record is known */
  get appliedRevision(): number {
    return this.#store.appliedRevision;
  }

  /** @returns the id of the lease in the key-value service */
  get leaseId(): string | undefined {
    return this.#leaseManager.leaseId;
  }

  /** @returns whether claims wait for a write, so that the core wants to be woken soon */
  get hasPendingClaims(): boolean {
    return this.#claimManager.hasWaiting;
  }

  /**
   * Hands the core an event.
   *
   * @param event - what happened
   * @param instant - when
   * @returns what to do, in this order
   */
  handle(event: events.CoreEvent, instant: Instant): actions.Action[] {
    this.#instant = instant;
    this.#noticePause(instant.now);
    this.#apply(event, instant.now);
    this.#claimManager.run(instant.now, instant.wall);
    const result = this.#actions;
    this.#actions = [];
    return result;
  }

  /**
   * Asked in the same step in which an order's bytes are written, so that no
   * pause can come between the check and the write unnoticed.
   *
   * @param shard - the endpoint's shard
   * @param epoch - the epoch of the order
   * @param now - current time
   * @returns whether the order may still go out
   */
  mayOrder(shard: string, epoch: number, now: number): boolean {
    return this.#leaseManager.isValid(now) && this.shards.epochOf(shard, this.registration.incarnation) === epoch;
  }

  /**
   * @param service - `team/service`
   * @returns the service's pool
   */
  poolOf(service: string): servicePool.ServicePool | undefined {
    return this.#pools.get(service);
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns its last load report
   */
  loadOf(endpoint: string): orderContext.ReceivedLoadReport | undefined {
    return this.#loads.get(endpoint);
  }

  /**
   * @param key - a control record's key
   * @returns the record as last seen
   */
  controlRecord(key: string): keyValue.KeyRecord | undefined {
    return this.#store.get(key);
  }

  /**
   * @param now - current time
   * @returns why this daemon takes no new work, or undefined if it does
   */
  refusal(now: number): common.Problem | undefined {
    if (this.registration.stopped) return common.problem(common.ProblemKind.Leaving, "the daemon is stopping");
    if (this.#store.appliedRevision === 0) {
      return common.problem(common.ProblemKind.Starting, "the configuration has not been read yet", {
        retryAfterMs: ISOLATED_RETRY_MS,
      });
    }
    if (this.#freshness.isFresh(this.roster, now)) return undefined;
    return common.problem(common.ProblemKind.Isolated, "the view of the configuration may be out of date", {
      retryAfterMs: ISOLATED_RETRY_MS,
    });
  }

  /**
   * @param now - current time
   * @returns what peers are told in a heartbeat
   */
  heartbeat(now: number): membership.PeerReport {
    return {
      vm: this.registration.vm,
      incarnation: this.registration.incarnation,
      leaving: this.registration.leaving,
      appliedRevision: this.#store.appliedRevision,
      keyValueReachable: this.#freshness.isKeyValueFresh(now),
      shares: this.#peerView.endpointShares(now),
      services: this.#peerView.serviceShares(),
    };
  }

  /**
   * @param now - current time
   * @returns the daemons that callers may use, this one included unless it is leaving
   */
  servingMembers(now: number): membership.Registration[] {
    const peers = this.roster.peers().filter((peer) => this.roster.isServing(peer.registration.vm, now));
    const self = this.registration.leaving ? [] : [this.registration];
    return [...self, ...peers.map((peer) => peer.registration)];
  }

  #apply(event: events.CoreEvent, now: number): void {
    switch (event.type) {
      case events.EventType.Tick:
        this.#onTick(now);
        break;
      case events.EventType.RequestArrived:
        this.#onRequest(event.request, now);
        break;
      case events.EventType.ClaimAnswered:
        this.#claimManager.onAnswered(event.attempt, event.verdict, event.standing);
        break;
      case events.EventType.JoinAnswered:
        this.requestDesk.duplicates.onJoinAnswered(event, now);
        break;
      case events.EventType.JoinAsked:
        this.requestDesk.duplicates.onJoinAsked(event);
        break;
      case events.EventType.PrefillDone:
        this.requestDesk.onPrefillDone(event.request, event.attempt, now);
        break;
      case events.EventType.FirstToken:
        this.requestDesk.onFirstToken(event.request, event.attempt, now);
        break;
      case events.EventType.AnswerDone:
        this.requestDesk.onAnswerDone(event, now);
        break;
      case events.EventType.AttemptFailed:
        this.requestDesk.onAttemptFailed(event.request, event.attempt, event.reach, now);
        break;
      case events.EventType.CallerGone:
        this.requestDesk.onCallerGone(event.request, now);
        break;
      case events.EventType.ClaimsAsked:
        this.#claimManager.onAsked(event.claims);
        break;
      case events.EventType.ResumeBegun:
        this.#poolOfEndpoint(event.endpoint)?.endpoint(event.endpoint)?.onDispatched(event.resume, resumedWork(now));
        break;
      case events.EventType.ResumeEnded:
        this.#poolOfEndpoint(event.endpoint)?.endpoint(event.endpoint)?.onEnded(event.resume, now);
        break;
      case events.EventType.StopAsked:
        this.#onStopAsked();
        break;
      default:
        this.#control.apply(event, now);
    }
  }

  #onRequest(request: events.RequestDescription, now: number): void {
    const refusal = this.refusal(now);
    if (refusal) this.#actions.push({ type: actions.ActionType.Refuse, request: request.id, problem: refusal });
    else this.requestDesk.onArrived(request, now);
  }

  #noticePause(now: number): void {
    const pausedMs = this.#leaseManager.detectPause(now);
    if (pausedMs === 0) return;
    this.#freshness.onPaused();
    this.#note(timeline.EventKind.Paused, { pausedMs: Math.round(pausedMs) });
  }

  #onTick(now: number): void {
    const lost = this.roster.expire(now);
    for (const vm of lost) this.#note(timeline.EventKind.MemberLost, { vm });
    if (lost.length > 0) this.#peerView.updatePeerTotals(now);
    this.#leaseManager.renew(now);
    this.#onSlowTick(now);
    this.requestDesk.onTick(now);
    for (const pool of this.#pools.values()) this.requestDesk.serveQueues(now, pool);
    this.orderManager.onTick(now);
  }

  /** What walks over all services and endpoints: changes of records bring them up to date at once besides. */
  #onSlowTick(now: number): void {
    if (now < this.#nextSlowTickAt) return;
    this.#nextSlowTickAt = now + constants.SLOW_TICK_INTERVAL_MS;
    if (this.#store.appliedRevision > 0) this.#leaseManager.takeShards(now);
    this.#follower.refreshEndpoints(now);
  }

  #onStopAsked(): void {
    if (this.registration.leaving) return;
    this.#note(timeline.EventKind.Leaving, {});
    this.#leaseManager.markLeaving();
  }

  /**
   * Nothing runs here any more and callers have been away long enough: the
   * registration says so.
   *
   * @param instant - when
   * @returns what to do
   */
  markStopped(instant: Instant): actions.Action[] {
    this.#instant = instant;
    this.#leaseManager.markStopped();
    const result = this.#actions;
    this.#actions = [];
    return result;
  }

  #poolOfEndpoint(endpoint: string): servicePool.ServicePool | undefined {
    const service = this.tree.endpoint(endpoint)?.serviceId;
    return service === undefined ? undefined : this.#pools.get(service);
  }

  #note(kind: timeline.EventKind, fields: Record<string, common.Field>): void {
    this.#actions.push({ type: actions.ActionType.Note, note: { kind, fields } });
  }
}

function resumedWork(now: number): Omit<endpointModel.Outstanding, "aheadTokens"> {
  return { part: endpointModel.RequestPart.Decode, promptTokens: 0, outputTokens: 0, dispatchedAt: now };
}
