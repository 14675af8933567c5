import type * as http from "node:http";

/** Lines that a head may have. Each costs two strings while the head is unfinished, however short it is. */
export const MAX_HEADER_LINES = 200;

/** Options of a server whose clients are bound by no configuration: limits of a head and of an idle connection. */
export const SERVER_OPTIONS: http.ServerOptions = {
  maxHeaderSize: 16_384,
  headersTimeout: 3_000,
  keepAliveTimeout: 5_000,
  connectionsCheckingInterval: 1_000,
};

/**
 * Bounds the lines of heads. The server leaves out lines beyond its own bound without a word, so that this is one higher: a head
 * with more lines than allowed can be told.
 *
 * @param server - the server
 */
export function limitHeaderLines(server: http.Server): void {
  server.maxHeadersCount = MAX_HEADER_LINES + 1;
}
