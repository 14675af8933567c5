import type * as membership from "./membership.js";

/** State of a drain, besides the roster. */
export interface DrainView {
  readonly endpoint: string;
  /** Revision of the order record that started the drain. */
  readonly recordRevision: number;
  /** This daemon's requests at the endpoint. */
  readonly ownInFlight: number;
  /** Requests that the endpoint has reported since the drain began, undefined without a report. */
  readonly reportedRequests: number | undefined;
  /** Whether the endpoint's own report is required, because a daemon was lost recently. */
  readonly needsEndpointReport: boolean;
}

/**
 * Lists what a draining endpoint still waits for. The change proceeds only when
 * the list is empty: every daemon has acknowledged the drain and has no request
 * there, and for a lost daemon, its VM is gone and the endpoint itself reports
 * no requests. A daemon that is only unreachable blocks the change, since it
 * may be paused while it relays an answer.
 *
 * @param view - state of the drain
 * @param roster - the daemons
 * @returns the reasons to wait, as text for the operator
 */
export function drainBlockers(view: DrainView, roster: membership.Roster): string[] {
  const blockers: string[] = [];
  if (view.ownInFlight > 0) blockers.push(`${view.ownInFlight} requests of this daemon`);
  for (const peer of roster.peers()) {
    const blocker = peerBlocker(view, peer, roster);
    if (blocker) blockers.push(blocker);
  }
  for (const vm of roster.lostVms()) blockers.push(`daemon on ${vm} was lost and its VM is still listed`);
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
