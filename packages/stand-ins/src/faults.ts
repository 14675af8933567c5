import type * as net from "node:net";
import * as zod from "zod";

/** Lets the reply to the `/faults` request leave before the connections are closed. */
const CLOSE_DELAY_MS = 20;

const faultsSchema = zod.strictObject({
  /** Closes every connection without a reply. */
  down: zod.boolean().optional(),
  /** Delay before each request is handled, in milliseconds. */
  slowMs: zod.number().nonnegative().optional(),
  /** Number of following writes that take effect while their reply is lost. */
  dropReplies: zod.number().int().nonnegative().optional(),
  /** Sends nothing more on the connections that are open now; new connections work. */
  silenceOpenConnections: zod.boolean().optional(),
  /** Delay of load reports and of changes to the VM list, in milliseconds. */
  reportLagMs: zod.number().nonnegative().optional(),
  /** Share of cache events that are lost, from 0 to 1. */
  loseCacheEvents: zod.number().min(0).max(1).optional(),
  /** Ends the process immediately with exit code 1. */
  crash: zod.boolean().optional(),
});

/** A change of fault switches, as posted to `/faults`. */
export type FaultChange = zod.infer<typeof faultsSchema>;

/** The fault switches of one stand-in. */
export class Faults {
  readonly #openSockets = new Set<net.Socket>();
  readonly #silencedSockets = new WeakSet<net.Socket>();
  down = false;
  slowMs = 0;
  dropReplies = 0;
  reportLagMs = 0;
  loseCacheEvents = 0;

  /** @param socket - a newly accepted connection */
  track(socket: net.Socket): void {
    this.#openSockets.add(socket);
    socket.once("close", () => this.#openSockets.delete(socket));
  }

  /**
   * @param socket - a connection
   * @returns whether nothing more may be sent on it
   */
  isSilenced(socket: net.Socket): boolean {
    return this.#silencedSockets.has(socket);
  }

  /**
   * Uses up one reply of `dropReplies`.
   *
   * @returns whether the current reply is to be dropped
   */
  consumeDroppedReply(): boolean {
    if (this.dropReplies === 0) return false;
    this.dropReplies--;
    return true;
  }

  /**
   * Validates a change of the fault switches and applies it; switches that it doesn't name keep their value.
   *
   * @param body - the posted JSON body
   * @throws zod.ZodError if the body is invalid
   */
  apply(body: unknown): void {
    const change = faultsSchema.parse(body);
    if (change.crash) process.exit(1);
    if (change.silenceOpenConnections) this.#silenceOpenSockets();
    this.down = change.down ?? this.down;
    this.slowMs = change.slowMs ?? this.slowMs;
    this.dropReplies = change.dropReplies ?? this.dropReplies;
    this.reportLagMs = change.reportLagMs ?? this.reportLagMs;
    this.loseCacheEvents = change.loseCacheEvents ?? this.loseCacheEvents;
    // The request that switched the stand-in off still gets its reply.
    if (this.down)
      setTimeout(() => {
        this.#closeOpenSockets();
      }, CLOSE_DELAY_MS);
  }

  #silenceOpenSockets(): void {
    for (const socket of this.#openSockets) this.#silencedSockets.add(socket);
  }

  #closeOpenSockets(): void {
    for (const socket of this.#openSockets) socket.destroy();
  }
}
