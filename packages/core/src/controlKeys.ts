import * as constants from "./constants.js";

/** The kinds of control record; each value is a segment of the key. */
export enum ControlKind {
  Team = "teams",
  Member = "members",
  Lease = "leases",
  Order = "orders",
}

/**
 * @param kind - the kind of record
 * @param name - its name
 * @returns the key in the key-value service
 */
export function controlKey(kind: ControlKind, name: string): string {
  return `${constants.CONTROL_PREFIX}${kind}/${name}`;
}

/**
 * @param key - a key
 * @returns its kind and name, or undefined if the kind is unknown
 */
export function parseControlKey(key: string): { kind: ControlKind; name: string } | undefined {
  const rest = key.slice(constants.CONTROL_PREFIX.length);
  const slash = rest.indexOf("/");
  const kind = Object.values(ControlKind).find((candidate) => candidate === rest.slice(0, slash));
  return kind && { kind, name: rest.slice(slash + 1) };
}

/** A team's document as it is stored, with its version and author. */
export interface TeamRecord {
  readonly text: string;
  readonly version: number;
  readonly author: string;
  /** Unique id of the write, so that its writer recognizes it after a lost reply. */
  readonly attempt: string;
  readonly acceptedAt: number;
}
