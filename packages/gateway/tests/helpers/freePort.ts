import * as datagrams from "node:dgram";
import * as net from "node:net";

const HOST = "127.0.0.1";

/** Ports below those that the system gives to outgoing connections, so that none of these takes one meanwhile. */
const PORTS = { first: 30_000, count: 2_000 };

let nextPort = PORTS.first + (process.pid % PORTS.count);

/** @returns a port that is free now, for calls and for datagrams */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = PORTS.first + ((nextPort + 1 - PORTS.first) % PORTS.count);
    if ((await isFreeForCalls(port)) && (await isFreeForDatagrams(port))) return port;
  }
}

function isFreeForCalls(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

function isFreeForDatagrams(port: number): Promise<boolean> {
  const socket = datagrams.createSocket("udp4");
  return new Promise((resolve) => {
    socket.once("error", () => {
      resolve(false);
    });
    socket.bind(port, HOST, () => {
      socket.close(() => {
        resolve(true);
      });
    });
  });
}
