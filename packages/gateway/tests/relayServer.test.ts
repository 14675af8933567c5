import * as http from "node:http";
import type * as net from "node:net";
import * as httpServers from "@camphorcourse/common/http";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as relayMessages from "../src/paths/relayMessage.js";
import * as relayServers from "../src/paths/relayServer.js";

const suite = uvu.suite("requests that a peer passes on");

/** @returns what a daemon answers that knows the endpoint at v1 and doesn't reach it */
async function resultFor(softwareVersion: string): Promise<string | undefined> {
  const view = new fleetViews.FleetView();
  const endpoint = {
    id: "e1",
    service: "service",
    address: "127.0.0.1:1",
    dataCentre: "a",
    slots: 1,
    role: serving.EngineRole.None,
    leaving: false,
    softwareVersion: "v1",
  };
  view.directory.put(endpoint, 1);
  const relayServer = new relayServers.RelayServer({
    log: new decisionLogs.DecisionLog("vm-1", "info", { writableLength: 0, write: () => true }),
    bodies: new httpServers.RequestBodies({
      limitBytes: 1_000_000,
      otherBytes: () => 0,
      onYielded: () => undefined,
    }),
    view,
    client: { mayReceive: () => true, hasRoom: () => true, hasLiveConnection: () => false } as never,
    monitor: { paths: { pathTo: () => serving.EndpointPath.None } } as never,
    isStopping: () => false,
    liveDaemons: () => 2,
  });
  const server = http.createServer((incoming, response) => void relayServer.handle(incoming, response));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const message = { id: "r1", vm: "vm-2", endpoint: "e1", method: "POST", path: "/x", softwareVersion };
  const body = protobuf.toBinary(
    messages.RelayedRequestSchema,
    protobuf.create(messages.RelayedRequestSchema, message),
  );
  const response = await fetch(`http://127.0.0.1:${port}/`, { method: "POST", body: Buffer.from(body) });
  server.closeAllConnections();
  server.close();
  return response.headers.get(relayMessages.RESULT_HEADER) ?? undefined;
}

// The two daemons know the endpoint by different entries.
suite("are refused if they are for another version of the endpoint's software than the one known here", async () => {
  assert.is(await resultFor("v2"), relayMessages.RelayResult.Refused);
});

suite("are accepted for the known version, and from older daemons that name none", async () => {
  for (const version of ["v1", ""]) assert.is(await resultFor(version), relayMessages.RelayResult.Unreachable);
});

suite.run();
