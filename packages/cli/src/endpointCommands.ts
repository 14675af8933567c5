import * as clipanion from "clipanion";
import type * as yaml from "yaml";
import * as adminCommand from "./adminCommand.js";
import * as configCommands from "./configCommands.js";
import type * as output from "./output.js";
import * as teamDocuments from "./teamDocuments.js";

/** Lists the endpoints with their roles, states and pending changes. */
export class EndpointListCommand extends adminCommand.AdminCommand {
  static override paths = [["endpoint", "list"]];
  static override usage = clipanion.Command.Usage({
    description: "list endpoints with role, state and pending changes",
  });

  async execute(): Promise<adminCommand.ExitCode> {
    return this.show(await this.client().get<output.Row[]>("/admin/endpoints"));
  }
}

/** Base class of the commands that change one endpoint in a team's document. */
abstract class EndpointEditCommand extends configCommands.TeamCommand {
  endpoint = clipanion.Option.String({ name: "endpoint" });

  protected abstract edit(document: yaml.Document): void;

  async execute(): Promise<adminCommand.ExitCode> {
    const written = await teamDocuments.editDocument(this.client(), this.team, this.author, (document) => {
      const problem = teamDocuments.describeMissingEndpoint(document, this.endpoint);
      if (problem === undefined) this.edit(document);
      return problem;
    });
    return written.isErr() ? this.fail(written.error) : this.reportAccepted(written.value);
  }
}

/** Drains an endpoint: it gets no new requests, and running requests finish. */
export class EndpointDrainCommand extends EndpointEditCommand {
  static override paths = [["endpoint", "drain"]];
  static override usage = clipanion.Command.Usage({
    description: "drain an endpoint: send it no new requests; --undo makes it active again",
  });
  undo = clipanion.Option.Boolean("--undo", false, { description: "make the endpoint active again" });

  protected edit(document: yaml.Document): void {
    document.setIn(["endpoints", this.endpoint, "state"], this.undo ? "active" : "draining");
  }
}

/** Sets an endpoint's role. */
export class EndpointRoleCommand extends EndpointEditCommand {
  static override paths = [["endpoint", "role"]];
  static override usage = clipanion.Command.Usage({
    description: "set the role of an endpoint: prefill, decode, mixed or auto",
  });
  role = clipanion.Option.String({ name: "role" });

  protected edit(document: yaml.Document): void {
    document.setIn(["endpoints", this.endpoint, "role"], this.role);
  }
}

/** Replaces an endpoint: adds a new one with the old one's settings and drains the old one. */
export class EndpointReplaceCommand extends EndpointEditCommand {
  static override paths = [["endpoint", "replace"]];
  static override usage = clipanion.Command.Usage({
    description: "add a new endpoint with the settings of an old one, and drain the old one",
  });
  name = clipanion.Option.String("--name", { required: true, description: "name of the new endpoint" });
  url = clipanion.Option.String("--url", { required: true, description: "address of the new endpoint" });

  protected edit(document: yaml.Document): void {
    const settings = (document.toJS() as { endpoints: Record<string, object> }).endpoints[this.endpoint];
    document.setIn(["endpoints", this.name], { ...settings, url: this.url, state: "active" });
    document.setIn(["endpoints", this.endpoint, "state"], "draining");
  }
}
