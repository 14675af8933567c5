/** The last heartbeat from a daemon, as it is sent back. */
export interface HeartbeatEcho {
  /** VM that the heartbeat came from. */
  readonly vm: string;
  /** Unix time in the heartbeat by the clock of that VM, in milliseconds; it only identifies the heartbeat. */
  readonly unixMs: number;
  /** Time for which the heartbeat was held, in milliseconds. */
  readonly heldMs: number;
}

/** Number of own heartbeats that echoes can refer to: those of several seconds at the shortest interval. */
const MAX_SENT = 64;

/** Instants at which own heartbeats were sent, by the monotonic clock. A step of the wall clock doesn't change them. */
export class SentHeartbeats {
  /** Instants by the Unix time in the heartbeat; undefined for one that occurred twice. */
  readonly #sentAt = new Map<number, number | undefined>();

  /**
   * @param unixMs - Unix time in a heartbeat that is sent now, in milliseconds
   * @param now - current instant in milliseconds
   */
  note(unixMs: number, now: number): void {
    this.#sentAt.set(unixMs, this.#sentAt.has(unixMs) ? undefined : now);
    const [oldest] = this.#sentAt.keys();
    if (oldest !== undefined && this.#sentAt.size > MAX_SENT) this.#sentAt.delete(oldest);
  }

  /**
   * @param unixMs - Unix time in one of the last heartbeats, in milliseconds
   * @returns when it was sent; undefined if none or more than one had that time
   */
  sentAt(unixMs: number): number | undefined {
    return this.#sentAt.get(unixMs);
  }
}

/** Daemons of one data centre whose last heartbeat is kept. */
const MAX_HELD_OF_DATA_CENTRE = 64;

/** Time after which a heartbeat is sent back no more, in milliseconds: its sender has forgotten when it sent it. */
const MAX_HELD_MS = 2_500;

interface HeldHeartbeat {
  readonly unixMs: number;
  readonly receivedAt: number;
}

/** The last heartbeats from daemons of other data centres, each of which is sent back in turn. */
export class HeldHeartbeats {
  readonly #held = new Map<string, Map<string, HeldHeartbeat>>();

  /**
   * @param dataCentre - data centre of the sender
   * @param vm - VM of the sender
   * @param unixMs - Unix time in its heartbeat, in milliseconds
   * @param now - current instant in milliseconds
   */
  note(dataCentre: string, vm: string, unixMs: number, now: number): void {
    const held = this.#held.get(dataCentre) ?? new Map<string, HeldHeartbeat>();
    this.#held.set(dataCentre, held);
    if (held.size < MAX_HELD_OF_DATA_CENTRE || held.has(vm)) held.set(vm, { unixMs, receivedAt: now });
  }

  /**
   * @param isRecipient - whether the next heartbeat goes to a data centre
   * @param now - current instant in milliseconds
   * @returns one echo for each of these data centres from which a heartbeat is held; the next call takes other daemons
   */
  take(isRecipient: (dataCentre: string) => boolean, now: number): HeartbeatEcho[] {
    const echoes: HeartbeatEcho[] = [];
    for (const [dataCentre, held] of this.#held) {
      for (const [vm, { receivedAt }] of held) if (now - receivedAt > MAX_HELD_MS) held.delete(vm);
      if (held.size === 0) this.#held.delete(dataCentre);
      const [next] = held;
      if (next === undefined || !isRecipient(dataCentre)) continue;
      const [vm, { unixMs, receivedAt }] = next;
      // Each heartbeat is sent back once; its sender's next one goes to the end of the order.
      held.delete(vm);
      echoes.push({ vm, unixMs, heldMs: Math.floor(now - receivedAt) });
    }
    return echoes;
  }
}
