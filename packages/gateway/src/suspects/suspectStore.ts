import type * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as ports from "../ports.js";
import * as suspectCodec from "./suspectCodec.js";

/** Time to live of a stored suspect, in milliseconds, the longest that the platform grants: without it keys would accumulate. */
const KEPT_MS = 600_000;

/** Pause after a failed write in milliseconds, and number of attempts: enough for an outage of some minutes. */
const RETRY_PAUSE_MS = 2_000;
const MAX_ATTEMPTS = 150;

/** What storing suspects needs. */
export interface SuspectStoreParts {
  readonly store: ports.DurableStore;
  /** Prefix of the keys; a fingerprint follows. */
  readonly prefix: string;
  readonly log: decisionLogs.DecisionLog;
  /** @returns the current record of a suspect */
  readonly recordOf: (fingerprint: string) => serving.SuspectRecord | undefined;
}

/** Stores rejected requests in the key-value service, for daemons that start when no peer is left to report them. */
export class SuspectStore {
  readonly #parts: SuspectStoreParts;
  readonly #writing = new Set<string>();
  #stopped = false;

  /** @param parts - what it needs */
  constructor(parts: SuspectStoreParts) {
    this.#parts = parts;
  }

  /** @param fingerprint - a request that is rejected from now on, or no longer */
  keep(fingerprint: string): void {
    if (this.#writing.has(fingerprint)) return;
    this.#writing.add(fingerprint);
    void this.#write(fingerprint).finally(() => this.#writing.delete(fingerprint));
  }

  /** Stops retrying failed writes. */
  stop(): void {
    this.#stopped = true;
  }

  async #write(fingerprint: string): Promise<void> {
    const { store, prefix, log, recordOf } = this.#parts;
    for (let attempts = 1; attempts <= MAX_ATTEMPTS && !this.#stopped; attempts++) {
      const lease = await store.grantLease(KEPT_MS);
      const record = recordOf(fingerprint);
      if (record === undefined) return;
      if (lease.isOk()) {
        const value = suspectCodec.toStored(record, Date.now());
        const put = { key: `${prefix}${fingerprint}`, value, lease: lease.value.id };
        const written = await store.write({ conditions: [], puts: [put], removals: [] });
        if (written.isOk()) {
          log.info("suspect-kept", {
            fingerprint,
            ends: record.ends.length,
            revision: written.value,
            tries: attempts,
          });
          return;
        }
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MS).unref());
    }
    log.warn("suspect-not-kept", { fingerprint, tries: MAX_ATTEMPTS });
  }
}
