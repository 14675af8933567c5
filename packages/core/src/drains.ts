import type * as membership from "./membership.js";

/** What a drain needs to know besides the roster. */
export interface DrainView {
  readonly endpoint: string;
  /** Revision of the order record that asks for the drain. */
  readonly recordRevision: number;
  /** Requests of this daemon at the endpoint. */
  readonly ownInFlight: number;
  /** Requests that the endpoint itself reported since the drain began, undefined if it hasn't. */
  readonly reportedRequests: number | undefined;
  /** Whether the endpoint has to say so itself, as a daemon has vanished lately. */
  readonly needsEndpointReport: boolean;
}

/**
 * What a drained endpoint still waits for. A change goes ahead only when this is
 * empty: every daemon has seen the drain and has nothing there, and where a
 * daemon can't be asked any more, its VM is gone and the endpoint itself reports
 * that nothing runs. A daemon that is merely silent blocks the change, since it
 * may be paused in the middle of an answer.
 *
 * @param view - the drain
 * @param roster - the daemons
 * @returns the reasons to wait, in words for the operator
 */
export function drainBlockers(view: DrainView, roster: membership.Roster): string[] {
  const blockers: string[] = [];
  if (view.ownInFlight > 0) blockers.push(`${view.ownInFlight} requests of this daemon`);
  for (const peer of roster.peers()) {
    const blocker = peerBlocker(view, peer, roster);
    if (blocker) blockers.push(blocker);
  }
  for (const vm of roster.lostVms()) blockers.push(`daemon on ${vm} vanished and its VM is still listed`);
  if (!view.needsEndpointReport) return blockers;
  if (view.reportedRequests === undefined) blockers.push("no load report from the endpoint since the drain began");
  else if (view.reportedRequests > 0) blockers.push(`the endpoint reports ${view.reportedRequests} requests`);
  return blockers;
}

function peerBlocker(view: DrainView, peer: membership.Member, roster: membership.Roster): string | undefined {
  const { vm } = peer.registration;
  if (roster.isGone(vm)) return undefined;
  const share = peer.report?.shares.find((candidate) => candidate.endpoint === view.endpoint);
  if (!share || share.recordRevision < view.recordRevision) return `daemon on ${vm} has not acknowledged`;
  if (share.inFlight > 0) return `${share.inFlight} requests of the daemon on ${vm}`;
  return undefined;
}
