/** Options of the HTTP servers beside the callers' one, whose clients are bound by no configuration. */
import type * as http from "node:http";

/** Lines that a head may have. Each costs two strings while the head is unfinished, however short it is. */
export const MAX_HEADER_LINES = 200;

/** Limits of a head in bytes and milliseconds, and of the idle time of a connection in milliseconds. */
export const OPTIONS: http.ServerOptions = {
  maxHeaderSize: 16_384,
  headersTimeout: 3_000,
  keepAliveTimeout: 5_000,
  connectionsCheckingInterval: 1_000,
};

/**
 * Bounds the lines of a head, of which the server leaves out what exceeds its bound. It keeps one more, so that a head with more
 * lines can be told.
 *
 * @param server - the server
 */
export function limitHeads(server: http.Server): void {
  server.maxHeadersCount = MAX_HEADER_LINES + 1;
}
