import * as datagrams from "node:dgram";
import * as net from "node:net";

const HOST = "127.0.0.1";

/** Port range below the ephemeral ports, so that no outgoing connection takes a port between the check and its use. */
const PORTS = { first: 30_000, count: 2_000 };

let nextPort = PORTS.first + (process.pid % PORTS.count);

/** @returns a port that is currently free for TCP and UDP */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = PORTS.first + ((nextPort + 1 - PORTS.first) % PORTS.count);
    if ((await isFreeForTcp(port)) && (await isFreeForUdp(port))) return port;
  }
}

function isFreeForTcp(port: number): Promise<boolean> {
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

function isFreeForUdp(port: number): Promise<boolean> {
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
