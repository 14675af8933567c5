import * as common from "@camphorcourse/common";

/**
 * Fewest daemons of a region among which the relay rotates. With three, a relay that has failed and is not yet known to
 * have failed costs its region every third heartbeat, and work that is reported counts for 2.2 intervals.
 */
export const MIN_RELAYS = 3;

/** A daemon of another region. */
export interface DistantDaemon {
  readonly vm: string;
  readonly region: string;
  /** Whether it forwards heartbeats to the other daemons of its region. */
  readonly forwards: boolean;
}

/** Who is sent a heartbeat for other regions. */
export interface RelayChoice<Daemon extends DistantDaemon> {
  /** Daemons that are sent the heartbeat itself. */
  readonly direct: readonly Daemon[];
  /** One daemon for each region that forwards it to the others there. */
  readonly relays: readonly Daemon[];
}

/**
 * Chooses how a heartbeat reaches the daemons of other regions.
 *
 * Load pattern: dozens of daemons in each of several regions that report their work to each other several times a second.
 * Links between regions are the narrowest, and a heartbeat that is sent to every daemon of a region crosses them as many
 * times. One daemon of each region gets it and forwards it, a different one each time, so that no daemon and no link is a
 * single point of failure, and each daemon still measures its distance by what it gets directly.
 *
 * @param vm - VM of the sender; senders begin their rotations at different daemons
 * @param daemons - daemons of other regions that need the sender's work
 * @param round - number of heartbeats sent to other regions so far
 * @returns the receivers; daemons that don't forward, and regions with too few that do, are sent to directly
 */
export function chooseRelays<Daemon extends DistantDaemon>(
  vm: string,
  daemons: readonly Daemon[],
  round: number,
): RelayChoice<Daemon> {
  const forwarding = new Map<string, Daemon[]>();
  for (const daemon of daemons) {
    if (!daemon.forwards) continue;
    const inRegion = forwarding.get(daemon.region);
    if (inRegion === undefined) forwarding.set(daemon.region, [daemon]);
    else inRegion.push(daemon);
  }
  const relayed = [...forwarding.values()].filter((inRegion) => inRegion.length >= MIN_RELAYS);
  const relayedRegions = new Set(relayed.map(([daemon]) => daemon?.region));
  return {
    direct: daemons.filter(({ forwards, region }) => !forwards || !relayedRegions.has(region)),
    relays: relayed.flatMap((inRegion) => takeInTurn(vm, inRegion, round)),
  };
}

function takeInTurn<Daemon extends DistantDaemon>(vm: string, inRegion: readonly Daemon[], round: number): Daemon[] {
  const byVm = new Map(inRegion.map((daemon) => [daemon.vm, daemon]));
  const order = common.rendezvousOrder(vm, [...byVm.keys()]);
  const next = byVm.get(order[round % order.length] ?? "");
  return next === undefined ? [] : [next];
}

/** What orders the heartbeats of one daemon. */
export interface HeartbeatOrder {
  readonly incarnation: string;
  /** Number of the heartbeat among those that its sender sent to other regions; 0 for others. */
  readonly sequence: number;
}

/**
 * A heartbeat that was forwarded may arrive after a later one that took another way. It must not bring back the work of
 * then, a daemon that has left since, or its former incarnation.
 *
 * @param forwarded - a heartbeat that another daemon has forwarded
 * @param last - the last one that was applied of a sender that counts as alive; undefined if there is none
 * @returns whether its state is newer
 */
export function isNewerState(forwarded: HeartbeatOrder, last: HeartbeatOrder | undefined): boolean {
  if (last === undefined) return true;
  return forwarded.incarnation === last.incarnation && forwarded.sequence > last.sequence;
}
