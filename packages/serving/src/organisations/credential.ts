import * as crypto from "node:crypto";

/** What a request presents to prove which organisation it belongs to. */
export enum CredentialKind {
  /** No credential. */
  None = "none",
  /** A credential that cannot be a key: another scheme, more than one, too long, or invalid characters. */
  Malformed = "malformed",
  Key = "key",
}

/** The credential of a request. A key is represented by its digest only, so that the key itself cannot be logged. */
export type Credential =
  | { readonly kind: CredentialKind.None }
  | { readonly kind: CredentialKind.Malformed }
  | { readonly kind: CredentialKind.Key; readonly digest: string };

/** Length of the longest key that is accepted, in characters. */
const MAX_KEY_LENGTH = 256;

/** Visible ASCII characters, without the comma that separates values of a header. */
const KEY_PATTERN = /^[\x21-\x2b\x2d-\x7e]+$/;

/**
 * @param key - an API key
 * @returns the digest by which the key is looked up
 */
export function keyDigest(key: string): string {
  return crypto.createHash("sha256").update(key).digest("base64");
}

/**
 * @param key - the key as the caller sent it
 * @returns the credential; malformed if the text cannot be a key
 */
export function credentialOf(key: string): Credential {
  if (key.length > MAX_KEY_LENGTH || !KEY_PATTERN.test(key)) return { kind: CredentialKind.Malformed };
  return { kind: CredentialKind.Key, digest: keyDigest(key) };
}
