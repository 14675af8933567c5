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
 * Keeps the ranks and shares of organisations by the configuration in force, and exchanges shares and rejected sessions
 * with the peers. Without organisations in the configuration it counts, decides and sends nothing.
 */
export class Fairness {
  readonly #parts: FairnessParts;
  readonly #order: serving.OrganisationOrder;
  /**
   * Calls of plain services, counted apart from prompts: a shortage of plain endpoints says nothing of the engines. Shares
   * are those of this daemon's callers; the counts of ranks are exchanged with those of prompts.
   */
  readonly #calls: serving.OrganisationOrder;
  /** When each audience last got the shares. */
  readonly #reportedAt = new Map<workDeltas.Audience, number>();
  /** Rejected sessions that an audience hasn't got yet. */
  readonly #unsentSessions = new Map<workDeltas.Audience, serving.RejectedSession[]>();
  #table: serving.RouteTable | undefined;

  /** @param parts - dependencies */
  constructor(parts: FairnessParts) {
    this.#parts = parts;
    this.#order = new serving.OrganisationOrder(parts.acceptance);
    this.#calls = new serving.OrganisationOrder(parts.acceptance);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns organisations that take more than twice their fair share while requests are rejected
   */
  overShare(now: number): number {
    return this.#isConfigured ? this.#order.shares.overShare(now) : 0;
  }

  /** @returns number of rejected sessions that are remembered */
  get sessions(): number {
    return this.#order.sessions.count;
  }

  /**
   * @param asking - a request
   * @param now - current instant in milliseconds
   * @returns how it stands among the others; undefined where neither ranks nor shares decide
   */
  standingOf(asking: Asking, now: number): serving.Standing | undefined {
    return this.#isConfigured ? this.#order.standingOf(askingOf(asking), now) : undefined;
  }

  /**
   * @param asking - a call of a plain service
   * @param now - current instant in milliseconds
   * @returns how it stands among the other calls; undefined where neither ranks nor shares decide
   */
  callStandingOf(asking: Asking, now: number): serving.Standing | undefined {
    return this.#isConfigured ? this.#calls.standingOf(callOf(asking), now) : undefined;
  }

  /**
   * Counts a call of a plain service that was sent or rejected. All calls count alike, as their work isn't known before.
   *
   * @param asking - the call
   * @param isAccepted - whether it was sent
   * @param now - current instant in milliseconds
   */
  noteCall(asking: Asking, isAccepted: boolean, now: number): void {
    if (!this.#isConfigured) return;
    const outcome = { isAccepted, isShort: !isAccepted, isPromoted: false, engineMs: 1 };
    this.#calls.noteDecision(callOf(asking), outcome, now);
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
    decision: Omit<serving.AdmissionOutcome, "engineMs">,
    now: number,
  ): void {
    if (!this.#isConfigured) return;
    const { demand, speeds, metrics } = this.#parts;
    if (decision.isPromoted) metrics.count("sessions_promoted");
    const events = demand.expectedEvents(asking.caller.headers.prompt?.outputTokens ?? 0) ?? 0;
    const engineMs = serving.predictedEngineMs(plan, events, speeds.of(asking.service));
    this.#order.noteDecision(askingOf(asking), { ...decision, engineMs }, now);
  }

  /**
   * @param audience - recipients of the next heartbeat
   * @param now - current instant in milliseconds
   * @returns fields of the heartbeat; none without organisations
   */
  createFields(audience: workDeltas.Audience, now: number): FairnessFields {
    if (!this.#isConfigured) return {};
    const rejectedSessions = this.#takeSessions(audience, now).map((record) =>
      fairnessCodec.sessionToMessage(record, now),
    );
    if (now - (this.#reportedAt.get(audience) ?? Number.NEGATIVE_INFINITY) < REPORT_INTERVAL_MS)
      return { rejectedSessions };
    this.#reportedAt.set(audience, now);
    return { rejectedSessions, ...fairnessCodec.toFields(this.#order.shares.report(now)) };
  }

  /** Each audience gets each session once, with its own heartbeats. */
  #takeSessions(audience: workDeltas.Audience, now: number): serving.RejectedSession[] {
    const taken = this.#order.sessions.takeUnsent(now);
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
    if (!this.#isConfigured) return;
    const { report, impossible } = fairnessCodec.fromPulse(pulse);
    if (report !== undefined) this.#order.shares.updatePeer(pulse.vm, report, now);
    const rejected = pulse.rejectedSessions.slice(0, serving.MAX_SESSIONS_PER_HEARTBEAT);
    const sessions = rejected.flatMap((message) => fairnessCodec.sessionFromMessage(message, now) ?? []);
    for (const session of sessions) this.#order.sessions.merge(session, now);
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

  /** Whether the configuration in force lists organisations; ranks follow it. */
  get #isConfigured(): boolean {
    const { table } = this.#parts.view;
    if (table !== undefined && table !== this.#table) {
      this.#table = table;
      const ranks = new serving.RankOrder(table.configuration);
      this.#order.configure(ranks);
      this.#calls.configure(ranks);
    }
    return this.#order.isConfigured;
  }
}

/** Calls have no sessions. */
function callOf({ access, route, service }: Asking): serving.AskingRequest {
  return { service, route, organisation: access.organisation?.name, session: undefined };
}

function askingOf({ access, caller, route, service }: Asking): serving.AskingRequest {
  const organisation = access.organisation?.name;
  const part = caller.headers.prompt?.parts.at(-1)?.id;
  const session = organisation === undefined || part === undefined ? undefined : sessionOf(organisation, part);
  return { service, route, organisation, session };
}

/**
 * Hash of an organisation and of the last part of a prompt, which belongs to one request or session. Under the
 * organisation's own name, one organisation can't move up by sending another one's requests.
 */
function sessionOf(organisation: string, part: string): bigint {
  const digest = common.sha256(JSON.stringify([organisation, part])).slice(0, SESSION_DIGITS);
  return BigInt(`0x${digest}`);
}
