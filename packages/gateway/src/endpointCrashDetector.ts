import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "./decisionLog.js";
import type * as pathMonitors from "./paths/pathMonitor.js";
import * as pendingReads from "./pendingReads.js";

/** Delay between a broken connection and the check of its endpoint, in milliseconds: other connections break with it. */
const CHECK_DELAY_MS = 10;

/** Further delay of the check of an endpoint that is leaving, in milliseconds: a process takes some time to end. */
const LEAVING_CHECK_DELAY_MS = 100;

/** Maximum number of broken runs of one endpoint that are kept until its check has finished. */
const MAX_RUNS = 256;

/** Maximum number of fingerprints of each scope in a log line. */
const MAX_LOGGED = 16;

/** Time for which an endpoint counts as crashed in milliseconds: its entry expires within it, or it restarts. */
const CRASHED_MS = 5_000;

/** Maximum number of endpoints that are remembered as crashed. */
const MAX_CRASHED = 1_024;

const REFUSED = "ECONNREFUSED";

/** A run of a request whose connection broke. */
export interface BrokenRun {
  /** What is suspected if the endpoint has crashed: the request, and parts of its prompt. */
  readonly suspects: readonly serving.SuspectName[];
  /** Instant at which it broke, in milliseconds. */
  readonly brokeAt: number;
}

/** What detecting crashed endpoints needs. */
export interface EndpointCrashDetectorParts {
  readonly log: decisionLogs.DecisionLog;
  /** @returns instant at which data last came from the endpoint, directly or through a peer, in milliseconds */
  readonly lastReceivedAt: (endpointId: string) => number;
  /** @returns whether an idle connection to the endpoint is open */
  readonly hasLiveConnection: (endpointId: string) => boolean;
  /** Tries to connect to the endpoint, and asks a peer if that fails. */
  readonly probe: (endpoint: serving.Endpoint) => Promise<pathMonitors.ProbeResult>;
  /** @returns whether the endpoint is expected to end, because it is leaving or gone */
  readonly isLeaving: (endpoint: serving.Endpoint) => boolean;
  /** Called with an endpoint that has crashed and what was running there for this daemon's callers. */
  readonly onCrashed: (endpoint: serving.Endpoint, runs: readonly BrokenRun[]) => void;
}

/** What a check of an endpoint finds. */
enum CheckFinding {
  /** It accepts connections. */
  Serving = "serving",
  /** Nothing listens there any more. */
  Crashed = "crashed",
  /** This daemon can't connect: the endpoint has left, or whether it or the path has failed isn't known. */
  Unreached = "unreached",
}

interface Check {
  readonly runs: BrokenRun[];
  readonly finding: Promise<CheckFinding>;
}

/**
 * Distinguishes an endpoint that has crashed from one that lost an answer. Both break the connection in the same way,
 * but a crashed endpoint refuses new connections. An attempt to connect that times out proves neither.
 */
export class EndpointCrashDetector {
  readonly #parts: EndpointCrashDetectorParts;
  readonly #checks = new Map<string, Check>();
  /** Start of each incarnation that has crashed, by endpoint id, and when that was found, in milliseconds. */
  readonly #crashed = new Map<string, { readonly bornAt: number | undefined; readonly at: number }>();

  /** @param parts - what it needs */
  constructor(parts: EndpointCrashDetectorParts) {
    this.#parts = parts;
  }

  /**
   * Schedules a check of an endpoint, one for all its connections that break within the delay.
   *
   * @param endpoint - an endpoint to which a connection has broken
   * @param run - what was running on it
   */
  noteBroken(endpoint: serving.Endpoint, run: BrokenRun): void {
    const check = this.#checkOf(endpoint);
    if (check.runs.length < MAX_RUNS) check.runs.push(run);
  }

  /**
   * An answer without a length or chunks is whole only if its endpoint goes on. An endpoint that leaves does so for its drain
   * time, and then ends in the middle of what it writes. A peer that is asked may not know yet that the endpoint has crashed:
   * its own connections to it still look open while its event loop lags. That blames no request, but proves no answer whole
   * either.
   *
   * @param endpoint - an endpoint that has closed a connection in order
   * @returns whether it may have done so because it has ended: it can't be reached, and no peer reaches it
   */
  async mayHaveCrashed(endpoint: serving.Endpoint): Promise<boolean> {
    return (await this.#checkOf(endpoint).finding) !== CheckFinding.Serving;
  }

  /**
   * @param endpoint - an endpoint that is listed
   * @param now - current instant in milliseconds
   * @returns whether this incarnation of it was recently found crashed, which may be before its entry expires
   */
  hasCrashed(endpoint: serving.Endpoint, now: number): boolean {
    const crash = this.#crashed.get(endpoint.id);
    if (crash === undefined) return false;
    const isRecent = now < crash.at + CRASHED_MS;
    // A lost path to all endpoints looks like a crash of each; one that has sent data since is serving.
    const isHeardSince = this.#parts.lastReceivedAt(endpoint.id) > crash.at;
    if (isRecent && !isHeardSince && crash.bornAt === endpoint.bornAt) return true;
    this.#crashed.delete(endpoint.id);
    return false;
  }

  /**
   * @param endpoint - an endpoint to which a connection has broken
   * @returns whether it is known to have ended because nothing listens at its address. This daemon's own attempt must be
   *   refused; a peer is asked as well, which knows nothing of an endpoint that is leaving or gone.
   */
  async isRefusing(endpoint: serving.Endpoint): Promise<boolean> {
    const { hasLiveConnection, isLeaving, probe } = this.#parts;
    if (hasLiveConnection(endpoint.id)) return false;
    const { error, finding } = await probe(endpoint);
    if (error?.code !== REFUSED || finding?.reached === true) return false;
    return finding === undefined || finding.refused || isLeaving(endpoint);
  }

  #checkOf(endpoint: serving.Endpoint): Check {
    let check = this.#checks.get(endpoint.id);
    if (check === undefined) {
      const runs: BrokenRun[] = [];
      check = { runs, finding: this.#check(endpoint, runs) };
      this.#checks.set(endpoint.id, check);
    }
    return check;
  }

  async #check(endpoint: serving.Endpoint, runs: readonly BrokenRun[]): Promise<CheckFinding> {
    await new Promise((resolve) => setTimeout(resolve, CHECK_DELAY_MS));
    // A lagging event loop runs this timer before it has seen that the other connections have broken as well.
    await pendingReads.handled();
    const isKnown = this.hasCrashed(endpoint, performance.now());
    const finding = isKnown ? CheckFinding.Crashed : await this.#connect(endpoint);
    this.#checks.delete(endpoint.id);
    if (finding !== CheckFinding.Crashed) return finding;
    if (!isKnown) this.#noteCrashed(endpoint, runs);
    this.#parts.onCrashed(endpoint, runs);
    return finding;
  }

  #noteCrashed(endpoint: serving.Endpoint, runs: readonly BrokenRun[]): void {
    if (this.#crashed.size >= MAX_CRASHED) this.#crashed.clear();
    this.#crashed.set(endpoint.id, { bornAt: endpoint.bornAt, at: performance.now() });
    const suspects = runs.flatMap((run) => run.suspects);
    this.#parts.log.warn("endpoint-ended", {
      endpoint: endpoint.id,
      service: endpoint.service,
      address: endpoint.address,
      runs: runs.length,
      fingerprints: loggedFingerprints(suspects, serving.SuspectScope.Request),
      parts: loggedFingerprints(suspects, serving.SuspectScope.Part),
    });
  }

  /**
   * Finds out whether nothing listens at the endpoint's address. A connection that is accepted and then reset may have
   * exceeded a limit. What a peer finds goes first: a refusal on this daemon's path alone is a fault of the path, which must
   * not be blamed on the requests that ran, and a path that hangs must not hide that the endpoint has crashed.
   */
  async #connect(endpoint: serving.Endpoint): Promise<CheckFinding> {
    const { hasLiveConnection, probe } = this.#parts;
    const isLeaving = this.#parts.isLeaving(endpoint);
    // An endpoint that leaves may close its connections one by one before it stops listening.
    if (isLeaving) await new Promise((resolve) => setTimeout(resolve, LEAVING_CHECK_DELAY_MS));
    if (hasLiveConnection(endpoint.id)) return CheckFinding.Serving;
    const { error, finding } = await probe(endpoint);
    if (error === undefined || finding?.reached === true) return CheckFinding.Serving;
    // A planned end, or that of a crashed endpoint whose entry is removed, blames no request but proves no answer whole.
    if (isLeaving) return CheckFinding.Unreached;
    return (finding?.refused ?? error.code === REFUSED) ? CheckFinding.Crashed : CheckFinding.Unreached;
  }
}

function loggedFingerprints(suspects: readonly serving.SuspectName[], scope: serving.SuspectScope): string {
  const fingerprints = suspects.filter((suspect) => suspect.scope === scope).map(({ fingerprint }) => fingerprint);
  return [...new Set(fingerprints)].slice(0, MAX_LOGGED).join(" ");
}
