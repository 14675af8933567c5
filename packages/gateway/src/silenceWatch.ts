import * as serving from "@camphorcourse/serving";
import type * as contexts from "./context.js";
import type * as sendChoosers from "./sendChooser.js";
import type * as servedRequests from "./servedRequest.js";

/** Interval at which a send is looked at for silence, in milliseconds. */
const SILENCE_CHECK_MS = 100;

/**
 * An endpoint that has gone dark, or a connection that has, answers nothing and
 * resets nothing: the caller would wait until its deadline. What may be repeated
 * goes elsewhere once the endpoint has said nothing to anybody here for a while;
 * one that is merely busy is still heard on other connections.
 */
export class SilenceWatch {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  readonly #planned: sendChoosers.PlannedSend;
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
    planned: sendChoosers.PlannedSend,
    sentAt: number,
  ) {
    this.#context = context;
    this.#served = served;
    this.#planned = planned;
    this.#sentAt = sentAt;
    this.#limits = serving.silenceLimits(served.route, planned.predictedMs);
  }

  /** @param onSilent - called at each look that finds silence, with how long the send itself has been silent, in milliseconds */
  start(onSilent: (silentMs: number) => void): void {
    // After a standstill timers have their turn before sockets: an endpoint that has answered would be taken for silent,
    // and the request run twice. What is put off to the end of the loop's turn comes after the sockets.
    this.#timer = setInterval(() => setImmediate(() => this.#look(onSilent)), SILENCE_CHECK_MS);
  }

  /** Looks no more. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  #look(onSilent: (silentMs: number) => void): void {
    if (this.#stopped) return;
    const now = performance.now();
    const ownAt = Math.max(this.#sentAt, this.#served.progress.lastEventAt);
    const heardAt = Math.max(ownAt, this.#endpointHeardAt());
    const silent = now - heardAt > this.#limits.endpointMs || now - ownAt > this.#limits.requestMs;
    if (silent) onSilent(now - ownAt);
  }

  /** What a later life says to others is no sign of the one that this request was sent to. */
  #endpointHeardAt(): number {
    const { client, view } = this.#context;
    const { endpoint } = this.#planned;
    return view.directory.isSameIncarnation(endpoint) ? client.heardAt(endpoint.id) : 0;
  }
}
