import * as suspicions from "./suspicion.js";

/** Crashes from which a request is rejected; the users set this limit. */
export const QUARANTINE_CRASHES = 3;

/** Crashes from which a request is isolated. */
export const ISOLATION_CRASHES = 2;

/** Crashes that are kept of one suspect, the newest. */
export const MAX_CRASHES = 8;

/** Crashes from which a suspect is rejected until an operator clears it: each trial after that would risk one more. */
const FINAL_CRASHES = 7;

/** Time for which a suspect that is not rejected is kept after its last crash, in milliseconds. */
const RETENTION_MS = 600_000;

/** Time of the first rejection, in milliseconds; it doubles with each crash in a trial. */
const REJECTION_MS = { first: 600_000, max: 14_400_000 };

/** State of a suspect: the crashes since its last successful run. */
export interface Suspect {
  readonly scope: suspicions.SuspectScope;
  /** Instants in milliseconds at which incarnations of endpoints crashed, by incarnation. */
  readonly crashes: Map<number, number>;
  /** Instant of the last successful run in milliseconds, -Infinity if none is known. */
  clearedAt: number;
  changedAt: number;
  publishedAt: number;
  suspicion: suspicions.Suspicion;
  /** Crashes when it was first rejected; 0 if it was not. */
  rejectedAtCrashes: number;
}

/**
 * @param scope - what it stands for
 * @param clearedAt - instant of its last successful run, in milliseconds
 * @returns a suspect without a crash
 */
export function newSuspect(scope: suspicions.SuspectScope, clearedAt: number): Suspect {
  return {
    scope,
    crashes: new Map(),
    clearedAt,
    changedAt: -Infinity,
    publishedAt: -Infinity,
    suspicion: suspicions.Suspicion.None,
    rejectedAtCrashes: 0,
  };
}

/**
 * @param suspect - a suspect
 * @param incarnation - an incarnation of an endpoint that crashed
 * @param crashedAt - when, in milliseconds
 * @returns whether the crash is new and counts
 */
export function addCrash(suspect: Suspect, incarnation: number, crashedAt: number): boolean {
  if (crashedAt <= suspect.clearedAt || suspect.crashes.has(incarnation)) return false;
  suspect.crashes.set(incarnation, crashedAt);
  const [oldest] = [...suspect.crashes].sort(([, left], [, right]) => left - right)[0] ?? [];
  if (suspect.crashes.size > MAX_CRASHES && oldest !== undefined) suspect.crashes.delete(oldest);
  return true;
}

/**
 * @param suspect - a suspect
 * @param clearedAt - instant of a successful run, in milliseconds
 * @returns whether any crash was cleared
 */
export function clear(suspect: Suspect, clearedAt: number): boolean {
  const before = suspect.crashes.size;
  suspect.clearedAt = Math.max(suspect.clearedAt, clearedAt);
  for (const [incarnation, at] of suspect.crashes) if (at <= suspect.clearedAt) suspect.crashes.delete(incarnation);
  if (suspect.crashes.size === 0) suspect.rejectedAtCrashes = 0;
  return suspect.crashes.size < before;
}

/**
 * @param suspect - a suspect
 * @returns whether a run of it is known to have succeeded
 */
export function hasRunWell(suspect: Suspect): boolean {
  return suspect.clearedAt !== -Infinity;
}

/** @returns instant of the suspect's last crash in milliseconds, -Infinity without one */
export function lastCrashAt(suspect: Suspect): number {
  return Math.max(-Infinity, ...suspect.crashes.values());
}

/**
 * @param suspect - a suspect that is or was rejected
 * @returns instant until which it is rejected, in milliseconds
 */
export function rejectedUntil(suspect: Suspect): number {
  if (suspect.crashes.size >= FINAL_CRASHES) return Infinity;
  const furtherCrashes = suspect.crashes.size - Math.max(QUARANTINE_CRASHES, suspect.rejectedAtCrashes);
  if (furtherCrashes < 0) return -Infinity;
  return lastCrashAt(suspect) + Math.min(REJECTION_MS.max, REJECTION_MS.first * 2 ** furtherCrashes);
}

/**
 * @param suspect - a suspect
 * @param now - current instant in milliseconds
 * @returns whether it says nothing about later crashes any more
 */
export function isExpired(suspect: Suspect, now: number): boolean {
  const relevantUntil = Math.max(lastCrashAt(suspect), suspect.clearedAt, rejectedUntil(suspect));
  return now - relevantUntil > RETENTION_MS;
}

/**
 * @param fingerprint - name of a suspect
 * @param suspect - its state
 * @param now - current instant in milliseconds
 * @returns its record
 */
export function recordOf(fingerprint: string, suspect: Suspect, now: number): suspicions.SuspectRecord {
  const ends = [...suspect.crashes].map(([incarnation, crashedAt]) => ({
    life: incarnation,
    agoMs: Math.max(0, now - crashedAt),
  }));
  const clearedAgoMs = hasRunWell(suspect) ? Math.max(0, now - suspect.clearedAt) : undefined;
  return { fingerprint, scope: suspect.scope, ends, clearedAgoMs };
}
