import * as common from "@camphorcourse/common";
import * as constants from "./constants.js";
import * as keyValue from "./keyValueTypes.js";

/** The durable statement that one attempt may run the request of an idempotency key. */
export interface Claim {
  /** Team, service and the caller's Idempotency-Key. */
  readonly key: string;
  /** Digest of the request, so that the key can't be used for another one. */
  readonly digest: string;
  readonly vm: string;
  readonly incarnation: string;
  readonly attempt: string;
}

/** What became of a claim. */
export enum ClaimVerdict {
  Granted = "granted",
  /** Another attempt has the key. */
  Taken = "taken",
  /** The key-value service can't be asked now; nothing may be run. */
  Unavailable = "unavailable",
}

/** A claim with its verdict. */
export interface ClaimAnswer {
  readonly claim: Claim;
  readonly verdict: ClaimVerdict;
  /** The claim that stands, when another has the key. */
  readonly standing?: Claim;
}

/** What the book wants done next. */
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
  readonly standing: Map<string, Claim>;
  readonly batches: { sequence: number; writtenAt: number; keys: string[] }[];
  waiting: Claim[];
  inFlight: Claim[];
}

/** Allowance for calendar clocks that differ between VMs. */
const CLOCK_SKEW_MS = 60_000;
const SEQUENCE_DIGITS = 12;

/**
 * The claims of all partitions as one daemon sees them. A partition is a log
 * of batches in the key-value service; a batch is appended by compare-and-swap
 * on the partition's head. Any daemon may append; the partition's preferred
 * daemon merely lets many claims share a write.
 *
 * Two daemons that append at once: one swap fails, its daemon reads the log
 * again and finds the other's claims before it answers. So the swap alone
 * keeps a key from being granted twice, whoever believes to own a partition.
 */
export class ClaimTable {
  readonly #writer: string;
  readonly #partitions = new Map<number, Partition>();
  #answers: ClaimAnswer[] = [];
  #writing: number[] = [];
  #lastWriteAt = Number.NEGATIVE_INFINITY;
  #lastWriteWall = 0;

  /** @param writer - names this process, so that it knows its own batches */
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
   * Asks for a claim; the answer comes with {@link takeAnswers}.
   *
   * @param claim - the claim
   */
  request(claim: Claim): void {
    const partition = this.#partition(ClaimTable.partitionOf(claim.key));
    if (partition.loaded && this.#answerFromStanding(partition, claim)) return;
    partition.waiting.push(claim);
  }

  /** @returns whether claims wait to be written */
  get hasWaiting(): boolean {
    return [...this.#partitions.values()].some((partition) => partition.waiting.length > 0);
  }

  /** @returns the answers since the last call */
  takeAnswers(): ClaimAnswer[] {
    const answers = this.#answers;
    this.#answers = [];
    return answers;
  }

  /**
   * @param now - monotonic time
   * @param wall - calendar time
   * @returns reads and at most one write to carry out
   */
  nextCommands(now: number, wall: number): ClaimCommand[] {
    const commands: ClaimCommand[] = [];
    for (const [number, partition] of this.#partitions) {
      const wanted = partition.waiting.length > 0 || partition.inFlight.length > 0;
      if (partition.loaded || partition.reading || !wanted) continue;
      partition.reading = true;
      commands.push({ kind: "read", partition: number, prefix: partitionPrefix(number) });
    }
    const write = this.#nextWrite(now, wall);
    if (write) commands.push({ kind: "write", transaction: write });
    return commands;
  }

  /**
   * @param number - the partition that was read
   * @param records - its keys, or undefined if the service could not be asked
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
   * @param result - how the write under way ended
   */
  onWritten(result: keyValue.TransactionResult): void {
    const numbers = this.#writing;
    this.#writing = [];
    for (const number of numbers) this.#settle(this.#partition(number), result);
  }

  #settle(partition: Partition, result: keyValue.TransactionResult): void {
    if (result.outcome === keyValue.TransactionOutcome.NotSent) {
      this.#failPartition(partition);
      return;
    }
    if (result.outcome !== keyValue.TransactionOutcome.Applied) {
      // Refused: another daemon appended. Unknown: the reply was lost and the
      // batch may stand. Either way only the log itself can tell who has which key.
      partition.loaded = false;
      return;
    }
    partition.sequence++;
    partition.headRevision = result.revision;
    addBatch(partition, partition.sequence, {
      writer: this.#writer,
      writtenAt: this.#lastWriteWall,
      claims: partition.inFlight,
    });
    for (const claim of partition.inFlight) this.#answers.push({ claim, verdict: ClaimVerdict.Granted });
    partition.inFlight = [];
    const late = partition.waiting;
    partition.waiting = [];
    for (const claim of late) this.request(claim);
  }

  #nextWrite(now: number, wall: number): keyValue.Transaction | undefined {
    if (this.#writing.length > 0) return undefined;
    if (now - this.#lastWriteAt < constants.CLAIM_WRITE_INTERVAL_MS) return undefined;
    const conditions: keyValue.KeyCondition[] = [];
    const puts: keyValue.KeyPut[] = [];
    const deletes: { key: string; rangeEnd: string }[] = [];
    for (const [number, partition] of this.#partitions) {
      if (!partition.loaded || partition.waiting.length === 0) continue;
      this.#takeBatch(partition);
      if (partition.inFlight.length === 0) continue;
      this.#writing.push(number);
      const head = `${partitionPrefix(number)}head`;
      conditions.push({ key: head, kind: keyValue.RevisionKind.Modified, revision: partition.headRevision });
      puts.push({ key: head, value: JSON.stringify({ sequence: partition.sequence + 1 } satisfies Head) });
      const batch: Batch = { writer: this.#writer, writtenAt: wall, claims: partition.inFlight };
      puts.push({ key: batchKey(number, partition.sequence + 1), value: JSON.stringify(batch) });
      const expired = forgetExpired(partition, wall);
      if (expired > 0) deletes.push({ key: batchKey(number, 0), rangeEnd: batchKey(number, expired + 1) });
    }
    if (puts.length === 0) return undefined;
    this.#lastWriteAt = now;
    this.#lastWriteWall = wall;
    return { conditions, puts, deletes };
  }

  /** Two claims of one key in the same batch: the first has it, the second waits for the outcome. */
  #takeBatch(partition: Partition): void {
    const keys = new Set<string>();
    const later: Claim[] = [];
    for (const claim of partition.waiting) {
      if (keys.has(claim.key) || partition.inFlight.length >= constants.CLAIM_BATCH_LIMIT) {
        later.push(claim);
        continue;
      }
      keys.add(claim.key);
      partition.inFlight.push(claim);
    }
    partition.waiting = later;
  }

  #answerFromStanding(partition: Partition, claim: Claim): boolean {
    const standing = partition.standing.get(claim.key);
    if (!standing) return false;
    const own = standing.attempt === claim.attempt && standing.incarnation === claim.incarnation;
    this.#answers.push(
      own ? { claim, verdict: ClaimVerdict.Granted } : { claim, verdict: ClaimVerdict.Taken, standing },
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
    const fresh: Partition = {
      loaded: false,
      reading: false,
      headRevision: 0,
      sequence: 0,
      standing: new Map(),
      batches: [],
      waiting: [],
      inFlight: [],
    };
    this.#partitions.set(number, fresh);
    return fresh;
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
  partition.standing.clear();
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
  for (const claim of batch.claims) partition.standing.set(claim.key, claim);
  const keys = batch.claims.map((claim) => claim.key);
  partition.batches.push({ sequence, writtenAt: batch.writtenAt, keys });
}

/** Drops batches older than the window and returns the last sequence dropped, 0 if none. */
function forgetExpired(partition: Partition, wall: number): number {
  const horizon = wall - constants.CLAIM_WINDOW_MS - CLOCK_SKEW_MS;
  let last = 0;
  while (partition.batches[0] && partition.batches[0].writtenAt < horizon) {
    const batch = partition.batches.shift();
    if (!batch) break;
    for (const key of batch.keys) partition.standing.delete(key);
    last = batch.sequence;
  }
  return last;
}
