import * as crypto from "node:crypto";
import * as xxhash from "js-xxhash";

/** All processes have to use the same seed. */
const SEED = 0;

/**
 * @param text - what to hash
 * @returns an unsigned 32-bit xxHash, the same in every process
 */
export function hash32(text: string): number {
  return xxhash.xxHash32(Buffer.from(text), SEED);
}

/**
 * @param content - text or bytes
 * @returns the SHA-256 digest in hexadecimal
 */
export function sha256(content: string | Uint8Array): string {
  return crypto.createHash("sha256").update(content).digest("hex");
}

/**
 * Orders candidates by rendezvous hashing: every process with the same candidates
 * gets the same order, and removing a candidate moves only the keys it held.
 *
 * @param key - the key to place
 * @param candidates - names of the candidates
 * @returns the candidates, most preferred first
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): string[] {
  const scored = candidates.map((name) => ({ name, score: hash32(`${key}\u0000${name}`) }));
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
  return scored.map((entry) => entry.name);
}
