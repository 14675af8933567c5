import type * as recipients from "./recipients.js";

/**
 * Chooses the daemons that may send requests to endpoints, as far as this daemon knows. All daemons have to choose the
 * same ones, and rather too many than too few: they divide limits among them, and each takes a larger part if it knows
 * fewer others.
 *
 * A data centre from whose active daemons no heartbeat arrives counts with all its daemons. A daemon that hears nobody
 * would otherwise take the limits for itself alone, as would all others in an outage of the network.
 *
 * @param own - this daemon
 * @param own.vm - its VM
 * @param own.dataCentre - its data centre
 * @param others - the other daemons that it knows
 * @returns VMs in alphabetical order, this daemon's own included
 */
export function chooseSenders(
  own: { readonly vm: string; readonly dataCentre: string },
  others: readonly recipients.KnownDaemon[],
): string[] {
  const isHeard = new Set(others.filter(isDispatching).map(({ entry }) => entry.dataCentre));
  const senders = others.filter((other) => {
    if (isDispatching(other)) return true;
    // One that sends heartbeats itself tells better than others whether it is active.
    if (other.live) return false;
    return other.reportedActive || !isHeard.has(other.entry.dataCentre);
  });
  return [...new Set([own.vm, ...senders.map(({ entry }) => entry.vm)])].sort();
}

function isDispatching({ live, dispatching }: recipients.KnownDaemon): boolean {
  return live && dispatching;
}
