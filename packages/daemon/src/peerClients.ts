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
   * Calls a peer. After a failure the next calls take new connections, so that
   * none waits on one that has silently died. Calls under way go on where they
   * are: one of them may be a duplicate's long wait for its answer.
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
      this.#retire(url, connection);
      return undefined;
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const { agent } of this.#connections.values()) agent.destroy();
    this.#connections.clear();
  }

  /** The old connections close by themselves as their calls end. */
  #retire(url: string, connection: PeerConnection): void {
    if (this.#connections.get(url) === connection) this.#connections.delete(url);
    const agent = connection.agent as http.Agent & { keepAlive: boolean };
    agent.keepAlive = false;
    for (const sockets of Object.values(agent.freeSockets)) for (const socket of sockets ?? []) socket.destroy();
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
