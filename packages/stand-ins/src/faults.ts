import type * as net from "node:net";
import * as zod from "zod";

const CLOSE_DELAY_MS = 20;

const faultsSchema = zod.strictObject({
  /** Every connection is closed without a reply. */
  down: zod.boolean().optional(),
  /** Milliseconds that each reply waits. */
  slowMs: zod.number().nonnegative().optional(),
  /** How many of the next writes take effect while their reply is lost. */
  dropReplies: zod.number().int().nonnegative().optional(),
  /** Connections open now fall silent for good; new ones work. */
  silenceOpenConnections: zod.boolean().optional(),
  /** Milliseconds by which load reports are late. */
  reportLagMs: zod.number().nonnegative().optional(),
  /** Share of cache events that are lost. */
  loseCacheEvents: zod.number().min(0).max(1).optional(),
  /** The process ends at once. */
  crash: zod.boolean().optional(),
});

/** A change of fault switches, as posted to `/faults`. */
export type FaultChange = zod.infer<typeof faultsSchema>;

/** The fault switches of one stand-in. */
export class Faults {
  readonly #open = new Set<net.Socket>();
  readonly #silenced = new WeakSet<net.Socket>();
  down = false;
  slowMs = 0;
  dropReplies = 0;
  reportLagMs = 0;
  loseCacheEvents = 0;

  /** @param socket - a connection that has just been accepted */
  track(socket: net.Socket): void {
    this.#open.add(socket);
    socket.once("close", () => this.#open.delete(socket));
  }

  /**
   * @param socket - a connection
   * @returns whether it has gone silent
   */
  isSilenced(socket: net.Socket): boolean {
    return this.#silenced.has(socket);
  }

  /** @returns true once for each reply that is to be lost */
  takeDroppedReply(): boolean {
    if (this.dropReplies === 0) return false;
    this.dropReplies--;
    return true;
  }

  /** @param body - the posted change, not yet checked */
  apply(body: unknown): void {
    const change = faultsSchema.parse(body);
    if (change.crash) process.exit(1);
    if (change.silenceOpenConnections) this.#silenceOpen();
    this.down = change.down ?? this.down;
    this.slowMs = change.slowMs ?? this.slowMs;
    this.dropReplies = change.dropReplies ?? this.dropReplies;
    this.reportLagMs = change.reportLagMs ?? this.reportLagMs;
    this.loseCacheEvents = change.loseCacheEvents ?? this.loseCacheEvents;
    // The connection that asked for it gets its reply first.
    if (this.down)
      setTimeout(() => {
        this.#closeOpen();
      }, CLOSE_DELAY_MS);
  }

  #silenceOpen(): void {
    for (const socket of this.#open) this.#silenced.add(socket);
  }

  #closeOpen(): void {
    for (const socket of this.#open) socket.destroy();
  }
}
