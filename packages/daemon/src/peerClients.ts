import * as http from "node:http";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as protocol from "@camphorcourse/protocol";

type PeerClient = connect.Client<typeof protocol.Peer>;

interface PeerConnection {
  readonly client: PeerClient;
  readonly agent: http.Agent;
}

/** Clients of the other daemons, one per address. */
export class PeerClients {
  readonly #connections = new Map<string, PeerConnection>();

  /**
   * Calls a peer. After a failed call the next ones use new connections, so that
   * none waits on a connection that has silently died. Calls in progress keep
   * theirs: one may be a duplicate that waits long for its answer.
   *
   * @param url - address of the peer
   * @param call - makes the call
   * @returns the reply, or undefined if the call failed
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

  /** Stops reusing a client's connections: idle ones close now, the others when their calls end. */
  #retire(url: string, connection: PeerConnection): void {
    if (this.#connections.get(url) === connection) this.#connections.delete(url);
    const agent = connection.agent as http.Agent & { keepAlive: boolean };
    agent.keepAlive = false;
    for (const sockets of Object.values(agent.freeSockets)) for (const socket of sockets ?? []) socket.destroy();
  }

  #connection(url: string): PeerConnection {
    const existing = this.#connections.get(url);
    if (existing) return existing;
    const agent = new http.Agent({ keepAlive: true });
    const transport = connectNode.createConnectTransport({ baseUrl: url, httpVersion: "1.1", nodeOptions: { agent } });
    const connection = { client: connect.createClient(protocol.Peer, transport), agent };
    this.#connections.set(url, connection);
    return connection;
  }
}
