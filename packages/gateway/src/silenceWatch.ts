import * as serving from "@camphorcourse/serving";
import type * as contexts from "./context.js";
import type * as plannedSends from "./sends/plannedSend.js";
import type * as servedRequests from "./servedRequest.js";

/** Interval at which a send is checked for silence, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Silence of an endpoint after which its path may be probed, in milliseconds. */
const SUSPICIOUS_SILENCE_MS = 300;

/**
 * Detects that the endpoint of a send has become silent. A VM or a connection that has failed silently neither answers
 * nor resets, and the caller would wait until its deadline. A request that may be retried is sent elsewhere once the
 * endpoint has sent nothing to this daemon for a while; a busy endpoint still sends on its other connections.
 */
export class SilenceWatch {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  readonly #planned: plannedSends.PlannedSend;
  readonly #sentAt: number;
  readonly #limits: serving.SilenceLimits;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;

  /**
   * @param context - what serving needs
   * @param served - the request
   * @param planned - the send that is watched
   * @param sentAt - when it was sent, in milliseconds
   */
  constructor(
    context: contexts.ServingContext,
    served: servedRequests.ServedRequest,
    planned: plannedSends.PlannedSend,
    sentAt: number,
  ) {
    this.#context = context;
    this.#served = served;
    this.#planned = planned;
    this.#sentAt = sentAt;
    this.#limits = serving.silenceLimits(served.route, planned.predictedMs);
  }

  /**
   * @param isPathLost - whether the path over which it was sent has failed, without a sign of the endpoint since
   * @param onSilent - called at each check that finds silence, with the time since the send's last event in milliseconds
   */
  start(isPathLost: () => boolean, onSilent: (silentMs: number) => void): void {
    // After a pause of the process, timers run before socket events: an endpoint that has answered would count as silent
    // and the request would run twice. A step deferred to the end of the event loop's turn runs after the socket events.
    this.#timer = setInterval(() => setImmediate(() => this.#check(isPathLost, onSilent)), CHECK_INTERVAL_MS);
  }

  /** Stops the checks. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  #check(isPathLost: () => boolean, onSilent: (silentMs: number) => void): void {
    if (this.#stopped) return;
    const now = performance.now();
    const lastEventAt = Math.max(this.#sentAt, this.#served.progress.lastEventAt);
    const lastReceivedAt = Math.max(lastEventAt, this.#endpointLastReceivedAt());
    const silent = now - lastReceivedAt > this.#limits.endpointMs || now - lastEventAt > this.#limits.requestMs;
    if (silent || isPathLost()) onSilent(now - lastEventAt);
    else if (now - lastReceivedAt > SUSPICIOUS_SILENCE_MS) this.#context.client.noteSilent(this.#planned.endpoint);
  }

  /** Ignores what a later incarnation of the endpoint sends: it says nothing about the one that got this request. */
  #endpointLastReceivedAt(): number {
    const { client, view } = this.#context;
    const { endpoint } = this.#planned;
    return view.directory.isSameIncarnation(endpoint) ? client.lastReceivedAt(endpoint.id) : 0;
  }
}
