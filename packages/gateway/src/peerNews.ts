import * as http from "node:http";
import * as messages from "@camphorcourse/protocol/gateway";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import type * as settingsModule from "./settings.js";

/** Timeout for sending news to one peer, in milliseconds. */
const SEND_TIMEOUT_MS = 800;

/**
 * Starts the RPC server that receives news.
 *
 * @param address - address to listen on
 * @param onNews - called with received news; returns the revision of the configuration in force afterwards
 * @returns the server, once it listens
 */
export function serveNews(
  address: settingsModule.SocketAddress,
  onNews: (news: messages.News) => number,
): Promise<http.Server> {
  const handler = connectNode.connectNodeAdapter({
    routes: (router) => {
      router.service(messages.GatewayPeer, {
        tell: (news) => ({ configurationRevision: BigInt(onNews(news)) }),
      });
    },
  });
  const server = http.createServer(handler);
  return new Promise((resolve) => {
    server.listen({ host: address.host, port: address.port }, () => {
      resolve(server);
    });
  });
}

/** Sends news to peers over connections that are opened on first use. */
export class NewsClient {
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

  #client(address: string): connect.Client<typeof messages.GatewayPeer> {
    let client = this.#clients.get(address);
    if (client === undefined) {
      const transport = connectNode.createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "1.1" });
      client = connect.createClient(messages.GatewayPeer, transport);
      this.#clients.set(address, client);
    }
    return client;
  }
}
