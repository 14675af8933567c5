import * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "../daemonEntry.js";

/** Daemons that are probed per round in a data centre from which no heartbeat arrives; the next round probes others. */
const PROBES_PER_ROUND = 4;

/** Another daemon and what is known about it. */
export interface KnownDaemon {
  readonly entry: daemonEntries.DaemonEntry;
  /** Whether a recent heartbeat of it was received. */
  readonly live: boolean;
  /** Whether it reports that it is active or still has callers' requests in progress. */
  readonly dispatching: boolean;
  /** Whether another daemon reports it as active. */
  readonly reportedActive: boolean;
}

/** The daemons that heartbeats are sent to. */
export interface Recipients {
  /** Daemons that need this daemon's work, several times a second. */
  readonly frequent: readonly daemonEntries.DaemonEntry[];
  /** Daemons of other regions that need this daemon's work, at longer intervals. */
  readonly distant: readonly daemonEntries.DaemonEntry[];
  /** Daemons that need to know that this daemon is alive and what has changed, once or twice a second. */
  readonly occasional: readonly daemonEntries.DaemonEntry[];
}

/** The properties of a daemon that decide who receives its heartbeats. */
export interface Sender {
  readonly dataCentre: string;
  /** Whether it is active or still has callers' requests in progress. */
  readonly dispatching: boolean;
  /** Whether it sends heartbeats to the standby daemons of its data centre. */
  readonly isStandbyContact: boolean;
  /** @returns whether a data centre is in another region; none is if it is left out */
  readonly isDistant?: (dataCentre: string) => boolean;
}

/**
 * Chooses the daemons that heartbeats are sent to. Dispatching daemons send to each other, and a few of them, the
 * standby contacts, also send to the standby daemons of their own data centre, which send only to dispatching daemons
 * there. So the number of heartbeats that a daemon receives grows with the number of dispatching daemons or not at all,
 * instead of with the square of the fleet.
 *
 * @param own - this daemon
 * @param others - the other daemons that it knows
 * @param round - number of rounds sent so far; determines which daemons of a silent data centre are probed
 * @returns the recipients
 */
export function chooseRecipients(own: Sender, others: readonly KnownDaemon[], round: number): Recipients {
  const isLocal = ({ entry }: KnownDaemon): boolean => entry.dataCentre === own.dataCentre;
  const dispatching = others.filter(({ live, dispatching }) => live && dispatching);
  if (!own.dispatching) {
    const local = dispatching.filter(isLocal);
    return { frequent: [], distant: [], occasional: entriesOf(local.length > 0 ? local : others.filter(isLocal)) };
  }
  const rest = others.filter((other) => !dispatching.includes(other));
  const chosen = rest.filter((other) => (own.isStandbyContact && isLocal(other)) || other.reportedActive);
  const silent = silentDataCentres(rest, dispatching, own.dataCentre);
  const probed = [...silent.values()].flatMap((daemons) => takeRoundRobin(daemons, round));
  const isDistant = ({ entry }: KnownDaemon): boolean => own.isDistant?.(entry.dataCentre) ?? false;
  return {
    frequent: entriesOf(dispatching.filter((daemon) => !isDistant(daemon))),
    distant: entriesOf(dispatching.filter(isDistant)),
    occasional: entriesOf([...new Set([...chosen, ...probed])]),
  };
}

/** Daemons of other data centres from whose dispatching daemons no heartbeats are received, by data centre. */
function silentDataCentres(
  rest: readonly KnownDaemon[],
  dispatching: readonly KnownDaemon[],
  own: string,
): ReadonlyMap<string, KnownDaemon[]> {
  const receivedFrom = new Set(dispatching.map(({ entry }) => entry.dataCentre)).add(own);
  const silent = new Map<string, KnownDaemon[]>();
  for (const daemon of rest) {
    const { dataCentre } = daemon.entry;
    if (!receivedFrom.has(dataCentre)) silent.set(dataCentre, [...(silent.get(dataCentre) ?? []), daemon]);
  }
  return silent;
}

function takeRoundRobin(daemons: readonly KnownDaemon[], round: number): KnownDaemon[] {
  const byVm = new Map(daemons.map((daemon) => [daemon.entry.vm, daemon]));
  const ranked = serving.rankByCapacity(daemons.map(({ entry }) => entry));
  const first = (round * PROBES_PER_ROUND) % ranked.length;
  return [...ranked.slice(first), ...ranked.slice(0, first)]
    .slice(0, PROBES_PER_ROUND)
    .map(({ vm }) => byVm.get(vm))
    .filter((daemon) => daemon !== undefined);
}

function entriesOf(daemons: readonly KnownDaemon[]): daemonEntries.DaemonEntry[] {
  return daemons.map(({ entry }) => entry);
}
