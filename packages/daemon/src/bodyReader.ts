import type * as http from "node:http";
import * as common from "@camphorcourse/common";
import * as neverthrow from "neverthrow";

const BODY_TIMEOUT_MS = 10_000;

/**
 * Reads the body of a request. Buffers at most `limit` bytes and fails if the
 * body takes longer than 10 s to arrive.
 *
 * @param incoming - the request
 * @param limit - maximum size in bytes
 * @returns the body, or a `BadRequest` or `BodyTooLarge` problem
 */
export function readBody(
  incoming: http.IncomingMessage,
  limit: number,
): Promise<neverthrow.Result<Buffer, common.Problem>> {
  return new Promise((resolve) => {
    const stated = incoming.headers["content-length"];
    const statedBytes = stated === undefined ? undefined : Number(stated);
    const body = new common.BodyBuffer(statedBytes);
    const timer = setTimeout(() => {
      finish(neverthrow.err(common.problem(common.ProblemKind.BadRequest, "the body took longer than 10 s to arrive")));
    }, BODY_TIMEOUT_MS);
    const finish = (result: neverthrow.Result<Buffer, common.Problem>): void => {
      clearTimeout(timer);
      incoming.removeAllListeners("data");
      if (result.isErr()) incoming.pause();
      resolve(result);
    };
    const isTooLarge = (bytes: number): boolean => {
      if (bytes <= limit) return false;
      finish(neverthrow.err(common.problem(common.ProblemKind.BodyTooLarge, `the body exceeds ${limit} bytes`)));
      return true;
    };
    if (isTooLarge(statedBytes ?? 0)) return;
    incoming.on("data", (chunk: Buffer) => {
      if (!isTooLarge(body.length + chunk.length)) body.append(chunk);
    });
    incoming.once("end", () => {
      finish(neverthrow.ok(body.join()));
    });
    incoming.once("close", () => {
      finish(
        neverthrow.err(
          common.problem(common.ProblemKind.BadRequest, "the connection closed before the body was complete"),
        ),
      );
    });
  });
}
