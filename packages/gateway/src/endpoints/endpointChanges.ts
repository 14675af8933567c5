import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import type * as dutiesModule from "../duties/duties.js";
import type * as peerLinks from "../peerLink.js";

/** Changes after which no new request may be sent to the endpoint. */
const DEPARTURES: ReadonlySet<serving.EndpointChange> = new Set([
  serving.EndpointChange.Leaving,
  serving.EndpointChange.Gone,
  serving.EndpointChange.SetAside,
]);

/** Dependencies of {@link EndpointChanges}. */
export interface EndpointChangesParts {
  readonly context: contexts.ServingContext;
  readonly peers: peerLinks.PeerLink;
  readonly duties: dutiesModule.Duties;
}

/** Passes changes of endpoints on to the peers and to what has learnt of the endpoints. */
export class EndpointChanges {
  readonly #parts: EndpointChangesParts;

  /** @param parts - dependencies */
  constructor(parts: EndpointChangesParts) {
    this.#parts = parts;
  }

  /** @param update - a change of an endpoint, which the view of the fleet has taken in */
  apply(update: serving.EndpointUpdate): void {
    const { context, peers } = this.#parts;
    // An entry that cannot be used is not sent to peers: it may be long, and peers with an older format would only log
    // it.
    const setAside = update.change === serving.EndpointChange.SetAside;
    const { revision, leavingBornAt: bornAt, isStatedLeaving: isStated = false } = update;
    if (DEPARTURES.has(update.change)) peers.noteDeparture(update.id, { revision, bornAt, setAside, isStated });
    else peers.noteEntry(update.id);
    context.runs.noteChange(update);
    context.backups.noteChange(update);
    if (update.endpoint !== undefined) context.suspects.noteListed(update.endpoint);
    if (update.change === serving.EndpointChange.Gone) {
      context.view.endpointDocuments.delete(update.id);
      this.#forget(update.id);
    }
    if (update.startedAgain !== true) return;
    context.view.pendingRoleChanges.delete(update.id);
    this.#forget(update.id);
  }

  /**
   * Discards what is known of an endpoint, as it does not hold for its next incarnation. Otherwise earlier failures
   * would keep requests from a healthy endpoint, and prompts would be sent to an engine for cached parts that it no
   * longer has.
   */
  #forget(endpointId: string): void {
    const { context, duties } = this.#parts;
    context.client.forget(endpointId);
    context.loads.forget(endpointId);
    context.pacing.forget(endpointId);
    context.health.forget(endpointId);
    context.answerTimes.forget(endpointId);
    context.calls.forget(endpointId);
    context.suspects.forget(endpointId);
    duties.forget(endpointId);
  }
}
