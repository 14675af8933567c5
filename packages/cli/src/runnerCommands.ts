import * as clipanion from "clipanion";
import type * as yaml from "yaml";
import * as adminCommand from "./adminCommand.js";
import * as configCommands from "./configCommands.js";
import type * as output from "./output.js";
import * as teamDocuments from "./teamDocuments.js";

/** Lists the runners. */
export class RunnerListCommand extends adminCommand.AdminCommand {
  static override paths = [["runner", "list"]];
  static override usage = clipanion.Command.Usage({ description: "list runners with role, state and pending changes" });

  async execute(): Promise<adminCommand.ExitCode> {
    return this.show(await this.client().get<output.Row[]>("/admin/runners"));
  }
}

abstract class RunnerEditCommand extends configCommands.TeamCommand {
  runner = clipanion.Option.String({ name: "runner" });

  protected abstract edit(document: yaml.Document): void;

  async execute(): Promise<adminCommand.ExitCode> {
    const written = await teamDocuments.editDocument(this.client(), this.team, this.author, (document) => {
      const fault = teamDocuments.missingRunner(document, this.runner);
      if (fault === undefined) this.edit(document);
      return fault;
    });
    return written.isErr() ? this.fail(written.error) : this.finish(written.value);
  }
}

/** Keeps new work from a runner and lets what runs finish. */
export class RunnerDrainCommand extends RunnerEditCommand {
  static override paths = [["runner", "drain"]];
  static override usage = clipanion.Command.Usage({ description: "give a runner no new work; --undo takes it back" });
  undo = clipanion.Option.Boolean("--undo", false, { description: "let the runner take work again" });

  protected edit(document: yaml.Document): void {
    document.setIn(["runners", this.runner, "state"], this.undo ? "active" : "draining");
  }
}

/** Sets a runner's role. */
export class RunnerRoleCommand extends RunnerEditCommand {
  static override paths = [["runner", "role"]];
  static override usage = clipanion.Command.Usage({ description: "set a role: prefill, decode, mixed or auto" });
  role = clipanion.Option.String({ name: "role" });

  protected edit(document: yaml.Document): void {
    document.setIn(["runners", this.runner, "role"], this.role);
  }
}

/** Adds a runner in another's place and drains the old one. */
export class RunnerReplaceCommand extends RunnerEditCommand {
  static override paths = [["runner", "replace"]];
  static override usage = clipanion.Command.Usage({
    description: "add a runner with the settings of an old one, and drain the old one",
  });
  name = clipanion.Option.String("--name", { required: true, description: "name of the new runner" });
  url = clipanion.Option.String("--url", { required: true, description: "address of the new runner" });

  protected edit(document: yaml.Document): void {
    const settings = (document.toJS() as { runners: Record<string, object> }).runners[this.runner];
    document.setIn(["runners", this.name], { ...settings, url: this.url, state: "active" });
    document.setIn(["runners", this.runner, "state"], "draining");
  }
}
