import * as crypto from "node:crypto";

/** What makes two requests the same, whichever attempt and daemon they come by. */
export interface FingerprintInputs {
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly body: Uint8Array | undefined;
  /** IP address of the caller. */
  readonly callerAddress: string;
}

/** Short names of a request that say nothing of its body or its caller; equal for its retries, at all daemons. */
export interface Fingerprints {
  /** Of what is asked for, by whomever. */
  readonly content: string;
  /** Of what is asked for, by this caller. */
  readonly contentAndCaller: string;
}

/** Hexadecimal digits that are kept: 64 bits, of which a second request with the same ones is not found by trying. */
const DIGITS = 16;

/**
 * @param inputs - the request
 * @returns its fingerprints
 */
export function fingerprintsOf(inputs: FingerprintInputs): Fingerprints {
  const { method, host, target, body, callerAddress } = inputs;
  const content = digestOf([method, host, target], body);
  return { content, contentAndCaller: digestOf([content, callerAddress], undefined) };
}

function digestOf(words: readonly string[], body: Uint8Array | undefined): string {
  // As JSON, since two lists of words may read the same when joined.
  const hash = crypto.createHash("sha256").update(JSON.stringify(words));
  if (body !== undefined) hash.update(body);
  return hash.digest("hex").slice(0, DIGITS);
}
