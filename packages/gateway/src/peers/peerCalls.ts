import * as http from "node:http";
import * as stream from "node:stream";
import * as httpServers from "@camphorcourse/common/http";
import * as messages from "@camphorcourse/protocol/gateway";
import type * as common from "@camphorcourse/common";
import type * as serving from "@camphorcourse/serving";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import type * as pathMonitors from "../paths/pathMonitor.js";
import * as relayMessages from "../paths/relayMessage.js";
import type * as settingsModule from "../settings.js";
import type * as streamOrigins from "../streams/streamOrigins.js";
import * as streamRecordCodec from "../streams/streamRecordCodec.js";

/** Largest message of a peer in bytes: the largest configuration, and the entries of hundreds of endpoints and daemons. */
const MAX_MESSAGE_BYTES = 16_777_216;

/** Time for the message of a call, in milliseconds; the caller waits for its answer less long. */
const READ_TIMEOUT_MS = 2_000;

const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

/** Timeout for sending news to one peer, in milliseconds. */
const SEND_TIMEOUT_MS = 800;

/** Timeout for asking a peer whether it reaches an endpoint, in milliseconds: it may have to connect first. */
const PROBE_TIMEOUT_MS = 600;

/** Handles the calls of other daemons. */
export interface PeerCallHandler {
  /** @param news - received news; @returns the revision of the configuration in force afterwards */
  onNews(news: messages.News): number;
  /** @param endpointId - an endpoint that the peer can't connect to; @returns whether this daemon reaches it */
  onProbe(endpointId: string): Promise<pathMonitors.PeerFinding>;
  /** @param query - a stream that a caller of the peer takes up; @returns what began it, if this daemon knows */
  onStreamQuery(query: streamOrigins.StreamQuery): serving.StreamOrigin | undefined;
  /** Handles a request that a peer passes on. */
  onRelay(incoming: http.IncomingMessage, response: http.ServerResponse): void;
}

/** What the server for the calls of other daemons needs. */
export interface PeerServerParts {
  /** Reads the messages. */
  readonly bodies: httpServers.RequestBodies;
  /** Bounds of its connections and requests. */
  readonly bounds: common.ConnectionBounds;
}

/**
 * Starts the server for the calls of other daemons.
 *
 * @param address - address to listen on
 * @param handler - handles the calls
 * @param parts - what the server needs
 * @returns the server, once it listens
 */
export function servePeers(
  address: settingsModule.SocketAddress,
  handler: PeerCallHandler,
  { bodies, bounds }: PeerServerParts,
): Promise<http.Server> {
  const handleRpc = connectNode.connectNodeAdapter({
    routes: (router) => {
      router.service(messages.GatewayPeer, {
        tell: (news) => ({ configurationRevision: BigInt(handler.onNews(news)) }),
        probe: ({ endpoint }) => handler.onProbe(endpoint),
        findStream: ({ attempt, host, path }) => {
          const origin = handler.onStreamQuery({ attempt: streamRecordCodec.fromMessageAttempt(attempt), host, path });
          return { isKnown: origin !== undefined, ...origin };
        },
      });
    },
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
  const guard = new httpServers.ConnectionGuard({ bounds, close: (socket) => socket.destroy() });
  const server = http.createServer(httpServers.SERVER_OPTIONS, (incoming, response) => {
    const request = guard.begin(response);
    if (request === undefined) return;
    if (request.isRejected) {
      bodies.unread.refuse(response, UNAVAILABLE);
      return;
    }
    incoming.once("end", () => request.noteRunning());
    if (incoming.url === relayMessages.RELAY_PATH) handler.onRelay(incoming, response);
    else void handleCall(handleRpc, bodies, incoming, response);
  });
  httpServers.limitHeaderLines(server);
  guard.attach(server);
  return new Promise((resolve) => {
    server.listen({ host: address.host, port: address.port }, () => {
      resolve(server);
    });
  });
}

/** The library keeps each part of a message by itself, so that it gets the message as a whole. */
async function handleCall(
  handleRpc: http.RequestListener,
  bodies: httpServers.RequestBodies,
  incoming: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const deadlineAt = performance.now() + READ_TIMEOUT_MS;
  const reader = bodies.read(incoming, { maxBytes: MAX_MESSAGE_BYTES, deadlineAt: () => deadlineAt });
  response.once("close", () => reader.release());
  const message = await reader.result;
  if (message.isErr()) {
    bodies.unread.refuse(response, UNAVAILABLE);
    return;
  }
  const { headers, httpVersion, method, socket, url } = incoming;
  const whole = Object.assign(stream.Readable.from([message.value]), { headers, httpVersion, method, socket, url });
  try {
    handleRpc(whole as unknown as http.IncomingMessage, response);
  } catch {
    // The library throws for a request without a valid host, before it answers; uncaught, that would end the daemon.
    response.writeHead(BAD_REQUEST, { connection: "close" });
    response.end();
  }
}

/** Calls other daemons over connections that are opened on first use. */
export class PeerClient {
  readonly #clients = new Map<string, connect.Client<typeof messages.GatewayPeer>>();

  /**
   * Sends news to one peer.
   *
   * @param address - IP:PORT of the peer
   * @param news - the news to send
   */
  async send(address: string, news: Omit<messages.News, "$typeName" | "$unknown">): Promise<void> {
    await this.#client(address).tell(news, { timeoutMs: SEND_TIMEOUT_MS });
  }

  /**
   * Asks one peer whether it reaches an endpoint.
   *
   * @param address - IP:PORT of the peer
   * @param endpoint - id of the endpoint
   * @returns what it finds
   */
  async probe(address: string, endpoint: string): Promise<pathMonitors.PeerFinding> {
    return this.#client(address).probe({ endpoint }, { timeoutMs: PROBE_TIMEOUT_MS });
  }

  /**
   * Asks one peer what began a stream.
   *
   * @param address - IP:PORT of the peer
   * @param query - the stream
   * @param timeoutMs - time for the answer, in milliseconds
   * @returns what began it, if the peer knows
   */
  async findStream(
    address: string,
    { attempt, host, path }: streamOrigins.StreamQuery,
    timeoutMs: number,
  ): Promise<serving.StreamOrigin | undefined> {
    const query = { attempt: streamRecordCodec.toMessageAttempt(attempt), host, path };
    const { isKnown, service, softwareVersion } = await this.#client(address).findStream(query, { timeoutMs });
    return isKnown ? { service, softwareVersion } : undefined;
  }

  #client(address: string): connect.Client<typeof messages.GatewayPeer> {
    let client = this.#clients.get(address);
    if (client === undefined) {
      const transport = connectNode.createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "1.1",
        readMaxBytes: MAX_MESSAGE_BYTES,
      });
      client = connect.createClient(messages.GatewayPeer, transport);
      this.#clients.set(address, client);
    }
    return client;
  }
}
