import type * as http from "node:http";
import * as common from "@camphorcourse/common";
import * as neverthrow from "neverthrow";

const READ_TIMEOUT_MS = 10_000;

/**
 * Reads a request's body without ever holding more than the limit, and without
 * waiting for a caller that sends slower than the time allows.
 *
 * @param incoming - the request
 * @param limit - largest size in bytes
 * @returns the body, or the problem to answer with
 */
export function readBody(
  incoming: http.IncomingMessage,
  limit: number,
): Promise<neverthrow.Result<Buffer, common.Problem>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => {
      settle(neverthrow.err(common.problem(common.ProblemKind.BadRequest, "the body took longer than 10 s to arrive")));
    }, READ_TIMEOUT_MS);
    const settle = (result: neverthrow.Result<Buffer, common.Problem>): void => {
      clearTimeout(timer);
      incoming.removeAllListeners("data");
      if (result.isErr()) incoming.pause();
      resolve(result);
    };
    incoming.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else settle(neverthrow.err(common.problem(common.ProblemKind.BodyTooLarge, `the body is over ${limit} bytes`)));
    });
    incoming.once("end", () => {
      settle(neverthrow.ok(Buffer.concat(chunks)));
    });
    incoming.once("close", () => {
      settle(neverthrow.err(common.problem(common.ProblemKind.BadRequest, "the body was cut off")));
    });
  });
}
