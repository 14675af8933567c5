import * as serving from "@camphorcourse/serving";
import type * as callerRequests from "./callerRequest.js";
import type * as requestContexts from "./requests/requestContext.js";
import * as streamProgresses from "./streamProgress.js";

/** Number of sends of one request whose connection may break before the request is given up. */
const MAX_BROKEN_SENDS = 2;

/** State of a request while it is served: its route and service, the endpoints tried, and whether it may have run. */
export class ServedRequest {
  readonly #context: requestContexts.RequestContext;
  readonly #caller: callerRequests.CallerRequest;
  readonly #body: Buffer;
  readonly #access: serving.Access;
  readonly #progress = new streamProgresses.StreamProgress();
  readonly #ledger = new serving.SendLedger();
  readonly #deadlineAt: number;
  readonly #triedEndpoints = new Set<string>();
  readonly #acceptedUnder: number;
  #route: serving.Route;
  #isRepeatable: boolean;
  #service = "";
  #fingerprints: serving.Fingerprints | undefined;
  #partNames: readonly serving.SuspectName[] | undefined;
  #brokenSends = 0;
  #mayBeSentAgain = true;
  #sends = 0;
  #hasBegunToRun = false;
  #prefillsAccepted = 0;
  #isPrefillPaid = false;
  #isPrefillLost = false;
  #isStreamBegun = false;
  #origin: serving.StreamOrigin | undefined;

  /**
   * @param context - dependencies shared by all requests
   * @param caller - the caller's request
   * @param route - the route that matched
   * @param body - the complete body
   * @param access - on whose behalf it is served
   */
  constructor(
    context: requestContexts.RequestContext,
    caller: callerRequests.CallerRequest,
    route: serving.Route,
    body: Buffer,
    access: serving.Access,
  ) {
    this.#context = context;
    this.#caller = caller;
    this.#route = route;
    this.#isRepeatable = serving.mayRetry(route);
    this.#body = body;
    this.#access = access;
    this.#acceptedUnder = context.view.configurationRevision;
    const timeoutMs = Math.min(caller.headers.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    this.#deadlineAt = caller.arrivedAt + timeoutMs;
  }

  /** @returns the request as the caller sent it */
  get caller(): callerRequests.CallerRequest {
    return this.#caller;
  }

  /** @returns the complete body */
  get body(): Buffer {
    return this.#body;
  }

  /** @returns on whose behalf the request is served, as decided when it was accepted */
  get access(): serving.Access {
    return this.#access;
  }

  /** @returns the request id */
  get id(): string {
    return this.#caller.headers.requestId;
  }

  /** @returns fingerprints by which retries of the same request are recognised, computed on first use */
  get fingerprints(): serving.Fingerprints {
    const { method, host, target, callerAddress } = this.#caller;
    this.#fingerprints ??= serving.fingerprintsOf({
      method,
      host,
      target,
      callerAddress,
      organisation: this.#access.organisation?.name,
      body: this.#body,
    });
    return this.#fingerprints;
  }

  /** @returns names of the parts of its prompt that other requests may share, computed on first use */
  get partNames(): readonly serving.SuspectName[] {
    const { prompt } = this.#caller.headers;
    this.#partNames ??= prompt === undefined ? [] : serving.partNamesOf(prompt, this.#access.organisation?.name);
    return this.#partNames;
  }

  /** @returns its sends, and what has become of each */
  get ledger(): serving.SendLedger {
    return this.#ledger;
  }

  /** @returns progress of the request's stream */
  get progress(): streamProgresses.StreamProgress {
    return this.#progress;
  }

  /** @returns the route, as followConfiguration() last found it */
  get route(): serving.Route {
    return this.#route;
  }

  /** @returns name of the chosen service */
  get service(): string {
    return this.#service;
  }

  /** @returns revision of the configuration under which the request was accepted */
  get acceptedUnder(): number {
    return this.#acceptedUnder;
  }

  /** @returns the endpoints marked as tried, in the order of the sends */
  get triedEndpoints(): readonly string[] {
    return [...this.#triedEndpoints];
  }

  /** @returns number of sends that count towards the route's attempts */
  get sends(): number {
    return this.#sends;
  }

  /** @returns whether any send may have run the request */
  get mayHaveRun(): boolean {
    return this.#ledger.mayHaveRun;
  }

  /** @returns whether the request may be sent to run: it has certainly not run, or may run again */
  get mayRun(): boolean {
    return !this.mayHaveRun || this.#isRepeatable;
  }

  /** @returns whether the request may run more than once, under each route by which it has been served */
  get isRepeatable(): boolean {
    return this.#isRepeatable;
  }

  /** @returns deadline of the request, in milliseconds */
  get deadlineAt(): number {
    return this.#deadlineAt;
  }

  /** @returns time until the deadline, in milliseconds; negative once it has passed */
  get remainingMs(): number {
    return this.#deadlineAt - performance.now();
  }

  /** @returns whether a part of the request's stream exists, so that the rest may only come from what began it */
  get isStreamBegun(): boolean {
    return this.#isStreamBegun;
  }

  /** @returns what began the stream; undefined if none has begun, or if that isn't known */
  get origin(): serving.StreamOrigin | undefined {
    return this.#origin;
  }

  /**
   * Records that a part of the stream exists. From then on it goes on only at its origin.
   *
   * @param origin - what began it; undefined if that isn't known, so that it can't go on
   */
  noteStreamBegun(origin: serving.StreamOrigin | undefined): void {
    if (this.#isStreamBegun) return;
    this.#isStreamBegun = true;
    this.#origin = origin;
    if (origin !== undefined) this.#service = origin.service;
  }

  /**
   * @param endpoint - an endpoint of the service
   * @returns whether the request may be sent there, as far as its stream decides
   */
  mayGoOnAt(endpoint: serving.Endpoint): boolean {
    if (!this.#isStreamBegun) return true;
    const origin = this.#origin;
    return origin !== undefined && serving.isOnRoute(origin, this.#route) && serving.isOfOrigin(origin, endpoint);
  }

  /** @returns whether any available endpoint may be sent the request, as far as its stream decides */
  get canGoOn(): boolean {
    return this.#context.view.directory.availableEndpoints(this.#service).some((endpoint) => this.mayGoOnAt(endpoint));
  }

  /** Chooses the service at random, weighted by the route's shares. */
  chooseService(): void {
    if (this.#isStreamBegun) return;
    const service = serving.drawService(this.#route, this.#context.random.next());
    this.#service = service ?? "";
  }

  /**
   * Updates route and service, as a new configuration may have moved or removed the route. A stream that has begun keeps the
   * route under which it began.
   *
   * @returns whether a route still matches the request
   */
  followConfiguration(): boolean {
    if (this.#isStreamBegun) return true;
    const route = this.#context.view.table?.find(this.#caller.host, this.#caller.path);
    if (route === undefined) return false;
    this.#route = route;
    this.#isRepeatable &&= serving.mayRetry(route);
    if (!route.shares.some((share) => share.service === this.#service && share.weight > 0)) this.chooseService();
    return true;
  }

  /**
   * @param endpointId - an endpoint
   * @returns whether the endpoint is marked as tried
   */
  wasTried(endpointId: string): boolean {
    return this.#triedEndpoints.has(endpointId);
  }

  /** @param endpointId - endpoint that the request is sent to; it is not chosen again */
  markTried(endpointId: string): void {
    this.#triedEndpoints.add(endpointId);
  }

  /** @param endpointId - endpoint that may be chosen again */
  unmarkTried(endpointId: string): void {
    this.#triedEndpoints.delete(endpointId);
  }

  /** Counts one more send. */
  countSend(): void {
    this.#sends++;
  }

  /** Takes back the count of a send. */
  uncountSend(): void {
    this.#sends--;
  }

  /**
   * Counts a resume that its engine rejected. It is taken from the retry budget, but doesn't wait for it: the rejection
   * can't be foreseen, and the run has stopped.
   */
  countRejectedResume(): void {
    this.#sends++;
    this.spendRetry();
  }

  /** Records that an engine has prefilled the prompt for another one. */
  notePrefilled(): void {
    this.#prefillsAccepted++;
    this.#isPrefillPaid = false;
  }

  /**
   * Records that a prefill ended without an answer. The engine may have accepted it, so that it counts as the first one, which is no
   * attempt; the prompt is then prefilled by the engine that decodes.
   *
   * @returns whether it is the first one
   */
  notePrefillLost(): boolean {
    const isFirst = this.#prefillsAccepted === 0 && !this.#isPrefillLost;
    this.#isPrefillLost = true;
    return isFirst;
  }

  /** The next prefill is the retry itself, which the budget has allowed. */
  notePrefillPaid(): void {
    this.#isPrefillPaid = true;
  }

  /**
   * Decides whether the prompt may be prefilled for another engine. The first prefill that an engine accepts is free; a
   * further one is an arrival beyond the retry that it belongs to, so that it takes a second one from the budget.
   *
   * @returns whether it may; the retry is then counted as spent
   */
  mayPrefill(): boolean {
    if (this.#isPrefillLost) return false;
    if (this.#prefillsAccepted === 0 || this.#isPrefillPaid) return true;
    return this.spendRetry();
  }

  /** Records that an endpoint has begun to run the request, which counts once as its organisation's usage. */
  noteBegunToRun(): void {
    if (this.#hasBegunToRun) return;
    this.#hasBegunToRun = true;
    const { organisation } = this.#access;
    if (organisation !== undefined) this.#context.countUsage(organisation.name);
  }

  /**
   * Records that the connection of a send broke, possibly because the endpoint crashed. Each further send risks another
   * endpoint and everything that runs there, so a request that is already suspected, or whose second send broke, is not
   * sent again.
   *
   * @param isSuspected - whether an endpoint has crashed under this request before
   */
  noteBroken(isSuspected: boolean): void {
    this.#brokenSends++;
    if (isSuspected || this.#brokenSends >= MAX_BROKEN_SENDS) this.#mayBeSentAgain = false;
  }

  /**
   * Decides how the request continues after a send without a usable answer.
   *
   * @returns the next step
   */
  decideNextStep(): serving.NextStep {
    return this.#nextStep(() => this.spendRetry());
  }

  /** @returns whether a further send is allowed and useful, apart from the retry budget */
  allowsRetry(): boolean {
    return this.#nextStep(() => true) === serving.NextStep.SendAgain;
  }

  #nextStep(spendRetry: () => boolean): serving.NextStep {
    const { view } = this.#context;
    const hasUntried = view.directory
      .availableEndpoints(this.#service)
      .some((endpoint) => !this.#triedEndpoints.has(endpoint.id) && this.mayGoOnAt(endpoint));
    return serving.nextStep({
      mayHaveRun: this.mayHaveRun,
      isRepeatable: this.#isRepeatable,
      sends: this.#sends,
      attempts: this.#mayBeSentAgain ? this.#route.attempts : 0,
      remainingMs: this.remainingMs,
      hasOtherEndpoint: hasUntried,
      spendRetry,
    });
  }

  /** @returns whether the service's budget allows one more retry, which then counts as spent */
  spendRetry(): boolean {
    const { budgets } = this.#context;
    return budgets.of(this.#service).spend(performance.now(), this.#context.liveDaemons());
  }
}
