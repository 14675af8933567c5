import * as common from "@camphorcourse/common";
import type * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as fleetViews from "../fleetView.js";
import type * as metricsModule from "../metrics.js";
import * as workDeltas from "../distance/workDeltas.js";
import type * as servedRequests from "../servedRequest.js";
import * as fairnessCodec from "./fairnessCodec.js";

/**
 * Shortest time between two reports of shares in heartbeats, in milliseconds: the window of the counts moves by as much.
 * A peer's counts expire after five times as long, so that four reports in a row may be lost.
 */
const REPORT_INTERVAL_MS = 500;

/** Rejected sessions that are kept for the next heartbeat to other regions, in heartbeats of the own region. */
const MAX_KEPT_HEARTBEATS = 8;

/** Hexadecimal digits of a session's hash: 64 bits. */
const SESSION_DIGITS = 16;

/** Dependencies of {@link Fairness}. */
export interface FairnessParts {
  readonly view: Pick<fleetViews.FleetView, "table">;
  readonly acceptance: serving.AcceptanceTracker;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  /** Distances between the data centres; undefined in a deployment of one region, where all heartbeats go out together. */
  readonly distances?: serving.DistanceModel | undefined;
}

/** What a request asks for, and of whom. */
type Asking = Pick<servedRequests.ServedRequest, "access" | "caller" | "route" | "service">;

/** Fields of a heartbeat with the shares of organisations and the rejected sessions. */
type FairnessFields = fairnessCodec.ShareFields & { readonly rejectedSessions?: messages.RejectedSession[] };

/**
 * Ranks and shares of organisations: counts engine time, remembers rejected sessions, and exchanges both with the peers.
 * Without organisations in the configuration it counts and decides nothing.
 */
export class Fairness {
  readonly #parts: FairnessParts;
  readonly #shares = new serving.EngineTimeShares();
  readonly #sessions = new serving.SessionMemory();
  /** When each audience last got the shares. */
  readonly #reportedAt = new Map<workDeltas.Audience, number>();
  /** Rejected sessions that an audience hasn't got yet. */
  readonly #unsentSessions = new Map<workDeltas.Audience, serving.RejectedSession[]>();
  #order: { readonly table: serving.RouteTable; readonly ranks: serving.RankOrder } | undefined;

  /** @param parts - dependencies */
  constructor(parts: FairnessParts) {
    this.#parts = parts;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns organisations that take more than twice their fair share while requests are rejected
   */
  overShare(now: number): number {
    return this.#ranks === undefined ? 0 : this.#shares.overShare(now);
  }

  /** @returns number of rejected sessions that are remembered */
  get sessions(): number {
    return this.#sessions.count;
  }

  /**
   * @param asking - a request
   * @param now - current instant in milliseconds
   * @returns how it stands among the others; undefined where neither ranks nor shares decide
   */
  standingOf(asking: Asking, now: number): serving.Standing | undefined {
    const order = this.#ranks;
    if (order === undefined) return undefined;
    const { route, service } = asking;
    const organisation = asking.access.organisation?.name;
    const ranks = order.ranksOf(service);
    if (ranks.length < 2 && this.#shares.overShare(now) === 0) return undefined;
    const rank = order.rankOf(route, organisation);
    const share = this.#shares.shareOf(organisation ?? "", now);
    const session = sessionOf(asking);
    return {
      rank,
      position: Math.max(0, ranks.indexOf(rank)),
      balance: serving.rankBalance(service, ranks, rank, this.#parts.acceptance, now),
      share: organisation === undefined ? { ...share, ofFairShare: 1 } : share,
      rejections: session === undefined ? 0 : (this.#sessions.find(session, now)?.rejections ?? 0),
    };
  }

  /**
   * Counts a decided admission.
   *
   * @param asking - the request
   * @param plan - where it was placed
   * @param decision - its admission; `isShort` tells whether the engines had no room for it by the usual rule
   * @param now - current instant in milliseconds
   */
  noteDecision(
    asking: Asking,
    plan: serving.EnginePlan,
    decision: { readonly isAccepted: boolean; readonly isShort: boolean; readonly isPromoted: boolean },
    now: number,
  ): void {
    const order = this.#ranks;
    if (order === undefined) return;
    const { access, caller, route, service } = asking;
    const { isAccepted, isShort, isPromoted } = decision;
    const organisation = access.organisation?.name;
    this.#countRank(order, service, order.rankOf(route, organisation), isAccepted, now);
    if (isPromoted) this.#parts.metrics.count("sessions_promoted");
    if (organisation !== undefined) {
      const { demand, speeds } = this.#parts;
      const events = demand.expectedEvents(caller.headers.prompt?.outputTokens ?? 0) ?? 0;
      const engineMs = serving.predictedEngineMs(plan, events, speeds.of(service));
      if (isAccepted) this.#shares.noteAccepted(organisation, engineMs, now);
      // A request that only its organisation's share keeps out is no sign of a shortage, which would then never end.
      else if (isShort) this.#shares.noteRejected(organisation, engineMs, now);
    }
    const session = sessionOf(asking);
    if (session === undefined) return;
    if (isAccepted) this.#sessions.forget(session);
    else this.#sessions.noteRejected(session, now);
  }

  /**
   * @param audience - recipients of the next heartbeat
   * @param now - current instant in milliseconds
   * @returns fields of the heartbeat; none without organisations
   */
  createFields(audience: workDeltas.Audience, now: number): FairnessFields {
    if (this.#ranks === undefined) return {};
    const rejectedSessions = this.#takeSessions(audience, now).map((record) =>
      fairnessCodec.sessionToMessage(record, now),
    );
    if (now - (this.#reportedAt.get(audience) ?? Number.NEGATIVE_INFINITY) < REPORT_INTERVAL_MS)
      return { rejectedSessions };
    this.#reportedAt.set(audience, now);
    return { rejectedSessions, ...fairnessCodec.toFields(this.#shares.report(now)) };
  }

  /** Each audience gets each session once, with its own heartbeats. */
  #takeSessions(audience: workDeltas.Audience, now: number): serving.RejectedSession[] {
    const taken = this.#sessions.takeUnsent(now);
    if (this.#parts.distances === undefined) return taken;
    for (const each of Object.values(workDeltas.Audience)) {
      const unsent = [...(this.#unsentSessions.get(each) ?? []), ...taken];
      this.#unsentSessions.set(each, unsent.slice(-MAX_KEPT_HEARTBEATS * serving.MAX_SESSIONS_PER_HEARTBEAT));
    }
    return this.#takeOnceEach(audience);
  }

  /**
   * Applies what a peer reports. Values that can't be are left out.
   *
   * @param pulse - a received heartbeat
   * @param now - current instant in milliseconds
   */
  apply(pulse: messages.Pulse, now: number): void {
    if (this.#ranks === undefined) return;
    const { report, impossible } = fairnessCodec.fromPulse(pulse);
    if (report !== undefined) this.#shares.updatePeer(pulse.vm, report, now);
    const rejected = pulse.rejectedSessions.slice(0, serving.MAX_SESSIONS_PER_HEARTBEAT);
    const sessions = rejected.flatMap((message) => fairnessCodec.sessionFromMessage(message, now) ?? []);
    for (const session of sessions) this.#sessions.merge(session, now);
    const leftOut = impossible + pulse.rejectedSessions.length - sessions.length;
    if (leftOut > 0) this.#parts.log.warn("impossible-shares", { peer: pulse.vm, values: leftOut });
  }

  /** Records that are sent twice go into two heartbeats, as one may be lost. */
  #takeOnceEach(audience: workDeltas.Audience): serving.RejectedSession[] {
    const chosen = new Map<bigint, serving.RejectedSession>();
    const kept: serving.RejectedSession[] = [];
    for (const record of this.#unsentSessions.get(audience) ?? []) {
      const isFull = chosen.size >= serving.MAX_SESSIONS_PER_HEARTBEAT;
      if (isFull || chosen.has(record.session)) kept.push(record);
      else chosen.set(record.session, record);
    }
    this.#unsentSessions.set(audience, kept);
    return [...chosen.values()];
  }

  /** Ranks by the configuration in force; undefined if it lists no organisations. */
  get #ranks(): serving.RankOrder | undefined {
    const { table } = this.#parts.view;
    if (table === undefined) return undefined;
    if (this.#order?.table !== table) {
      const ranks = new serving.RankOrder(table.configuration);
      this.#order = { table, ranks };
      this.#shares.setConfigured(ranks.organisations);
    }
    return this.#order.ranks.organisations > 0 ? this.#order.ranks : undefined;
  }

  #countRank(order: serving.RankOrder, service: string, rank: number, isAccepted: boolean, now: number): void {
    if (order.ranksOf(service).length < 2) return;
    const kind = serving.rankKind(service, rank);
    this.#parts.acceptance.noteDecision(kind, serving.RANK_TOKENS, isAccepted, now);
  }
}

/**
 * Hash of a request's organisation and of the last part of its prompt, which belongs to one request or session. Under the
 * organisation's own name, one organisation can't move up by sending another one's requests.
 */
function sessionOf({ access, caller }: Asking): bigint | undefined {
  const part = caller.headers.prompt?.parts.at(-1)?.id;
  if (part === undefined || access.organisation === undefined) return undefined;
  const digest = common.sha256(JSON.stringify([access.organisation.name, part])).slice(0, SESSION_DIGITS);
  return BigInt(`0x${digest}`);
}
