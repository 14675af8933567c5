import * as neverthrow from "neverthrow";
import type * as configurations from "../configuration.js";
import * as credentials from "./credential.js";

/** Why a request is not served. */
export enum AccessProblem {
  /** The route requires a key and the request has none. */
  MissingKey = "missing-key",
  MalformedCredential = "malformed-credential",
  /** No organisation holds the key. */
  UnknownKey = "unknown-key",
  /** No organisation is known to hold the key, but a newer configuration may exist. */
  UnconfirmedKey = "unconfirmed-key",
}

/** On whose behalf a request is served. */
export interface Access {
  /**
   * Whether the configuration restricts access to organisations. If so, endpoints receive the name of the organisation
   * and none of the caller's credentials.
   */
  readonly restricted: boolean;
  /** The organisation that holds the key; undefined for a public route without a key. */
  readonly organisation: configurations.Organisation | undefined;
}

const UNRESTRICTED: Access = { restricted: false, organisation: undefined };
const ANONYMOUS: Access = { restricted: true, organisation: undefined };

/** The organisations of a configuration, by the digests of their keys. */
export class OrganisationDirectory {
  readonly #byDigest = new Map<string, configurations.Organisation>();
  readonly #restricted: boolean;

  /** @param organisations - all organisations; undefined if the configuration doesn't restrict access */
  constructor(organisations: readonly configurations.Organisation[] | undefined) {
    this.#restricted = organisations !== undefined;
    for (const organisation of organisations ?? []) {
      for (const digest of organisation.keyDigests) this.#byDigest.set(digest, organisation);
    }
  }

  /**
   * Decides whether a request is served, and on whose behalf. A public route needs no key, but a key that is presented
   * there must be valid as well.
   *
   * @param route - the route that matched
   * @param credential - what the request presents
   * @param isCurrent - returns whether this configuration is known to be the newest; asked for unknown keys only
   * @returns on whose behalf the request is served, or why it is not
   */
  admit(
    route: configurations.Route,
    credential: credentials.Credential,
    isCurrent: () => boolean,
  ): neverthrow.Result<Access, AccessProblem> {
    if (!this.#restricted) return neverthrow.ok(UNRESTRICTED);
    if (credential.kind === credentials.CredentialKind.Malformed)
      return neverthrow.err(AccessProblem.MalformedCredential);
    if (credential.kind === credentials.CredentialKind.None) {
      return route.isPublic ? neverthrow.ok(ANONYMOUS) : neverthrow.err(AccessProblem.MissingKey);
    }
    const organisation = this.#byDigest.get(credential.digest);
    if (organisation !== undefined) return neverthrow.ok({ restricted: true, organisation });
    return neverthrow.err(isCurrent() ? AccessProblem.UnknownKey : AccessProblem.UnconfirmedKey);
  }
}
