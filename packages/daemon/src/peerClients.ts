import * as http from "node:http";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as protocol from "@camphorcourse/protocol";

type PeerClient = connect.Client<typeof protocol.Peer>;

interface PeerConnection {
  readonly client: PeerClient;
  readonly agent: http.Agent;
}

/** Clients of the other daemons, one an address. */
export class PeerClients {
  readonly #connections = new Map<string, PeerConnection>();

  /**
   * Calls a peer. After a failure all connections to it are given up, so that
   * the next call does not wait on one that has silently died.
   *
   * @param url - the peer's address
   * @param call - what to call
   * @returns the reply, or undefined if there was none
   */
  async call<Reply>(url: string, call: (client: PeerClient) => Promise<Reply>): Promise<Reply | undefined> {
    const connection = this.#connection(url);
    try {
      return await call(connection.client);
    } catch {
      connection.agent.destroy();
      this.#connections.delete(url);
      return undefined;
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const { agent } of this.#connections.values()) agent.destroy();
    this.#connections.clear();
  }

  #connection(url: string): PeerConnection {
    const present = this.#connections.get(url);
    if (present) return present;
    const agent = new http.Agent({ keepAlive: true });
    const transport = connectNode.createConnectTransport({ baseUrl: url, httpVersion: "1.1", nodeOptions: { agent } });
    const connection = { client: connect.createClient(protocol.Peer, transport), agent };
    this.#connections.set(url, connection);
    return connection;
  }
}
