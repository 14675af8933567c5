import * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "../daemonEntry.js";

/** Daemons of a data centre of which nobody is heard that are spoken to at a time; the next time it is others. */
const TRIED_AT_ONCE = 4;

/** Another daemon, and what was heard of it. */
export interface KnownDaemon {
  readonly entry: daemonEntries.DaemonEntry;
  /** Whether it was heard a short time ago. */
  readonly live: boolean;
  /** Whether it was heard to take callers, or to have work of theirs. */
  readonly deciding: boolean;
  /** Whether another daemon was heard to name it among those that take callers. */
  readonly named: boolean;
}

/** Whom a daemon speaks to. */
export interface Audience {
  /** Daemons that have to know its work: several times a second. */
  readonly often: readonly daemonEntries.DaemonEntry[];
  /** Daemons that have to know that it lives, and what has changed: once or twice a second. */
  readonly seldom: readonly daemonEntries.DaemonEntry[];
}

/** What a daemon is, for the choice of whom it speaks to. */
export interface Speaker {
  readonly dataCentre: string;
  /** Whether it takes callers, or has work of theirs. */
  readonly deciding: boolean;
  /** Whether it speaks to those of its data centre that stand by. */
  readonly host: boolean;
}

/**
 * Chooses whom a daemon speaks to. Daemons that decide speak with each other, and
 * a few of them with those of their own data centre that stand by; these speak
 * with the few alone. So what a daemon hears grows with the number of those that
 * decide, or not at all, instead of with the square of the fleet.
 *
 * @param own - the daemon
 * @param others - the others that it knows
 * @param turn - how often it has spoken: daemons of a silent data centre are tried by turns
 * @returns whom it speaks to
 */
export function audienceOf(own: Speaker, others: readonly KnownDaemon[], turn: number): Audience {
  const isNear = ({ entry }: KnownDaemon): boolean => entry.dataCentre === own.dataCentre;
  const deciding = others.filter(({ live, deciding }) => live && deciding);
  if (!own.deciding) {
    const near = deciding.filter(isNear);
    return { often: [], seldom: entriesOf(near.length > 0 ? near : others.filter(isNear)) };
  }
  const rest = others.filter((other) => !deciding.includes(other));
  const chosen = rest.filter((other) => (own.host && isNear(other)) || other.named);
  const silent = silentElsewhere(rest, deciding, own.dataCentre);
  const tried = [...silent.values()].flatMap((daemons) => takeByTurns(daemons, turn));
  return {
    often: entriesOf(deciding),
    seldom: entriesOf([...new Set([...chosen, ...tried])]),
  };
}

/** Daemons of the other data centres of which none that decides is heard. */
function silentElsewhere(
  rest: readonly KnownDaemon[],
  deciding: readonly KnownDaemon[],
  own: string,
): ReadonlyMap<string, KnownDaemon[]> {
  const heard = new Set(deciding.map(({ entry }) => entry.dataCentre)).add(own);
  const silent = new Map<string, KnownDaemon[]>();
  for (const daemon of rest) {
    const { dataCentre } = daemon.entry;
    if (!heard.has(dataCentre)) silent.set(dataCentre, [...(silent.get(dataCentre) ?? []), daemon]);
  }
  return silent;
}

function takeByTurns(daemons: readonly KnownDaemon[], turn: number): KnownDaemon[] {
  const byVm = new Map(daemons.map((daemon) => [daemon.entry.vm, daemon]));
  const ranked = serving.rankByCapacity(daemons.map(({ entry }) => entry));
  const first = (turn * TRIED_AT_ONCE) % ranked.length;
  return [...ranked.slice(first), ...ranked.slice(0, first)]
    .slice(0, TRIED_AT_ONCE)
    .map(({ vm }) => byVm.get(vm))
    .filter((daemon) => daemon !== undefined);
}

function entriesOf(daemons: readonly KnownDaemon[]): daemonEntries.DaemonEntry[] {
  return daemons.map(({ entry }) => entry);
}
