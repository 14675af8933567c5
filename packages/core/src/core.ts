import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import type * as admission from "./admission.js";
import * as attempts from "./attempts.js";
import * as claims from "./claims.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import * as controlKeys from "./controlKeys.js";
import * as controlStore from "./controlStore.js";
import * as engineCosts from "./engineCosts.js";
import * as events from "./events.js";
import * as keyValue from "./keyValueTypes.js";
import * as leases from "./leases.js";
import * as membership from "./membership.js";
import * as orderDesk from "./orderDesk.js";
import type * as orders from "./orders.js";
import * as requestDesk from "./requestDesk.js";
import * as runnerModel from "./runnerModel.js";
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
  readonly orderDesk: orderDesk.OrderDesk;
  readonly requestDesk: requestDesk.RequestDesk;
  readonly #store = new controlStore.ControlStore();
  readonly #lease = new leases.OwnLease();
  readonly #freshness = new viewFreshness.ViewFreshness();
  readonly #claims: claims.ClaimBook;
  readonly #random: common.SeededRandom;
  readonly #policy: servicePool.PolicySettings;
  readonly #pools = new Map<string, servicePool.ServicePool>();
  readonly #loads = new Map<string, orderDesk.SeenLoad>();
  readonly #ownClaims = new Map<string, string>();
  #registration: membership.Registration;
  #registeredUnder = "";
  #registering = false;
  #takingShards = new Set<string>();
  #nextRenewalAt = 0;
  #renewing = false;
  #actions: actions.Action[] = [];
  #instant: Instant = { now: 0, wall: 0 };

  /** @param options - registration, seed and policy */
  constructor(options: CoreOptions) {
    this.#registration = options.registration;
    this.#random = new common.SeededRandom(options.seed);
    this.#policy = options.policy ?? servicePool.POLICY_SETTINGS;
    const { vm, incarnation } = options.registration;
    this.roster = new membership.Roster(vm);
    this.#claims = new claims.ClaimBook(incarnation);
    const context = {
      vm,
      incarnation,
      random: this.#random,
      lingerMs: options.lingerMs ?? constants.SOCKET_LINGER_MS,
      roster: this.roster,
      shards: this.shards,
      tree: this.tree,
      poolOf: (service: string) => this.#pools.get(service),
      urlOf: (runner: string) => this.tree.runner(runner)?.settings.url,
      loadOf: (runner: string) => this.#loads.get(runner),
      leaseIsValid: (now: number) => this.#lease.isValid(now),
      requestClaim: (request: string, claim: claims.Claim) => {
        this.#requestClaim(request, claim);
      },
      emit: (action: actions.Action) => this.#actions.push(action),
    };
    const limits = { answerBytes: options.answerBytes ?? DEFAULT_ANSWER_BYTES, windowMs: constants.CLAIM_WINDOW_MS };
    this.requestDesk = new requestDesk.RequestDesk(context, new attempts.AttemptBook(limits));
    this.orderDesk = new orderDesk.OrderDesk(context);
  }

  /** @returns this daemon's registration as it should stand */
  get registration(): membership.Registration {
    return this.#registration;
  }

  /** @returns the revision up to which every control record is known */
  get appliedRevision(): number {
    return this.#store.appliedRevision;
  }

  /** @returns the id of the lease in the key-value service */
  get leaseId(): string | undefined {
    return this.#lease.id;
  }

  /** @returns whether claims wait for a write, so that the core wants to be woken soon */
  get hasPendingClaims(): boolean {
    return this.#claims.hasWaiting;
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
    this.#runClaims();
    const result = this.#actions;
    this.#actions = [];
    return result;
  }

  /**
   * Asked in the same step in which an order's bytes are written, so that no
   * pause can come between the check and the write unnoticed.
   *
   * @param shard - the runner's shard
   * @param epoch - the epoch of the order
   * @param now - current time
   * @returns whether the order may still go out
   */
  mayOrder(shard: string, epoch: number, now: number): boolean {
    return this.#lease.isValid(now) && this.shards.epochOf(shard, this.#registration.incarnation) === epoch;
  }

  /**
   * @param service - `team/service`
   * @returns the service's pool
   */
  poolOf(service: string): servicePool.ServicePool | undefined {
    return this.#pools.get(service);
  }

  /**
   * @param runner - `team/runner`
   * @returns its last load report
   */
  loadOf(runner: string): orderDesk.SeenLoad | undefined {
    return this.#loads.get(runner);
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
    if (this.#registration.stopped) return common.problem(common.ProblemKind.Leaving, "the daemon is stopping");
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
      vm: this.#registration.vm,
      incarnation: this.#registration.incarnation,
      leaving: this.#registration.leaving,
      appliedRevision: this.#store.appliedRevision,
      keyValueReachable: this.#freshness.isKeyValueFresh(now),
      shares: this.#shares(now),
      services: this.#serviceShares(),
    };
  }

  /**
   * @param now - current time
   * @returns the daemons that callers may use, this one included unless it is leaving
   */
  servingMembers(now: number): membership.Registration[] {
    const peers = this.roster.peers().filter((peer) => this.roster.isServing(peer.registration.vm, now));
    const self = this.#registration.leaving ? [] : [this.#registration];
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
        this.#onClaimAnswered(event.attempt, event.verdict, event.standing, now);
        break;
      case events.EventType.JoinAnswered:
        this.requestDesk.onJoinAnswered(event, now);
        break;
      case events.EventType.JoinAsked:
        this.requestDesk.onJoinAsked(event);
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
        for (const claim of event.claims) this.#claims.request(claim);
        break;
      case events.EventType.ResumeBegun:
        this.#poolOfRunner(event.runner)?.runner(event.runner)?.onDispatched(event.resume, resumedWork(now));
        break;
      case events.EventType.ResumeEnded:
        this.#poolOfRunner(event.runner)?.runner(event.runner)?.onEnded(event.resume, now);
        break;
      default:
        this.#applyControl(event, now);
    }
  }

  #applyControl(event: events.CoreEvent, now: number): void {
    switch (event.type) {
      case events.EventType.ControlSnapshot:
        this.#freshness.onKeyValueHeard(now);
        this.#applyRecords(this.#store.difference(event.records, event.revision));
        this.#store.completeUpTo(event.revision);
        break;
      case events.EventType.ControlChanges:
        this.#applyRecords(event.records);
        if (event.completeRevision !== undefined) this.#store.completeUpTo(event.completeRevision);
        break;
      case events.EventType.KeyValueHeard:
        this.#onKeyValueHeard(event.revision, now);
        break;
      case events.EventType.KeyValueFailed:
        this.#renewing = false;
        if (this.#freshness.onKeyValueFailed(now)) this.#note(timeline.EventKind.KeyValueLost, {});
        break;
      case events.EventType.LeaseRenewed:
        this.#renewing = false;
        this.#lease.onRenewed(event.lease, event.sentAt, event.ttlMs);
        this.#register();
        break;
      case events.EventType.LeaseLost:
        this.#renewing = false;
        this.#nextRenewalAt = now;
        this.#lease.onLost();
        this.#note(timeline.EventKind.LeaseLost, {});
        break;
      case events.EventType.Transacted:
        this.#onTransacted(event.token, event.result, now);
        break;
      case events.EventType.KeysRead:
        this.#onKeysRead(event.token, event.records, now);
        break;
      case events.EventType.PeerHeard:
        this.#onPeerHeard(event.report, now);
        break;
      case events.EventType.VmsListed:
        this.roster.onVmList(event.vms);
        break;
      case events.EventType.LoadReported:
        this.#loads.set(event.report.runner, { report: event.report, at: now });
        break;
      case events.EventType.OrderAnswered:
        this.orderDesk.onAnswered(event.runner, event.number, event.outcome, now);
        break;
      case events.EventType.DeposeAsked:
        this.shards.depose(event.shard, event.epoch);
        break;
      case events.EventType.DeposeAnswered:
        this.orderDesk.onDeposed(event.vm, event.incarnation, event.reset, event.shard);
        break;
      case events.EventType.StopAsked:
        this.#onStopAsked();
        break;
      default:
        break;
    }
  }

  #onRequest(request: events.RequestDescription, now: number): void {
    const refusal = this.refusal(now);
    if (refusal) this.#actions.push({ type: actions.ActionType.Refuse, request: request.id, problem: refusal });
    else this.requestDesk.onArrived(request, now);
  }

  #noticePause(now: number): void {
    const pausedMs = this.#lease.onTick(now);
    if (pausedMs === 0) return;
    this.#freshness.onPaused();
    this.#nextRenewalAt = now;
    this.#note(timeline.EventKind.Paused, { pausedMs: Math.round(pausedMs) });
  }

  #onTick(now: number): void {
    const lost = this.roster.expire(now);
    for (const vm of lost) this.#note(timeline.EventKind.MemberLost, { vm });
    if (lost.length > 0) this.#sumPeerUse(now);
    this.#renewLease(now);
    this.#takeShards(now);
    this.#refreshRunners(now);
    this.requestDesk.onTick(now);
    for (const pool of this.#pools.values()) this.requestDesk.serveQueues(now, pool);
    this.orderDesk.onTick(now);
  }

  #onKeyValueHeard(revision: number, now: number): void {
    if (this.#freshness.onKeyValueHeard(now)) this.#note(timeline.EventKind.KeyValueBack, {});
    if (this.#store.appliedRevision > 0) this.#store.completeUpTo(revision);
  }

  #renewLease(now: number): void {
    if (this.#renewing || now < this.#nextRenewalAt || this.#registration.stopped) return;
    this.#renewing = true;
    // Jitter keeps daemons that lost the service together from returning together.
    this.#nextRenewalAt = now + constants.LEASE_RENEWAL_MS * (0.9 + 0.2 * this.#random.next());
    const lease = this.#lease.id;
    this.#actions.push({ type: actions.ActionType.RenewLease, ...(lease === undefined ? {} : { lease }) });
  }

  #register(): void {
    const lease = this.#lease.id ?? "";
    const value = JSON.stringify(this.#registration);
    if (this.#registering || this.#registeredUnder === `${lease}/${value}`) return;
    this.#registering = true;
    this.#registeredUnder = `${lease}/${value}`;
    const key = controlKeys.controlKey(controlKeys.ControlKind.Member, this.#registration.vm);
    this.#transact("register", { conditions: [], puts: [{ key, value, leased: true }] });
  }

  #onStopAsked(): void {
    if (this.#registration.leaving) return;
    this.#registration = { ...this.#registration, leaving: true };
    this.#note(timeline.EventKind.Leaving, {});
    this.#register();
  }

  /** Nothing runs here any more and callers have been away long enough: the registration says so. */
  markStopped(instant: Instant): actions.Action[] {
    this.#instant = instant;
    this.#registration = { ...this.#registration, stopped: true };
    this.#registering = false;
    this.#register();
    const result = this.#actions;
    this.#actions = [];
    return result;
  }

  #takeShards(now: number): void {
    if (!this.#lease.isValid(now) || this.#registration.leaving || this.#store.appliedRevision === 0) return;
    const candidates = this.servingMembers(now).map((member) => member.vm);
    const wanted = new Set(this.tree.services().map((service) => orderDesk.OrderDesk.shardOf(service.id)));
    for (const shard of wanted) {
      const [preferred] = common.rendezvousOrder(`shard/${shard}`, candidates);
      if (preferred !== this.#registration.vm || this.shards.get(shard) || this.#takingShards.has(shard)) continue;
      this.#takingShards.add(shard);
      const key = controlKeys.controlKey(controlKeys.ControlKind.Lease, shard);
      const { vm, incarnation } = this.#registration;
      const value: leases.LeaseValue = { vm, incarnation };
      this.#transact(`lease:${shard}`, {
        conditions: [{ key, kind: keyValue.RevisionKind.Created, revision: 0 }],
        puts: [{ key, value: JSON.stringify(value), leased: true }],
      });
    }
  }

  #onTransacted(token: string, result: keyValue.TransactionResult, now: number): void {
    const [kind, ...rest] = token.split(":");
    const name = rest.join(":");
    if (kind === "claims") this.#claims.onWritten(result);
    if (kind === "order") this.orderDesk.onWritten(name, result, now);
    if (kind === "lease") this.#takingShards.delete(name);
    if (kind !== "register") return;
    this.#registering = false;
    if (result.outcome !== keyValue.TransactionOutcome.Applied) this.#registeredUnder = "";
    else this.#register();
  }

  #onKeysRead(token: string, records: readonly keyValue.KeyRecord[] | undefined, now: number): void {
    const [kind, ...rest] = token.split(":");
    const name = rest.join(":");
    if (kind === "claims") this.#claims.onRead(Number(name), records);
    if (kind !== "order") return;
    this.#applyRecords(records ?? []);
    this.orderDesk.onReadBack(name, records !== undefined, now);
  }

  #applyRecords(records: readonly keyValue.KeyRecord[]): void {
    const changed = records.filter((record) => this.#store.apply(record));
    for (const record of changed) this.#applyRecord(record);
    if (changed.length > 0) this.#refreshRunners(this.#instant.now);
  }

  #applyRecord(record: keyValue.KeyRecord): void {
    const parsed = controlKeys.parseControlKey(record.key);
    if (parsed?.kind === controlKeys.ControlKind.Member) this.#applyMember(parsed.name, record);
    if (parsed?.kind === controlKeys.ControlKind.Lease) this.#applyLease(parsed.name, record);
    if (record.deleted) return;
    if (parsed?.kind === controlKeys.ControlKind.Team) this.#applyTeam(parsed.name, record);
    if (parsed?.kind === controlKeys.ControlKind.Order) {
      const order = JSON.parse(record.value) as orders.OrderRecord;
      this.orderDesk.onRecord(order, record.modRevision, this.#instant.now);
      this.#noteOrder(order);
    }
  }

  #applyTeam(team: string, record: keyValue.KeyRecord): void {
    const { text, version } = JSON.parse(record.value) as controlKeys.TeamRecord;
    const parsed = configuration.parseTeamDocument(text, team);
    if (parsed.isErr() || !this.tree.accept(parsed.value, record.modRevision)) return;
    this.#note(timeline.EventKind.ConfigurationApplied, { team, version, revision: record.modRevision });
    this.#followTeam(team);
  }

  #followTeam(team: string): void {
    for (const service of this.tree.services()) {
      if (service.team !== team) continue;
      const pool = this.#pools.get(service.id) ?? new servicePool.ServicePool(service, this.#random, this.#policy);
      pool.configure(service, this.tree.runnersOf(service.id));
      this.#pools.set(service.id, pool);
    }
    for (const [id, pool] of this.#pools) {
      if (pool.entry.team === team && !this.tree.service(id)) pool.configure(pool.entry, []);
    }
  }

  #applyMember(vm: string, record: keyValue.KeyRecord): void {
    if (record.deleted) {
      this.roster.onUnregistered(vm);
      if (vm === this.#registration.vm) this.#registeredUnder = "";
      return;
    }
    const registration = JSON.parse(record.value) as membership.Registration;
    if (vm === this.#registration.vm) return;
    if (this.roster.onRegistered(registration, this.#instant.now)) this.#note(timeline.EventKind.MemberJoined, { vm });
  }

  #applyLease(shard: string, record: keyValue.KeyRecord): void {
    if (record.deleted) {
      this.shards.onEnded(shard);
      return;
    }
    const { vm, incarnation } = JSON.parse(record.value) as leases.LeaseValue;
    this.shards.onRead({ shard, vm, incarnation, epoch: record.createRevision });
    this.#note(timeline.EventKind.LeaseTaken, { shard, holder: vm, epoch: record.createRevision });
  }

  #onPeerHeard(report: membership.PeerReport, now: number): void {
    const peer = this.roster.get(report.vm);
    this.#learnPeerDemand(peer?.report, report, now);
    this.roster.onHeard(report, now);
    this.#freshness.onPeerHeard();
    this.#sumPeerUse(now);
    const behind = report.appliedRevision < this.#store.appliedRevision;
    if (!peer || report.keyValueReachable || !behind) return;
    // The peer is cut off from the key-value service: it gets here what the watch would have told it.
    this.#actions.push({
      type: actions.ActionType.PushRecords,
      to: peer.registration,
      records: this.#store.changesSince(report.appliedRevision),
      completeRevision: this.#store.appliedRevision,
    });
  }

  /** The planner of whichever daemon holds the lease has to know what arrives at all of them. */
  #learnPeerDemand(before: membership.PeerReport | undefined, report: membership.PeerReport, now: number): void {
    if (before?.incarnation !== report.incarnation) return;
    const known = new Map(before.services.map((share) => [share.service, share]));
    for (const share of report.services) {
      const earlier = known.get(share.service);
      const requests = share.requests - (earlier?.requests ?? 0);
      if (requests <= 0) continue;
      const demand = engineCosts.differenceOf(share.arrived, earlier?.arrived ?? engineCosts.NO_DEMAND);
      this.#pools.get(share.service)?.planner.onRequests(demand, requests, now);
    }
  }

  #refreshRunners(now: number): void {
    for (const pool of this.#pools.values()) {
      for (const runner of pool.runners) {
        const entry = this.tree.runner(runner.id);
        runner.accepting =
          entry?.settings.state === configuration.RunnerState.Active && this.orderDesk.acceptsWork(runner.id);
        if (entry) runner.role = this.orderDesk.roleOf(entry, now);
      }
    }
  }

  #sumPeerUse(now: number): void {
    const uses = new Map<string, { inFlight: number; prefillTokens: number; streams: number }>();
    const queues = new Map<string, admission.WaitingWork>();
    const serving = new Map<string, number>();
    for (const peer of this.roster.livePeers(now)) {
      for (const share of peer.report?.shares ?? []) addUse(uses, share);
      for (const share of peer.report?.services ?? []) {
        addQueue(queues, share);
        serving.set(share.service, (serving.get(share.service) ?? 0) + 1);
      }
    }
    for (const [id, pool] of this.#pools) {
      pool.onPeerQueues(queues.get(id) ?? { tokens: 0, requests: 0 }, serving.get(id) ?? 0);
      for (const runner of pool.runners) {
        runner.onPeerUse(uses.get(runner.id) ?? { inFlight: 0, prefillTokens: 0, streams: 0 }, now);
      }
    }
  }

  #shares(now: number): membership.RunnerShare[] {
    const shares: membership.RunnerShare[] = [];
    for (const pool of this.#pools.values()) {
      for (const runner of pool.runners) {
        const order = this.orderDesk.orderOf(runner.id);
        const changing = order !== undefined && !this.orderDesk.acceptsWork(runner.id);
        if (runner.inFlight === 0 && !changing) continue;
        shares.push({
          runner: runner.id,
          inFlight: runner.inFlight,
          prefillTokens: runner.ownWaitingTokens(now),
          streams: runner.ownStreams,
          recordRevision: order?.revision ?? 0,
        });
      }
    }
    return shares;
  }

  #serviceShares(): membership.ServiceShare[] {
    return [...this.#pools]
      .filter(([, pool]) => pool.requests > 0)
      .map(([service, pool]) => ({
        service,
        waiting: pool.queue.waiting(),
        arrived: pool.arrived,
        requests: pool.requests,
      }));
  }

  #requestClaim(request: string, claim: claims.Claim): void {
    this.#ownClaims.set(claim.attempt, request);
    const members = this.servingMembers(this.#instant.now);
    const partition = claims.ClaimBook.partitionOf(claim.key);
    const names = members.map((member) => member.vm);
    const [preferred] = common.rendezvousOrder(`claims/${partition}`, names);
    const owner = members.find((member) => member.vm === preferred);
    if (!owner || owner.vm === this.#registration.vm) this.#claims.request(claim);
    else this.#actions.push({ type: actions.ActionType.AskClaim, claim, peerUrl: owner.peerUrl });
  }

  #runClaims(): void {
    const { now, wall } = this.#instant;
    for (const command of this.#claims.nextCommands(now, wall)) {
      if (command.kind === "read") {
        this.#actions.push({
          type: actions.ActionType.ReadKeys,
          token: `claims:${command.partition}`,
          prefix: command.prefix,
        });
      } else this.#transact("claims", command.transaction);
    }
    const answers = this.#claims.takeAnswers();
    const foreign = answers.filter((answer) => !this.#ownClaims.has(answer.claim.attempt));
    if (foreign.length > 0) this.#actions.push({ type: actions.ActionType.AnswerClaims, answers: foreign });
    for (const { claim, verdict, standing } of answers) this.#onClaimAnswered(claim.attempt, verdict, standing, now);
  }

  #onClaimAnswered(
    attempt: string,
    verdict: claims.ClaimVerdict,
    standing: claims.Claim | undefined,
    now: number,
  ): void {
    const request = this.#ownClaims.get(attempt);
    if (request === undefined) return;
    this.#ownClaims.delete(attempt);
    this.requestDesk.onClaimAnswered(request, verdict, standing, now);
  }

  #poolOfRunner(runner: string): servicePool.ServicePool | undefined {
    const service = this.tree.runner(runner)?.serviceId;
    return service === undefined ? undefined : this.#pools.get(service);
  }

  #transact(token: string, transaction: keyValue.Transaction): void {
    this.#actions.push({ type: actions.ActionType.Transact, token, transaction });
  }

  #noteOrder(order: orders.OrderRecord): void {
    const kinds: Record<orders.OrderPhase, timeline.EventKind> = {
      draining: timeline.EventKind.OrderDraining,
      intended: timeline.EventKind.OrderIntended,
      settled: timeline.EventKind.OrderSettled,
      drained: timeline.EventKind.OrderSettled,
    };
    const { runner, number, epoch, targetRole, reason } = order;
    this.#note(kinds[order.phase], { runner, number, epoch, targetRole, reason });
  }

  #note(kind: timeline.EventKind, fields: Record<string, common.Field>): void {
    this.#actions.push({ type: actions.ActionType.Note, note: { kind, fields } });
  }
}

function resumedWork(now: number): Omit<runnerModel.Outstanding, "aheadTokens"> {
  return { part: runnerModel.RequestPart.Decode, promptTokens: 0, outputTokens: 0, dispatchedAt: now };
}

function addUse(
  uses: Map<string, { inFlight: number; prefillTokens: number; streams: number }>,
  share: membership.RunnerShare,
): void {
  const use = uses.get(share.runner) ?? { inFlight: 0, prefillTokens: 0, streams: 0 };
  use.inFlight += share.inFlight;
  use.prefillTokens += share.prefillTokens;
  use.streams += share.streams;
  uses.set(share.runner, use);
}

function addQueue(queues: Map<string, admission.WaitingWork>, { service, waiting }: membership.ServiceShare): void {
  const sum = queues.get(service) ?? { tokens: 0, requests: 0 };
  queues.set(service, { tokens: sum.tokens + waiting.tokens, requests: sum.requests + waiting.requests });
}
