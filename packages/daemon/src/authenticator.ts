import * as crypto from "node:crypto";
import * as common from "@camphorcourse/common";
import type * as core from "@camphorcourse/core";
import * as neverthrow from "neverthrow";

/** The authenticated identity of a caller: the platform operator or one team. */
export type Caller = { readonly kind: "operator" } | { readonly kind: "team"; readonly team: string };

const BEARER = /^Bearer (\S+)$/;

/** Authenticates callers by their bearer tokens and checks access to a team. */
export class Authenticator {
  readonly #operatorDigest: string;
  readonly #tree: core.ConfigurationTree;

  /**
   * @param operatorDigest - SHA-256 digest of the platform operator's token
   * @param tree - configuration that holds the token digests of the teams
   */
  constructor(operatorDigest: string, tree: core.ConfigurationTree) {
    this.#operatorDigest = operatorDigest;
    this.#tree = tree;
  }

  /**
   * Authenticates a caller.
   *
   * @param header - the Authorization header
   * @returns the caller, or an `Unauthorized` problem
   */
  authenticate(header: string | undefined): neverthrow.Result<Caller, common.Problem> {
    const token = BEARER.exec(header ?? "")?.[1];
    if (token === undefined)
      return neverthrow.err(
        common.problem(common.ProblemKind.Unauthorized, "the Authorization header has no bearer token"),
      );
    const digest = common.sha256(token);
    if (crypto.timingSafeEqual(Buffer.from(digest), Buffer.from(this.#operatorDigest))) {
      return neverthrow.ok({ kind: "operator" });
    }
    const team = this.#tree.teamOfToken(digest);
    if (team !== undefined) return neverthrow.ok({ kind: "team", team });
    return neverthrow.err(common.problem(common.ProblemKind.Unauthorized, "the token is unknown"));
  }

  /**
   * Authenticates a caller and checks that it may access a team's configuration.
   *
   * @param header - the Authorization header
   * @param team - the team whose configuration is accessed
   * @returns the caller, or an `Unauthorized` or `Forbidden` problem
   */
  authorizeFor(header: string | undefined, team: string): neverthrow.Result<Caller, common.Problem> {
    return this.authenticate(header).andThen((caller) => {
      if (caller.kind === "operator" || caller.team === team) return neverthrow.ok(caller);
      const detail = `the token belongs to team '${caller.team}' and gives no access to team '${team}'`;
      return neverthrow.err(common.problem(common.ProblemKind.Forbidden, detail));
    });
  }
}
