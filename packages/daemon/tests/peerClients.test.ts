import * as http from "node:http";
import type * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerClients from "../src/peerClients.js";

const suite = uvu.suite("calls between daemons, over sockets");

/*
 * A duplicate request waits at another daemon for the answer of the running call
 * while a heartbeat to the same daemon times out. The timeout must not abort the
 * wait: the caller would get outcome "unknown" although the call succeeds.
 */
suite("a call that times out doesn't abort other calls to the same daemon", async () => {
  const waiting: http.ServerResponse[] = [];
  const server = http.createServer((request, response) => {
    if (request.url?.endsWith("/Exchange")) return;
    waiting.push(response);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const url = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const clients = new peerClients.PeerClients();
  const joined = clients.call(url, (client) => client.joinAttempt({}, { timeoutMs: 60_000 }));
  const exchanged = await clients.call(url, (client) => client.exchange({}, { timeoutMs: 50 }));
  assert.is(exchanged, undefined);
  // On a busy VM the join request may reach the server after the heartbeat has timed out.
  while (waiting.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  for (const response of waiting) response.writeHead(200, { "content-type": "application/proto" }).end();
  assert.ok(await joined);
  clients.close();
  server.closeAllConnections();
  server.close();
});

suite.run();
