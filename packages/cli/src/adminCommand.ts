import * as clipanion from "clipanion";
import type * as neverthrow from "neverthrow";
import * as adminClient from "./adminClient.js";
import * as output from "./output.js";

/** Exit codes of the command-line tool. */
export enum ExitCode {
  Done = 0,
  Refused = 1,
  NotYetInForce = 3,
}

/** Base class of the commands that call the administration API, with their common options and output. */
export abstract class AdminCommand extends clipanion.Command {
  admin = clipanion.Option.String("--admin", "http://127.0.0.1:9300", {
    env: "CAMPHORCOURSE_ADMIN",
    description: "administration address of any daemon [CAMPHORCOURSE_ADMIN]",
  });
  token = clipanion.Option.String("--token", "", {
    env: "CAMPHORCOURSE_TOKEN",
    description: "token of the team or the platform operator [CAMPHORCOURSE_TOKEN]",
  });
  json = clipanion.Option.Boolean("--json", false, { description: "print machine-readable JSON" });

  /** @returns a client for the daemon given by `--admin` and `--token` */
  protected client(): adminClient.AdminClient {
    return new adminClient.AdminClient(this.admin, this.token);
  }

  /**
   * Prints a problem to the standard error output.
   *
   * @param problem - the problem to print
   * @returns the exit code
   */
  protected fail(problem: adminClient.CliProblem): ExitCode {
    this.context.stderr.write(this.json ? `${JSON.stringify(problem)}\n` : output.formatProblem(problem));
    return ExitCode.Refused;
  }

  /**
   * Prints rows as a table or as JSON, or the problem if there is one.
   *
   * @param result - the rows, or the problem
   * @returns the exit code
   */
  protected show(result: neverthrow.Result<readonly output.Row[], adminClient.CliProblem>): ExitCode {
    if (result.isErr()) return this.fail(result.error);
    this.context.stdout.write(this.json ? `${JSON.stringify(result.value)}\n` : output.formatTable(result.value));
    return ExitCode.Done;
  }
}
