import * as crypto from "node:crypto";
import type * as promptParts from "./promptParts.js";
import * as suspicions from "./suspects/suspicion.js";

/** What identifies a request, whichever attempt and daemon it arrives by. */
export interface FingerprintInputs {
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly body: Uint8Array | undefined;
  /**
   * Organisation of the caller, if any. Without it, an organisation could get the requests of another one rejected by
   * sending the same content.
   */
  readonly organisation?: string | undefined;
  /** IP address of the caller. */
  readonly callerAddress: string;
}

/** Short hashes of a request that reveal neither its body nor its caller; the same for its retries, on all daemons. */
export interface Fingerprints {
  /** Fingerprint of the content, the same for all callers. */
  readonly content: string;
  /** Fingerprint of the content from this caller. */
  readonly contentAndCaller: string;
}

/** Hexadecimal digits that are kept: 64 bits, too many to find a second request with the same fingerprint by trying. */
const DIGITS = 16;

/**
 * @param inputs - the request
 * @returns its fingerprints
 */
export function fingerprintsOf(inputs: FingerprintInputs): Fingerprints {
  const { method, host, target, body, organisation, callerAddress } = inputs;
  const owner = organisation === undefined ? [] : [organisation];
  const content = digestOf([method, host, target, ...owner], body);
  return { content, contentAndCaller: digestOf([content, callerAddress], undefined) };
}

/**
 * Names the parts of a prompt that other requests may share. A part is named whatever the model and the service: what
 * crashes engines does so everywhere. Under the organisation's own name, one organisation can't get the requests of
 * another one rejected by naming its parts.
 *
 * @param prompt - the prompt of a request
 * @param organisation - organisation of its caller, if any
 * @returns the names, those of one organisation first
 */
export function partNamesOf(prompt: promptParts.Prompt, organisation?: string): suspicions.SuspectName[] {
  const shared = prompt.parts.slice(0, -1);
  const ofAll = shared.map(({ id }) => nameOf(suspicions.SuspectScope.Part, id));
  if (organisation === undefined) return ofAll;
  return [...shared.map(({ id }) => nameOf(suspicions.SuspectScope.OrganisationPart, id, organisation)), ...ofAll];
}

function nameOf(scope: suspicions.SuspectScope, ...strings: readonly string[]): suspicions.SuspectName {
  return { fingerprint: digestOf([suspicions.SuspectScope[scope], ...strings], undefined), scope };
}

function digestOf(strings: readonly string[], body: Uint8Array | undefined): string {
  // As JSON, since different lists of strings may be equal when joined.
  const hash = crypto.createHash("sha256").update(JSON.stringify(strings));
  if (body !== undefined) hash.update(body);
  return hash.digest("hex").slice(0, DIGITS);
}
