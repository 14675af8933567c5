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
import * as requestManager from "./requestManager.js";
import * as endpointModel from "./endpointModel.js";
import * as servicePool from "./servicePool.js";
import * as timeline from "./timeline.js";
import * as viewFreshness from "./viewFreshness.js";

/** Options of a core. */
export interface CoreOptions {
  readonly registration: membership.Registration;
  /** Seed of all random numbers. */
  readonly seed: number;
  readonly policy?: servicePool.PolicySettings;
  /** Longest time, in milliseconds, that sent bytes stay in socket buffers after their process ended. */
  readonly lingerMs?: number;
  /** Maximum bytes of stored answers. */
  readonly answerBytes?: number;
}

/** An instant by the monotonic clock (`now`) and the system clock, in milliseconds. */
export interface Instant {
  readonly now: number;
  readonly systemTime: number;
}

const DEFAULT_ANSWER_BYTES = 16 * 1024 * 1024;
const ISOLATED_RETRY_MS = 1000;

/**
 * Entry point of the decision logic. A daemon, a test or a trace replay
 * constructs a core, passes it events with the time, and executes the actions
 * that it returns. The core is deterministic: it reads no clock, opens no
 * socket, and draws all random numbers from the seed.
 *
 * @example
 * ```ts
 * const core = new Core({ registration, seed: 1 });
 * const actions = core.handle({ type: EventType.Tick }, { now: 0, systemTime: Date.now() });
 * ```
 */
export class Core {
  readonly tree = new configuration.ConfigurationTree();
  readonly roster: membership.Roster;
  readonly shards = new leases.ShardLeases();
  readonly orderManager: orderManager.OrderManager;
  readonly requestManager: requestManager.RequestManager;
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
  #instant: Instant = { now: 0, systemTime: 0 };

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
    this.requestManager = new requestManager.RequestManager(context, new attempts.AttemptTable(limits));
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
      onClaimAnswered: (request, verdict, existingClaim) => {
        this.requestManager.deduplicator.onClaimAnswered(request, verdict, existingClaim, this.#instant.now);
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

  /** @returns this daemon's registration as it should be stored */
  get registration(): membership.Registration {
    return this.#leaseManager.registration;
  }

  /** @returns the revision up to which all control records have been applied */
  get appliedRevision(): number {
    return this.#store.appliedRevision;
  }

  /** @returns the id of this daemon's lease in the key-value service, if it has one */
  get leaseId(): string | undefined {
    return this.#leaseManager.leaseId;
  }

  /** @returns whether claims wait to be written, so that the next tick should come soon */
  get hasPendingClaims(): boolean {
    return this.#claimManager.hasWaiting;
  }

  /**
   * Processes an event.
   *
   * @param event - what happened
   * @param instant - current time
   * @returns the actions to execute, in this order
   */
  handle(event: events.CoreEvent, instant: Instant): actions.Action[] {
    this.#instant = instant;
    this.#checkPause(instant.now);
    this.#apply(event, instant.now);
    this.#claimManager.run(instant.now, instant.systemTime);
    const result = this.#actions;
    this.#actions = [];
    return result;
  }

  /**
   * Checks whether an order may be sent. Call it in the same synchronous step
   * that writes the order's bytes, so that no pause of the process can go
   * unnoticed between the check and the write.
   *
   * @param shard - the endpoint's shard
   * @param epoch - the epoch of the order
   * @param now - current time
   * @returns whether the order may still be sent
   */
  maySendOrder(shard: string, epoch: number, now: number): boolean {
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
   * @returns the latest known record
   */
  controlRecord(key: string): keyValue.KeyRecord | undefined {
    return this.#store.get(key);
  }

  /**
   * @param now - current time
   * @returns why this daemon accepts no new requests, or undefined if it does
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
   * @returns the heartbeat for the peers
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
   * @returns the daemons that accept callers, including this one unless it is leaving
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
        this.requestManager.deduplicator.onJoinAnswered(event, now);
        break;
      case events.EventType.JoinAsked:
        this.requestManager.deduplicator.onJoinAsked(event);
        break;
      case events.EventType.PrefillDone:
        this.requestManager.onPrefillDone(event.request, event.attempt, now);
        break;
      case events.EventType.FirstToken:
        this.requestManager.onFirstToken(event.request, event.attempt, now);
        break;
      case events.EventType.AnswerDone:
        this.requestManager.onAnswerDone(event, now);
        break;
      case events.EventType.AttemptFailed:
        this.requestManager.onAttemptFailed(event.request, event.attempt, event.delivery, now);
        break;
      case events.EventType.CallerDisconnected:
        this.requestManager.onCallerGone(event.request, now);
        break;
      case events.EventType.ClaimsAsked:
        this.#claimManager.onAsked(event.claims);
        break;
      case events.EventType.ResumeBegun:
        this.#poolOfEndpoint(event.endpoint)?.endpoint(event.endpoint)?.onDispatched(event.resume, resumedRequest(now));
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
    else this.requestManager.onArrived(request, now);
  }

  #checkPause(now: number): void {
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
    this.requestManager.onTick(now);
    for (const pool of this.#pools.values()) this.requestManager.dispatchQueued(now, pool);
    this.orderManager.onTick(now);
  }

  /** Work that iterates over all services and endpoints, which record changes also update at once. */
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
   * Marks this daemon as stopped in its registration, once nothing runs here and
   * callers have been away long enough.
   *
   * @param instant - current time
   * @returns the actions to execute
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

function resumedRequest(now: number): Omit<endpointModel.OutstandingRequest, "aheadTokens"> {
  return { part: endpointModel.RequestPart.Decode, promptTokens: 0, outputTokens: 0, dispatchedAt: now };
}
