import * as neverthrow from "neverthrow";
import * as yaml from "yaml";
import type * as adminClient from "./adminClient.js";

/** A team's document with its version. */
export interface TeamDocumentReply {
  readonly text: string;
  readonly version: number;
  readonly author: string;
  readonly revision: number;
}

/** A change that was accepted. */
export interface AcceptedReply {
  readonly version: number;
  readonly revision: number;
}

type Edited<Value> = Promise<neverthrow.Result<Value, adminClient.ToolProblem>>;

const EDIT_TRIES = 3;

/**
 * Changes one path of a team's document and leaves the rest, comments
 * included, as it is. When another operator's change comes between, the path
 * is set in their version: the two changes don't touch each other.
 *
 * @param client - of a daemon
 * @param team - the team
 * @param author - who makes the change
 * @param edit - changes the document
 * @returns the accepted change
 */
export async function editDocument(
  client: adminClient.AdminClient,
  team: string,
  author: string,
  edit: (document: yaml.Document) => string | undefined,
): Edited<AcceptedReply> {
  for (let attempt = 1; ; attempt++) {
    const present = await client.get<TeamDocumentReply>(`/admin/teams/${team}`);
    if (present.isErr()) return neverthrow.err(present.error);
    const document = yaml.parseDocument(present.value.text);
    const fault = edit(document);
    if (fault !== undefined) {
      return neverthrow.err({
        title: "unknown-endpoint",
        detail: fault,
        remedy: "'camphorcourse endpoint list' lists them",
      });
    }
    const change = { text: document.toString(), expectedVersion: present.value.version, author };
    const written = await client.put<AcceptedReply>(`/admin/teams/${team}`, change);
    const raced = written.isErr() && written.error.title === "configuration-conflict";
    if (!raced || attempt === EDIT_TRIES) return written;
  }
}

/**
 * @param document - a team's document
 * @param endpoint - name of an endpoint in it
 * @returns why the endpoint can't be changed, or undefined
 */
export function missingEndpoint(document: yaml.Document, endpoint: string): string | undefined {
  return document.hasIn(["endpoints", endpoint]) ? undefined : `the document has no endpoint '${endpoint}'`;
}
