import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";

/** What heartbeats report once: it counts from the moment of its arrival, and is not repeated. */
export interface Deltas {
  readonly reads: messages.PartRead[];
  readonly observations: messages.ReadObservation[];
  readonly sizes: messages.SizeCount[];
}

/** The daemons that a heartbeat with work goes to. */
export enum Audience {
  /** Dispatching daemons of the own region, or all of them in a deployment of one region. */
  Near = "near",
  /** Dispatching daemons of other regions. */
  Distant = "distant",
}

/**
 * Most reads and observations for one heartbeat to other regions. It reports three times as long a time as one within the
 * region, whose senders keep 128 reads and 3 observations.
 */
const MAX_DISTANT = { reads: 200, observations: 16 };

/**
 * Divides what is new between the recipients near and far, which get heartbeats at different intervals: each of them gets
 * everything once, whichever heartbeat is sent first.
 */
export class WorkDeltas {
  readonly #takeNew: () => Deltas;
  readonly #hasDistant: boolean;
  #near: Deltas = { reads: [], observations: [], sizes: [] };
  readonly #distantReads = new Map<string, messages.PartRead>();
  readonly #distantSizes = new Map<string, messages.SizeCount>();
  #distantObservations: messages.ReadObservation[] = [];

  /**
   * @param takeNew - takes what is new since its last call
   * @param hasDistant - whether there are other regions
   */
  constructor(takeNew: () => Deltas, hasDistant: boolean) {
    this.#takeNew = takeNew;
    this.#hasDistant = hasDistant;
  }

  /** @returns whether reads have been taken that near recipients have not got yet */
  get hasNearReads(): boolean {
    return this.#near.reads.length > 0;
  }

  /**
   * @param audience - recipients of the next heartbeat
   * @returns everything that they have not got yet
   */
  take(audience: Audience): Deltas {
    this.#collect();
    if (audience === Audience.Distant) return this.#takeDistant();
    const near = this.#near;
    this.#near = { reads: [], observations: [], sizes: [] };
    return near;
  }

  #collect(): void {
    const added = this.#takeNew();
    this.#near.reads.push(...added.reads);
    this.#near.observations.push(...added.observations);
    this.#near.sizes.push(...added.sizes);
    if (!this.#hasDistant) return;
    for (const read of added.reads) this.#addDistantRead(read);
    this.#distantObservations.push(...added.observations);
    this.#distantObservations = this.#distantObservations.slice(-MAX_DISTANT.observations);
    for (const size of added.sizes) this.#addDistantSize(size);
  }

  /** Prompts that share a part report it again and again; one report says the same. */
  #addDistantRead(read: messages.PartRead): void {
    const key = `${read.endpoint}\u0000${String(read.startedAtMs)}\u0000${read.model}\u0000${read.part}`;
    const wasRead = this.#distantReads.get(key)?.isRead === true;
    // The most recent reads come last, as the receiver evicts the least recent parts.
    this.#distantReads.delete(key);
    this.#distantReads.set(key, protobuf.create(messages.PartReadSchema, { ...read, isRead: read.isRead || wasRead }));
    const [oldest] = this.#distantReads.keys();
    if (oldest !== undefined && this.#distantReads.size > MAX_DISTANT.reads) this.#distantReads.delete(oldest);
  }

  #addDistantSize(size: messages.SizeCount): void {
    const key = `${size.kind}\u0000${size.sizeClass}`;
    const { offered, taken } = this.#distantSizes.get(key) ?? { offered: 0, taken: 0 };
    const sum = { ...size, offered: offered + size.offered, taken: taken + size.taken };
    this.#distantSizes.set(key, protobuf.create(messages.SizeCountSchema, sum));
  }

  #takeDistant(): Deltas {
    const taken = {
      reads: [...this.#distantReads.values()],
      observations: this.#distantObservations,
      sizes: [...this.#distantSizes.values()],
    };
    this.#distantReads.clear();
    this.#distantSizes.clear();
    this.#distantObservations = [];
    return taken;
  }
}
