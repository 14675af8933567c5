import * as clipanion from "clipanion";
import * as common from "@camphorcourse/common";
import * as adminCommand from "./adminCommand.js";
import type * as output from "./output.js";

const FOLLOW_INTERVAL_MS = 500;

interface TimelineReply {
  readonly events: {
    readonly stamp: common.HybridTimestamp;
    readonly vm: string;
    readonly kind: string;
    readonly sequence: number;
    readonly fields: Readonly<Record<string, common.Field>>;
  }[];
  readonly silent: string[];
}

/** Shows the state of one daemon. */
export class StatusCommand extends adminCommand.AdminCommand {
  static override paths = [["status"]];
  static override usage = clipanion.Command.Usage({ description: "show a daemon's state, leases and pending changes" });

  async execute(): Promise<adminCommand.ExitCode> {
    const reply = await this.client().get<output.Row>("/admin/status");
    return this.show(reply.map((status) => Object.entries(status).map(([name, value]) => ({ name, value }))));
  }
}

/** Lists the VMs that daemons run on. */
export class VmListCommand extends adminCommand.AdminCommand {
  static override paths = [["vm", "list"]];
  static override usage = clipanion.Command.Usage({ description: "list the VMs that daemons run on" });

  async execute(): Promise<adminCommand.ExitCode> {
    return this.show(await this.client().get<output.Row[]>("/admin/vms"));
  }
}

/** Lists the services with their settings and queues. */
export class ServiceCommand extends adminCommand.AdminCommand {
  static override paths = [["service"], ["service", "list"]];
  static override usage = clipanion.Command.Usage({ description: "list services with their settings and queues" });

  async execute(): Promise<adminCommand.ExitCode> {
    return this.show(await this.client().get<output.Row[]>("/admin/services"));
  }
}

/** Lists the teams. */
export class TeamListCommand extends adminCommand.AdminCommand {
  static override paths = [["team"], ["team", "list"]];
  static override usage = clipanion.Command.Usage({ description: "list the teams (platform operator only)" });

  async execute(): Promise<adminCommand.ExitCode> {
    const reply = await this.client().get<string[]>("/admin/teams");
    return this.show(reply.map((teams) => teams.map((team) => ({ team }))));
  }
}

/** Prints the events of all daemons in causal order (by hybrid timestamp). */
export class TimelineCommand extends adminCommand.AdminCommand {
  static override paths = [["timeline"]];
  static override usage = clipanion.Command.Usage({ description: "print the events of all daemons, one per line" });
  request = clipanion.Option.String("--request", "", { description: "show only events of this request" });
  endpoint = clipanion.Option.String("--endpoint", "", {
    description: "show only events of this endpoint (team/endpoint)",
  });
  follow = clipanion.Option.Boolean("--follow", false, { description: "keep printing new events" });

  async execute(): Promise<adminCommand.ExitCode> {
    const seen = new Set<string>();
    let since = 0;
    for (;;) {
      const query = new URLSearchParams({ request: this.request, endpoint: this.endpoint, since: String(since) });
      const reply = await this.client().get<TimelineReply>(`/admin/timeline?${query.toString()}`);
      if (reply.isErr()) return this.fail(reply.error);
      this.#print(reply.value, seen);
      if (!this.follow) return adminCommand.ExitCode.Done;
      since = Math.max(since, ...reply.value.events.map((event) => event.stamp.wallMs - 1));
      await new Promise((resolve) => setTimeout(resolve, FOLLOW_INTERVAL_MS));
    }
  }

  #print(reply: TimelineReply, seen: Set<string>): void {
    for (const event of reply.events) {
      const id = `${event.vm}/${event.sequence}/${event.stamp.wallMs}`;
      if (seen.has(id)) continue;
      seen.add(id);
      const time = `${new Date(event.stamp.wallMs).toISOString()}+${event.stamp.counter}`;
      const line = common.formatFields({ time, vm: event.vm, event: event.kind, ...event.fields });
      this.context.stdout.write(this.json ? `${JSON.stringify(event)}\n` : `${line}\n`);
    }
    if (reply.silent.length > 0) this.context.stderr.write(`no response from: ${reply.silent.join(" ")}\n`);
  }
}
