import * as net from "node:net";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as endpointEndDetectors from "../src/endpointCrashDetector.js";

const FINGERPRINTS: serving.Fingerprints = { content: "c1", ofCaller: "o1" };

/** Time in which an endpoint has been looked at, in milliseconds. */
const LOOKED_MS = 150;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

interface Stand {
  readonly ends: endpointEndDetectors.EndpointCrashDetector;
  readonly ended: [id: string, runs: number][];
  readonly lines: string[];
}

function stand(options: { readonly isLeaving?: boolean; readonly hasLiveConnection?: boolean } = {}): Stand {
  const ended: [string, number][] = [];
  const lines: string[] = [];
  const ends = new endpointEndDetectors.EndpointCrashDetector({
    log: new decisionLogs.DecisionLog("vm-1", "info", { writableLength: 0, write: (line) => lines.push(line) > 0 }),
    hasLiveConnection: () => options.hasLiveConnection ?? false,
    isLeaving: () => options.isLeaving ?? false,
    onCrashed: ({ id }, runs) => ended.push([id, runs.length]),
  });
  return { ends, ended, lines };
}

function endpointAt(port: number): serving.Endpoint {
  const role = serving.EngineRole.Decode;
  return { id: "e1", service: "s", address: `127.0.0.1:${port}`, dataCentre: "a", slots: 8, role, leaving: false };
}

async function listening(): Promise<net.Server> {
  const server = net.createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

const portOf = (server: net.Server): number => (server.address() as net.AddressInfo).port;

async function closedPort(): Promise<number> {
  const server = await listening();
  const port = portOf(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}

const run = (): endpointEndDetectors.BrokenRun => ({ fingerprints: FINGERPRINTS, brokeAt: performance.now() });

const suite = uvu.suite("whether an endpoint has ended");

suite("one that refuses connections after some broke has, once for all of them", async () => {
  const { ends, ended, lines } = stand();
  const endpoint = endpointAt(await closedPort());
  for (let index = 0; index < 3; index++) ends.noteBroken(endpoint, run());
  await pause(LOOKED_MS);
  assert.equal(ended, [["e1", 3]]);
  assert.is(lines.filter((line) => line.includes("event=endpoint-ended")).length, 1);
});

// Guards against taking an endpoint that loses answers, or resets connections over its limit, for one that has ended.
suite("one that accepts connections has not, whatever it does with them", async () => {
  const { ends, ended } = stand();
  const server = await listening();
  ends.noteBroken(endpointAt(portOf(server)), run());
  await pause(LOOKED_MS);
  server.close();
  assert.equal(ended, []);
});

suite("one with an open connection has not, and no further connection is made", async () => {
  const { ends, ended } = stand({ hasLiveConnection: true });
  ends.noteBroken(endpointAt(await closedPort()), run());
  await pause(LOOKED_MS);
  assert.equal(ended, []);
});

suite("one that leaves as planned has not crashed", async () => {
  const { ends, ended } = stand({ isLeaving: true });
  ends.noteBroken(endpointAt(await closedPort()), run());
  await pause(LOOKED_MS);
  assert.equal(ended, []);
});

suite.run();
