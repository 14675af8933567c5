import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as workDeltas from "./distance/workDeltas.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as fairnessModule from "./fairness/fairness.js";
import * as paceCodecs from "./pacing/paceCodec.js";
import type * as pacings from "./pacing/pacing.js";
import type * as fleetViews from "./fleetView.js";
import type * as peerTables from "./peerTable.js";
import * as endpointIncarnations from "./endpointIncarnation.js";

/** Messages carry a load in whole thousandths. */
const THOUSANDTHS = 1_000;

const MS_PER_SECOND = 1_000;

/** Largest value of a uint32 field. */
const MAX_UINT32 = 0xffff_ffff;

/** State that heartbeats report and update. */
export interface PeerWorkParts {
  readonly view: fleetViews.FleetView;
  readonly loads: serving.EngineLoadTracker;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
  readonly pacing: pacings.Pacing;
  readonly acceptance: serving.AcceptanceTracker;
  readonly fairness: fairnessModule.Fairness;
  readonly log: decisionLogs.DecisionLog;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: serving.DistanceModel | undefined;
}

/** The fields of a heartbeat that concern the engines' work. */
type WorkFields = Pick<messages.Pulse, "work" | "readingLoadThousandths" | "eventsPerSecond" | "enginePaces"> &
  ReturnType<fairnessModule.Fairness["createFields"]>;

/**
 * @param pulse - a received heartbeat
 * @returns the load that the sender's callers put on the engines
 */
export function demandFrom(pulse: messages.Pulse): Pick<peerTables.PeerState, "readingLoad" | "eventsPerMs"> {
  return {
    readingLoad: pulse.readingLoadThousandths / THOUSANDTHS,
    eventsPerMs: pulse.eventsPerSecond / MS_PER_SECOND,
  };
}

/**
 * Writes and applies the part of heartbeats that concerns the engines' work: requests in progress, prompt parts read,
 * demand and learned speeds.
 */
export class PeerWork {
  readonly #parts: PeerWorkParts;
  readonly #deltas: workDeltas.WorkDeltas;

  /** @param parts - the state to report and update */
  constructor(parts: PeerWorkParts) {
    this.#parts = parts;
    this.#deltas = new workDeltas.WorkDeltas(() => this.#takeNew(), parts.distances !== undefined);
  }

  /** @returns whether there are reads that near recipients have not got yet */
  get hasUnsentReads(): boolean {
    return this.#parts.loads.hasUnsentReads || this.#deltas.hasNearReads;
  }

  /**
   * @param audience - recipients of the next heartbeat
   * @returns what is new since the last heartbeat to them
   */
  takeDeltas(audience: workDeltas.Audience): workDeltas.Deltas {
    return this.#deltas.take(audience);
  }

  /**
   * @param audience - recipients of the next heartbeat
   * @param now - current time in milliseconds
   * @returns the work in progress
   */
  createFields(audience: workDeltas.Audience, now: number): WorkFields {
    const { loads, demand } = this.#parts;
    return {
      work: [...loads.ownWork()].map(([endpoint, { heldTokens = 0, running, unread }]) =>
        protobuf.create(messages.EndpointWorkSchema, {
          endpoint,
          running,
          unread: unread.map(toUint32),
          heldTokens: toUint32(heldTokens),
        }),
      ),
      readingLoadThousandths: toUint32(demand.readingLoad(now) * THOUSANDTHS),
      eventsPerSecond: toUint32(demand.eventsPerMs(now) * MS_PER_SECOND),
      enginePaces: this.#parts.pacing.pacesToSend(now).map((pace) => paceCodecs.toMessage(pace, this.#parts.view)),
      ...this.#parts.fairness.createFields(audience, now),
    };
  }

  /**
   * Applies the work that a peer reports.
   *
   * @param pulse - a received heartbeat
   * @param now - current time in milliseconds
   * @param validMs - time for which the reported work is valid, in milliseconds
   */
  apply(pulse: messages.Pulse, now: number, validMs: number): void {
    const { loads } = this.#parts;
    const work = pulse.work.map(({ endpoint, heldTokens, unread, running }) => {
      // Nothing is held where nothing runs.
      const held = running === 0 || heldTokens === 0 ? {} : { heldTokens };
      return [endpoint, { unread, running, ...held }] as const;
    });
    this.#logImpossible(pulse);
    loads.updatePeerWork(pulse.vm, new Map(work), now, validMs);
    this.applyDeltas(pulse, now);
  }

  /**
   * Applies what a peer reports once.
   *
   * @param pulse - a received heartbeat
   * @param now - current time in milliseconds
   */
  applyDeltas(pulse: messages.Pulse, now: number): void {
    const { loads, view } = this.#parts;
    for (const { endpoint, model, part, tokens, startedAtMs, isRead } of pulse.reads) {
      if (endpointIncarnations.isOtherIncarnation(view, endpoint, endpointIncarnations.fromMessage(startedAtMs)))
        continue;
      loads.notePeerRead({ endpointId: endpoint, model, part: { id: part, tokens }, isRead });
    }
    paceCodecs.applyPaces(pulse, this.#parts, now);
    this.#applyObservations(pulse.observations);
    this.#applySizes(pulse, now);
    this.#parts.fairness.apply(pulse, now);
  }

  #logImpossible({ vm, work }: messages.Pulse): void {
    const impossible = work.filter(({ heldTokens, running }) => running === 0 && heldTokens > 0);
    if (impossible.length > 0)
      this.#parts.log.warn("impossible-held-tokens", { peer: vm, endpoints: impossible.length });
  }

  #applySizes({ vm, sizes }: messages.Pulse, now: number): void {
    const impossible = sizes.filter((count) => !this.#parts.acceptance.addPeerCount(count, now));
    const [first] = impossible;
    if (first === undefined) return;
    const { kind, offered, taken } = first;
    this.#parts.log.warn("impossible-counts", { peer: vm, counts: impossible.length, kind, offered, taken });
  }

  #takeNew(): workDeltas.Deltas {
    const sizes = this.#parts.acceptance.takeUnsentCounts();
    return {
      reads: this.#readMessages(),
      observations: this.#observationMessages(),
      sizes: sizes.map((count) => protobuf.create(messages.SizeCountSchema, count)),
    };
  }

  #readMessages(): messages.PartRead[] {
    const { loads, view } = this.#parts;
    return loads.takeUnsentReads().map(({ endpointId, model, part, isRead }) =>
      protobuf.create(messages.PartReadSchema, {
        endpoint: endpointId,
        model,
        part: part.id,
        tokens: part.tokens,
        isRead,
        startedAtMs: endpointIncarnations.toMessage(view.directory.bornAtOf(endpointId)),
      }),
    );
  }

  #observationMessages(): messages.ReadObservation[] {
    return [...this.#parts.speeds.all()].flatMap(([service, speeds]) =>
      speeds.takeUnsentObservations().map(({ role, observation }) =>
        protobuf.create(messages.ReadObservationSchema, {
          service,
          role,
          unreadTokens: toUint32(observation.unreadTokens),
          cachedTokens: toUint32(observation.cachedTokens),
          tokensWaiting: toUint32(observation.tokensWaiting),
          streams: observation.streams,
          tookMs: toUint32(observation.tookMs),
        }),
      ),
    );
  }

  #applyObservations(observations: readonly messages.ReadObservation[]): void {
    for (const { service, role, ...observation } of observations) {
      const knownRole = Object.values(serving.EngineRole).find((each) => each === role);
      if (knownRole !== undefined) this.#parts.speeds.of(service).learnPrefill(knownRole, observation);
    }
  }
}

/**
 * Rounds and clamps a value to the range of a uint32 field. A sum may exceed the range, for which the protobuf library
 * throws; the largest value serves as well.
 *
 * @param value - the value to send
 * @returns a whole number that fits the field
 */
export function toUint32(value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(value)));
}
