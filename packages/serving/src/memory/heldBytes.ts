/** Share of a VM's memory that answers and requests may hold: the rest is for the process and for control. */
const MEMORY_SHARE = 0.25;

/**
 * @param memoryBytes - memory of a VM
 * @returns bytes of it that answers and requests may hold
 */
export function heldBytesLimit(memoryBytes: number): number {
  return memoryBytes * MEMORY_SHARE;
}

/**
 * Share of the limit up to which streams are read on for callers that read slowly. Each small event costs several times its
 * size in buffers, and whole answers and requests need room beside them.
 */
const READ_AHEAD_SHARE = 0.25;

/** Time for which a caller must lag before its speed is known, in milliseconds: two samples of its connection. */
const JUDGED_AFTER_MS = 200;

/** What is held for one connection of a caller. */
interface Holding {
  requestBytes: number;
  answerBytes: number;
  unsentBytes: number;
  /** Bytes that the connection had taken, and the instant, when it began to lag; undefined while nothing is unsent. */
  lagging: { readonly takenBytes: number; readonly since: number } | undefined;
  takenBytes: number;
}

/**
 * Bytes that a daemon holds for its callers, by connection: requests, answers that are being received, and answers that a
 * caller has not read yet. A few callers that read slowly would otherwise end a daemon on a small VM, and with it all others.
 *
 * Beyond the limit no further request body is taken, and the answer of the slowest reader is broken off.
 */
export class HeldBytes<Connection> {
  readonly #limitBytes: number;
  readonly #holdings = new Map<Connection, Holding>();
  #total = 0;
  #requestBytes = 0;

  /** @param memoryBytes - memory of the VM */
  constructor(memoryBytes: number) {
    this.#limitBytes = heldBytesLimit(memoryBytes);
  }

  /** @returns bytes that are held for all connections */
  get total(): number {
    return this.#total;
  }

  /** @returns bytes of answers that are held for all connections, received and unsent ones */
  get answerBytes(): number {
    return this.#total - this.#requestBytes;
  }

  /** @returns bytes that may be held for all connections */
  get limit(): number {
    return this.#limitBytes;
  }

  /** @returns whether a stream may be read on though its caller reads slowly */
  get mayReadAhead(): boolean {
    return this.#total < this.#limitBytes * READ_AHEAD_SHARE;
  }

  /**
   * @param bytes - size of a request's body, or of its next part
   * @returns whether it may be taken
   */
  mayTake(bytes: number): boolean {
    return this.#total + bytes <= this.#limitBytes;
  }

  /**
   * @param connection - a caller's connection
   * @param bytes - bytes of a request that are held from now on; negative if they no longer are
   */
  addRequest(connection: Connection, bytes: number): void {
    const holding = this.#holding(connection);
    const before = holding.requestBytes;
    holding.requestBytes = Math.max(0, before + bytes);
    this.#total += holding.requestBytes - before;
    this.#requestBytes += holding.requestBytes - before;
  }

  /**
   * @param connection - a caller's connection
   * @param bytes - bytes of an incomplete answer that are held from now on; negative if they no longer are
   */
  addAnswer(connection: Connection, bytes: number): void {
    const holding = this.#holding(connection);
    const before = holding.answerBytes;
    holding.answerBytes = Math.max(0, before + bytes);
    this.#total += holding.answerBytes - before;
  }

  /**
   * @param connection - a caller's connection
   * @param unsentBytes - bytes that wait for the caller to read
   * @param takenBytes - bytes that the connection has taken since it was opened
   * @param now - current instant in milliseconds
   */
  noteUnsent(connection: Connection, unsentBytes: number, takenBytes: number, now: number): void {
    if (unsentBytes === 0 && !this.#holdings.has(connection)) return;
    const holding = this.#holding(connection);
    this.#total += unsentBytes - holding.unsentBytes;
    holding.unsentBytes = unsentBytes;
    holding.takenBytes = takenBytes;
    if (unsentBytes === 0) holding.lagging = undefined;
    else holding.lagging ??= { takenBytes, since: now };
  }

  /** @param connection - a connection that is closed */
  forget(connection: Connection): void {
    const holding = this.#holdings.get(connection);
    if (holding === undefined) return;
    this.#holdings.delete(connection);
    this.#total -= holding.requestBytes + holding.answerBytes + holding.unsentBytes;
    this.#requestBytes -= holding.requestBytes;
  }

  /**
   * Chooses the connection whose answer is broken off: the one that would take longest to read what is unsent at the speed at
   * which it has read since it began to lag, and of those that don't read at all the one with the most. A caller that has only
   * just begun to lag may read fast.
   *
   * @param now - current instant in milliseconds
   * @returns the connection; undefined while the limit holds, or if no caller lags
   */
  connectionToBreak(now: number): Connection | undefined {
    if (this.#total <= this.#limitBytes) return undefined;
    let slowest: { readonly connection: Connection; readonly drainMs: number; readonly bytes: number } | undefined;
    for (const [connection, holding] of this.#holdings) {
      if (holding.lagging === undefined || now - holding.lagging.since < JUDGED_AFTER_MS) continue;
      const drainMs = drainTimeMs(holding, now);
      const bytes = holding.unsentBytes;
      const isSlower =
        slowest === undefined || drainMs > slowest.drainMs || (drainMs === slowest.drainMs && bytes > slowest.bytes);
      if (isSlower) slowest = { connection, drainMs, bytes };
    }
    return slowest?.connection;
  }

  #holding(connection: Connection): Holding {
    let holding = this.#holdings.get(connection);
    if (holding === undefined) {
      holding = { requestBytes: 0, answerBytes: 0, unsentBytes: 0, lagging: undefined, takenBytes: 0 };
      this.#holdings.set(connection, holding);
    }
    return holding;
  }
}

function drainTimeMs({ lagging, takenBytes, unsentBytes }: Holding, now: number): number {
  if (lagging === undefined) return 0;
  const bytesPerMs = (takenBytes - lagging.takenBytes) / Math.max(1, now - lagging.since);
  return bytesPerMs <= 0 ? Number.POSITIVE_INFINITY : unsentBytes / bytesPerMs;
}
