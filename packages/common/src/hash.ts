import * as crypto from "node:crypto";
import * as xxhash from "xxhash-wasm";

const hasher = await xxhash.default();

/**
 * @param text - what to hash
 * @returns an unsigned 32-bit hash, the same in every process
 */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/**
 * @param content - text or bytes
 * @returns the SHA-256 digest in hexadecimal
 */
export function sha256(content: string | Uint8Array): string {
  return crypto.createHash("sha256").update(content).digest("hex");
}

/**
 * Rendezvous hashing: every process with the same candidates comes to the same
 * order, and a candidate that goes away moves only its own keys.
 *
 * @param key - what is to be placed
 * @param candidates - the names to choose from
 * @returns the candidates, the preferred one first
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): string[] {
  const scored = candidates.map((name) => ({ name, score: hash32(`${key}\u0000${name}`) }));
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
  return scored.map((entry) => entry.name);
}
