import * as common from "@camphorcourse/common";
import * as constants from "./constants.js";
import * as keyValue from "./keyValueTypes.js";

/** Durable record of the one attempt that may run the request of an idempotency key. */
export interface Claim {
  /** Team, service and the caller's Idempotency-Key. */
  readonly key: string;
  /** Digest of the request, so that the key can't be reused for another one. */
  readonly digest: string;
  readonly vm: string;
  readonly incarnation: string;
  readonly attempt: string;
}

/** Result of a claim. */
export enum ClaimVerdict {
  Granted = "granted",
  /** Another attempt holds the key. */
  Taken = "taken",
  /** The key-value service is unreachable; the request must not run. */
  Unavailable = "unavailable",
}

/** A claim with its verdict. */
export interface ClaimAnswer {
  readonly claim: Claim;
  readonly verdict: ClaimVerdict;
  /** The existing claim, if another attempt holds the key. */
  readonly standing?: Claim;
}

/** A read or write that {@link ClaimTable} asks for. */
export type ClaimCommand =
  | { readonly kind: "read"; readonly partition: number; readonly prefix: string }
  | { readonly kind: "write"; readonly transaction: keyValue.Transaction };

interface Batch {
  readonly writer: string;
  readonly writtenAt: number;
  readonly claims: readonly Claim[];
}

interface Head {
  readonly sequence: number;
}

interface Partition {
  loaded: boolean;
  reading: boolean;
  headRevision: number;
  sequence: number;
  readonly claimsByKey: Map<string, Claim>;
  readonly batches: { sequence: number; writtenAt: number; keys: string[] }[];
  waiting: Claim[];
  inFlight: Claim[];
}

/** Allowance for system clocks that differ between VMs. */
const CLOCK_SKEW_MS = 60_000;
const SEQUENCE_DIGITS = 12;

/**
 * One daemon's copy of the claims of all partitions. A partition is a log of
 * batches in the key-value service; a batch is appended by compare-and-swap on
 * the partition's head key. Any daemon may append; a partition has a preferred
 * daemon only so that many claims share a write.
 *
 * If two daemons append at the same time, one compare-and-swap fails; that
 * daemon rereads the log and sees the other's claims before it answers. So the
 * compare-and-swap alone prevents a key from being granted twice, whichever
 * daemon considers itself the preferred one.
 */
export class ClaimTable {
  readonly #writer: string;
  readonly #partitions = new Map<number, Partition>();
  #answers: ClaimAnswer[] = [];
  #partitionsInWrite: number[] = [];
  #lastWriteAt = Number.NEGATIVE_INFINITY;
  #lastWriteSystemTime = 0;

  /** @param writer - identifies this process as the writer of its batches */
  constructor(writer: string) {
    this.#writer = writer;
  }

  /**
   * @param key - a claim's key
   * @returns the partition it belongs to
   */
  static partitionOf(key: string): number {
    return common.hash32(key) % constants.CLAIM_PARTITIONS;
  }

  /**
   * Requests a claim; {@link takeAnswers} returns the answer.
   *
   * @param claim - the claim
   */
  request(claim: Claim): void {
    const partition = this.#partition(ClaimTable.partitionOf(claim.key));
    if (partition.loaded && this.#answerFromExisting(partition, claim)) return;
    partition.waiting.push(claim);
  }

  /** @returns whether claims are waiting to be written */
  get hasWaiting(): boolean {
    return [...this.#partitions.values()].some((partition) => partition.waiting.length > 0);
  }

  /** @returns the answers since the last call, and removes them */
  takeAnswers(): ClaimAnswer[] {
    const answers = this.#answers;
    this.#answers = [];
    return answers;
  }

  /**
   * @param now - monotonic time
   * @param systemTime - time of day, in milliseconds since the epoch
   * @returns the reads and the write (at most one) to carry out
   */
  nextCommands(now: number, systemTime: number): ClaimCommand[] {
    const commands: ClaimCommand[] = [];
    for (const [number, partition] of this.#partitions) {
      const wanted = partition.waiting.length > 0 || partition.inFlight.length > 0;
      if (partition.loaded || partition.reading || !wanted) continue;
      partition.reading = true;
      commands.push({ kind: "read", partition: number, prefix: partitionPrefix(number) });
    }
    const write = this.#nextWrite(now, systemTime);
    if (write) commands.push({ kind: "write", transaction: write });
    return commands;
  }

  /**
   * @param number - the partition that was read
   * @param records - its keys, or undefined if the key-value service was unreachable
   */
  onRead(number: number, records: readonly keyValue.KeyRecord[] | undefined): void {
    const partition = this.#partition(number);
    partition.reading = false;
    if (records === undefined) {
      this.#failPartition(partition);
      return;
    }
    load(partition, records, number);
    const unsettled = [...partition.inFlight, ...partition.waiting];
    partition.inFlight = [];
    partition.waiting = [];
    for (const claim of unsettled) this.request(claim);
  }

  /**
   * @param result - result of the write in progress
   */
  onWritten(result: keyValue.TransactionResult): void {
    const numbers = this.#partitionsInWrite;
    this.#partitionsInWrite = [];
    for (const number of numbers) this.#settle(this.#partition(number), result);
  }

  #settle(partition: Partition, result: keyValue.TransactionResult): void {
    if (result.outcome === keyValue.TransactionOutcome.NotSent) {
      this.#failPartition(partition);
      return;
    }
    if (result.outcome !== keyValue.TransactionOutcome.Applied) {
      // Refused: another daemon appended. Unknown: the reply was lost and the
      // batch may have been written. In both cases the log must be read again
      // to find out which attempt holds which key.
      partition.loaded = false;
      return;
    }
    partition.sequence++;
    partition.headRevision = result.revision;
    addBatch(partition, partition.sequence, {
      writer: this.#writer,
      writtenAt: this.#lastWriteSystemTime,
      claims: partition.inFlight,
    });
    for (const claim of partition.inFlight) this.#answers.push({ claim, verdict: ClaimVerdict.Granted });
    partition.inFlight = [];
    const waiting = partition.waiting;
    partition.waiting = [];
    for (const claim of waiting) this.request(claim);
  }

  #nextWrite(now: number, systemTime: number): keyValue.Transaction | undefined {
    if (this.#partitionsInWrite.length > 0) return undefined;
    if (now - this.#lastWriteAt < constants.CLAIM_WRITE_INTERVAL_MS) return undefined;
    const conditions: keyValue.KeyCondition[] = [];
    const puts: keyValue.KeyPut[] = [];
    const deletes: { key: string; rangeEnd: string }[] = [];
    for (const [number, partition] of this.#partitions) {
      if (!partition.loaded || partition.waiting.length === 0) continue;
      this.#fillBatch(partition);
      if (partition.inFlight.length === 0) continue;
      this.#partitionsInWrite.push(number);
      const head = `${partitionPrefix(number)}head`;
      conditions.push({ key: head, kind: keyValue.RevisionKind.Modified, revision: partition.headRevision });
      puts.push({ key: head, value: JSON.stringify({ sequence: partition.sequence + 1 } satisfies Head) });
      const batch: Batch = { writer: this.#writer, writtenAt: systemTime, claims: partition.inFlight };
      puts.push({ key: batchKey(number, partition.sequence + 1), value: JSON.stringify(batch) });
      const expired = removeExpired(partition, systemTime);
      if (expired > 0) deletes.push({ key: batchKey(number, 0), rangeEnd: batchKey(number, expired + 1) });
    }
    if (puts.length === 0) return undefined;
    this.#lastWriteAt = now;
    this.#lastWriteSystemTime = systemTime;
    return { conditions, puts, deletes };
  }

  /** Moves waiting claims into the batch. Of two claims of one key, the second waits for the result of the first. */
  #fillBatch(partition: Partition): void {
    const keys = new Set<string>();
    const deferred: Claim[] = [];
    for (const claim of partition.waiting) {
      if (keys.has(claim.key) || partition.inFlight.length >= constants.CLAIM_BATCH_LIMIT) {
        deferred.push(claim);
        continue;
      }
      keys.add(claim.key);
      partition.inFlight.push(claim);
    }
    partition.waiting = deferred;
  }

  #answerFromExisting(partition: Partition, claim: Claim): boolean {
    const existing = partition.claimsByKey.get(claim.key);
    if (!existing) return false;
    const own = existing.attempt === claim.attempt && existing.incarnation === claim.incarnation;
    this.#answers.push(
      own ? { claim, verdict: ClaimVerdict.Granted } : { claim, verdict: ClaimVerdict.Taken, standing: existing },
    );
    return true;
  }

  #failPartition(partition: Partition): void {
    for (const claim of [...partition.inFlight, ...partition.waiting]) {
      this.#answers.push({ claim, verdict: ClaimVerdict.Unavailable });
    }
    partition.inFlight = [];
    partition.waiting = [];
    partition.loaded = false;
  }

  #partition(number: number): Partition {
    const present = this.#partitions.get(number);
    if (present) return present;
    const created: Partition = {
      loaded: false,
      reading: false,
      headRevision: 0,
      sequence: 0,
      claimsByKey: new Map(),
      batches: [],
      waiting: [],
      inFlight: [],
    };
    this.#partitions.set(number, created);
    return created;
  }
}

function partitionPrefix(number: number): string {
  return `${constants.CLAIMS_PREFIX}${number}/`;
}

function batchKey(number: number, sequence: number): string {
  return `${partitionPrefix(number)}batch/${String(sequence).padStart(SEQUENCE_DIGITS, "0")}`;
}

function load(partition: Partition, records: readonly keyValue.KeyRecord[], number: number): void {
  const headKey = `${partitionPrefix(number)}head`;
  const head = records.find((record) => record.key === headKey);
  partition.claimsByKey.clear();
  partition.batches.length = 0;
  partition.headRevision = head?.modRevision ?? 0;
  partition.sequence = head ? (JSON.parse(head.value) as Head).sequence : 0;
  for (const record of records) {
    if (record.key === headKey) continue;
    addBatch(partition, Number(record.key.slice(-SEQUENCE_DIGITS)), JSON.parse(record.value) as Batch);
  }
  partition.loaded = true;
}

function addBatch(partition: Partition, sequence: number, batch: Batch): void {
  for (const claim of batch.claims) partition.claimsByKey.set(claim.key, claim);
  const keys = batch.claims.map((claim) => claim.key);
  partition.batches.push({ sequence, writtenAt: batch.writtenAt, keys });
}

/** Removes batches older than the deduplication window; returns the last sequence removed, 0 if none. */
function removeExpired(partition: Partition, systemTime: number): number {
  const expiredBefore = systemTime - constants.CLAIM_WINDOW_MS - CLOCK_SKEW_MS;
  let lastSequence = 0;
  while (partition.batches[0] && partition.batches[0].writtenAt < expiredBefore) {
    const batch = partition.batches.shift();
    if (!batch) break;
    for (const key of batch.keys) partition.claimsByKey.delete(key);
    lastSequence = batch.sequence;
  }
  return lastSequence;
}
