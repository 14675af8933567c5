/** Which requests are suspected of ending the endpoints that run them. */

/** How far a request is suspected. */
export enum Suspicion {
  None = "none",
  /** An endpoint ended under it, as under all others that ran there. */
  Suspected = "suspected",
  /** Two ended: it runs alone in the fleet, where it can hurt least and tells most. */
  Isolated = "isolated",
  /** Three ended, which is what the users allow: it is rejected. */
  Quarantined = "quarantined",
}

/** An endpoint that ended while a request ran there. */
export interface FatalEnd {
  /** Names one life of one endpoint. */
  readonly life: number;
  readonly agoMs: number;
}

/** State of a suspect as daemons publish it; in ages, since their clocks differ. */
export interface SuspectRecord {
  readonly fingerprint: string;
  readonly ends: readonly FatalEnd[];
  /** Time since a run of it ended well, if one did. */
  readonly clearedAgoMs: number | undefined;
}

/** What the table needs. */
export interface SuspectTableParts {
  /**
   * @param life - a life of an endpoint that is reported to have ended
   * @param endedAt - when, in milliseconds
   * @returns whether it is known to have gone on after that
   */
  readonly isRefuted: (life: number, endedAt: number) => boolean;
  /** Takes each change of a suspicion. */
  readonly onChange: (fingerprint: string, suspicion: Suspicion, ends: number) => void;
}

/** Ends from which a request is isolated, and from which it is rejected. */
const ISOLATED_FROM = 2;
const QUARANTINED_FROM = 3;

/** Ends of one suspect that are kept, the newest. */
const MOST_ENDS = 8;

/** Suspects that are kept; the least suspected go first. */
const MOST_SUSPECTS = 1_024;

/** Time for which a suspect that is not rejected is kept after the last end, in milliseconds. */
const KEPT_MS = 600_000;

/** Time for which a request is rejected after the third end; it doubles with each further one, in milliseconds. */
const TERM_MS = { first: 600_000, longest: 14_400_000 };

/** Time for which a change is in each heartbeat, and interval at which what is isolated or rejected is repeated. */
const PUBLISHED_MS = { change: 4_000, again: 1_000 };

/** Suspects in one heartbeat. */
const MOST_PUBLISHED = 10;

/** Suspects that a daemon receives when it starts. */
const MOST_LASTING = 64;

/** Validity of a peer's trial without a further heartbeat, in milliseconds: several may be lost. */
const PEER_TRIAL_MS = 1_000;

interface Suspect {
  /** Instants at which lives of endpoints ended, in milliseconds, oldest first. */
  readonly ends: Map<number, number>;
  clearedAt: number;
  changedAt: number;
  publishedAt: number;
  suspicion: Suspicion;
}

/**
 * Many requests run on an endpoint when it ends, and endpoints end for other reasons too. Counted are the ends under one
 * request since a run of it last ended well, so that a call that runs everywhere clears itself. Ends that a rejected
 * request accounts for don't isolate the others that ran beside it.
 */
export class SuspectTable {
  readonly #parts: SuspectTableParts;
  readonly #suspects = new Map<string, Suspect>();
  /** Those with so many ends that they are rejected, or are tried after their term. */
  readonly #condemned = new Set<string>();
  readonly #peerTrials = new Map<string, number>();
  #trial: string | undefined;

  /** @param parts - what it needs */
  constructor(parts: SuspectTableParts) {
    this.#parts = parts;
  }

  /** @returns whether nothing is suspected, so that no request needs to be looked up */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** @returns whether this daemon runs a suspect on trial */
  get isRunningTrial(): boolean {
    return this.#trial !== undefined;
  }

  /**
   * @param fingerprint - a request that was running when an endpoint ended
   * @param life - the endpoint's life
   * @param endedAt - when it ended, in milliseconds
   * @param now - current instant in milliseconds
   */
  noteCrash(fingerprint: string, life: number, endedAt: number, now: number): void {
    const suspect = this.#suspect(fingerprint, now);
    if (!addEnd(suspect, life, endedAt)) return;
    suspect.changedAt = now;
    this.#review(fingerprint, suspect, now);
  }

  /**
   * @param fingerprint - a request whose run has ended well, or that an operator lifts
   * @param now - current instant in milliseconds
   */
  noteSuccess(fingerprint: string, now: number): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || suspect.ends.size === 0) return;
    clear(suspect, now);
    suspect.changedAt = now;
    this.#review(fingerprint, suspect, now);
  }

  /**
   * @param fingerprint - a request
   * @param now - current instant in milliseconds
   * @returns how far it is suspected
   */
  suspicionOf(fingerprint: string, now: number): Suspicion {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || isFaded(suspect, now)) return Suspicion.None;
    return this.#judge(fingerprint, suspect, now);
  }

  /**
   * @param fingerprint - a request
   * @param now - current instant in milliseconds
   * @returns time for which it is still rejected, in milliseconds
   */
  rejectedForMs(fingerprint: string, now: number): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? 0 : Math.max(0, rejectedUntil(suspect) - now);
  }

  /**
   * One suspect runs at a time in the fleet: two could account for each other's end.
   *
   * @param fingerprint - an isolated request
   * @param now - current instant in milliseconds
   * @returns whether it may run now; it is on trial until {@link endTrial}
   */
  beginTrial(fingerprint: string, now: number): boolean {
    const isElsewhere = [...this.#peerTrials.values()].some((until) => until > now);
    if (this.#trial !== undefined || isElsewhere) return false;
    this.#trial = fingerprint;
    return true;
  }

  /** @param fingerprint - a request whose trial is over */
  endTrial(fingerprint: string): void {
    if (this.#trial === fingerprint) this.#trial = undefined;
  }

  /**
   * @param daemon - a peer
   * @param isTrying - whether it runs a suspect on trial
   * @param now - current instant in milliseconds
   */
  notePeerTrial(daemon: string, isTrying: boolean, now: number): void {
    if (isTrying) this.#peerTrials.set(daemon, now + PEER_TRIAL_MS);
    else this.#peerTrials.delete(daemon);
  }

  /**
   * @param record - what a peer or the key-value service holds on a suspect
   * @param now - current instant in milliseconds
   */
  merge(record: SuspectRecord, now: number): void {
    const known = this.#suspects.get(record.fingerprint);
    if (known === undefined && record.ends.length === 0) return;
    const suspect = this.#suspect(record.fingerprint, now);
    let hasChanged = false;
    for (const { life, agoMs } of record.ends.slice(0, MOST_ENDS)) {
      const endedAt = now - Math.max(0, agoMs);
      if (this.#parts.isRefuted(life, endedAt)) continue;
      hasChanged = addEnd(suspect, life, endedAt) || hasChanged;
    }
    // Published again: daemons that don't read the key-value service learn so what an operator has lifted there.
    if (record.clearedAgoMs !== undefined && clear(suspect, now - Math.max(0, record.clearedAgoMs))) {
      suspect.changedAt = now;
      hasChanged = true;
    }
    if (hasChanged) this.#review(record.fingerprint, suspect, now);
    else if (suspect.ends.size === 0 && suspect.clearedAt === -Infinity) this.#drop(record.fingerprint);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns records for the next heartbeat: recent changes, the most suspected first, and by turns what is isolated or rejected
   */
  recordsToPublish(now: number): SuspectRecord[] {
    const due = [...this.#suspects].filter(([, suspect]) => isDue(suspect, now));
    due.sort(([, left], [, right]) => right.ends.size - left.ends.size || left.publishedAt - right.publishedAt);
    return due.slice(0, MOST_PUBLISHED).map(([fingerprint, suspect]) => {
      suspect.publishedAt = now;
      return recordOf(fingerprint, suspect, now);
    });
  }

  /**
   * @param now - current instant in milliseconds
   * @returns records that a daemon needs when it starts
   */
  snapshotRecords(now: number): SuspectRecord[] {
    return [...this.#suspects]
      .filter(([, suspect]) => suspect.ends.size >= ISOLATED_FROM && !isFaded(suspect, now))
      .sort(([, left], [, right]) => right.ends.size - left.ends.size)
      .slice(0, MOST_LASTING)
      .map(([fingerprint, suspect]) => recordOf(fingerprint, suspect, now));
  }

  /**
   * @param fingerprint - a suspect
   * @param now - current instant in milliseconds
   * @returns what is known of it, if anything is
   */
  recordOf(fingerprint: string, now: number): SuspectRecord | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? undefined : recordOf(fingerprint, suspect, now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns requests that are suspected in any way
   */
  count(now: number): number {
    return [...this.#suspects.values()].filter((suspect) => suspect.ends.size > 0 && !isFaded(suspect, now)).length;
  }

  #suspect(fingerprint: string, now: number): Suspect {
    let suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      if (this.#suspects.size >= MOST_SUSPECTS) this.#dropLeast(now);
      suspect = {
        ends: new Map(),
        clearedAt: -Infinity,
        changedAt: -Infinity,
        publishedAt: -Infinity,
        suspicion: Suspicion.None,
      };
      this.#suspects.set(fingerprint, suspect);
    }
    return suspect;
  }

  /** An eighth at once, as finding them takes a look at all. */
  #dropLeast(now: number): void {
    for (const [fingerprint, suspect] of this.#suspects) if (isFaded(suspect, now)) this.#drop(fingerprint);
    const excess = this.#suspects.size - MOST_SUSPECTS * (7 / 8);
    if (excess <= 0) return;
    const byRank = [...this.#suspects].sort(
      ([, left], [, right]) => left.ends.size - right.ends.size || lastEnd(left) - lastEnd(right),
    );
    for (const [fingerprint] of byRank.slice(0, excess)) this.#drop(fingerprint);
  }

  #drop(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
    this.#condemned.delete(fingerprint);
  }

  #judge(fingerprint: string, suspect: Suspect, now: number): Suspicion {
    if (suspect.ends.size >= QUARANTINED_FROM) {
      return rejectedUntil(suspect) > now ? Suspicion.Quarantined : Suspicion.Isolated;
    }
    const unexplained = [...suspect.ends.keys()].filter((life) => !this.#isExplained(life, fingerprint)).length;
    if (unexplained >= ISOLATED_FROM) return Suspicion.Isolated;
    return unexplained > 0 ? Suspicion.Suspected : Suspicion.None;
  }

  /** Whether another request that is rejected ran there too. */
  #isExplained(life: number, fingerprint: string): boolean {
    for (const other of this.#condemned) {
      if (other !== fingerprint && this.#suspects.get(other)?.ends.has(life) === true) return true;
    }
    return false;
  }

  #review(fingerprint: string, suspect: Suspect, now: number): void {
    const wasCondemned = this.#condemned.has(fingerprint);
    const isCondemned = suspect.ends.size >= QUARANTINED_FROM;
    if (isCondemned) this.#condemned.add(fingerprint);
    else this.#condemned.delete(fingerprint);
    if (!isCondemned && !wasCondemned) this.#judgeAnew(fingerprint, suspect, now);
    else for (const [each, its] of this.#suspects) this.#judgeAnew(each, its, now);
  }

  #judgeAnew(fingerprint: string, suspect: Suspect, now: number): void {
    const suspicion = this.#judge(fingerprint, suspect, now);
    if (suspicion === suspect.suspicion) return;
    suspect.suspicion = suspicion;
    this.#parts.onChange(fingerprint, suspicion, suspect.ends.size);
  }
}

/** @returns whether it was not known */
function addEnd(suspect: Suspect, life: number, endedAt: number): boolean {
  if (endedAt <= suspect.clearedAt || suspect.ends.has(life)) return false;
  suspect.ends.set(life, endedAt);
  const [oldest] = [...suspect.ends].sort(([, left], [, right]) => left - right)[0] ?? [];
  if (suspect.ends.size > MOST_ENDS && oldest !== undefined) suspect.ends.delete(oldest);
  return true;
}

/** @returns whether anything was cleared */
function clear(suspect: Suspect, clearedAt: number): boolean {
  const before = suspect.ends.size;
  suspect.clearedAt = Math.max(suspect.clearedAt, clearedAt);
  for (const [life, endedAt] of suspect.ends) if (endedAt <= suspect.clearedAt) suspect.ends.delete(life);
  return suspect.ends.size < before;
}

function lastEnd(suspect: Suspect): number {
  return Math.max(-Infinity, ...suspect.ends.values());
}

function rejectedUntil(suspect: Suspect): number {
  const beyond = suspect.ends.size - QUARANTINED_FROM;
  if (beyond < 0) return -Infinity;
  return lastEnd(suspect) + Math.min(TERM_MS.longest, TERM_MS.first * 2 ** beyond);
}

function isFaded(suspect: Suspect, now: number): boolean {
  const usedAt = Math.max(lastEnd(suspect), suspect.clearedAt, rejectedUntil(suspect));
  return now - usedAt > KEPT_MS;
}

function isDue(suspect: Suspect, now: number): boolean {
  if (now - suspect.changedAt <= PUBLISHED_MS.change) return true;
  return (
    suspect.ends.size >= ISOLATED_FROM && !isFaded(suspect, now) && now - suspect.publishedAt >= PUBLISHED_MS.again
  );
}

function recordOf(fingerprint: string, suspect: Suspect, now: number): SuspectRecord {
  const ends = [...suspect.ends].map(([life, endedAt]) => ({ life, agoMs: Math.max(0, now - endedAt) }));
  const clearedAgoMs = suspect.clearedAt === -Infinity ? undefined : Math.max(0, now - suspect.clearedAt);
  return { fingerprint, ends, clearedAgoMs };
}
