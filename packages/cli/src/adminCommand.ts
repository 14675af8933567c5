import * as clipanion from "clipanion";
import type * as neverthrow from "neverthrow";
import * as adminClient from "./adminClient.js";
import * as output from "./output.js";

/** Exit codes of the tool. */
export enum ExitCode {
  Done = 0,
  Refused = 1,
  NotYetInForce = 3,
}

/** What all commands of the administration API share. */
export abstract class AdminCommand extends clipanion.Command {
  admin = clipanion.Option.String("--admin", "http://127.0.0.1:9300", {
    env: "CAMPHORCOURSE_ADMIN",
    description: "administration address of any daemon [CAMPHORCOURSE_ADMIN]",
  });
  token = clipanion.Option.String("--token", "", {
    env: "CAMPHORCOURSE_TOKEN",
    description: "token of the team or the platform operator [CAMPHORCOURSE_TOKEN]",
  });
  json = clipanion.Option.Boolean("--json", false, { description: "print JSON for programs" });

  /** @returns a client of the daemon named by the settings */
  protected client(): adminClient.AdminClient {
    return new adminClient.AdminClient(this.admin, this.token);
  }

  /**
   * @param problem - what went wrong
   * @returns the exit code
   */
  protected fail(problem: adminClient.ToolProblem): ExitCode {
    this.context.stderr.write(this.json ? `${JSON.stringify(problem)}\n` : output.formatProblem(problem));
    return ExitCode.Refused;
  }

  /**
   * @param result - rows, or what went wrong
   * @returns the exit code
   */
  protected show(result: neverthrow.Result<readonly output.Row[], adminClient.ToolProblem>): ExitCode {
    if (result.isErr()) return this.fail(result.error);
    this.context.stdout.write(this.json ? `${JSON.stringify(result.value)}\n` : output.formatTable(result.value));
    return ExitCode.Done;
  }
}
