import * as constants from "./constants.js";

/** The kinds of control record and their keys. */
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
 * @returns its kind and name, or undefined for a key of no known kind
 */
export function parseControlKey(key: string): { kind: ControlKind; name: string } | undefined {
  const rest = key.slice(constants.CONTROL_PREFIX.length);
  const slash = rest.indexOf("/");
  const kind = Object.values(ControlKind).find((candidate) => candidate === rest.slice(0, slash));
  return kind && { kind, name: rest.slice(slash + 1) };
}

/** A team's document with what is known of its acceptance. */
export interface TeamRecord {
  readonly text: string;
  readonly version: number;
  readonly author: string;
  /** Names the write, so that its writer knows it again when the reply was lost. */
  readonly attempt: string;
  readonly acceptedAt: number;
}
