import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as platform from "@camphorcourse/fleet-state";
import * as endpoints from "@camphorcourse/endpoints";
import * as callerExchange from "./callerExchange.js";
import type * as keyValueShell from "./keyValueShell.js";
import * as metrics from "./metrics.js";

const NOT_RUN_STATUSES = new Set([409, 429, 503]);

/** Carries dispatches out: sends them to endpoints and passes the answers on to the callers. */
export class Dispatcher {
  readonly #sink: keyValueShell.EventSink;
  readonly #metrics: metrics.Metrics;
  readonly #clock: common.Clock;
  readonly #engines = new Map<string, endpoints.EngineClient>();
  readonly #services = new Map<string, endpoints.ServiceClient>();
  readonly #aborts = new Map<string, AbortController>();

  /**
   * @param sink - takes the events
   * @param meter - of durations
   * @param clock - monotonic time
   */
  constructor(sink: keyValueShell.EventSink, meter: metrics.Metrics, clock: common.Clock) {
    this.#sink = sink;
    this.#metrics = meter;
    this.#clock = clock;
  }

  /**
   * @param action - what to dispatch
   * @param exchange - the caller that waits for it
   */
  async dispatch(action: core.DispatchAction, exchange: callerExchange.CallerExchange): Promise<void> {
    const abort = new AbortController();
    this.#aborts.set(action.attempt, abort);
    try {
      if (exchange.request.form === callerExchange.AnswerForm.Plain)
        await this.#callPlain(action, exchange, abort.signal);
      else if (action.part === core.RequestPart.Prefill) await this.#prefill(action, exchange, abort.signal);
      else await this.#stream(action, exchange, abort.signal);
    } finally {
      this.#aborts.delete(action.attempt);
    }
  }

  /**
   * @param attempt - the attempt that is no longer wanted
   * @param url - its endpoint
   */
  async cancel(attempt: string, url: string): Promise<void> {
    this.#aborts.get(attempt)?.abort();
    await this.engine(url).cancel(attempt);
  }

  /**
   * @param url - an engine's address
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
    const passed = { ...headers, "x-request-id": action.attempt };
    const reply = await client.call(
      {
        path,
        method: method as platform.CallOptions["method"],
        headers: passed,
        body,
        timeoutMs,
      },
      signal,
    );
    if (reply.isErr()) {
      const neverSent = reply.error.delivery === platform.DeliveryStatus.NeverSent;
      this.#failed(action, neverSent ? core.DeliveryStatus.NeverSent : core.DeliveryStatus.MayHaveRun);
      return;
    }
    const { status, headers: received, body: answer } = reply.value;
    if (NOT_RUN_STATUSES.has(status) && received["x-outcome"] === "not-run") {
      this.#failed(action, core.DeliveryStatus.NotRun);
      return;
    }
    // The nonce tells an answer to this call from one to an earlier call on the same connection.
    if (received["x-request-id"] !== action.attempt) {
      this.#failed(action, core.DeliveryStatus.MayHaveRun);
      return;
    }
    const contentType = received["content-type"];
    const kept = exchange.completePlain(
      status,
      typeof contentType === "string" ? contentType : "application/octet-stream",
      answer,
    );
    this.#done(action, exchange, 0, kept);
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
      this.#failed(action, reachOf(end));
      return;
    }
    this.#sink({ type: core.EventType.PrefillDone, request: action.request, attempt: action.attempt });
  }

  async #stream(
    action: core.DispatchAction,
    exchange: callerExchange.CallerExchange,
    signal: AbortSignal,
  ): Promise<void> {
    exchange.restart();
    const assembly = new core.StreamAssembly(exchange.sentPieces.slice());
    const reader = new StreamReader(assembly, (piece) => {
      this.#onPiece(action, exchange, piece);
    });
    const engine = this.engine(action.url);
    const first = await engine.stream(engineRequest(action, exchange), reader.read, signal);
    let end = first;
    while (end === endpoints.StreamEnd.Broken || end === endpoints.StreamEnd.RequestIdMismatch || reader.wantsResume) {
      if (signal.aborted || (!reader.wantsResume && assembly.onBroken() !== core.StreamStep.Resume)) break;
      reader.wantsResume = false;
      end = await engine.resume(action.attempt, assembly.nextIndex, reader.read, signal);
    }
    const whole = end === endpoints.StreamEnd.Marker && assembly.onEnd() === core.StreamStep.Complete;
    if (whole) this.#done(action, exchange, assembly.nextIndex, exchange.completeModelAnswer());
    else this.#failed(action, reachOf(first));
  }

  #onPiece(action: core.DispatchAction, exchange: callerExchange.CallerExchange, piece: endpoints.StreamChunk): void {
    const now = this.#clock.now();
    const eventId = `${action.endpoint}/${action.attempt}/${piece.index}`;
    const since = exchange.sendPiece(eventId, piece.content, piece.data, now);
    if (since !== undefined) {
      this.#metrics.record(metrics.Duration.BetweenTokens, since);
      return;
    }
    this.#metrics.record(metrics.Duration.FirstToken, now - exchange.arrivedAt);
    this.#sink({ type: core.EventType.FirstToken, request: action.request, attempt: action.attempt });
  }

  #done(
    action: core.DispatchAction,
    exchange: callerExchange.CallerExchange,
    outputTokens: number,
    answer: core.KeptAnswer | undefined,
  ): void {
    this.#metrics.count("answered_total");
    this.#metrics.record(metrics.Duration.Request, this.#clock.now() - exchange.arrivedAt);
    const kept = exchange.request.description.key === undefined ? undefined : answer;
    const { request, attempt } = action;
    this.#sink({
      type: core.EventType.AnswerDone,
      request,
      attempt,
      outputTokens,
      ...(kept ? { answer: kept } : {}),
    });
  }

  #failed(action: core.DispatchAction, reach: core.DeliveryStatus): void {
    this.#metrics.count(`attempts_failed_${reach.replaceAll("-", "_")}_total`);
    this.#sink({
      type: core.EventType.AttemptFailed,
      request: action.request,
      attempt: action.attempt,
      delivery: reach,
    });
  }
}

/** Judges the pieces of one attempt and passes on those that the caller lacks. */
class StreamReader {
  readonly #assembly: core.StreamAssembly;
  readonly #forward: (piece: endpoints.StreamChunk) => void;
  /** A piece was missing: the stream is to be taken up again on a new connection. */
  wantsResume = false;

  constructor(assembly: core.StreamAssembly, forward: (piece: endpoints.StreamChunk) => void) {
    this.#assembly = assembly;
    this.#forward = forward;
  }

  readonly read = (piece: endpoints.StreamChunk): boolean => {
    const step = this.#assembly.onChunk(piece.index, piece.content);
    if (step === core.StreamStep.Forward) this.#forward(piece);
    this.wantsResume = step === core.StreamStep.Resume;
    return step === core.StreamStep.Forward || step === core.StreamStep.Skip;
  };
}

function engineRequest(action: core.DispatchAction, exchange: callerExchange.CallerExchange): endpoints.EngineRequest {
  const { path, document } = exchange.request;
  const transfer = action.handoff && {
    do_remote_prefill: true,
    remote_url: action.handoff.url,
    remote_request_id: action.handoff.attempt,
  };
  const body = { ...document, ...(transfer ? { kv_transfer_params: transfer } : {}) };
  return { path, attempt: action.attempt, body };
}

function reachOf(end: endpoints.StreamEnd): core.DeliveryStatus {
  if (end === endpoints.StreamEnd.NeverSent) return core.DeliveryStatus.NeverSent;
  return end === endpoints.StreamEnd.Refused ? core.DeliveryStatus.NotRun : core.DeliveryStatus.MayHaveRun;
}
