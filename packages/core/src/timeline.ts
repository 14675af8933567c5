import type * as common from "@camphorcourse/common";

/** The kinds of timeline event. */
export enum EventKind {
  RequestArrived = "request-arrived",
  RequestClaimed = "request-claimed",
  RequestDispatched = "request-dispatched",
  RequestAnswered = "request-answered",
  RequestRefused = "request-refused",
  RequestRetried = "request-retried",
  RequestJoined = "request-joined",
  LeaseTaken = "lease-taken",
  LeaseLost = "lease-lost",
  OrderDraining = "order-draining",
  OrderIntended = "order-intended",
  OrderSent = "order-sent",
  OrderSettled = "order-settled",
  OrderWaits = "order-waits",
  ConfigurationApplied = "configuration-applied",
  MemberJoined = "member-joined",
  MemberLost = "member-lost",
  KeyValueLost = "key-value-lost",
  KeyValueBack = "key-value-back",
  Paused = "paused",
  Leaving = "leaving",
}

/** A timeline event without its timestamp, VM and sequence number. */
export interface TimelineNote {
  readonly kind: EventKind;
  readonly fields: Readonly<Record<string, common.Field>>;
}

/** An event on the timeline of one process. */
export interface TimelineEvent extends TimelineNote {
  readonly sequence: number;
  readonly stamp: common.HybridTimestamp;
  readonly vm: string;
}

/** Filter for reading a timeline. */
export interface TimelineQuery {
  readonly afterSequence: number;
  readonly request?: string;
  readonly endpoint?: string;
}

/** A bounded list of the most recent events. */
export class Timeline {
  readonly #limit: number;
  readonly #vm: string;
  #events: TimelineEvent[] = [];
  #sequence = 0;

  /**
   * @param vm - the VM whose events these are
   * @param limit - number of recent events that are kept
   */
  constructor(vm: string, limit: number) {
    this.#vm = vm;
    this.#limit = limit;
  }

  /**
   * @param note - the event
   * @param stamp - timestamp of the event
   * @returns the stored event
   */
  add(note: TimelineNote, stamp: common.HybridTimestamp): TimelineEvent {
    const event = { ...note, stamp, vm: this.#vm, sequence: ++this.#sequence };
    this.#events.push(event);
    if (this.#events.length >= this.#limit * 2) this.#events = this.#events.slice(-this.#limit);
    return event;
  }

  /**
   * @param query - the filter
   * @returns the matching events, oldest first
   */
  read(query: TimelineQuery): TimelineEvent[] {
    return this.#events.filter(
      (event) =>
        event.sequence > query.afterSequence &&
        (query.request === undefined || event.fields.request === query.request) &&
        (query.endpoint === undefined || event.fields.endpoint === query.endpoint),
    );
  }
}
