import type * as http from "node:http";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as ports from "./ports.js";

/** A caller's request, without its body. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  readonly path: string;
  readonly headers: ports.CallerHeaders;
  /** IP address of the caller; empty if the connection is already closed. */
  readonly callerAddress: string;
  readonly arrivedAt: number;
}

/** Why a request is refused before it is routed. */
export interface RequestFault {
  readonly status: serving.FailureStatus;
  readonly detail: string;
}

/** What a head may have. */
export interface HeaderLimits {
  /** Maximum size of request line and headers in bytes. */
  readonly bytes: number;
  readonly lines: number;
}

/** Names and values in the list of a request's headers, which alternate. */
const ENTRIES_PER_LINE = 2;

/** Separator and line end of one header line: ": " and CRLF. */
const HEADER_OVERHEAD_BYTES = 4;

/**
 * Checks and parses the request line and the headers of a request.
 *
 * @param incoming - the request as received
 * @param format - parses the headers
 * @param limits - what its head may have
 * @param now - current instant in milliseconds
 * @returns the request, or what is wrong with it
 */
export function readCallerRequest(
  incoming: http.IncomingMessage,
  format: ports.MessageFormat,
  limits: HeaderLimits,
  now: number,
): neverthrow.Result<CallerRequest, RequestFault> {
  const target = incoming.url ?? "";
  if (headerBytes(incoming) > limits.bytes)
    return fault(serving.FailureStatus.HeadersTooLarge, "the request headers exceed the size limit");
  if (incoming.rawHeaders.length > limits.lines * ENTRIES_PER_LINE)
    return fault(serving.FailureStatus.HeadersTooLarge, `the request has more than ${limits.lines} header lines`);
  if (!target.startsWith("/")) return fault(serving.FailureStatus.BadRequest, "the request target is not a path");
  const hosts = headerValues(incoming.rawHeaders, "host");
  const host = hosts[0];
  if (host === undefined || hosts.length > 1)
    return fault(serving.FailureStatus.BadRequest, "exactly one Host header is required");
  const headers = format.readCaller(incoming.rawHeaders);
  if (headers.isErr()) return fault(serving.FailureStatus.BadRequest, headers.error);
  const queryStart = target.indexOf("?");
  return neverthrow.ok({
    method: incoming.method ?? "GET",
    target,
    host: host.toLowerCase().replace(/:\d+$/, ""),
    path: queryStart < 0 ? target : target.slice(0, queryStart),
    headers: headers.value,
    callerAddress: incoming.socket.remoteAddress ?? "",
    arrivedAt: now,
  });
}

function fault(status: serving.FailureStatus, detail: string): neverthrow.Result<CallerRequest, RequestFault> {
  return neverthrow.err({ status, detail });
}

function headerBytes(incoming: http.IncomingMessage): number {
  let bytes = (incoming.url?.length ?? 0) + (incoming.method?.length ?? 0);
  for (const text of incoming.rawHeaders) bytes += text.length;
  return bytes + (incoming.rawHeaders.length / ENTRIES_PER_LINE) * HEADER_OVERHEAD_BYTES;
}

function headerValues(rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === name) values.push(rawHeaders[index + 1] ?? "");
  }
  return values;
}
