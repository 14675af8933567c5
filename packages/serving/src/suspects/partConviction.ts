import * as suspects from "./suspect.js";
import * as suspicions from "./suspicion.js";

/** Crashes that convict a part, and number of distinct moments at which they must have happened. */
interface Evidence {
  readonly crashes: number;
  readonly moments: number;
}

/**
 * Evidence against a part of which no successful run is known. A rack that fails ends many endpoints, and all parts
 * that ran there with them, at one moment: the retries of sound requests succeed before the next one.
 */
const USUAL_EVIDENCE: Evidence = { crashes: 3, moments: 2 };

/** Evidence against a part that has run well before: endpoints crash with what runs everywhere, whatever the cause. */
const EVIDENCE_AGAINST_PROVEN: Evidence = { crashes: 5, moments: 3 };

/** Time from the first crash of a moment within which others belong to it, in milliseconds. */
const MOMENT_MS = 250;

/** The suspects that a part is compared with, by fingerprint. */
export type SuspectMap = ReadonlyMap<string, suspects.Suspect>;

/** Finds the suspects that ran on an incarnation of an endpoint when it crashed. */
export type FindSuspects = (incarnation: number) => ReadonlySet<string>;

/**
 * Decides whether a part of prompts is to blame for crashes. An endpoint's crash incriminates all that ran there, so the
 * guilty part is the smallest explanation: a part that is in all crashes, of which no run has succeeded since, and that
 * no other suspect can replace. A part that most prompts share is acquitted by the next run that succeeds.
 *
 * @param fingerprint - a part
 * @param all - all suspects
 * @param find - finds the suspects of a crash
 * @returns whether requests with the part are to be rejected
 */
export function isConvicted(fingerprint: string, all: SuspectMap, find: FindSuspects): boolean {
  const part = all.get(fingerprint);
  if (part === undefined) return false;
  const needed = suspects.hasRunWell(part) ? EVIDENCE_AGAINST_PROVEN : USUAL_EVIDENCE;
  if (part.crashes.size < needed.crashes || countMoments(part) < needed.moments) return false;
  return !coveringSuspects(fingerprint, part, all, find).some((each) => isBetterExplanation(each, part));
}

/**
 * @param fingerprint - a convicted part
 * @param all - all suspects
 * @param find - finds the suspects of a crash
 * @returns the parts that nothing tells from it: only requests that hold all of them are to blame
 */
export function indistinguishableParts(fingerprint: string, all: SuspectMap, find: FindSuspects): string[] {
  const part = all.get(fingerprint);
  if (part === undefined) return [];
  return coveringSuspects(fingerprint, part, all, find)
    .filter(({ suspect }) => suspect.scope === part.scope && isEquallySuspect(suspect, part))
    .map((each) => each.fingerprint);
}

interface CoveringSuspect {
  readonly fingerprint: string;
  readonly suspect: suspects.Suspect;
}

/** The other suspects that ran on all endpoints that crashed under a part. */
function coveringSuspects(
  fingerprint: string,
  part: suspects.Suspect,
  all: SuspectMap,
  find: FindSuspects,
): CoveringSuspect[] {
  const others = new Set([...part.crashes.keys()].flatMap((crash) => [...find(crash)]));
  others.delete(fingerprint);
  return [...others].flatMap((other) => {
    const suspect = all.get(other);
    return suspect !== undefined && covers(suspect, part) ? [{ fingerprint: other, suspect }] : [];
  });
}

/** Of a suspect with many crashes only the newest are kept: it may have run on any endpoint that crashed before these. */
function covers(suspect: suspects.Suspect, { crashes }: suspects.Suspect): boolean {
  const isFull = suspect.crashes.size >= suspects.MAX_CRASHES;
  const keptSince = isFull ? Math.min(...suspect.crashes.values()) : -Infinity;
  return [...crashes].every(([crash, crashedAt]) => suspect.crashes.has(crash) || crashedAt < keptSince);
}

function isBetterExplanation({ suspect }: CoveringSuspect, part: suspects.Suspect): boolean {
  if (suspects.hasRunWell(suspect) && !suspects.hasRunWell(part)) return false;
  if (suspect.crashes.size > part.crashes.size) return true;
  return suspect.scope < part.scope;
}

function isEquallySuspect(other: suspects.Suspect, part: suspects.Suspect): boolean {
  if (other.crashes.size !== part.crashes.size) return false;
  return !suspects.hasRunWell(other) || suspects.hasRunWell(part);
}

function countMoments({ crashes }: suspects.Suspect): number {
  let moments = 0;
  let momentAt = -Infinity;
  for (const crashedAt of [...crashes.values()].sort((left, right) => left - right)) {
    if (crashedAt - momentAt < MOMENT_MS) continue;
    moments++;
    momentAt = crashedAt;
  }
  return moments;
}

/**
 * @param scope - what a suspect stands for
 * @returns whether it is a part of prompts
 */
export function isPart(scope: suspicions.SuspectScope): boolean {
  return scope !== suspicions.SuspectScope.Request;
}
