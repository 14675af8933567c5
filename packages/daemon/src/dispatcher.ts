import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as fleetState from "@camphorcourse/fleet-state";
import * as endpoints from "@camphorcourse/endpoints";
import * as callerExchange from "./callerExchange.js";
import type * as keyValueAdapter from "./keyValueAdapter.js";
import * as metrics from "./metrics.js";

const NOT_RUN_STATUSES = new Set([409, 429, 503]);

/** Sends dispatched requests to endpoints and forwards the answers to the callers. */
export class Dispatcher {
  readonly #emit: keyValueAdapter.EventSink;
  readonly #metrics: metrics.Metrics;
  readonly #clock: common.Clock;
  readonly #engines = new Map<string, endpoints.EngineClient>();
  readonly #services = new Map<string, endpoints.ServiceClient>();
  readonly #abortControllers = new Map<string, AbortController>();

  /**
   * @param emit - passes events to the core
   * @param recorder - records counters and durations
   * @param clock - monotonic clock
   */
  constructor(emit: keyValueAdapter.EventSink, recorder: metrics.Metrics, clock: common.Clock) {
    this.#emit = emit;
    this.#metrics = recorder;
    this.#clock = clock;
  }

  /**
   * Sends one attempt to its endpoint and reports the result to the core.
   *
   * @param action - the attempt to send
   * @param exchange - the caller's open request
   */
  async dispatch(action: core.DispatchAction, exchange: callerExchange.CallerExchange): Promise<void> {
    const abort = new AbortController();
    this.#abortControllers.set(action.attempt, abort);
    try {
      if (exchange.request.format === callerExchange.ResponseFormat.Plain)
        await this.#callPlain(action, exchange, abort.signal);
      else if (action.part === core.RequestPart.Prefill) await this.#prefill(action, exchange, abort.signal);
      else await this.#stream(action, exchange, abort.signal);
    } finally {
      this.#abortControllers.delete(action.attempt);
    }
  }

  /**
   * Aborts an attempt and cancels it at its endpoint.
   *
   * @param attempt - id of the attempt
   * @param url - address of the endpoint
   */
  async cancel(attempt: string, url: string): Promise<void> {
    this.#abortControllers.get(attempt)?.abort();
    await this.engine(url).cancel(attempt);
  }

  /**
   * Returns the client of an engine and creates it on first use.
   *
   * @param url - address of the engine
   * @returns its client
   */
  engine(url: string): endpoints.EngineClient {
    const client = this.#engines.get(url) ?? new endpoints.EngineClient(url);
    this.#engines.set(url, client);
    return client;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const clients = [...this.#engines.values(), ...this.#services.values()];
    await Promise.all(clients.map((client) => client.close()));
  }

  async #callPlain(
    action: core.DispatchAction,
    exchange: callerExchange.CallerExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { path, method, headers, body } = exchange.request;
    const client = this.#services.get(action.url) ?? new endpoints.ServiceClient(action.url);
    this.#services.set(action.url, client);
    const { timeoutMs } = action;
    const forwarded = { ...headers, "x-request-id": action.attempt };
    const reply = await client.call(
      {
        path,
        method: method as fleetState.CallOptions["method"],
        headers: forwarded,
        body,
        timeoutMs,
      },
      signal,
    );
    if (reply.isErr()) {
      const neverSent = reply.error.delivery === fleetState.DeliveryStatus.NeverSent;
      this.#reportFailure(action, neverSent ? core.DeliveryStatus.NeverSent : core.DeliveryStatus.MayHaveRun);
      return;
    }
    const { status, headers: received, body: answer } = reply.value;
    if (NOT_RUN_STATUSES.has(status) && received["x-outcome"] === "not-run") {
      this.#reportFailure(action, core.DeliveryStatus.NotRun);
      return;
    }
    // The attempt id distinguishes the answer to this call from one to an earlier call on the same connection.
    if (received["x-request-id"] !== action.attempt) {
      this.#reportFailure(action, core.DeliveryStatus.MayHaveRun);
      return;
    }
    const contentType = received["content-type"];
    const kept = exchange.completePlain(
      status,
      typeof contentType === "string" ? contentType : "application/octet-stream",
      answer,
    );
    this.#reportSuccess(action, exchange, 0, kept);
  }

  async #prefill(
    action: core.DispatchAction,
    exchange: callerExchange.CallerExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { path, document } = exchange.request;
    const request = { path, attempt: action.attempt, body: document ?? {} };
    const end = await this.engine(action.url).prefill(request, signal);
    if (end !== endpoints.StreamEnd.Marker) {
      this.#reportFailure(action, deliveryOf(end));
      return;
    }
    this.#emit({ type: core.EventType.PrefillDone, request: action.request, attempt: action.attempt });
  }

  async #stream(
    action: core.DispatchAction,
    exchange: callerExchange.CallerExchange,
    signal: AbortSignal,
  ): Promise<void> {
    exchange.beginAttempt();
    const assembly = new core.StreamAssembly(exchange.sentChunks.slice());
    const reader = new ChunkReader(assembly, (chunk) => {
      this.#onChunk(action, exchange, chunk);
    });
    const engine = this.engine(action.url);
    const firstEnd = await engine.stream(engineRequest(action, exchange), reader.read, signal);
    let end = firstEnd;
    while (end === endpoints.StreamEnd.Broken || end === endpoints.StreamEnd.RequestIdMismatch || reader.needsResume) {
      if (signal.aborted || (!reader.needsResume && assembly.onBroken() !== core.StreamStep.Resume)) break;
      reader.needsResume = false;
      end = await engine.resume(action.attempt, assembly.nextIndex, reader.read, signal);
    }
    const isComplete = end === endpoints.StreamEnd.Marker && assembly.onEnd() === core.StreamStep.Complete;
    if (isComplete) this.#reportSuccess(action, exchange, assembly.nextIndex, exchange.completeModelAnswer());
    else this.#reportFailure(action, deliveryOf(firstEnd));
  }

  #onChunk(action: core.DispatchAction, exchange: callerExchange.CallerExchange, chunk: endpoints.StreamChunk): void {
    const now = this.#clock.now();
    const eventId = `${action.endpoint}/${action.attempt}/${chunk.index}`;
    const sincePrevious = exchange.sendChunk(eventId, chunk.content, chunk.data, now);
    if (sincePrevious !== undefined) {
      this.#metrics.record(metrics.Duration.BetweenTokens, sincePrevious);
      return;
    }
    this.#metrics.record(metrics.Duration.FirstToken, now - exchange.arrivedAt);
    this.#emit({ type: core.EventType.FirstToken, request: action.request, attempt: action.attempt });
  }

  #reportSuccess(
    action: core.DispatchAction,
    exchange: callerExchange.CallerExchange,
    outputTokens: number,
    answer: core.KeptAnswer | undefined,
  ): void {
    this.#metrics.count("answered_total");
    this.#metrics.record(metrics.Duration.Request, this.#clock.now() - exchange.arrivedAt);
    const kept = exchange.request.description.key === undefined ? undefined : answer;
    const { request, attempt } = action;
    this.#emit({
      type: core.EventType.AnswerDone,
      request,
      attempt,
      outputTokens,
      ...(kept ? { answer: kept } : {}),
    });
  }

  #reportFailure(action: core.DispatchAction, reach: core.DeliveryStatus): void {
    this.#metrics.count(`attempts_failed_${reach.replaceAll("-", "_")}_total`);
    this.#emit({
      type: core.EventType.AttemptFailed,
      request: action.request,
      attempt: action.attempt,
      delivery: reach,
    });
  }
}

/** Checks the chunks of one attempt and forwards those that the caller doesn't have yet. */
class ChunkReader {
  readonly #assembly: core.StreamAssembly;
  readonly #forward: (chunk: endpoints.StreamChunk) => void;
  /** A chunk was missing, so the stream must be resumed on a new connection. */
  needsResume = false;

  constructor(assembly: core.StreamAssembly, forward: (chunk: endpoints.StreamChunk) => void) {
    this.#assembly = assembly;
    this.#forward = forward;
  }

  readonly read = (chunk: endpoints.StreamChunk): boolean => {
    const step = this.#assembly.onChunk(chunk.index, chunk.content);
    if (step === core.StreamStep.Forward) this.#forward(chunk);
    this.needsResume = step === core.StreamStep.Resume;
    return step === core.StreamStep.Forward || step === core.StreamStep.Skip;
  };
}

function engineRequest(action: core.DispatchAction, exchange: callerExchange.CallerExchange): endpoints.EngineRequest {
  const { path, document } = exchange.request;
  const kvTransfer = action.handoff && {
    do_remote_prefill: true,
    remote_url: action.handoff.url,
    remote_request_id: action.handoff.attempt,
  };
  const body = { ...document, ...(kvTransfer ? { kv_transfer_params: kvTransfer } : {}) };
  return { path, attempt: action.attempt, body };
}

function deliveryOf(end: endpoints.StreamEnd): core.DeliveryStatus {
  if (end === endpoints.StreamEnd.NeverSent) return core.DeliveryStatus.NeverSent;
  return end === endpoints.StreamEnd.Refused ? core.DeliveryStatus.NotRun : core.DeliveryStatus.MayHaveRun;
}
