import type * as net from "node:net";
import * as httpServers from "@camphorcourse/common/http";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as metricsModule from "../metrics.js";

/** Interval at which the unsent bytes of callers' connections are looked at, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;

/** Memory of a VM whose settings don't state it, in bytes. */
export const DEFAULT_MEMORY_BYTES = 268_435_456;

/** Dependencies of {@link MemoryGuard}. */
export interface MemoryGuardParts {
  /** Memory of the VM in bytes, if others contend for it; undefined if answers aren't limited by it. */
  readonly memoryBytes: number | undefined;
  /** Memory of the VM in bytes, whoever contends for it; undefined if it isn't stated. */
  readonly vmMemoryBytes?: number | undefined;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
}

/**
 * Keeps what is held for callers within the VM's memory: bounds the bodies of requests and, where others contend for the memory,
 * counts answers as well and breaks off those of the slowest readers.
 */
export class MemoryGuard {
  readonly #parts: MemoryGuardParts;
  /** Bodies of requests, of callers and of peers. */
  readonly bodies: httpServers.RequestBodies;
  readonly #held: serving.HeldBytes<net.Socket> | undefined;
  readonly #connections = new Set<net.Socket>();
  /** Id of the last request of each connection, for the log. */
  readonly #requestIds = new WeakMap<net.Socket, string>();
  #timer: NodeJS.Timeout | undefined;

  /** @param parts - dependencies */
  constructor(parts: MemoryGuardParts) {
    this.#parts = parts;
    if (parts.memoryBytes !== undefined) this.#held = new serving.HeldBytes(parts.memoryBytes);
    this.bodies = new httpServers.RequestBodies({
      limitBytes: serving.heldBytesLimit(parts.memoryBytes ?? parts.vmMemoryBytes ?? DEFAULT_MEMORY_BYTES),
      otherBytes: () => this.#held?.answerBytes ?? 0,
      onYielded: () => parts.metrics.count("bodies_given_up_for_memory"),
    });
  }

  /** @returns bytes that are held for callers, without answers where these aren't counted */
  get heldBytes(): number {
    return this.bodies.reservedBytes + (this.#held?.answerBytes ?? 0);
  }

  /** @returns whether a stream may be read on though its caller reads slowly; never if held bytes aren't counted */
  get mayReadAhead(): boolean {
    return this.#held?.mayReadAhead === true;
  }

  /** @param connection - a new connection of a caller */
  noteConnection(connection: net.Socket): void {
    if (this.#held === undefined) return;
    this.#connections.add(connection);
    connection.once("close", () => this.#forget(connection));
    this.#schedule();
  }

  /**
   * @param connection - the connection of a request
   * @param requestId - the request, for the log
   */
  noteRequest(connection: net.Socket, requestId: string): void {
    if (this.#connections.has(connection)) this.#requestIds.set(connection, requestId);
  }

  /**
   * @param connection - the connection of a request
   * @param bytes - bytes of its body that are held from now on; negative if they no longer are
   */
  addRequest(connection: net.Socket, bytes: number): void {
    if (this.#connections.has(connection)) this.#held?.addRequest(connection, bytes);
  }

  /**
   * @param connection - the connection of a request, if it is still open
   * @param bytes - bytes of its incomplete answer that are held from now on; negative if they no longer are
   */
  addAnswer(connection: net.Socket | null, bytes: number): void {
    if (connection !== null && this.#connections.has(connection)) this.#held?.addAnswer(connection, bytes);
  }

  #forget(connection: net.Socket): void {
    this.#connections.delete(connection);
    this.#held?.forget(connection);
  }

  #schedule(): void {
    if (this.#connections.size === 0) return;
    // After a pause of the process, timers run before the sockets' events: what callers have read would count as unsent.
    this.#timer ??= setTimeout(() => setImmediate(() => this.#sample()), SAMPLE_INTERVAL_MS).unref();
  }

  #sample(): void {
    this.#timer = undefined;
    const now = performance.now();
    for (const connection of this.#connections) {
      const { bytesWritten, writableLength } = connection;
      this.#held?.noteUnsent(connection, writableLength, bytesWritten - writableLength, now);
    }
    let slowest = this.#held?.connectionToBreak(now);
    while (slowest !== undefined) {
      this.#break(slowest);
      slowest = this.#held?.connectionToBreak(now);
    }
    this.#schedule();
  }

  /** Resets the connection: whatever frames its answer, it can't be taken for whole. */
  #break(connection: net.Socket): void {
    const { log, metrics } = this.#parts;
    metrics.count("answers_broken_for_memory");
    log.warn("answer-broken-off", {
      id: this.#requestIds.get(connection),
      unsentBytes: connection.writableLength,
      heldBytes: this.#held?.total,
      limitBytes: this.#held?.limit,
      connections: this.#connections.size,
    });
    this.#forget(connection);
    connection.resetAndDestroy();
  }
}
