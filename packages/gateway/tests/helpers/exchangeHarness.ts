import * as http from "node:http";
import * as net from "node:net";
import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as callerAnswers from "../../src/callerAnswer.js";
import * as callControls from "../../src/calls/callControl.js";
import * as configurationGates from "../../src/configuration/configurationGate.js";
import * as contexts from "../../src/context.js";
import * as retryBudgets from "../../src/requests/retryBudgets.js";
import * as decisionLogs from "../../src/decisionLog.js";
import type * as sendings from "../../src/sending.js";
import * as crashDetectors from "../../src/endpointCrashDetector.js";
import * as endpointClients from "../../src/endpointClient.js";
import * as exchanges from "../../src/exchange.js";
import * as fleetViews from "../../src/fleetView.js";
import * as memoryGuards from "../../src/memory/memoryGuard.js";
import * as metricsModule from "../../src/metrics.js";
import type * as pacings from "../../src/pacing/pacing.js";
import type * as ports from "../../src/ports.js";
import * as endpointStatements from "../../src/statements/endpointStatements.js";
import * as streamOrigins from "../../src/streams/streamOrigins.js";
import * as runBackups from "../../src/runs/backups.js";
import * as runMovers from "../../src/runs/runMover.js";
import * as suspectGates from "../../src/suspects/suspectGate.js";
import type * as settingsModule from "../../src/settings.js";
import * as limits from "./limits.js";
import * as pacing from "./pacing.js";
import * as paths from "./paths.js";
import * as fairnessHelper from "./fairness.js";

const SEED = 5;

/** Age of the process in milliseconds: the retry budget of a young process is empty. */
const PROCESS_AGE_MS = 10_000;

/** A send that was recorded instead of sent; the test answers it through the receiver. */
export interface RecordedSend {
  readonly endpoint: serving.Endpoint;
  readonly path: string;
  readonly receiver: sendings.AnswerReceiver;
  cancelled: boolean;
}

/** Records sends instead of sending them. */
class RecordingClient extends endpointClients.EndpointClient {
  readonly sends: RecordedSend[] = [];
  /** Error to throw from the next send. */
  nextError: Error | undefined;

  override send(
    endpoint: serving.Endpoint,
    request: sendings.OutgoingRequest,
    receiver: sendings.AnswerReceiver,
  ): sendings.InFlightRequest {
    const { nextError } = this;
    this.nextError = undefined;
    if (nextError !== undefined) throw nextError;
    const recorded: RecordedSend = { endpoint, path: request.path, receiver, cancelled: false };
    this.sends.push(recorded);
    return {
      wasDispatched: true,
      dispatchedAt: performance.now(),
      isPathLost: false,
      unsentBytes: 0,
      cancel: () => {
        recorded.cancelled = true;
      },
      pause: () => undefined,
      resume: () => undefined,
    };
  }
}

/** An error answer of the daemon itself. */
export interface Refusal {
  readonly status: number;
  readonly headers: readonly string[];
}

/** Records the answer to the caller. */
class RecordingAnswer extends callerAnswers.CallerAnswer {
  readonly refusals: Refusal[] = [];
  aborts = 0;
  /** Whether the caller reads too slowly for more events to be written. */
  isFull = false;

  constructor() {
    super(new http.ServerResponse(new http.IncomingMessage(new net.Socket())), () => false);
  }

  override refuse(status: serving.FailureStatus, detail: string, headers: readonly string[] = []): void {
    this.refusals.push({ status, headers });
    super.refuse(status, detail, headers);
  }

  override reject(
    proof: serving.NotRunProof,
    status: serving.RejectionStatus,
    detail: string,
    headers: readonly string[] = [],
  ): void {
    this.refusals.push({ status, headers });
    super.reject(proof, status, detail, headers);
  }

  override write(bytes: Buffer): boolean {
    return super.write(bytes) && !this.isFull;
  }

  override abort(): void {
    this.aborts++;
    super.abort();
  }
}

const unused = (): never => {
  throw new Error("not used");
};

const FORMAT: ports.MessageFormat = {
  retryAfterHeader: "retry",
  readCaller: unused,
  writeRequestHeaders: () => [],
  readAnswer: (status, headers) => ({
    requestId: "request-1",
    sealed: headers.sealed !== undefined,
    notRun: status === 503,
    misdirected: false,
    endpointId: undefined,
    limit: { statement: serving.LimitStatement.None },
    rest: { statement: serving.RestStatement.None },
    isLeaving: headers.leaving !== undefined,
    unlistedHeaders: [],
  }),
  readHandle: (body) => neverthrow.ok({ handle: Buffer.from(body).toString() }),
  freeHandleCall: (handle) => ({ method: "DELETE", path: `/free/${handle}` }),
  engineStateCall: unused,
  readEngineState: unused,
  roleOrderCall: unused,
  moveRunCall: unused,
  readMoveResult: unused,
};

const SETTINGS: settingsModule.GatewaySettings = {
  vm: "vm-1",
  dataCentre: "a",
  region: "r",
  dataCentres: { a: "r" },
  capacity: 1,
  callers: { host: "127.0.0.1", port: 0 },
  readiness: { host: "127.0.0.1", port: 0 },
  addresses: { host: "127.0.0.1", port: 0 },
  metrics: { host: "127.0.0.1", port: 0 },
  peers: { host: "127.0.0.1", port: 0 },
  retryBounds: { ratio: 0.2, extra: 50, windowMs: 1_000 },
  stopGraceMs: 1_000,
  addressTtlSeconds: 2,
  orderLeaseMs: 600,
  logLevel: "info",
};

/** Number of observations after which an estimate has converged. */
const OBSERVATIONS = 100;

const PROMPT: serving.Prompt = {
  model: "m",
  parts: [
    { id: "shared", tokens: 4_000 },
    { id: "own", tokens: 2_000 },
  ],
  promptTokens: 6_000,
  outputTokens: 50,
};

const LIMITS = { headerBytes: 16_384, bodyBytes: 100_000, headerTimeoutMs: 1_000, idleTimeoutMs: 5_000 };
const ENGINE = { slots: 8, memoryTokens: 100_000, handleMs: 5_000 };

/** Pause between events that is in time unless a test says otherwise, in milliseconds; too long for pacing. */
const PAUSE_MS = 10_000;

/** Objective of the first event in milliseconds: short enough that prompts are prefilled wherever that is sooner. */
const OBJECTIVE_MS = 100;

function createRoute(requestClass: serving.RequestClass, pauseMs: number, objectiveMs: number): serving.Route {
  return {
    name: "route",
    host: "desk",
    pathPrefix: "/",
    requestClass,
    resumable: true,
    carriesPrompt: requestClass === serving.RequestClass.Stream,
    timeoutMs: 60_000,
    objectiveMs,
    pauseMs,
    priority: 0,
    attempts: 2,
    isPublic: false,
    shares: [{ service: "service", weight: 1 }],
  };
}

/** Serves one request of a caller, with endpoints whose answers the test provides. */
export class ExchangeHarness {
  readonly answer = new RecordingAnswer();
  readonly answerTimes = new serving.AnswerTimes();
  readonly exchange: exchanges.Exchange;
  readonly #lines: string[] = [];
  readonly #limits = limits.createLimits();
  readonly #client = new RecordingClient(
    () => undefined,
    () => false,
    {
      mayReceive: () => true,
      isAnswerTo: () => true,
      onSend: () => () => undefined,
      onSendForPeer: () => () => undefined,
    },
    paths.createPaths(),
  );
  readonly #context: contexts.ServingContext;

  /**
   * @param requestClass - class of the request; a stream carries a prompt
   * @param roles - engine role of each endpoint
   * @param deadlineMs - deadline that the caller sets, in milliseconds, if any
   * @param pauseMs - longest pause of a stream that is in time, in milliseconds
   * @param objectiveMs - latency objective of the first event, in milliseconds
   */
  constructor(
    requestClass: serving.RequestClass,
    roles: readonly serving.EngineRole[],
    deadlineMs?: number,
    pauseMs = PAUSE_MS,
    objectiveMs = OBJECTIVE_MS,
  ) {
    const view = new fleetViews.FleetView();
    const route = createRoute(requestClass, pauseMs, objectiveMs);
    const engine = requestClass === serving.RequestClass.Stream ? ENGINE : undefined;
    const services = [{ name: "service", maxConnections: 100, engine }];
    view.configure({ version: 1, routes: [route], services, limits: LIMITS }, new Uint8Array(), 1);
    for (const [index, role] of roles.entries()) {
      const address = `127.0.0.1:${index + 1}`;
      const properties = {
        service: "service",
        address,
        dataCentre: "a",
        slots: 8,
        role,
        leaving: false,
        softwareVersion: "v1",
      };
      view.directory.put({ id: `e${index}`, ...properties }, index + 1);
    }
    const sink = { writableLength: 0, write: (line: string) => this.#lines.push(line) > 0 };
    const loads = new serving.EngineLoadTracker();
    const speeds = new serving.ServiceSpeeds();
    this.#context = {
      settings: SETTINGS,
      log: new decisionLogs.DecisionLog("vm-1", "info", sink),
      metrics: new metricsModule.Metrics(),
      format: FORMAT,
      view,
      loads,
      calls: new callControls.CallControl({
        log: new decisionLogs.DecisionLog("vm-1", "info", sink),
        metrics: new metricsModule.Metrics(),
        view,
        loads,
        dataCentre: "a",
        senders: () => 1,
        isLimited: () => false,
        draw: () => 0,
      }),
      health: new serving.EndpointHealth(),
      answerMemory: new serving.AnswerMemory(),
      answerTimes: this.answerTimes,
      speeds,
      pacing: pacing.createPacing(loads, speeds),
      demand: new serving.Demand(),
      acceptance: new serving.AcceptanceTracker(),
      fairness: fairnessHelper.createFairness(view),
      client: this.#client,
      configuration: new configurationGates.ConfigurationGate({
        store: { list: unused },
        layout: { configurationKey: "configuration" },
        view,
        fleetViewUpdater: { applyConfiguration: unused },
        log: new decisionLogs.DecisionLog("vm-1", "info", sink),
        metrics: new metricsModule.Metrics(),
        isStoreUnreachable: () => true,
      }),
      limits: this.#limits,
      statements: new endpointStatements.EndpointStatements({
        log: new decisionLogs.DecisionLog("vm-1", "info", sink),
        metrics: new metricsModule.Metrics(),
        format: FORMAT,
        limits: this.#limits,
        directory: view.directory,
        draw: () => 0,
        onLeaving: () => undefined,
      }),
      crashDetector: new crashDetectors.EndpointCrashDetector({
        log: new decisionLogs.DecisionLog("vm-1", "info", sink),
        lastReceivedAt: () => 0,
        hasLiveConnection: () => true,
        probe: () => Promise.resolve({ error: undefined, finding: undefined }),
        isLeaving: () => false,
        onCrashed: () => undefined,
      }),
      streams: new streamOrigins.StreamOrigins({
        log: new decisionLogs.DecisionLog("vm-1", "info", sink),
        metrics: new metricsModule.Metrics(),
        view,
        peers: () => ({ holders: () => [], sendRecords: unused, findStream: unused }),
      }),
      memory: new memoryGuards.MemoryGuard({
        memoryBytes: undefined,
        log: new decisionLogs.DecisionLog("vm-1", "info", sink),
        metrics: new metricsModule.Metrics(),
      }),
      runs: new runMovers.RunMover(() => this.#context),
      backups: new runBackups.Backups(() => this.#context),
      suspects: new suspectGates.SuspectGate({
        log: new decisionLogs.DecisionLog("vm-1", "info", sink),
        lastReceivedAt: () => 0,
        onEscalated: () => undefined,
        onQuarantined: () => undefined,
      }),
      budgets: new retryBudgets.RetryBudgets(SETTINGS.retryBounds, performance.now() - PROCESS_AGE_MS),
      random: new common.SeededRandom(SEED),
      onMisdirected: () => undefined,
      countUsage: () => undefined,
      liveDaemons: () => 1,
      lateMs: () => 0,
    };
    const prompt = engine === undefined ? undefined : PROMPT;
    const headers = {
      requestId: "request-1",
      deadlineMs,
      resumption: undefined,
      prompt,
      credential: { kind: serving.CredentialKind.None as const },
      passedOn: [],
      identityHeaders: [],
      unlistedHeaders: [],
    };
    const request = {
      method: "POST",
      target: "/x",
      host: "desk",
      path: "/x",
      headers,
      callerAddress: "127.0.0.1",
      arrivedAt: performance.now(),
    };
    this.exchange = new exchanges.Exchange(this.#context, request, route, Buffer.from("body"), this.answer, {
      restricted: false,
      organisation: undefined,
    });
  }

  /**
   * Makes decode engines appear to take seconds for a short prompt, so that a separate prefill is chosen wherever
   * possible.
   */
  slowDownDecodeEngines(): void {
    const observation = { unreadTokens: 1_000, cachedTokens: 0, tokensWaiting: 0, streams: 0, tookMs: 5_000 };
    for (let index = 0; index < OBSERVATIONS; index++) {
      this.#context.speeds.of("service").learnPrefill(serving.EngineRole.Decode, observation);
    }
  }

  /** Makes decode engines appear to prefill any prompt within some milliseconds. */
  learnQuickDecodeEngines(): void {
    for (let index = 0; index < OBSERVATIONS; index++) {
      const unreadTokens = 100 * (1 + (index % 50));
      const observation = {
        unreadTokens,
        cachedTokens: 0,
        tokensWaiting: 0,
        streams: 0,
        tookMs: 5 + unreadTokens / 500,
      };
      this.#context.speeds.of("service").learnPrefill(serving.EngineRole.Decode, observation);
    }
  }

  /** @param count - retries that the service's budget has left now */
  leaveRetries(count: number): void {
    const budget = this.#context.budgets.of("service");
    const spend = (): boolean => budget.spend(performance.now(), 1);
    let available = 0;
    const probe = new serving.SharedRetryBudget(SETTINGS.retryBounds, performance.now() - PROCESS_AGE_MS);
    probe.noteRequest(performance.now());
    while (probe.spend(performance.now(), 1)) available++;
    for (let spent = 0; spent < available - count; spent++) spend();
  }

  /**
   * Changes the version that an endpoint's entry states.
   *
   * @param id - the endpoint
   * @param softwareVersion - the version from now on
   */
  changeVersion(id: string, softwareVersion: string | undefined): void {
    const { directory } = this.#context.view;
    const endpoint = directory.availableEndpoint(id);
    if (endpoint === undefined) throw new Error(`there is no ${id}`);
    directory.put({ ...endpoint, softwareVersion }, directory.revision + 1);
  }

  /** @param error - thrown from the next send */
  failNextSend(error: Error): void {
    this.#client.nextError = error;
  }

  /** @returns all sends so far, in order */
  get sends(): readonly RecordedSend[] {
    return this.#client.sends;
  }

  /** @returns the budgets of the engines */
  get pacing(): pacings.Pacing {
    return this.#context.pacing;
  }

  /** @returns the metrics in the text format */
  get metricsText(): string {
    return this.#context.metrics.text({});
  }

  /**
   * @param event - name of an event
   * @returns its log lines
   */
  linesOf(event: string): string[] {
    return this.#lines.filter((line) => line.includes(`event=${event} `));
  }

  /** @returns the log lines of the sends */
  get sendLines(): string[] {
    return this.linesOf("send");
  }

  /** @returns the request-end log lines */
  get endLines(): string[] {
    return this.linesOf("request-end");
  }

  /**
   * @param id - an endpoint
   * @returns whether its recent results are bad
   */
  isUnhealthy(id: string): boolean {
    return this.#context.health.isUnhealthy(id);
  }

  /** @returns number of requests that are counted as running, on all endpoints */
  get running(): number {
    return [...this.#context.loads.ownWork().values()].reduce((sum, work) => sum + work.running, 0);
  }

  /**
   * @param index - position among the recorded sends, from 0
   * @returns the send
   */
  send(index: number): RecordedSend {
    const recorded = this.#client.sends[index];
    if (recorded === undefined) throw new Error(`there is no send ${index}`);
    return recorded;
  }
}
