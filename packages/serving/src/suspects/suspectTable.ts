/** Requests and prompt parts that are suspected of crashing the endpoints that run them. */
import * as convictions from "./partConviction.js";
import * as successMemories from "./successMemory.js";
import * as suspects from "./suspect.js";
import * as suspicions from "./suspicion.js";

/** Dependencies of the table. */
export interface SuspectTableParts {
  /**
   * @param incarnation - an incarnation of an endpoint that is reported to have crashed
   * @param crashedAt - when, in milliseconds
   * @returns whether it is known to have answered after that
   */
  readonly isRefuted: (incarnation: number, crashedAt: number) => boolean;
  /** Called with each change of a suspicion. */
  readonly onChange: (suspect: suspicions.SuspectName, suspicion: suspicions.Suspicion, crashes: number) => void;
}

/** Suspects that are kept; the least suspected are removed first. */
const MAX_SUSPECTS = 2_048;

/**
 * Time for which a change is part of each heartbeat, and interval at which isolated or rejected suspects are repeated,
 * in milliseconds.
 */
const PUBLISHED_MS = { change: 4_000, repeat: 1_000 };

/** Maximum number of suspects in one heartbeat. */
const MAX_PUBLISHED = 24;

/** Maximum number of suspects that a daemon receives when it starts. */
const MAX_SNAPSHOT = 64;

/** Validity of a peer's trial without another heartbeat, in milliseconds: several heartbeats may be lost. */
const PEER_TRIAL_MS = 1_000;

const NOBODY: ReadonlySet<string> = new Set();

/**
 * Counts the crashes of endpoints while a request ran there. Many requests run on an endpoint when it crashes, and
 * endpoints crash for other reasons too. So only crashes since the last successful run of the request count, and a call
 * that runs everywhere clears itself. Crashes that a rejected suspect explains don't isolate the requests that ran
 * beside it. Which part of a prompt is rejected is decided in {@link convictions.isConvicted}.
 */
export class SuspectTable {
  readonly #parts: SuspectTableParts;
  readonly #suspects = new Map<string, suspects.Suspect>();
  /** Fingerprints of the suspects that ran on each incarnation that crashed. */
  readonly #byIncarnation = new Map<number, Set<string>>();
  readonly #successes = new successMemories.SuccessMemory();
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
   * @param fingerprint - a request that was running when an endpoint crashed, or a part of its prompt
   * @param incarnation - the endpoint's incarnation
   * @param crashedAt - when it crashed, in milliseconds
   * @param now - current instant in milliseconds
   * @param scope - what the fingerprint stands for
   */
  noteCrash(
    fingerprint: string,
    incarnation: number,
    crashedAt: number,
    now: number,
    scope = suspicions.SuspectScope.Request,
  ): void {
    const suspect = this.#getOrCreate(fingerprint, scope, now);
    if (!this.#addCrash(fingerprint, suspect, incarnation, crashedAt)) return;
    suspect.changedAt = now;
    this.#updateSuspicions(fingerprint, suspect, now);
  }

  /**
   * @param fingerprint - a request whose run has succeeded, or a part of its prompt
   * @param now - current instant in milliseconds
   * @param scope - what the fingerprint stands for
   */
  noteSuccess(fingerprint: string, now: number, scope = suspicions.SuspectScope.Request): void {
    if (convictions.isPart(scope)) this.#successes.note(fingerprint, now);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || suspect.crashes.size === 0) return;
    this.#clear(fingerprint, suspect, now);
    suspect.changedAt = now;
    this.#updateSuspicions(fingerprint, suspect, now);
  }

  /**
   * @param fingerprint - a request, or a part of its prompt
   * @param now - current instant in milliseconds
   * @returns how far it is suspected
   */
  suspicionOf(fingerprint: string, now: number): suspicions.Suspicion {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || suspects.isExpired(suspect, now)) return suspicions.Suspicion.None;
    return this.#evaluate(fingerprint, suspect, now);
  }

  /**
   * @param fingerprints - what a request names
   * @param now - current instant in milliseconds
   * @returns the rejected or isolated suspect that concerns the request: itself, or a part of its prompt together with
   *   all parts that the crashes don't tell from it
   */
  findHeld(fingerprints: readonly string[], now: number): string | undefined {
    return fingerprints.find((fingerprint) => {
      const suspicion = this.suspicionOf(fingerprint, now);
      if (suspicion !== suspicions.Suspicion.Quarantined && suspicion !== suspicions.Suspicion.Isolated) return false;
      if (!convictions.isPart(this.#suspects.get(fingerprint)?.scope ?? suspicions.SuspectScope.Request)) return true;
      const find = (incarnation: number): ReadonlySet<string> => this.#ranOn(incarnation);
      const others = convictions.indistinguishableParts(fingerprint, this.#suspects, find);
      return others.every((other) => fingerprints.includes(other));
    });
  }

  /**
   * @param fingerprint - a request, or a part of its prompt
   * @param now - current instant in milliseconds
   * @returns whether each further run of it risks an endpoint: one has crashed under it, and of a part no run is known to
   *   have succeeded ever
   */
  isRisky(fingerprint: string, now: number): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || this.suspicionOf(fingerprint, now) === suspicions.Suspicion.None) return false;
    return !convictions.isPart(suspect.scope) || !suspects.hasRunWell(suspect);
  }

  /**
   * @param fingerprint - a request
   * @param now - current instant in milliseconds
   * @returns time for which it is still rejected, in milliseconds
   */
  rejectedForMs(fingerprint: string, now: number): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? 0 : Math.max(0, suspects.rejectedUntil(suspect) - now);
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
  merge(record: suspicions.SuspectRecord, now: number): void {
    const { fingerprint, scope } = record;
    const known = this.#suspects.get(fingerprint);
    if (known === undefined && record.ends.length === 0) return;
    const suspect = this.#getOrCreate(fingerprint, scope, now);
    let hasChanged = false;
    for (const { life: incarnation, agoMs } of record.ends.slice(0, suspects.MAX_CRASHES)) {
      const crashedAt = now - Math.max(0, agoMs);
      if (this.#parts.isRefuted(incarnation, crashedAt)) continue;
      hasChanged = this.#addCrash(fingerprint, suspect, incarnation, crashedAt) || hasChanged;
    }
    // Published again, so that daemons that don't read the key-value service learn what an operator has cleared there.
    const clearedAt = record.clearedAgoMs === undefined ? -Infinity : now - Math.max(0, record.clearedAgoMs);
    if (this.#clear(fingerprint, suspect, clearedAt)) {
      suspect.changedAt = now;
      hasChanged = true;
    }
    // The daemon that observed the crash doesn't know that a run has succeeded here since.
    if (known === undefined && suspect.crashes.size === 0 && suspects.hasRunWell(suspect)) suspect.changedAt = now;
    if (hasChanged) this.#updateSuspicions(fingerprint, suspect, now);
    else if (suspect.crashes.size === 0 && !suspects.hasRunWell(suspect)) this.#remove(fingerprint);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns records for the next heartbeat, the most suspected first: recent changes, and in rotation isolated or rejected suspects
   */
  recordsToPublish(now: number): suspicions.SuspectRecord[] {
    const due = [...this.#suspects].filter(([, suspect]) => isDue(suspect, now));
    due.sort(([, left], [, right]) => byUrgency(left, right));
    return due.slice(0, MAX_PUBLISHED).map(([fingerprint, suspect]) => {
      suspect.publishedAt = now;
      return suspects.recordOf(fingerprint, suspect, now);
    });
  }

  /**
   * @param now - current instant in milliseconds
   * @returns records that a daemon needs when it starts
   */
  snapshotRecords(now: number): suspicions.SuspectRecord[] {
    return [...this.#suspects]
      .filter(([, suspect]) => suspect.crashes.size >= suspects.ISOLATION_CRASHES && !suspects.isExpired(suspect, now))
      .sort(([, left], [, right]) => byUrgency(left, right))
      .slice(0, MAX_SNAPSHOT)
      .map(([fingerprint, suspect]) => suspects.recordOf(fingerprint, suspect, now));
  }

  /**
   * @param fingerprint - a suspect
   * @param now - current instant in milliseconds
   * @returns its record, if it is known
   */
  recordOf(fingerprint: string, now: number): suspicions.SuspectRecord | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? undefined : suspects.recordOf(fingerprint, suspect, now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns number of requests that are suspected to any degree
   */
  count(now: number): number {
    return [...this.#suspects.values()].filter(
      (suspect) => suspect.crashes.size > 0 && !suspects.isExpired(suspect, now),
    ).length;
  }

  #getOrCreate(fingerprint: string, scope: suspicions.SuspectScope, now: number): suspects.Suspect {
    const known = this.#suspects.get(fingerprint);
    if (known !== undefined) return known;
    if (this.#suspects.size >= MAX_SUSPECTS) this.#evict(now);
    const suspect = suspects.newSuspect(scope, this.#successes.lastSuccessAt(fingerprint));
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  #ranOn(incarnation: number): ReadonlySet<string> {
    return this.#byIncarnation.get(incarnation) ?? NOBODY;
  }

  #addCrash(fingerprint: string, suspect: suspects.Suspect, incarnation: number, crashedAt: number): boolean {
    const before = [...suspect.crashes.keys()];
    if (!suspects.addCrash(suspect, incarnation, crashedAt)) return false;
    this.#reindex(fingerprint, suspect, before);
    return true;
  }

  #clear(fingerprint: string, suspect: suspects.Suspect, clearedAt: number): boolean {
    const before = [...suspect.crashes.keys()];
    if (!suspects.clear(suspect, clearedAt)) return false;
    this.#reindex(fingerprint, suspect, before);
    return true;
  }

  /** Updates the index of crashes by what a suspect had and has. */
  #reindex(fingerprint: string, { crashes }: suspects.Suspect, before: readonly number[]): void {
    for (const incarnation of before) {
      const present = this.#byIncarnation.get(incarnation);
      if (crashes.has(incarnation) || present === undefined) continue;
      present.delete(fingerprint);
      if (present.size === 0) this.#byIncarnation.delete(incarnation);
    }
    for (const incarnation of crashes.keys()) {
      const present = this.#byIncarnation.get(incarnation) ?? new Set();
      this.#byIncarnation.set(incarnation, present.add(fingerprint));
    }
  }

  /** Removes an eighth of the suspects at once, as finding the least suspected ones takes a pass over all. */
  #evict(now: number): void {
    for (const [fingerprint, suspect] of this.#suspects)
      if (suspects.isExpired(suspect, now)) this.#remove(fingerprint);
    const excess = this.#suspects.size - MAX_SUSPECTS * (7 / 8);
    if (excess <= 0) return;
    const leastSuspectedFirst = [...this.#suspects].sort(
      ([, left], [, right]) =>
        left.crashes.size - right.crashes.size || suspects.lastCrashAt(left) - suspects.lastCrashAt(right),
    );
    for (const [fingerprint] of leastSuspectedFirst.slice(0, excess)) this.#remove(fingerprint);
  }

  #remove(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return;
    const before = [...suspect.crashes.keys()];
    suspect.crashes.clear();
    this.#reindex(fingerprint, suspect, before);
    this.#suspects.delete(fingerprint);
    this.#quarantined.delete(fingerprint);
  }

  #evaluate(fingerprint: string, suspect: suspects.Suspect, now: number): suspicions.Suspicion {
    if (this.#quarantined.has(fingerprint)) {
      return suspects.rejectedUntil(suspect) > now ? suspicions.Suspicion.Quarantined : suspicions.Suspicion.Isolated;
    }
    if (convictions.isPart(suspect.scope))
      return suspect.crashes.size > 0 ? suspicions.Suspicion.Suspected : suspicions.Suspicion.None;
    const unexplained = [...suspect.crashes.keys()].filter((each) => !this.#isExplained(each, fingerprint)).length;
    if (unexplained >= suspects.ISOLATION_CRASHES) return suspicions.Suspicion.Isolated;
    return unexplained > 0 ? suspicions.Suspicion.Suspected : suspicions.Suspicion.None;
  }

  /** Whether another suspect ran on the crashed incarnation that is rejected. */
  #isExplained(incarnation: number, fingerprint: string): boolean {
    for (const other of this.#quarantined) {
      if (other !== fingerprint && this.#suspects.get(other)?.crashes.has(incarnation) === true) return true;
    }
    return false;
  }

  #isToBeRejected(fingerprint: string, suspect: suspects.Suspect): boolean {
    if (!convictions.isPart(suspect.scope)) return suspect.crashes.size >= suspects.QUARANTINE_CRASHES;
    return convictions.isConvicted(fingerprint, this.#suspects, (incarnation) => this.#ranOn(incarnation));
  }

  /**
   * Updates the suspicion of a changed suspect, and of all others if another set of suspects is rejected since: one more
   * crash of one suspect may show that it explains those of another better.
   */
  #updateSuspicions(fingerprint: string, suspect: suspects.Suspect, now: number): void {
    const affected = new Set([fingerprint, ...this.#quarantined]);
    for (const incarnation of suspect.crashes.keys()) for (const each of this.#ranOn(incarnation)) affected.add(each);
    const haveChanged = [...affected].map((each) => this.#updateRejection(each)).includes(true);
    if (!haveChanged) this.#updateSuspicion(fingerprint, suspect, now);
    else for (const [each, state] of this.#suspects) this.#updateSuspicion(each, state, now);
  }

  /** @returns whether the suspect is rejected now and was not before, or the reverse */
  #updateRejection(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return false;
    const isRejected = this.#isToBeRejected(fingerprint, suspect);
    if (isRejected === this.#quarantined.has(fingerprint)) return false;
    if (isRejected) this.#quarantined.add(fingerprint);
    else this.#quarantined.delete(fingerprint);
    if (isRejected && suspect.rejectedAtCrashes === 0) suspect.rejectedAtCrashes = suspect.crashes.size;
    return true;
  }

  #updateSuspicion(fingerprint: string, suspect: suspects.Suspect, now: number): void {
    const suspicion = this.#evaluate(fingerprint, suspect, now);
    if (suspicion === suspect.suspicion) return;
    suspect.suspicion = suspicion;
    this.#parts.onChange({ fingerprint, scope: suspect.scope }, suspicion, suspect.crashes.size);
  }
}

function isDue(suspect: suspects.Suspect, now: number): boolean {
  if (now - suspect.changedAt <= PUBLISHED_MS.change) return true;
  return (
    suspect.crashes.size >= suspects.ISOLATION_CRASHES &&
    !suspects.isExpired(suspect, now) &&
    now - suspect.publishedAt >= PUBLISHED_MS.repeat
  );
}

/** The most suspected first; of those, parts before requests, and what was published longest ago. */
function byUrgency(left: suspects.Suspect, right: suspects.Suspect): number {
  return right.crashes.size - left.crashes.size || right.scope - left.scope || left.publishedAt - right.publishedAt;
}
