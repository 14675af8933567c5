import * as net from "node:net";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as pathMonitors from "../src/paths/pathMonitor.js";
import * as decisionLogs from "../src/decisionLog.js";
import * as crashDetectors from "../src/endpointCrashDetector.js";

const SUSPECTS = [{ fingerprint: "0123456789abcdef", scope: serving.SuspectScope.Request }];

/** Time within which a check of an endpoint has finished, in milliseconds. */
const CHECKED_MS = 150;

/** Time within which a check of an endpoint that is leaving has finished, in milliseconds. */
const LEAVING_CHECKED_MS = 400;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

interface Fixture {
  readonly detector: crashDetectors.EndpointCrashDetector;
  readonly crashed: [id: string, runs: number][];
  readonly lines: string[];
}

interface Options {
  lastReceivedAt?: number;
  readonly isLeaving?: boolean;
  readonly hasLiveConnection?: boolean;
  /** Error code of a failed connection, instead of the real one. */
  readonly error?: string;
  readonly finding?: { readonly reached: boolean; readonly refused: boolean };
}

function createFixture(options: Options = {}): Fixture {
  const crashed: [string, number][] = [];
  const lines: string[] = [];
  const detector = new crashDetectors.EndpointCrashDetector({
    log: new decisionLogs.DecisionLog("vm-1", "info", { writableLength: 0, write: (line) => lines.push(line) > 0 }),
    lastReceivedAt: () => options.lastReceivedAt ?? 0,
    hasLiveConnection: () => options.hasLiveConnection ?? false,
    probe: async ({ address }) => {
      const error = await pathMonitors.connectOnce(address);
      if (error !== undefined) error.code = options.error ?? error.code;
      return { error, finding: options.finding };
    },
    isLeaving: () => options.isLeaving ?? false,
    onCrashed: ({ id }, runs) => crashed.push([id, runs.length]),
  });
  return { detector, crashed, lines };
}

function endpointAt(port: number): serving.Endpoint {
  const role = serving.EngineRole.Decode;
  return {
    id: "e1",
    service: "s",
    address: `127.0.0.1:${port}`,
    dataCentre: "a",
    slots: 8,
    role,
    leaving: false,
  };
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

const run = (): crashDetectors.BrokenRun => ({ suspects: SUSPECTS, brokeAt: performance.now() });

const suite = uvu.suite("endpoint crash detector");

suite("an endpoint that refuses connections has crashed, reported once for all broken runs", async () => {
  const { detector, crashed, lines } = createFixture();
  const endpoint = endpointAt(await closedPort());
  for (let index = 0; index < 3; index++) detector.noteBroken(endpoint, run());
  await pause(CHECKED_MS);
  assert.equal(crashed, [["e1", 3]]);
  assert.is(lines.filter((line) => line.includes("event=endpoint-ended")).length, 1);
});

// Guards against reporting an endpoint that loses answers, or resets connections over its limit, as crashed.
suite("an endpoint that accepts connections has not crashed, even if it closes them", async () => {
  const { detector, crashed } = createFixture();
  const server = await listening();
  detector.noteBroken(endpointAt(portOf(server)), run());
  await pause(CHECKED_MS);
  server.close();
  assert.equal(crashed, []);
});

suite("an endpoint with an open connection has not crashed, and no new connection is made", async () => {
  const { detector, crashed } = createFixture({ hasLiveConnection: true });
  detector.noteBroken(endpointAt(await closedPort()), run());
  await pause(CHECKED_MS);
  assert.equal(crashed, []);
});

suite("an endpoint that is leaving has not crashed", async () => {
  const { detector, crashed } = createFixture({ isLeaving: true });
  detector.noteBroken(endpointAt(await closedPort()), run());
  await pause(LEAVING_CHECKED_MS);
  assert.equal(crashed, []);
});

// Requests would be blamed for a crash, and quarantined, because this daemon's own path refuses connections.
suite("an endpoint that a peer reaches has not crashed", async () => {
  const { detector, crashed } = createFixture({ finding: { reached: true, refused: false } });
  detector.noteBroken(endpointAt(await closedPort()), run());
  await pause(CHECKED_MS);
  assert.equal(crashed, []);
});

suite("an endpoint that refuses a peer, too, has crashed", async () => {
  const { detector, crashed } = createFixture({ finding: { reached: false, refused: true } });
  detector.noteBroken(endpointAt(await closedPort()), run());
  await pause(CHECKED_MS);
  assert.equal(crashed, [["e1", 1]]);
});

// A request that crashes endpoints would be passed on to one after the other while this daemon's connections hang.
suite("an endpoint that refuses a peer has crashed, though this daemon's connections hang", async () => {
  const { detector, crashed } = createFixture({ error: "ETIMEDOUT", finding: { reached: false, refused: true } });
  detector.noteBroken(endpointAt(await closedPort()), run());
  await pause(CHECKED_MS);
  assert.equal(crashed, [["e1", 1]]);
});

// Guards against a stream that was cut off and looks whole: the asked peer lagged and still took its connections for open.
suite(
  "an endpoint that refuses this daemon, and that no peer reaches, may have crashed, and blames no request",
  async () => {
    const { detector, crashed } = createFixture({ finding: { reached: false, refused: false } });
    assert.is(await detector.mayHaveCrashed(endpointAt(await closedPort())), true);
    assert.equal(crashed, []);
  },
);

suite(
  "an endpoint that a peer reaches or that accepts connections, also while it leaves, has ended its answer by itself",
  async () => {
    const reached = createFixture({ finding: { reached: true, refused: false } }).detector;
    assert.is(await reached.mayHaveCrashed(endpointAt(await closedPort())), false);
    const server = await listening();
    assert.is(await createFixture().detector.mayHaveCrashed(endpointAt(portOf(server))), false);
    assert.is(await createFixture({ isLeaving: true }).detector.mayHaveCrashed(endpointAt(portOf(server))), false);
    server.close();
  },
);

// A run goes on at a second engine once its engine refuses connections: the engine must not be working on it then.
suite("refuses connections if this daemon's own attempt is refused, and no peer says otherwise", async () => {
  const closed = endpointAt(await closedPort());
  const unreached = { reached: false, refused: false };
  const isRefusing = (options: Options): Promise<boolean> => createFixture(options).detector.isRefusing(closed);
  assert.ok(await isRefusing({}));
  assert.ok(await isRefusing({ finding: { reached: false, refused: true } }));
  assert.not.ok(await isRefusing({ hasLiveConnection: true }));
  assert.not.ok(await isRefusing({ finding: { reached: true, refused: false }, isLeaving: true }));
  assert.not.ok(await isRefusing({ error: "ETIMEDOUT", finding: { reached: false, refused: true } }));
  assert.not.ok(await isRefusing({ finding: unreached }));
  assert.ok(await isRefusing({ finding: unreached, isLeaving: true }), "of which the peer knows nothing");
});

suite("doesn't refuse connections while it accepts them", async () => {
  const server = await listening();
  assert.not.ok(await createFixture().detector.isRefusing(endpointAt(portOf(server))));
  server.close();
});

// Guards against streams that are cut as they end, for 5 s after all paths were lost: the endpoint counted as crashed although
// it served again.
suite("an endpoint that was found crashed and has sent data since is checked anew", async () => {
  const server = await listening();
  const port = portOf(server);
  await new Promise((resolve) => server.close(resolve));
  const options: Options = { finding: { reached: false, refused: true } };
  const { detector } = createFixture(options);
  const endpoint = endpointAt(port);
  assert.ok(await detector.mayHaveCrashed(endpoint));
  assert.ok(detector.hasCrashed(endpoint, performance.now()));
  await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
  options.lastReceivedAt = performance.now();
  assert.not.ok(detector.hasCrashed(endpoint, performance.now()));
  assert.not.ok(await detector.mayHaveCrashed(endpoint));
  await new Promise((resolve) => server.close(resolve));
});

// Guards against an answer without a length that looks whole: a leaving endpoint exited in the middle of it, or it crashed and
// its entry was removed before the daemon, whose event loop lagged, handled the end.
suite(
  "an endpoint that leaves or is gone and refuses connections proves no answer whole, and blames no request",
  async () => {
    const { detector, crashed } = createFixture({ isLeaving: true, finding: { reached: false, refused: true } });
    assert.ok(await detector.mayHaveCrashed(endpointAt(await closedPort())));
    assert.equal(crashed, []);
  },
);

// Guards against the same where the endpoint closes its connections shortly before it stops listening.
suite(
  "an endpoint that leaves and stops listening right after the end of an answer proves it no whole one",
  async () => {
    const { detector } = createFixture({ isLeaving: true });
    const server = await listening();
    const isCut = detector.mayHaveCrashed(endpointAt(portOf(server)));
    await pause(40);
    await new Promise((resolve) => server.close(resolve));
    assert.ok(await isCut);
  },
);

suite.run();
