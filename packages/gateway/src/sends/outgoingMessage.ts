import * as serving from "@camphorcourse/serving";
import type * as exchangeParts from "../exchangeParts.js";
import type * as ports from "../ports.js";
import type * as sendings from "../sending.js";
import * as plannedSends from "./plannedSend.js";

/**
 * @param parts - what belongs to the request
 * @param planned - the send
 * @param urgency - urgency of its prompt, if it has one
 * @param backup - the engine that keeps a copy of the run, if one does
 * @returns the message to the endpoint
 */
export function createMessage(
  { context, handover, served }: Pick<exchangeParts.ExchangeParts, "context" | "handover" | "served">,
  planned: plannedSends.PlannedSend,
  urgency: number | undefined,
  backup: serving.Endpoint | undefined,
): sendings.OutgoingRequest {
  const { resume } = planned;
  // The copy at a backup has no handle of its own that would be freed.
  const source = resume?.isBackup === true ? { engine: resume.source, handle: resume.handle } : handover.prefilled;
  const { lastEventId } = served.progress;
  const sendHeaders: Omit<ports.SendHeaders, "deadlineMs"> = {
    endpointId: planned.endpoint.id,
    access: served.access,
    ...(urgency === undefined ? {} : { urgency }),
    ...(planned.stage === plannedSends.Stage.Prefill ? { prefillOnly: true } : {}),
    ...(source === undefined ? {} : { source: { address: source.engine.address, handle: source.handle } }),
    ...(planned.plan?.copySource === undefined ? {} : { copyFrom: planned.plan.copySource.address }),
    ...(backup === undefined ? {} : { backup: backup.address }),
    ...(lastEventId === undefined ? {} : { lastEventId }),
  };
  const createHeaders = (): string[] =>
    context.format.writeRequestHeaders(served.caller.headers, {
      ...sendHeaders,
      deadlineMs: Math.max(0, Math.floor(served.remainingMs)),
    });
  const body = served.body.length === 0 ? undefined : served.body;
  const { method, target: path } = served.caller;
  // The answer to HEAD names the length of a body that doesn't follow, which a peer could not pass back.
  const passOnAs = method === "HEAD" || resume?.isReturn === true ? {} : { passOnAs: served.id };
  return {
    method,
    path,
    createHeaders,
    body,
    call: callOf(planned),
    answerId: served.id,
    sendBefore: served.deadlineAt,
    ...passOnAs,
  };
}

function callOf({ resume, stage }: plannedSends.PlannedSend): serving.AnsweredCall {
  if (stage === plannedSends.Stage.Prefill) return serving.AnsweredCall.Prefill;
  return resume?.isReturn === true ? serving.AnsweredCall.Return : serving.AnsweredCall.Run;
}
