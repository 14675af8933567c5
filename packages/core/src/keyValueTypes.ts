/** Requests of the core to the key-value service, and their results. */

/** Which revision of a key a condition compares. */
export enum RevisionKind {
  Created = "CREATE",
  Modified = "MOD",
}

/** A condition of a transaction: the key has this revision; 0 means that it doesn't exist. */
export interface KeyCondition {
  readonly key: string;
  readonly kind: RevisionKind;
  readonly revision: number;
}

/** A value to put. */
export interface KeyPut {
  readonly key: string;
  readonly value: string;
  /** Whether the key is deleted when the daemon's lease ends. */
  readonly leased?: boolean;
}

/** A compare-and-swap transaction: the writes apply only if all conditions hold. */
export interface Transaction {
  readonly conditions: readonly KeyCondition[];
  readonly puts: readonly KeyPut[];
  /** Keys, or ranges of keys, to delete. */
  readonly deletes?: readonly { readonly key: string; readonly rangeEnd?: string }[];
}

/** A key with its value and revisions, as read. */
export interface KeyRecord {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** True when the key was deleted at `modRevision`. */
  readonly deleted?: boolean;
}

/** Outcome of a transaction. */
export enum TransactionOutcome {
  /** The conditions held and the writes were applied. */
  Applied = "applied",
  /** A condition did not hold; nothing was written. */
  Refused = "refused",
  /** The transaction never reached the service; nothing was written. */
  NotSent = "not-sent",
  /** The reply was lost: the writes may have been applied. Reading the keys back shows which. */
  Unknown = "unknown",
}

/** A transaction's outcome, with the revision at which it was applied. */
export interface TransactionResult {
  readonly outcome: TransactionOutcome;
  readonly revision: number;
}

/**
 * @param prefix - a prefix of keys
 * @returns the exclusive end of the range of keys with that prefix
 */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
