import * as serving from "@camphorcourse/serving";
import * as callerAnswers from "./callerAnswer.js";
import type * as callerRequests from "./callerRequest.js";
import type * as contexts from "./context.js";
import type * as endpointClients from "./endpointClient.js";
import * as eventSplitters from "./eventSplitter.js";
import * as metricsModule from "./metrics.js";
import * as streamProgresses from "./streamProgress.js";

const HTTP_OK = 200;
const CLIENT_ERRORS_FROM = 400;
const SERVER_ERRORS_FROM = 500;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
const NOT_FOUND = 404;

/** Times after which a rejected caller may come back, in milliseconds; drawn between them so that they spread. */
const RETURN_AFTER_MS = { least: 150, most: 450 };

const MS_PER_SECOND = 1_000;

/** Interval at which a send is looked at for silence, in milliseconds. */
const SILENCE_CHECK_MS = 100;

/** Where the request is on its way. */
enum Stage {
  /** An engine reads the prompt for another. */
  Reading = "reading",
  /** An endpoint answers the request. */
  Answering = "answering",
}

/** A prompt read at one engine, to be gone on with at another. */
interface HandedOver {
  readonly reader: serving.Endpoint;
  readonly handle: string;
}

/** One send to an endpoint, while it is under way. */
interface ActiveSend {
  readonly endpoint: serving.Endpoint;
  readonly stage: Stage;
  readonly sentAt: number;
  readonly predictedMs: number;
  readonly plan: serving.EnginePlan | undefined;
  read: serving.PendingRead | undefined;
  sending: endpointClients.Sending | undefined;
  silence: NodeJS.Timeout | undefined;
}

/** One request of a caller, from its arrival to its one final answer. */
export class Exchange {
  readonly #context: contexts.ServingContext;
  readonly #request: callerRequests.CallerRequest;
  readonly #body: Buffer;
  readonly #answer: callerAnswers.CallerAnswer;
  readonly #tried = new Set<string>();
  #route: serving.Route;
  #service: string;
  #deadlineAt: number;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #active: ActiveSend | undefined;
  #handedOver: HandedOver | undefined;
  #sends = 0;
  #mayHaveRun = false;
  readonly #progress = new streamProgresses.StreamProgress();
  #over = false;

  /**
   * @param context - what serving needs
   * @param request - the caller's request
   * @param route - its route
   * @param body - its whole body
   * @param answer - takes the answer
   */
  constructor(
    context: contexts.ServingContext,
    request: callerRequests.CallerRequest,
    route: serving.Route,
    body: Buffer,
    answer: callerAnswers.CallerAnswer,
  ) {
    this.#context = context;
    this.#request = request;
    this.#route = route;
    this.#body = body;
    this.#answer = answer;
    this.#service = "";
    const patience = Math.min(request.headers.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    this.#deadlineAt = request.arrivedAt + patience;
  }

  /** Begins to serve the request. */
  start(): void {
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), Math.max(0, this.#remainingMs()));
    this.#chooseService();
    this.#context.budgets.of(this.#service).request(performance.now());
    this.#sendNext();
  }

  /** The caller has left: what runs for it is cancelled. */
  callerLeft(): void {
    if (this.#over) return;
    this.#logEnd("caller-left", 0);
    this.#finish();
  }

  #chooseService(): void {
    const service = serving.drawService(this.#route, this.#context.random.next());
    this.#service = service ?? "";
  }

  /** A configuration that came since may have moved or removed the route. */
  #followConfiguration(): boolean {
    const route = this.#context.view.table?.find(this.#request.host, this.#request.path);
    if (route === undefined) return false;
    this.#route = route;
    if (!route.shares.some((share) => share.service === this.#service && share.weight > 0)) this.#chooseService();
    return true;
  }

  #sendNext(): void {
    if (this.#over) return;
    if (!this.#followConfiguration()) {
      this.#give(NOT_FOUND, "route-removed", "no route leads there any more");
      return;
    }
    const definition = this.#context.view.table?.service(this.#service);
    if (definition?.engine !== undefined && this.#request.headers.prompt !== undefined) {
      this.#sendPrompt(definition, definition.engine, this.#request.headers.prompt);
    } else {
      this.#sendPlain(definition);
    }
  }

  #candidates(definition: serving.Service | undefined): serving.Endpoint[] {
    const { view, client, health } = this.#context;
    const daemons = this.#context.liveDaemons();
    const now = performance.now();
    const open = view.directory
      .serving(this.#service)
      .filter((endpoint) => !this.#tried.has(endpoint.id) && !view.isChanging(endpoint, now))
      .filter((endpoint) =>
        client.hasRoom(endpoint.id, definition?.maxConnections ?? Number.MAX_SAFE_INTEGER, daemons),
      );
    const trials = serving.mayRepeat(this.#route);
    return health.usable(open, trials, now);
  }

  #sendPlain(definition: serving.Service | undefined): void {
    const { board, health, random, settings } = this.#context;
    const endpoint = serving.leastBusy({
      endpoints: this.#candidates(definition),
      board,
      health,
      dataCentre: settings.dataCentre,
      draw: () => random.next(),
      now: performance.now(),
    });
    if (endpoint === undefined) {
      this.#reject("no-endpoint");
      return;
    }
    this.#dispatch(endpoint, Stage.Answering, 0, undefined);
  }

  #sendPrompt(definition: serving.Service, engine: serving.EngineLimits, prompt: serving.Prompt): void {
    const { board, health, settings } = this.#context;
    const engines = this.#candidates(definition);
    const inputs: serving.PlacementInputs = {
      prompt,
      engines,
      board,
      memoryTokens: engine.memoryTokens,
      slowness: (id) => health.slowness(id),
      dataCentre: settings.dataCentre,
      now: performance.now(),
    };
    if (this.#handedOver !== undefined) {
      if (this.#isSameLife(this.#handedOver.reader)) this.#goOn(serving.placeDecoder(inputs));
      else this.#readAgain(this.#handedOver.reader);
      return;
    }
    const plan = serving.placePrompt(inputs);
    if (plan === undefined) {
      this.#reject("no-engine");
      return;
    }
    if (this.#turnedAway(plan)) return;
    const reader = plan.reader ?? plan.decoder;
    board.noteRead(reader.id, engine.memoryTokens, prompt);
    this.#context.readDemand.add(plan.readingTokens, performance.now());
    const stage = plan.reader === undefined ? Stage.Answering : Stage.Reading;
    this.#dispatch(reader, stage, plan.predictedMs, plan);
  }

  #turnedAway(plan: serving.EnginePlan): boolean {
    // What has begun is finished, and what was sent before gets its other chance.
    if (this.#sends > 0 || this.#mayHaveRun) return false;
    const rejection = serving.judgeAdmission({
      predictedMs: plan.predictedMs,
      patienceMs: serving.streamPatienceMs(this.#route.objectiveMs, this.#route.pauseMs),
      remainingMs: this.#remainingMs(),
      draw: this.#context.random.next(),
    });
    if (rejection === undefined) return false;
    this.#context.log.info("turned-away", {
      id: this.#request.headers.requestId,
      predictedMs: Math.round(plan.predictedMs),
      unread: plan.unreadTokens,
      ahead: plan.tokensAhead,
      returnAfterMs: Math.round(rejection.returnAfterMs),
    });
    this.#reject("overloaded", rejection.returnAfterMs);
    return true;
  }

  /**
   * The reader has started again and keeps nothing of before. Its handle names
   * nothing there, or what it has read since for another request, whose answer the
   * caller would get. The prompt is read anew, which counts as a send.
   */
  #readAgain(reader: serving.Endpoint): void {
    this.#handedOver = undefined;
    this.#sends++;
    const step = this.#decide(serving.SendFate.Declined);
    this.#context.log.info("handle-lost", { id: this.#request.headers.requestId, endpoint: reader.id, step });
    if (step === serving.NextStep.SendAgain) this.#sendNext();
    else this.#reject("handle-lost");
  }

  /** @returns whether what is known of an endpoint as it was when it was sent to still holds */
  #isSameLife(endpoint: serving.Endpoint): boolean {
    return this.#context.view.directory.isSameLife(endpoint);
  }

  #goOn(decoder: serving.Endpoint | undefined): void {
    if (decoder === undefined) {
      this.#reject("no-engine");
      return;
    }
    this.#dispatch(decoder, Stage.Answering, 0, undefined);
  }

  #dispatch(endpoint: serving.Endpoint, stage: Stage, predictedMs: number, plan: serving.EnginePlan | undefined): void {
    const { board, client, format, log } = this.#context;
    const now = performance.now();
    const remainingMs = Math.floor(this.#remainingMs());
    const read = plan === undefined ? undefined : board.beginRead(endpoint.id, plan.unreadTokens, plan.level);
    const active: ActiveSend = {
      endpoint,
      stage,
      sentAt: now,
      predictedMs,
      plan,
      read,
      sending: undefined,
      silence: undefined,
    };
    this.#active = active;
    this.#tried.add(endpoint.id);
    if (stage === Stage.Answering) this.#sends++;
    const source = this.#handedOver;
    const urgency = plan?.level ?? (source === undefined ? undefined : 0);
    const headers = format.writeSend(this.#request.headers, {
      deadlineMs: remainingMs,
      endpointId: endpoint.id,
      ...(urgency === undefined ? {} : { urgency }),
      ...(stage === Stage.Reading ? { readOnly: true } : {}),
      ...(source === undefined ? {} : { source: { address: source.reader.address, handle: source.handle } }),
      ...(this.#progress.lastEventId === undefined ? {} : { lastEventId: this.#progress.lastEventId }),
    });
    log.info("send", {
      id: this.#request.headers.requestId,
      stage,
      endpoint: endpoint.id,
      service: this.#service,
      sends: this.#sends,
      leftMs: remainingMs,
      predictedMs: Math.round(predictedMs),
      unread: plan?.unreadTokens,
      urgency,
      entryRevision: this.#context.view.directory.revision,
      configuration: this.#context.view.configurationRevision,
    });
    board.beginRun(endpoint.id);
    const receiver = stage === Stage.Reading ? this.#handleReceiver(active) : this.#answerReceiver(active);
    const body = this.#body.length === 0 ? undefined : this.#body;
    this.#watchSilence(active);
    active.sending = client.send(
      endpoint,
      { method: this.#request.method, path: this.#request.target, headers, body },
      receiver,
    );
  }

  /**
   * An endpoint that has gone dark, or a connection that has, answers nothing and
   * resets nothing: the caller would wait until its deadline. What may be repeated
   * goes elsewhere once the endpoint has said nothing to anybody here for a while;
   * one that is merely busy is still heard on other connections.
   */
  #watchSilence(active: ActiveSend): void {
    const limits = serving.silenceLimits(this.#route, active.predictedMs);
    active.silence = setInterval(() => {
      const now = performance.now();
      const ownAt = Math.max(active.sentAt, this.#progress.lastEventAt);
      // What a later life says to others is no sign of the one that this request was sent to.
      const heard = this.#isSameLife(active.endpoint) ? this.#context.client.heardAt(active.endpoint.id) : 0;
      const heardAt = Math.max(ownAt, heard);
      const silent = now - heardAt > limits.endpointMs || now - ownAt > limits.requestMs;
      if (!silent || this.#active !== active) return;
      this.#leaveSilent(active, now - ownAt);
    }, SILENCE_CHECK_MS);
  }

  #leaveSilent(active: ActiveSend, silentMs: number): void {
    const reading = active.stage === Stage.Reading;
    if (!reading && !serving.mayRepeat(this.#route)) return;
    const fate = reading ? serving.SendFate.Declined : serving.SendFate.Unknown;
    if (reading) this.#sends++;
    const step = this.#decide(fate);
    if (step !== serving.NextStep.SendAgain) {
      if (reading) this.#sends--;
      return;
    }
    this.#context.log.warn("endpoint-silent", {
      id: this.#request.headers.requestId,
      endpoint: active.endpoint.id,
      stage: active.stage,
      silentMs: Math.round(silentMs),
      step,
    });
    if (!reading) this.#mayHaveRun = true;
    this.#recordHealth(active, serving.SendResult.Silent);
    active.sending?.cancel();
    if (this.#endSend(active)) this.#sendNext();
  }

  #handleReceiver(active: ActiveSend): endpointClients.AnswerReceiver {
    const { format } = this.#context;
    const chunks: Buffer[] = [];
    let status = 0;
    let notRun = false;
    return {
      onHead: (answerStatus, headers) => {
        status = answerStatus;
        const head = format.readAnswer(answerStatus, headers);
        notRun = head.notRun;
        if (head.misdirected) this.#context.onMisdirected(active.endpoint, head.endpointId);
        return head.requestId === undefined || head.requestId === this.#request.headers.requestId;
      },
      onData: (chunk) => chunks.push(chunk),
      onEnd: () => {
        if (!this.#endSend(active)) return;
        const handle = status === HTTP_OK ? format.readHandle(Buffer.concat(chunks)) : undefined;
        if (handle?.isOk() === true) {
          this.#recordHealth(active, serving.SendResult.Good);
          this.#learnTime(active);
          this.#handedOver = { reader: active.endpoint, handle: handle.value.handle };
          this.#tried.delete(active.endpoint.id);
          this.#sendNext();
          return;
        }
        this.#sendFailed(active, serving.SendFate.Declined, `status ${status}${notRun ? "" : ", no handle"}`);
      },
      // Reading a prompt runs nothing, so a lost answer to it leaves the request not run.
      onBroken: (fate, detail) => {
        if (!this.#endSend(active)) return;
        this.#sendFailed(active, fate === serving.SendFate.NotSent ? fate : serving.SendFate.Declined, detail);
      },
    };
  }

  #answerReceiver(active: ActiveSend): endpointClients.AnswerReceiver {
    const isStream = this.#route.requestClass === serving.RequestClass.Stream;
    let status = 0;
    let headers: endpointClients.AnswerHeaders = {};
    let notRun = false;
    let sealed = false;
    let streaming = false;
    const chunks: Buffer[] = [];
    const splitter = new eventSplitters.EventSplitter();
    return {
      onHead: (answerStatus, answerHeaders) => {
        status = answerStatus;
        headers = answerHeaders;
        const head = this.#context.format.readAnswer(status, headers);
        notRun = head.notRun;
        if (head.misdirected) this.#context.onMisdirected(active.endpoint, head.endpointId);
        sealed = head.sealed;
        streaming = isStream && status === HTTP_OK;
        if (head.requestId !== undefined) return head.requestId === this.#request.headers.requestId;
        return notRun || status >= CLIENT_ERRORS_FROM;
      },
      onData: (chunk) => {
        if (!streaming) {
          chunks.push(chunk);
          return;
        }
        for (const event of splitter.push(chunk)) this.#onEvent(active, status, headers, event);
      },
      onEnd: () => {
        if (!this.#endSend(active)) return;
        if (notRun) {
          this.#sendFailed(active, serving.SendFate.Declined, `status ${status}`);
        } else if (status < CLIENT_ERRORS_FROM && !sealed) {
          this.#sendFailed(active, serving.SendFate.Unknown, "the answer bears no seal");
        } else if (streaming) {
          this.#onStreamEnd(active, splitter);
        } else {
          this.#onWholeAnswer(active, status, headers, Buffer.concat(chunks));
        }
      },
      onBroken: (fate, detail) => {
        if (!this.#endSend(active)) return;
        this.#sendFailed(active, notRun ? serving.SendFate.Declined : fate, detail);
      },
    };
  }

  #onEvent(
    active: ActiveSend,
    status: number,
    headers: endpointClients.AnswerHeaders,
    event: eventSplitters.StreamEvent,
  ): void {
    const { board, metrics } = this.#context;
    if (active.read !== undefined) {
      board.endRead(active.read);
      this.#learnTime(active);
      active.read = undefined;
    }
    const now = performance.now();
    if (!this.#progress.begun) metrics.record(metricsModule.Duration.FirstEvent, now - this.#request.arrivedAt);
    this.#progress.note(event.id, now);
    this.#mayHaveRun = true;
    this.#handedOver = undefined;
    this.#answer.beginStream(status, headers);
    if (!this.#answer.write(event.bytes)) this.#holdBack(active);
  }

  /** A caller that reads slowly holds the endpoint back, instead of filling memory here. */
  #holdBack(active: ActiveSend): void {
    active.sending?.pause();
    this.#answer.onDrain(() => active.sending?.resume());
  }

  #onStreamEnd(active: ActiveSend, splitter: eventSplitters.EventSplitter): void {
    if (splitter.unfinishedBytes > 0 || !this.#progress.begun) {
      this.#sendFailed(active, serving.SendFate.Unknown, "the stream ended inside an event");
      return;
    }
    this.#recordHealth(active, serving.SendResult.Good);
    this.#answer.endStream();
    this.#logEnd("answered", HTTP_OK);
    this.#finish();
  }

  #onWholeAnswer(active: ActiveSend, status: number, headers: endpointClients.AnswerHeaders, body: Buffer): void {
    this.#handedOver = undefined;
    const failed = status >= SERVER_ERRORS_FROM;
    const now = performance.now();
    const result = failed ? serving.SendResult.Failed : serving.SendResult.Good;
    this.#recordHealth(active, result);
    if (this.#answer.state === callerAnswers.AnswerState.Streaming) {
      this.#sendFailed(active, serving.SendFate.Unknown, `status ${status} to a stream that goes on`);
      return;
    }
    if (failed) {
      this.#mayHaveRun = true;
      const step = this.#decide(serving.SendFate.Unknown);
      if (step === serving.NextStep.SendAgain) {
        this.#sendNext();
        return;
      }
    }
    this.#context.metrics.record(metricsModule.Duration.Request, now - this.#request.arrivedAt);
    this.#answer.pass(status, headers, body);
    this.#logEnd("answered", status);
    this.#finish();
  }

  #learnTime(active: ActiveSend): void {
    if (!this.#isSameLife(active.endpoint)) return;
    const tookMs = performance.now() - active.sentAt;
    this.#context.health.recordTime(active.endpoint.id, active.predictedMs, tookMs);
    this.#context.log.info("prompt-read", {
      id: this.#request.headers.requestId,
      endpoint: active.endpoint.id,
      role: active.endpoint.role,
      unread: active.plan?.unreadTokens,
      ahead: active.plan?.tokensAhead,
      waiting: active.plan?.tokensWaiting,
      prompt: this.#request.headers.prompt?.promptTokens,
      urgency: active.plan?.level,
      running: this.#context.board.running(active.endpoint.id, performance.now()),
      predictedMs: Math.round(active.predictedMs),
      tookMs: Math.round(tookMs),
      slowness: this.#context.health.slowness(active.endpoint.id).toFixed(2),
    });
  }

  /** What a former life did doesn't count against the present one, also if it shows only now. */
  #recordHealth(active: ActiveSend, result: serving.SendResult): void {
    if (!this.#isSameLife(active.endpoint)) return;
    const changed = this.#context.health.record(active.endpoint.id, result, performance.now());
    if (!changed) return;
    const bad = this.#context.health.isBad(active.endpoint.id);
    this.#context.log.warn(bad ? "endpoint-bad" : "endpoint-good", { endpoint: active.endpoint.id, result });
  }

  #sendFailed(active: ActiveSend, fate: serving.SendFate, detail: string): void {
    const declined = fate === serving.SendFate.Declined;
    this.#recordHealth(active, declined ? serving.SendResult.Declined : serving.SendResult.Failed);
    this.#countSend(active, fate);
    if (fate === serving.SendFate.Unknown) this.#mayHaveRun = true;
    if (declined && active.stage === Stage.Answering) this.#dropHandle();
    if (fate === serving.SendFate.Unknown) this.#handedOver = undefined;
    const step = this.#decide(fate);
    this.#context.log.info("send-failed", {
      id: this.#request.headers.requestId,
      endpoint: active.endpoint.id,
      fate,
      detail,
      sends: this.#sends,
      step,
      tookMs: Math.round(performance.now() - active.sentAt),
    });
    if (step === serving.NextStep.SendAgain) this.#sendNext();
    else if (step === serving.NextStep.Reject) this.#reject(`send-${fate}`);
    else if (step === serving.NextStep.TimedOut) this.#give(GATEWAY_TIMEOUT, "timed-out", "the time is up");
    else this.#give(BAD_GATEWAY, "endpoint-failed", "the request may have run and its answer is lost");
  }

  /** A send counts unless nothing of it left; the first read that an engine accepts doesn't, a rejected one does. */
  #countSend(active: ActiveSend, fate: serving.SendFate): void {
    if (active.stage === Stage.Answering && fate === serving.SendFate.NotSent) this.#sends--;
    if (active.stage === Stage.Reading && fate !== serving.SendFate.NotSent) this.#sends++;
  }

  #decide(fate: serving.SendFate): serving.NextStep {
    const others = this.#context.view.directory
      .serving(this.#service)
      .some((endpoint) => !this.#tried.has(endpoint.id));
    return serving.nextStep({
      fate,
      mayHaveRun: this.#mayHaveRun,
      requestClass: this.#route.requestClass,
      resumable: this.#route.resumable,
      sends: this.#sends,
      attempts: this.#route.attempts,
      remainingMs: this.#remainingMs(),
      otherEndpoint: others,
      spendRepeat: () => this.#context.budgets.of(this.#service).spend(performance.now(), this.#context.liveDaemons()),
    });
  }

  #reject(reason: string, returnAfterMs?: number): void {
    if (this.#mayHaveRun) {
      this.#give(BAD_GATEWAY, reason, "the request may have run and can't be sent again");
      return;
    }
    const spread = RETURN_AFTER_MS.most - RETURN_AFTER_MS.least;
    const afterMs = returnAfterMs ?? RETURN_AFTER_MS.least + this.#context.random.next() * spread;
    const seconds = (afterMs / MS_PER_SECOND).toFixed(3);
    this.#give(UNAVAILABLE, reason, "the request has not run; come back after Retry-After", [
      this.#context.format.retryAfterHeader,
      seconds,
    ]);
  }

  #give(status: number, reason: string, detail: string, headers: readonly string[] = []): void {
    if (this.#over) return;
    if (this.#answer.state === callerAnswers.AnswerState.Streaming) this.#answer.breakOff();
    else this.#answer.refuse(status, detail, headers);
    this.#logEnd(reason, status);
    this.#finish();
  }

  #onDeadline(): void {
    if (this.#over) return;
    const active = this.#active;
    const ran = this.#mayHaveRun || (active !== undefined && active.stage === Stage.Answering);
    if (active !== undefined) this.#recordHealth(active, serving.SendResult.Silent);
    if (ran) this.#give(GATEWAY_TIMEOUT, "timed-out", "the time is up; the request may have run");
    else this.#reject("timed-out");
  }

  /** @returns whether the send was still the one under way */
  #endSend(active: ActiveSend): boolean {
    if (this.#active !== active) return false;
    this.#active = undefined;
    this.#release(active);
    return !this.#over;
  }

  #release(active: ActiveSend): void {
    if (active.read !== undefined) this.#context.board.endRead(active.read);
    this.#context.board.endRun(active.endpoint.id);
    clearInterval(active.silence);
  }

  /** Memory of a prompt that nobody goes on with is freed instead of being kept until it lapses. */
  #dropHandle(): void {
    const handedOver = this.#handedOver;
    this.#handedOver = undefined;
    // At a later life the handle would name what that has read for another request.
    if (handedOver === undefined || !this.#isSameLife(handedOver.reader)) return;
    const call = this.#context.format.freeHandle(handedOver.handle);
    const ignore = (): void => undefined;
    this.#context.client.send(
      handedOver.reader,
      { method: call.method, path: call.path, headers: [], body: undefined },
      { onHead: () => true, onData: ignore, onEnd: ignore, onBroken: ignore },
    );
  }

  #finish(): void {
    this.#over = true;
    clearTimeout(this.#deadlineTimer);
    const active = this.#active;
    this.#active = undefined;
    if (active !== undefined) {
      active.sending?.cancel();
      this.#release(active);
    }
    this.#dropHandle();
  }

  #logEnd(outcome: string, status: number): void {
    const now = performance.now();
    this.#context.metrics.count(`requests_${outcome.replaceAll("-", "_")}`);
    this.#context.log.info("request-end", {
      id: this.#request.headers.requestId,
      outcome,
      status,
      route: this.#route.name,
      service: this.#service,
      sends: this.#sends,
      mayHaveRun: this.#mayHaveRun,
      tookMs: Math.round(now - this.#request.arrivedAt),
      ...this.#progress.logFields(this.#request.arrivedAt, now),
      configuration: this.#context.view.configurationRevision,
    });
  }

  #remainingMs(): number {
    return this.#deadlineAt - performance.now();
  }
}
