import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as fleetViews from "./fleetView.js";
import type * as peerBooks from "./peerTable.js";
import * as toldLives from "./endpointIncarnation.js";

/** Messages tell a load in whole thousandths. */
const THOUSANDTHS = 1_000;

const MS_PER_SECOND = 1_000;

/** Largest number that the messages' fields hold. */
const MOST_IN_FIELD = 0xffff_ffff;

/** What daemons tell each other about is kept in. */
export interface PeerWorkParts {
  readonly view: fleetViews.FleetView;
  readonly board: serving.EngineLoadTracker;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
  readonly sizeShares: serving.AcceptanceTracker;
}

/** The fields of a pulse that are about the engines' work. */
type ToldWork = Pick<
  messages.Pulse,
  "work" | "reads" | "observations" | "sizes" | "readingLoadThousandths" | "eventsPerSecond"
>;

/**
 * @param pulse - what a daemon says
 * @returns what its callers ask of the engines
 */
export function toldDemand(pulse: messages.Pulse): Pick<peerBooks.PeerState, "readingLoad" | "eventsPerMs"> {
  return {
    readingLoad: pulse.readingLoadThousandths / THOUSANDTHS,
    eventsPerMs: pulse.eventsPerSecond / MS_PER_SECOND,
  };
}

/** The part of the daemons' pulses that is about the engines' work: what is under way, kept, asked for and learned. */
export class PeerWork {
  readonly #parts: PeerWorkParts;

  /** @param parts - where it is kept */
  constructor(parts: PeerWorkParts) {
    this.#parts = parts;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns what is new since the last pulse, and what is under way
   */
  tell(now: number): ToldWork {
    const { board, demand } = this.#parts;
    return {
      work: [...board.ownWork()].map(([endpoint, { running, unread }]) =>
        protobuf.create(messages.EndpointWorkSchema, {
          endpoint,
          running,
          unread: unread.map(toUint32),
        }),
      ),
      reads: this.#readMessages(),
      observations: this.#observationMessages(),
      sizes: this.#parts.sizeShares.takeUnsentCounts().map((count) => protobuf.create(messages.SizeCountSchema, count)),
      readingLoadThousandths: toUint32(demand.readingLoad(now) * THOUSANDTHS),
      eventsPerSecond: toUint32(demand.eventsPerMs(now) * MS_PER_SECOND),
    };
  }

  /**
   * @param pulse - what a daemon says
   * @param now - current instant in milliseconds
   * @param validMs - time for which its word of its work counts, in milliseconds
   */
  hear(pulse: messages.Pulse, now: number, validMs: number): void {
    const { board, view } = this.#parts;
    const work = pulse.work.map(({ endpoint, unread, running }) => [endpoint, { unread, running }] as const);
    board.updatePeerWork(pulse.vm, new Map(work), now, validMs);
    for (const { endpoint, model, part, tokens, startedAtMs, isRead } of pulse.reads) {
      if (toldLives.isOfAnotherLife(view, endpoint, toldLives.fromMessage(startedAtMs))) continue;
      board.notePeerRead({ endpointId: endpoint, model, part: { id: part, tokens }, isRead });
    }
    this.#learn(pulse.observations);
    for (const count of pulse.sizes) this.#parts.sizeShares.addPeerCount(count, now);
  }

  #readMessages(): messages.PartRead[] {
    const { board, view } = this.#parts;
    return board.takeUnsentReads().map(({ endpointId, model, part, isRead }) =>
      protobuf.create(messages.PartReadSchema, {
        endpoint: endpointId,
        model,
        part: part.id,
        tokens: part.tokens,
        isRead,
        startedAtMs: toldLives.toMessage(view.directory.bornAtOf(endpointId)),
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

  #learn(observations: readonly messages.ReadObservation[]): void {
    for (const { service, role, ...observation } of observations) {
      const known = Object.values(serving.EngineRole).find((each) => each === role);
      if (known !== undefined) this.#parts.speeds.of(service).learnPrefill(known, observation);
    }
  }
}

/**
 * A sum may grow beyond what a field holds, which the library answers by throwing; that much is as good as the most.
 *
 * @param value - a figure to be told
 * @returns a whole number that a field holds
 */
export function toUint32(value: number): number {
  return Math.min(MOST_IN_FIELD, Math.max(0, Math.round(value)));
}
