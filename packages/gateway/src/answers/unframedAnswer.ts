import * as serving from "@camphorcourse/serving";
import type * as exchangeParts from "../exchangeParts.js";
import * as sendings from "../sending.js";

/** Statuses whose answers have no body, so that they end with their head. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * @param head - status and headers of an endpoint's answer
 * @returns whether only the close of its connection delimits its body
 */
export function endsWithConnection({
  status,
  headers,
}: {
  readonly status: number;
  readonly headers: sendings.AnswerHeaders;
}): boolean {
  return !sendings.isFramed(headers) && !BODILESS_STATUSES.has(status);
}

/**
 * Completes an answer that ended with its connection, unless its endpoint may have ended: the operating system closes the
 * connections of an ended process in order, like an endpoint that has written all of its answer.
 *
 * @param send - the send that was answered, which is over
 * @param complete - handles the complete answer; not called if the request ends meanwhile
 */
export async function completeUnlessCut(
  { active, context, end, results }: exchangeParts.AnsweredSend,
  complete: () => void,
): Promise<void> {
  const mayBeCut = await context.crashDetector.mayHaveCrashed(active.endpoint);
  if (end.over) return;
  if (mayBeCut) results.broken(active, serving.SendOutcome.Unknown, "the endpoint is gone as the answer ended");
  else complete();
}
