import * as net from "node:net";

/** Idle time after which TCP checks that the other side is still there, in milliseconds. */
const KEEP_ALIVE_DELAY_MS = 60_000;

/** Where to connect; the HTTP client names it when it opens a connection. */
export interface ConnectTarget {
  readonly hostname: string;
  readonly port: string | number;
}

/** Receives an established connection, or why there is none. */
export type ConnectCallback = (...result: [error: null, socket: net.Socket] | [error: Error, socket: null]) => void;

/**
 * Creates a connector that gives up in time. The HTTP client's own limit runs on a timer that ticks twice a second, so
 * that an attempt with a limit of 350 ms takes up to a second.
 *
 * @param timeoutMs - time for a connection to be established, in milliseconds
 * @returns a function that connects and calls back once
 */
export function createConnector(timeoutMs: number): (target: ConnectTarget, callback: ConnectCallback) => void {
  return ({ hostname, port }, callback) => {
    const socket = net.connect({
      host: hostname,
      port: Number(port),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
    });
    // After a pause of the process, timers run before socket events: the connection may be established already.
    const timer = setTimeout(() => setImmediate(giveUp), timeoutMs);
    const giveUp = (): void => {
      if (socket.connecting) socket.destroy(new Error(`no connection to ${hostname}:${port} within ${timeoutMs} ms`));
    };
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", fail);
      callback(null, socket);
    });
  };
}
