import * as neverthrow from "neverthrow";
import * as yaml from "yaml";
import type * as adminClient from "./adminClient.js";

/** A team's configuration document with its version. */
export interface TeamDocumentReply {
  readonly text: string;
  readonly version: number;
  readonly author: string;
  readonly revision: number;
}

/** The reply to an accepted change. */
export interface AcceptedReply {
  readonly version: number;
  readonly revision: number;
}

type EditResult<Value> = Promise<neverthrow.Result<Value, adminClient.CliProblem>>;

const MAX_EDIT_ATTEMPTS = 3;

/**
 * Changes one path of a team's document and keeps the rest, including comments.
 * If another operator changes the document at the same time, the edit is applied
 * again to the new version; this is safe because it sets only its own path.
 *
 * @param client - client of any daemon
 * @param team - name of the team
 * @param author - author of the change
 * @param edit - changes the document, or returns why it can't be changed
 * @returns the accepted change, or the problem
 */
export async function editDocument(
  client: adminClient.AdminClient,
  team: string,
  author: string,
  edit: (document: yaml.Document) => string | undefined,
): EditResult<AcceptedReply> {
  for (let attempt = 1; ; attempt++) {
    const current = await client.get<TeamDocumentReply>(`/admin/teams/${team}`);
    if (current.isErr()) return neverthrow.err(current.error);
    const document = yaml.parseDocument(current.value.text);
    const problem = edit(document);
    if (problem !== undefined) {
      return neverthrow.err({
        title: "unknown-endpoint",
        detail: problem,
        remedy: "run 'camphorcourse endpoint list' to see the endpoints",
      });
    }
    const change = { text: document.toString(), expectedVersion: current.value.version, author };
    const written = await client.put<AcceptedReply>(`/admin/teams/${team}`, change);
    const conflicted = written.isErr() && written.error.title === "configuration-conflict";
    if (!conflicted || attempt === MAX_EDIT_ATTEMPTS) return written;
  }
}

/**
 * Checks that a document contains an endpoint.
 *
 * @param document - a team's document
 * @param endpoint - name of the endpoint
 * @returns an error text if the endpoint is missing, otherwise undefined
 */
export function describeMissingEndpoint(document: yaml.Document, endpoint: string): string | undefined {
  return document.hasIn(["endpoints", endpoint]) ? undefined : `the document has no endpoint '${endpoint}'`;
}
