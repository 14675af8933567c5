import * as crypto from "node:crypto";
import * as common from "@camphorcourse/common";
import type * as core from "@camphorcourse/core";
import * as neverthrow from "neverthrow";

/** Who makes a call. */
export type Caller = { readonly kind: "operator" } | { readonly kind: "team"; readonly team: string };

const BEARER = /^Bearer (\S+)$/;

/** Tells callers by their tokens. */
export class Authority {
  readonly #operatorDigest: string;
  readonly #tree: core.ConfigurationTree;

  /**
   * @param operatorDigest - SHA-256 digest of the platform operator's token
   * @param tree - holds the teams' digests
   */
  constructor(operatorDigest: string, tree: core.ConfigurationTree) {
    this.#operatorDigest = operatorDigest;
    this.#tree = tree;
  }

  /**
   * @param header - the Authorization header
   * @returns who calls, or the problem to answer with
   */
  identify(header: string | undefined): neverthrow.Result<Caller, common.Problem> {
    const token = BEARER.exec(header ?? "")?.[1];
    if (token === undefined) return neverthrow.err(common.problem(common.ProblemKind.Unauthorized, "no bearer token"));
    const digest = common.sha256(token);
    if (crypto.timingSafeEqual(Buffer.from(digest), Buffer.from(this.#operatorDigest))) {
      return neverthrow.ok({ kind: "operator" });
    }
    const team = this.#tree.teamOfToken(digest);
    if (team !== undefined) return neverthrow.ok({ kind: "team", team });
    return neverthrow.err(common.problem(common.ProblemKind.Unauthorized, "the token is not known"));
  }

  /**
   * @param header - the Authorization header
   * @param team - whose subtree is meant
   * @returns who calls, if that team is theirs
   */
  identifyFor(header: string | undefined, team: string): neverthrow.Result<Caller, common.Problem> {
    return this.identify(header).andThen((caller) => {
      if (caller.kind === "operator" || caller.team === team) return neverthrow.ok(caller);
      const detail = `the token acts for team '${caller.team}', not for '${team}'`;
      return neverthrow.err(common.problem(common.ProblemKind.Forbidden, detail));
    });
  }
}
