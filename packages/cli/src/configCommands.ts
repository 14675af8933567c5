import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as clipanion from "clipanion";
import * as diff from "diff";
import * as typanion from "typanion";
import * as adminCommand from "./adminCommand.js";
import type * as teamDocuments from "./teamDocuments.js";

const POLL_INTERVAL_MS = 100;

interface InForceReply {
  readonly inForce: string[];
  readonly pending: string[];
}

/** Base class of the commands that read or change one team's configuration document. */
export abstract class TeamCommand extends adminCommand.AdminCommand {
  team = clipanion.Option.String("--team", "", {
    env: "CAMPHORCOURSE_TEAM",
    description: "name of the team [CAMPHORCOURSE_TEAM]",
  });
  author = clipanion.Option.String("--author", os.userInfo().username, {
    env: "CAMPHORCOURSE_AUTHOR",
    description: "author of the change [CAMPHORCOURSE_AUTHOR]",
  });
  wait = clipanion.Option.Boolean("--wait", false, {
    description: "wait until the change is in force on all daemons",
  });
  waitMs = clipanion.Option.String("--wait-ms", "10000", {
    validator: typanion.isNumber(),
    description: "maximum time to wait in milliseconds",
  });

  /** {@inheritDoc clipanion.Command.validateAndExecute} */
  override async validateAndExecute(): Promise<number> {
    if (this.team !== "") return super.validateAndExecute();
    const remedy = "set the team with --team or CAMPHORCOURSE_TEAM";
    return this.fail({ title: "invalid-setting", detail: "--team is missing", remedy });
  }

  /**
   * Prints an accepted change and, with `--wait`, waits until it is in force on all daemons.
   *
   * @param accepted - the accepted change
   * @returns the exit code
   */
  protected async reportAccepted(accepted: teamDocuments.AcceptedReply): Promise<adminCommand.ExitCode> {
    const { version, revision } = accepted;
    if (this.json) this.context.stdout.write(`${JSON.stringify(accepted)}\n`);
    else this.context.stdout.write(`accepted version=${version} revision=${revision}\n`);
    return this.wait ? this.#waitInForce(revision) : adminCommand.ExitCode.Done;
  }

  async #waitInForce(revision: number): Promise<adminCommand.ExitCode> {
    const deadline = Date.now() + this.waitMs;
    for (;;) {
      const reply = await this.client().get<InForceReply>(`/admin/in-force/${revision}`);
      if (reply.isErr()) return this.fail(reply.error);
      const { inForce, pending } = reply.value;
      const total = inForce.length + pending.length;
      this.context.stderr.write(
        `in force on ${inForce.length} of ${total} daemons${pending.length > 0 ? `, not yet: ${pending.join(" ")}` : ""}\n`,
      );
      if (pending.length === 0) return adminCommand.ExitCode.Done;
      if (Date.now() > deadline) return adminCommand.ExitCode.NotYetInForce;
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}

/** Prints a team's configuration document. */
export class ConfigGetCommand extends TeamCommand {
  static override paths = [["config", "get"]];
  static override usage = clipanion.Command.Usage({ description: "print a team's configuration document" });

  async execute(): Promise<adminCommand.ExitCode> {
    const reply = await this.client().get<teamDocuments.TeamDocumentReply>(`/admin/teams/${this.team}`);
    if (reply.isErr()) return this.fail(reply.error);
    this.context.stdout.write(this.json ? `${JSON.stringify(reply.value)}\n` : reply.value.text);
    if (!this.json) this.context.stderr.write(`version=${reply.value.version} author=${reply.value.author}\n`);
    return adminCommand.ExitCode.Done;
  }
}

/** Replaces a team's configuration document by a file. */
export class ConfigApplyCommand extends TeamCommand {
  static override paths = [["config", "apply"]];
  static override usage = clipanion.Command.Usage({
    description: "replace a team's configuration document by a file",
    details: "The change is refused if the document was changed after --base-version, by default the current version.",
  });
  baseVersion = clipanion.Option.String("--base-version", {
    validator: typanion.isNumber(),
    description: "document version that the change is based on",
  });
  file = clipanion.Option.String({ name: "file" });

  async execute(): Promise<adminCommand.ExitCode> {
    const text = await fs.readFile(this.file, "utf8");
    const expectedVersion = this.baseVersion ?? (await this.#currentVersion());
    const body = { text, expectedVersion, author: this.author };
    const written = await this.client().put<teamDocuments.AcceptedReply>(`/admin/teams/${this.team}`, body);
    return written.isErr() ? this.fail(written.error) : this.reportAccepted(written.value);
  }

  async #currentVersion(): Promise<number> {
    const reply = await this.client().get<teamDocuments.TeamDocumentReply>(`/admin/teams/${this.team}`);
    return reply.isOk() ? reply.value.version : 0;
  }
}

/** Shows the difference between a team's current document and a file. */
export class ConfigDiffCommand extends TeamCommand {
  static override paths = [["config", "diff"]];
  static override usage = clipanion.Command.Usage({
    description: "show the difference between a team's current document and a file",
  });
  file = clipanion.Option.String({ name: "file" });

  async execute(): Promise<adminCommand.ExitCode> {
    const text = await fs.readFile(this.file, "utf8");
    const reply = await this.client().get<teamDocuments.TeamDocumentReply>(`/admin/teams/${this.team}`);
    if (reply.isErr()) return this.fail(reply.error);
    const header = `version ${reply.value.version} in force`;
    this.context.stdout.write(
      diff.createTwoFilesPatch(this.team, this.file, reply.value.text, text, header, "proposed"),
    );
    return adminCommand.ExitCode.Done;
  }
}

/** Lists the versions of a team's configuration document. */
export class ConfigHistoryCommand extends TeamCommand {
  static override paths = [["config", "history"]];
  static override usage = clipanion.Command.Usage({
    description: "list the versions of a team's configuration document",
  });

  async execute(): Promise<adminCommand.ExitCode> {
    const reply = await this.client().get<{ version: number; author: string; acceptedAt: number; text: string }[]>(
      `/admin/teams/${this.team}/history`,
    );
    const rows = reply.map((records) =>
      records.map(({ version, author, acceptedAt, text }) => ({
        version,
        author,
        accepted: new Date(acceptedAt).toISOString(),
        bytes: text.length,
      })),
    );
    return this.show(rows);
  }
}
