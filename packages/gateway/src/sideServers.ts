import * as http from "node:http";
import * as httpServers from "@camphorcourse/common/http";
import type * as common from "@camphorcourse/common";
import type * as settingsModule from "./settings.js";

/** A server beside the callers' one, by the name of its address in the settings. */
export enum SideServer {
  Addresses = "addresses",
  Readiness = "readiness",
  Metrics = "metrics",
}

/** Answer of a side server. */
export interface SideAnswer {
  /** HTTP status; 200 if absent. */
  readonly status?: number;
  readonly body: string;
  /** Media type of the body; plain text if absent. */
  readonly contentType?: string;
}

/**
 * @param query - the query of the request's URL
 * @returns the answer
 */
export type SideHandler = (query: URLSearchParams) => SideAnswer;

const HTTP_OK = 200;
const NOT_FOUND = 404;
const INTERNAL_ERROR = 500;
const UNAVAILABLE = 503;

const REJECTED: SideAnswer = { status: UNAVAILABLE, body: "too many requests\n" };

/**
 * Starts an HTTP server beside the callers' one that answers GET requests for a few paths. It does without a web framework:
 * those build on `Request` and `Response`, and loading these takes a tenth of the processor time of a start.
 *
 * @param handlers - what answers each path
 * @param address - where to listen
 * @param bounds - bounds of its connections and requests
 * @returns the server, once it is listening
 */
export function listen(
  handlers: Readonly<Record<string, SideHandler>>,
  address: settingsModule.SocketAddress,
  bounds: common.ConnectionBounds,
): Promise<http.Server> {
  const guard = new httpServers.ConnectionGuard({ bounds, close: (socket) => socket.destroy() });
  const unread = new httpServers.UnreadBodies();
  const server = http.createServer(httpServers.SERVER_OPTIONS, (request, response) => {
    const guarded = guard.begin(response);
    if (guarded === undefined) return;
    const { status, body, contentType } = guarded.isRejected ? REJECTED : answerOf(handlers, request);
    const hasBody =
      request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
    response.writeHead(status ?? HTTP_OK, {
      "content-type": contentType ?? "text/plain; charset=UTF-8",
      "content-length": Buffer.byteLength(body),
      ...(hasBody ? { connection: "close" } : {}),
    });
    if (hasBody) {
      response.write(body);
      unread.linger(response);
    } else response.end(body);
  });
  httpServers.limitHeaderLines(server);
  guard.attach(server);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      resolve(server);
    });
  });
}

function answerOf(
  handlers: Readonly<Record<string, SideHandler>>,
  { method, url = "" }: http.IncomingMessage,
): SideAnswer {
  const [path = "", query] = url.split("?", 2);
  const handler = Object.hasOwn(handlers, path) ? handlers[path] : undefined;
  if (handler === undefined || (method !== "GET" && method !== "HEAD"))
    return { status: NOT_FOUND, body: "not found\n" };
  try {
    return handler(new URLSearchParams(query));
  } catch {
    return { status: INTERNAL_ERROR, body: "internal error\n" };
  }
}
