/** What the core asks of the key-value service, and what it gets back. */

/** Which revision of a key a condition is about. */
export enum RevisionKind {
  Created = "CREATE",
  Modified = "MOD",
}

/** A condition: the key has this revision; 0 means that it does not exist. */
export interface KeyCondition {
  readonly key: string;
  readonly kind: RevisionKind;
  readonly revision: number;
}

/** A value to put. */
export interface KeyPut {
  readonly key: string;
  readonly value: string;
  /** Whether it ends with the daemon's lease. */
  readonly leased?: boolean;
}

/** A transaction of compare-and-swap. */
export interface Transaction {
  readonly conditions: readonly KeyCondition[];
  readonly puts: readonly KeyPut[];
  /** Keys, or ranges of keys, to delete. */
  readonly deletes?: readonly { readonly key: string; readonly rangeEnd?: string }[];
}

/** A key as it was read. */
export interface KeyRecord {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** True when the key was deleted at `modRevision`. */
  readonly deleted?: boolean;
}

/** How a transaction ended. */
export enum TransactionOutcome {
  /** The conditions held and the writes took effect. */
  Applied = "applied",
  /** A condition did not hold; nothing was written. */
  Refused = "refused",
  /** It never reached the service; nothing was written. */
  NotSent = "not-sent",
  /** The reply was lost: it may have taken effect. Reading back settles it. */
  Unknown = "unknown",
}

/** A transaction's outcome, with the revision at which it was applied. */
export interface TransactionResult {
  readonly outcome: TransactionOutcome;
  readonly revision: number;
}

/**
 * @param prefix - a prefix of keys
 * @returns the end of its range, not included
 */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
