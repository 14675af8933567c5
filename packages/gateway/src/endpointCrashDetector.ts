import * as net from "node:net";
import type * as serving from "@camphorcourse/serving";
import * as socketAddresses from "./address.js";
import type * as decisionLogs from "./decisionLog.js";

/** Time between a broken connection and the look whether its endpoint is still there, in milliseconds: others break with it. */
const SETTLE_MS = 10;

/** Time for a connection to be established, in milliseconds; a sound endpoint takes a few. */
const CONNECT_TIMEOUT_MS = 350;

/** Runs of one endpoint that are kept until it is known whether it has ended. */
const MOST_RUNS = 256;

/** Fingerprints that one log line names. */
const MOST_LOGGED = 8;

/** Time for which an endpoint counts as ended in milliseconds: its entry lapses in it, or it has started again. */
const ENDED_MS = 5_000;

/** Endpoints that are remembered as ended. */
const MOST_ENDED = 1_024;

const REFUSED = "ECONNREFUSED";

/** A run whose connection broke. */
export interface BrokenRun {
  readonly fingerprints: serving.Fingerprints;
  /** Instant at which it broke, in milliseconds. */
  readonly brokeAt: number;
}

/** What looking at endpoints needs. */
export interface EndpointEndDetectorParts {
  readonly log: decisionLogs.DecisionLog;
  /** @returns whether an idle connection to the endpoint is open */
  readonly hasLiveConnection: (endpointId: string) => boolean;
  /** @returns whether the endpoint is expected to end, as it is leaving or gone */
  readonly isLeaving: (endpoint: serving.Endpoint) => boolean;
  /** Takes an endpoint that has ended, and what was running there for this daemon's callers. */
  readonly onCrashed: (endpoint: serving.Endpoint, runs: readonly BrokenRun[]) => void;
}

interface Check {
  readonly endpoint: serving.Endpoint;
  readonly runs: BrokenRun[];
}

/**
 * Tells an endpoint that has ended from one that lost an answer. Both look the same on the connection that broke; one that
 * has ended refuses further ones. A silent VM is neither, and proves nothing.
 */
export class EndpointCrashDetector {
  readonly #parts: EndpointEndDetectorParts;
  readonly #checks = new Map<string, Check>();
  /** Endpoints that have ended, with their lives' starts and when that was seen. */
  readonly #ended = new Map<string, { readonly bornAt: number | undefined; readonly until: number }>();

  /** @param parts - what it needs */
  constructor(parts: EndpointEndDetectorParts) {
    this.#parts = parts;
  }

  /**
   * @param endpoint - an endpoint to which a connection has broken
   * @param run - what was running on it
   */
  noteBroken(endpoint: serving.Endpoint, run: BrokenRun): void {
    const check = this.#checks.get(endpoint.id);
    if (check !== undefined) {
      if (check.runs.length < MOST_RUNS) check.runs.push(run);
      return;
    }
    this.#checks.set(endpoint.id, { endpoint, runs: [run] });
    setTimeout(() => void this.#check(endpoint), SETTLE_MS);
  }

  /**
   * @param endpoint - an endpoint that is listed
   * @param now - current instant in milliseconds
   * @returns whether this life of it was seen to have ended a short time ago, before its entry lapses
   */
  hasEnded(endpoint: serving.Endpoint, now: number): boolean {
    const seen = this.#ended.get(endpoint.id);
    if (seen === undefined) return false;
    if (seen.until > now && seen.bornAt === endpoint.bornAt) return true;
    this.#ended.delete(endpoint.id);
    return false;
  }

  async #check(endpoint: serving.Endpoint): Promise<void> {
    const isAlive = this.#parts.hasLiveConnection(endpoint.id);
    const hasEnded = !isAlive && !this.#parts.isLeaving(endpoint) && (await refusesConnections(endpoint.address));
    const runs = this.#checks.get(endpoint.id)?.runs ?? [];
    this.#checks.delete(endpoint.id);
    if (!hasEnded) return;
    if (this.#ended.size >= MOST_ENDED) this.#ended.clear();
    this.#ended.set(endpoint.id, { bornAt: endpoint.bornAt, until: performance.now() + ENDED_MS });
    const fingerprints = runs.slice(0, MOST_LOGGED).map((run) => run.fingerprints.content);
    this.#parts.log.warn("endpoint-ended", {
      endpoint: endpoint.id,
      service: endpoint.service,
      address: endpoint.address,
      runs: runs.length,
      fingerprints: fingerprints.join(" "),
    });
    this.#parts.onCrashed(endpoint, runs);
  }
}

/** Whether nothing listens at an address any more. A connection that is reset later may have met a limit. */
function refusesConnections(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ ...socketAddresses.hostAndPort(address) });
    const finish = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
    socket.once("connect", () => finish(false));
    socket.once("error", (error: NodeJS.ErrnoException) => finish(error.code === REFUSED));
  });
}
