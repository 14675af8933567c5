import * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";
import type * as fleetViews from "../fleetView.js";
import * as ports from "../ports.js";

/** Interval at which a daemon checks whether a longer timeout is to be stored, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Delay after a write that failed, in milliseconds: another daemon may have written, and its write is read meanwhile. */
const RETRY_PAUSE_MS = 1_000;

/** Dependencies of {@link TimeoutKeeper}. */
export interface TimeoutKeeperParts {
  readonly store: Pick<ports.DurableStore, "write">;
  /** Key of the item. */
  readonly key: string;
  readonly view: Pick<fleetViews.FleetView, "longestTimeout" | "noteStoredTimeout">;
  readonly log: decisionLogs.DecisionLog;
  /** @returns whether this daemon reads the key-value service for others too; only these write */
  readonly followsClosely: () => boolean;
}

/** Keeps the longest timeout of streams in the key-value service, where it outlives all daemons. */
export class TimeoutKeeper {
  readonly #parts: TimeoutKeeperParts;
  #isStopped = false;

  /** @param parts - dependencies */
  constructor(parts: TimeoutKeeperParts) {
    this.#parts = parts;
  }

  /** Stores longer timeouts until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isDone = await this.#step();
      await new Promise((resolve) => setTimeout(resolve, isDone ? CHECK_INTERVAL_MS : RETRY_PAUSE_MS));
    }
  }

  /** Stops after the current write. */
  stop(): void {
    this.#isStopped = true;
  }

  async #step(): Promise<boolean> {
    const { followsClosely, key, log, store, view } = this.#parts;
    const { due } = view.longestTimeout;
    if (due === undefined || !followsClosely()) return true;
    const { revision, timeoutMs } = due;
    const written = await store.write({
      conditions: [{ key, revision }],
      puts: [{ key, value: encode(timeoutMs), lease: 0 }],
      removals: [],
    });
    if (written.isErr()) {
      const { detail, failure } = written.error;
      if (failure !== ports.StoreFailure.Conflict)
        log.warn("stream-timeout-not-stored", { timeoutMs, failure, detail });
      return false;
    }
    log.info("stream-timeout-stored", { timeoutMs, revision: written.value });
    view.noteStoredTimeout({ timeoutMs, revision: written.value, asOf: written.value });
    return true;
  }
}

function encode(timeoutMs: number): Uint8Array {
  return Buffer.from(JSON.stringify({ timeoutMs }));
}

/**
 * @param value - the stored value
 * @returns the longest timeout of streams in milliseconds, or what is wrong with the value
 */
export function decodeTimeout(value: Uint8Array): neverthrow.Result<number, string> {
  try {
    const { timeoutMs } = JSON.parse(Buffer.from(value).toString()) as Record<string, unknown>;
    const isValid = typeof timeoutMs === "number" && Number.isFinite(timeoutMs) && timeoutMs > 0;
    return isValid ? neverthrow.ok(timeoutMs) : neverthrow.err("timeoutMs is not a positive number");
  } catch (error) {
    return neverthrow.err(String(error));
  }
}
