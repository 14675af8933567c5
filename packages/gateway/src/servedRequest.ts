import * as serving from "@camphorcourse/serving";
import type * as callerRequests from "./callerRequest.js";
import type * as contexts from "./context.js";
import * as streamProgresses from "./streamProgress.js";

/** Sends of one request whose connection breaks before it is given up. */
const MOST_BROKEN_SENDS = 2;

/** What is known of one request while it is served: where it belongs, what was tried, and whether it may have run. */
export class ServedRequest {
  readonly #context: contexts.ServingContext;
  readonly #caller: callerRequests.CallerRequest;
  readonly #body: Buffer;
  readonly #progress = new streamProgresses.StreamProgress();
  readonly #deadlineAt: number;
  readonly #tried = new Set<string>();
  #route: serving.Route;
  #service = "";
  #fingerprints: serving.Fingerprints | undefined;
  #brokenSends = 0;
  #mayBeSentAgain = true;
  #sends = 0;
  #mayHaveRun = false;

  /**
   * @param context - what serving needs
   * @param caller - the caller's request
   * @param route - its route
   * @param body - its whole body
   */
  constructor(
    context: contexts.ServingContext,
    caller: callerRequests.CallerRequest,
    route: serving.Route,
    body: Buffer,
  ) {
    this.#context = context;
    this.#caller = caller;
    this.#route = route;
    this.#body = body;
    const patience = Math.min(caller.headers.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    this.#deadlineAt = caller.arrivedAt + patience;
  }

  /** @returns the request as the caller sent it */
  get caller(): callerRequests.CallerRequest {
    return this.#caller;
  }

  /** @returns its whole body */
  get body(): Buffer {
    return this.#body;
  }

  /** @returns its id */
  get id(): string {
    return this.#caller.headers.requestId;
  }

  /** @returns what it is called wherever its retries are compared */
  get fingerprints(): serving.Fingerprints {
    const { method, host, target, callerAddress } = this.#caller;
    this.#fingerprints ??= serving.fingerprintsOf({ method, host, target, callerAddress, body: this.#body });
    return this.#fingerprints;
  }

  /** @returns how far its stream has come */
  get progress(): streamProgresses.StreamProgress {
    return this.#progress;
  }

  /** @returns its route in the configuration in force */
  get route(): serving.Route {
    return this.#route;
  }

  /** @returns the service that it was drawn for */
  get service(): string {
    return this.#service;
  }

  /** @returns sends that count so far */
  get sends(): number {
    return this.#sends;
  }

  /** @returns whether any send of it may have run */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** @returns instant at which its time is up, in milliseconds */
  get deadlineAt(): number {
    return this.#deadlineAt;
  }

  /** @returns time that is left, in milliseconds */
  get remainingMs(): number {
    return this.#deadlineAt - performance.now();
  }

  /** Draws the service by the route's shares. */
  chooseService(): void {
    const service = serving.drawService(this.#route, this.#context.random.next());
    this.#service = service ?? "";
  }

  /**
   * A configuration that came since may have moved or removed the route.
   *
   * @returns whether a route still leads somewhere
   */
  followConfiguration(): boolean {
    const route = this.#context.view.table?.find(this.#caller.host, this.#caller.path);
    if (route === undefined) return false;
    this.#route = route;
    if (!route.shares.some((share) => share.service === this.#service && share.weight > 0)) this.chooseService();
    return true;
  }

  /**
   * @param endpointId - an endpoint
   * @returns whether the request was sent there
   */
  wasTried(endpointId: string): boolean {
    return this.#tried.has(endpointId);
  }

  /** @param endpointId - the endpoint that the request is sent to; it isn't chosen again */
  markTried(endpointId: string): void {
    this.#tried.add(endpointId);
  }

  /** @param endpointId - an endpoint that may be chosen again */
  unmarkTried(endpointId: string): void {
    this.#tried.delete(endpointId);
  }

  /** One more send counts. */
  countSend(): void {
    this.#sends++;
  }

  /** A send that was counted doesn't count. */
  uncountSend(): void {
    this.#sends--;
  }

  /** From now on, the request may have run. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /**
   * A send broke, and its endpoint may have ended under it. Each further send risks another endpoint with all that runs
   * there, so a request that is suspected already, or whose second send broke, is not sent again.
   *
   * @param isSuspected - whether an endpoint has ended under it before
   */
  noteBroken(isSuspected: boolean): void {
    this.#brokenSends++;
    if (isSuspected || this.#brokenSends >= MOST_BROKEN_SENDS) this.#mayBeSentAgain = false;
  }

  /**
   * @param fate - what became of a send that gave no answer to pass on
   * @returns what follows
   */
  decideNextStep(fate: serving.SendFate): serving.NextStep {
    const { view, budgets } = this.#context;
    const others = view.directory.serving(this.#service).some((endpoint) => !this.#tried.has(endpoint.id));
    return serving.nextStep({
      fate,
      mayHaveRun: this.#mayHaveRun,
      requestClass: this.#route.requestClass,
      resumable: this.#route.resumable,
      sends: this.#sends,
      attempts: this.#mayBeSentAgain ? this.#route.attempts : 0,
      remainingMs: this.remainingMs,
      otherEndpoint: others,
      spendRepeat: () => budgets.of(this.#service).spend(performance.now(), this.#context.liveDaemons()),
    });
  }
}
