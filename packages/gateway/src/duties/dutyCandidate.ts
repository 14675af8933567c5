import * as common from "@camphorcourse/common";
import * as peerTables from "../peerTable.js";

/** Key of the rendezvous hash that chooses the daemon that carries out the duties of the fleet. */
const DUTIES_KEY = "orders";

/** State of a daemon that decides whether it can carry out duties. */
type Candidate = Pick<peerTables.PeerState, "vm" | "ready" | "active" | "cutOff" | "storeSilentMs">;

/**
 * Decides whether a daemon should carry out the duties of the fleet: one of the live daemons that reach the key-value
 * service and the endpoints. When that daemon falls silent or loses one of these, another becomes the candidate: the first could
 * not renew its lease, or give orders, and nobody would carry them out.
 *
 * @param own - this daemon
 * @param livePeers - the other live daemons that it knows
 * @returns whether this daemon is the candidate
 */
export function isDutyCandidate(own: Candidate, livePeers: readonly Candidate[]): boolean {
  // A standby daemon receives heartbeats only from a part of the fleet, and would wrongly consider itself the candidate.
  if (!isEligible(own)) return false;
  const eligible = [own, ...livePeers.filter(isEligible)];
  // Duties at the platform need no endpoint: with all daemons cut off, one of them carries them out.
  const able = eligible.filter(({ cutOff }) => !cutOff);
  const names = (able.length > 0 ? able : eligible).map(({ vm }) => vm);
  return common.rendezvousOrder(DUTIES_KEY, names)[0] === own.vm;
}

function isEligible({ ready, active, storeSilentMs }: Candidate): boolean {
  return ready && active && storeSilentMs <= peerTables.STORE_SILENT_MS;
}
