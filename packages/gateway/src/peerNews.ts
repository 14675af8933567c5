import * as http from "node:http";
import * as messages from "@camphorcourse/protocol/gateway";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import type * as settingsModule from "./settings.js";

/** Time for one telling, in milliseconds. */
const TELL_TIMEOUT_MS = 800;

/**
 * @param address - where to listen
 * @param onNews - takes what a peer tells, and returns the revision of the configuration in force after it
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

/** Tells peers over connections that are opened when there is something to tell. */
export class NewsTeller {
  readonly #clients = new Map<string, connect.Client<typeof messages.GatewayPeer>>();

  /**
   * @param address - IP:PORT of the peer
   * @param news - what to tell
   */
  async tell(address: string, news: Omit<messages.News, "$typeName" | "$unknown">): Promise<void> {
    await this.#client(address).tell(news, { timeoutMs: TELL_TIMEOUT_MS });
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
