/** Requests that are suspected of crashing the endpoints that run them. */

/** How far a request is suspected. */
export enum Suspicion {
  None = "none",
  /** One endpoint crashed while it ran there, as did all other requests that ran there. */
  Suspected = "suspected",
  /** Two crashed: only one such request runs at a time in the fleet, which limits the damage and identifies the cause. */
  Isolated = "isolated",
  /** Three crashed, which is the limit that the users set: it is rejected. */
  Quarantined = "quarantined",
}

/** A crash of an endpoint while a request ran there. */
export interface EndpointCrash {
  /** Identifies one incarnation of one endpoint. */
  readonly life: number;
  readonly agoMs: number;
}

/** State of a suspect as daemons publish it; as ages, since their clocks differ. */
export interface SuspectRecord {
  readonly fingerprint: string;
  readonly ends: readonly EndpointCrash[];
  /** Time since a run of it succeeded, if one did. */
  readonly clearedAgoMs: number | undefined;
}

/** Dependencies of the table. */
export interface SuspectTableParts {
  /**
   * @param incarnation - an incarnation of an endpoint that is reported to have crashed
   * @param crashedAt - when, in milliseconds
   * @returns whether it is known to have answered after that
   */
  readonly isRefuted: (incarnation: number, crashedAt: number) => boolean;
  /** Called with each change of a suspicion. */
  readonly onChange: (fingerprint: string, suspicion: Suspicion, crashes: number) => void;
}

/** Numbers of crashes from which a request is isolated, and from which it is rejected. */
const ISOLATION_CRASHES = 2;
const QUARANTINE_CRASHES = 3;

/** Crashes that are kept of one suspect, the newest. */
const MAX_CRASHES = 8;

/** Suspects that are kept; the least suspected are removed first. */
const MAX_SUSPECTS = 1_024;

/** Time for which a suspect that is not rejected is kept after its last crash, in milliseconds. */
const RETENTION_MS = 600_000;

/** Time for which a request is rejected after the third crash, in milliseconds; it doubles with each further one. */
const REJECTION_MS = { first: 600_000, max: 14_400_000 };

/**
 * Time for which a change is part of each heartbeat, and interval at which isolated or rejected suspects are repeated,
 * in milliseconds.
 */
const PUBLISHED_MS = { change: 4_000, repeat: 1_000 };

/** Maximum number of suspects in one heartbeat. */
const MAX_PUBLISHED = 10;

/** Maximum number of suspects that a daemon receives when it starts. */
const MAX_SNAPSHOT = 64;

/** Validity of a peer's trial without another heartbeat, in milliseconds: several heartbeats may be lost. */
const PEER_TRIAL_MS = 1_000;

interface Suspect {
  /** Instants in milliseconds at which incarnations of endpoints crashed, oldest first. */
  readonly crashes: Map<number, number>;
  clearedAt: number;
  changedAt: number;
  publishedAt: number;
  suspicion: Suspicion;
}

/**
 * Counts the crashes of endpoints while a request ran there. Many requests run on an endpoint when it crashes, and
 * endpoints crash for other reasons too. So only crashes since the last successful run of the request count, and a call
 * that runs everywhere clears itself. Crashes that a rejected request explains don't isolate the requests that ran
 * beside it.
 */
export class SuspectTable {
  readonly #parts: SuspectTableParts;
  readonly #suspects = new Map<string, Suspect>();
  /** Suspects with so many crashes that they are rejected, or get a trial after the rejection. */
  readonly #quarantined = new Set<string>();
  readonly #peerTrials = new Map<string, number>();
  #trial: string | undefined;

  /** @param parts - dependencies */
  constructor(parts: SuspectTableParts) {
    this.#parts = parts;
  }

  /** @returns whether there are no suspects, so that no request needs to be looked up */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** @returns whether this daemon runs a suspect on trial */
  get isRunningTrial(): boolean {
    return this.#trial !== undefined;
  }

  /**
   * @param fingerprint - a request that was running when an endpoint crashed
   * @param incarnation - the endpoint's incarnation
   * @param crashedAt - when it crashed, in milliseconds
   * @param now - current instant in milliseconds
   */
  noteCrash(fingerprint: string, incarnation: number, crashedAt: number, now: number): void {
    const suspect = this.#getOrCreate(fingerprint, now);
    if (!addCrash(suspect, incarnation, crashedAt)) return;
    suspect.changedAt = now;
    this.#updateSuspicions(fingerprint, suspect, now);
  }

  /**
   * @param fingerprint - a request whose run has succeeded, or that an operator has cleared
   * @param now - current instant in milliseconds
   */
  noteSuccess(fingerprint: string, now: number): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || suspect.crashes.size === 0) return;
    clear(suspect, now);
    suspect.changedAt = now;
    this.#updateSuspicions(fingerprint, suspect, now);
  }

  /**
   * @param fingerprint - a request
   * @param now - current instant in milliseconds
   * @returns how far it is suspected
   */
  suspicionOf(fingerprint: string, now: number): Suspicion {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || isExpired(suspect, now)) return Suspicion.None;
    return this.#evaluate(fingerprint, suspect, now);
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
   * Begins the trial of a suspect. Only one runs at a time in the fleet: with two, each could be blamed for a crash that
   * the other one caused.
   *
   * @param fingerprint - an isolated request
   * @param now - current instant in milliseconds
   * @returns whether it may run now; it is on trial until {@link endTrial}
   */
  beginTrial(fingerprint: string, now: number): boolean {
    const isRunningElsewhere = [...this.#peerTrials.values()].some((until) => until > now);
    if (this.#trial !== undefined || isRunningElsewhere) return false;
    this.#trial = fingerprint;
    return true;
  }

  /** @param fingerprint - a request whose trial is over */
  endTrial(fingerprint: string): void {
    if (this.#trial === fingerprint) this.#trial = undefined;
  }

  /**
   * @param daemon - a peer
   * @param isRunningTrial - whether it runs a suspect on trial
   * @param now - current instant in milliseconds
   */
  notePeerTrial(daemon: string, isRunningTrial: boolean, now: number): void {
    if (isRunningTrial) this.#peerTrials.set(daemon, now + PEER_TRIAL_MS);
    else this.#peerTrials.delete(daemon);
  }

  /**
   * @param record - state of a suspect from a peer or the key-value service
   * @param now - current instant in milliseconds
   */
  merge(record: SuspectRecord, now: number): void {
    const known = this.#suspects.get(record.fingerprint);
    if (known === undefined && record.ends.length === 0) return;
    const suspect = this.#getOrCreate(record.fingerprint, now);
    let hasChanged = false;
    for (const { life: incarnation, agoMs } of record.ends.slice(0, MAX_CRASHES)) {
      const crashedAt = now - Math.max(0, agoMs);
      if (this.#parts.isRefuted(incarnation, crashedAt)) continue;
      hasChanged = addCrash(suspect, incarnation, crashedAt) || hasChanged;
    }
    // Published again, so that daemons that don't read the key-value service learn what an operator has cleared there.
    if (record.clearedAgoMs !== undefined && clear(suspect, now - Math.max(0, record.clearedAgoMs))) {
      suspect.changedAt = now;
      hasChanged = true;
    }
    if (hasChanged) this.#updateSuspicions(record.fingerprint, suspect, now);
    else if (suspect.crashes.size === 0 && suspect.clearedAt === -Infinity) this.#remove(record.fingerprint);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns records for the next heartbeat, the most suspected first: recent changes, and in rotation isolated or rejected suspects
   */
  recordsToPublish(now: number): SuspectRecord[] {
    const due = [...this.#suspects].filter(([, suspect]) => isDue(suspect, now));
    due.sort(([, left], [, right]) => right.crashes.size - left.crashes.size || left.publishedAt - right.publishedAt);
    return due.slice(0, MAX_PUBLISHED).map(([fingerprint, suspect]) => {
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
      .filter(([, suspect]) => suspect.crashes.size >= ISOLATION_CRASHES && !isExpired(suspect, now))
      .sort(([, left], [, right]) => right.crashes.size - left.crashes.size)
      .slice(0, MAX_SNAPSHOT)
      .map(([fingerprint, suspect]) => recordOf(fingerprint, suspect, now));
  }

  /**
   * @param fingerprint - a suspect
   * @param now - current instant in milliseconds
   * @returns its record, if it is known
   */
  recordOf(fingerprint: string, now: number): SuspectRecord | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? undefined : recordOf(fingerprint, suspect, now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns number of requests that are suspected to any degree
   */
  count(now: number): number {
    return [...this.#suspects.values()].filter((suspect) => suspect.crashes.size > 0 && !isExpired(suspect, now))
      .length;
  }

  #getOrCreate(fingerprint: string, now: number): Suspect {
    let suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      if (this.#suspects.size >= MAX_SUSPECTS) this.#evict(now);
      suspect = {
        crashes: new Map(),
        clearedAt: -Infinity,
        changedAt: -Infinity,
        publishedAt: -Infinity,
        suspicion: Suspicion.None,
      };
      this.#suspects.set(fingerprint, suspect);
    }
    return suspect;
  }

  /** Removes an eighth of the suspects at once, as finding the least suspected ones takes a pass over all. */
  #evict(now: number): void {
    for (const [fingerprint, suspect] of this.#suspects) if (isExpired(suspect, now)) this.#remove(fingerprint);
    const excess = this.#suspects.size - MAX_SUSPECTS * (7 / 8);
    if (excess <= 0) return;
    const leastSuspectedFirst = [...this.#suspects].sort(
      ([, left], [, right]) => left.crashes.size - right.crashes.size || lastCrashAt(left) - lastCrashAt(right),
    );
    for (const [fingerprint] of leastSuspectedFirst.slice(0, excess)) this.#remove(fingerprint);
  }

  #remove(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
    this.#quarantined.delete(fingerprint);
  }

  #evaluate(fingerprint: string, suspect: Suspect, now: number): Suspicion {
    if (suspect.crashes.size >= QUARANTINE_CRASHES) {
      return rejectedUntil(suspect) > now ? Suspicion.Quarantined : Suspicion.Isolated;
    }
    const unexplained = [...suspect.crashes.keys()].filter((each) => !this.#isExplained(each, fingerprint)).length;
    if (unexplained >= ISOLATION_CRASHES) return Suspicion.Isolated;
    return unexplained > 0 ? Suspicion.Suspected : Suspicion.None;
  }

  /** Whether another request ran on the crashed incarnation that has enough crashes to be rejected. */
  #isExplained(incarnation: number, fingerprint: string): boolean {
    for (const other of this.#quarantined) {
      if (other !== fingerprint && this.#suspects.get(other)?.crashes.has(incarnation) === true) return true;
    }
    return false;
  }

  /** Updates the suspicion of a changed suspect; of all suspects if it is or was one that explains crashes. */
  #updateSuspicions(fingerprint: string, suspect: Suspect, now: number): void {
    const wasQuarantined = this.#quarantined.has(fingerprint);
    const isQuarantined = suspect.crashes.size >= QUARANTINE_CRASHES;
    if (isQuarantined) this.#quarantined.add(fingerprint);
    else this.#quarantined.delete(fingerprint);
    if (!isQuarantined && !wasQuarantined) this.#updateSuspicion(fingerprint, suspect, now);
    else for (const [each, state] of this.#suspects) this.#updateSuspicion(each, state, now);
  }

  #updateSuspicion(fingerprint: string, suspect: Suspect, now: number): void {
    const suspicion = this.#evaluate(fingerprint, suspect, now);
    if (suspicion === suspect.suspicion) return;
    suspect.suspicion = suspicion;
    this.#parts.onChange(fingerprint, suspicion, suspect.crashes.size);
  }
}

/** @returns whether the crash is new and counts */
function addCrash(suspect: Suspect, incarnation: number, crashedAt: number): boolean {
  if (crashedAt <= suspect.clearedAt || suspect.crashes.has(incarnation)) return false;
  suspect.crashes.set(incarnation, crashedAt);
  const [oldest] = [...suspect.crashes].sort(([, left], [, right]) => left - right)[0] ?? [];
  if (suspect.crashes.size > MAX_CRASHES && oldest !== undefined) suspect.crashes.delete(oldest);
  return true;
}

/** @returns whether any crash was cleared */
function clear(suspect: Suspect, clearedAt: number): boolean {
  const before = suspect.crashes.size;
  suspect.clearedAt = Math.max(suspect.clearedAt, clearedAt);
  for (const [incarnation, at] of suspect.crashes) if (at <= suspect.clearedAt) suspect.crashes.delete(incarnation);
  return suspect.crashes.size < before;
}

function lastCrashAt(suspect: Suspect): number {
  return Math.max(-Infinity, ...suspect.crashes.values());
}

function rejectedUntil(suspect: Suspect): number {
  const furtherCrashes = suspect.crashes.size - QUARANTINE_CRASHES;
  if (furtherCrashes < 0) return -Infinity;
  return lastCrashAt(suspect) + Math.min(REJECTION_MS.max, REJECTION_MS.first * 2 ** furtherCrashes);
}

function isExpired(suspect: Suspect, now: number): boolean {
  const relevantUntil = Math.max(lastCrashAt(suspect), suspect.clearedAt, rejectedUntil(suspect));
  return now - relevantUntil > RETENTION_MS;
}

function isDue(suspect: Suspect, now: number): boolean {
  if (now - suspect.changedAt <= PUBLISHED_MS.change) return true;
  return (
    suspect.crashes.size >= ISOLATION_CRASHES &&
    !isExpired(suspect, now) &&
    now - suspect.publishedAt >= PUBLISHED_MS.repeat
  );
}

function recordOf(fingerprint: string, suspect: Suspect, now: number): SuspectRecord {
  const ends = [...suspect.crashes].map(([incarnation, crashedAt]) => ({
    life: incarnation,
    agoMs: Math.max(0, now - crashedAt),
  }));
  const clearedAgoMs = suspect.clearedAt === -Infinity ? undefined : Math.max(0, now - suspect.clearedAt);
  return { fingerprint, ends, clearedAgoMs };
}
