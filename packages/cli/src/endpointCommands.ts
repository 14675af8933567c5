import * as clipanion from "clipanion";
import type * as yaml from "yaml";
import * as adminCommand from "./adminCommand.js";
import * as configCommands from "./configCommands.js";
import type * as output from "./output.js";
import * as teamDocuments from "./teamDocuments.js";

/** Lists the endpoints. */
export class EndpointListCommand extends adminCommand.AdminCommand {
  static override paths = [["endpoint", "list"]];
  static override usage = clipanion.Command.Usage({
    description: "list endpoints with role, state and pending changes",
  });

  async execute(): Promise<adminCommand.ExitCode> {
    return this.show(await this.client().get<output.Row[]>("/admin/endpoints"));
  }
}

abstract class EndpointEditCommand extends configCommands.TeamCommand {
  endpoint = clipanion.Option.String({ name: "endpoint" });

  protected abstract edit(document: yaml.Document): void;

  async execute(): Promise<adminCommand.ExitCode> {
    const written = await teamDocuments.editDocument(this.client(), this.team, this.author, (document) => {
      const fault = teamDocuments.missingEndpoint(document, this.endpoint);
      if (fault === undefined) this.edit(document);
      return fault;
    });
    return written.isErr() ? this.fail(written.error) : this.finish(written.value);
  }
}

/** Keeps new work from an endpoint and lets what runs finish. */
export class EndpointDrainCommand extends EndpointEditCommand {
  static override paths = [["endpoint", "drain"]];
  static override usage = clipanion.Command.Usage({
    description: "give an endpoint no new work; --undo takes it back",
  });
  undo = clipanion.Option.Boolean("--undo", false, { description: "let the endpoint take work again" });

  protected edit(document: yaml.Document): void {
    document.setIn(["endpoints", this.endpoint, "state"], this.undo ? "active" : "draining");
  }
}

/** Sets an endpoint's role. */
export class EndpointRoleCommand extends EndpointEditCommand {
  static override paths = [["endpoint", "role"]];
  static override usage = clipanion.Command.Usage({ description: "set a role: prefill, decode, mixed or auto" });
  role = clipanion.Option.String({ name: "role" });

  protected edit(document: yaml.Document): void {
    document.setIn(["endpoints", this.endpoint, "role"], this.role);
  }
}

/** Adds an endpoint in another's place and drains the old one. */
export class EndpointReplaceCommand extends EndpointEditCommand {
  static override paths = [["endpoint", "replace"]];
  static override usage = clipanion.Command.Usage({
    description: "add an endpoint with the settings of an old one, and drain the old one",
  });
  name = clipanion.Option.String("--name", { required: true, description: "name of the new endpoint" });
  url = clipanion.Option.String("--url", { required: true, description: "address of the new endpoint" });

  protected edit(document: yaml.Document): void {
    const settings = (document.toJS() as { endpoints: Record<string, object> }).endpoints[this.endpoint];
    document.setIn(["endpoints", this.name], { ...settings, url: this.url, state: "active" });
    document.setIn(["endpoints", this.endpoint, "state"], "draining");
  }
}
