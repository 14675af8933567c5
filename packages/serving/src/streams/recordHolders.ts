import * as common from "@camphorcourse/common";

/** A daemon that may keep records. */
export interface PossibleHolder {
  readonly vm: string;
  readonly dataCentre: string;
}

/** Daemons that keep each record: one may fail, and its data centre with it. */
const HOLDERS = 2;

/**
 * Daemons that are asked for a record: more than keep it, as those that come and go shift the others, and daemons differ
 * for a while in whom they hear.
 */
const ASKED = 5;

/**
 * Chooses by rendezvous hashing, so that all daemons choose the same ones for a stream without a message.
 *
 * @param attempt - hash of the id of the request that began the stream
 * @param daemons - the other daemons that serve
 * @returns VMs of those that keep the record, of two data centres if there are two
 */
export function holdersOf(attempt: string, daemons: readonly PossibleHolder[]): string[] {
  const dataCentres = new Map(daemons.map(({ vm, dataCentre }) => [vm, dataCentre]));
  const [first, ...others] = common.rendezvousOrder(attempt, [...dataCentres.keys()]);
  if (first === undefined) return [];
  const elsewhere = others.filter((vm) => dataCentres.get(vm) !== dataCentres.get(first));
  return [first, ...(elsewhere.length > 0 ? elsewhere : others)].slice(0, HOLDERS);
}

/**
 * @param attempt - hash of the id of the request that began a stream
 * @param daemons - the other daemons that serve
 * @returns VMs of those that keep its record, and of those that are asked if these don't know
 */
export function askedFor(attempt: string, daemons: readonly PossibleHolder[]): readonly [string[], string[]] {
  const vms = daemons.map(({ vm }) => vm);
  const holders = holdersOf(attempt, daemons);
  const others = common.rendezvousOrder(attempt, vms).filter((vm) => !holders.includes(vm));
  return [holders, others.slice(0, ASKED - holders.length)];
}
