import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as heartbeatSockets from "../src/heartbeatSocket.js";

const PORT = 31_700 + (process.pid % 1_000);

const suite = uvu.suite("a heartbeat that can't be sent as it is");

// An estimate that had become NaN was sent as a load. The protobuf library throws for it ("invalid uint32: NaN"); in
// the timer of the heartbeats this ended the daemon with code 1 and cut four requests on kept connections. The other
// daemons must still learn that it is alive and what has left, without the numeric fields.
suite("is sent without its numeric fields, and doesn't end the process", async () => {
  const problems: string[] = [];
  const received: messages.Pulse[] = [];
  const recordProblem = (detail: string): unknown => problems.push(detail);
  const sender = new heartbeatSockets.HeartbeatSocket(() => undefined, recordProblem);
  const receiver = new heartbeatSockets.HeartbeatSocket((pulse) => received.push(pulse), recordProblem);
  await receiver.listen({ host: "127.0.0.1", port: PORT });
  const departures = [{ endpoint: "e1", revision: 7n, startedAtMs: 0n, setAside: false }];
  const pulse = protobuf.create(messages.PulseSchema, {
    vm: "vm-1",
    ready: true,
    departures,
    readingLoadThousandths: Number.NaN,
    eventsPerSecond: 12,
  });
  sender.send(pulse, [`127.0.0.1:${PORT}`]);
  for (let turn = 0; turn < 100 && received.length === 0; turn++)
    await new Promise((resolve) => setTimeout(resolve, 10));
  sender.close();
  receiver.close();
  assert.is(received[0]?.vm, "vm-1");
  assert.is(received[0]?.departures[0]?.endpoint, "e1");
  assert.is(received[0]?.eventsPerSecond, 0);
  assert.is(problems.length, 1);
  assert.match(problems[0] ?? "", /without its numeric fields.*NaN/);
});

// In a fleet of sixty, the time until the next heartbeat was not a whole number. The heartbeat without its numeric
// fields still contained it, so the library threw again in the timer, and daemons kept ending.
suite("is sent whichever of its numeric fields is invalid", async () => {
  const problems: string[] = [];
  const received: messages.Pulse[] = [];
  const recordProblem = (detail: string): unknown => problems.push(detail);
  const sender = new heartbeatSockets.HeartbeatSocket(() => undefined, recordProblem);
  const receiver = new heartbeatSockets.HeartbeatSocket((pulse) => received.push(pulse), recordProblem);
  await receiver.listen({ host: "127.0.0.1", port: PORT });
  const wrong = [
    { nextWithinMs: 744.2 },
    { busyThousandths: Number.NaN },
    { capacityThousandths: -1 },
    { storeSilentMs: 0.5 },
  ];
  for (const fields of wrong) {
    sender.send(protobuf.create(messages.PulseSchema, { vm: "vm-1", ...fields }), [`127.0.0.1:${PORT}`]);
  }
  const all = wrong.length;
  for (let turn = 0; turn < 100 && received.length < all; turn++)
    await new Promise((resolve) => setTimeout(resolve, 10));
  sender.close();
  receiver.close();
  assert.is(received.length, all);
  assert.is(problems.length, all);
});

// A daemon that takes the callers of forty VMs has work at most engines. If an oversize heartbeat reported none of it,
// the others would send their own prompts to the engines that it has filled.
suite("over the size limit reports where most of the work is", async () => {
  const received: messages.Pulse[] = [];
  const ignore = (): void => undefined;
  const sender = new heartbeatSockets.HeartbeatSocket(ignore, ignore);
  const receiver = new heartbeatSockets.HeartbeatSocket((pulse) => received.push(pulse), ignore);
  await receiver.listen({ host: "127.0.0.1", port: PORT });
  const work = Array.from({ length: 82 }, (_, index) => ({
    $typeName: "camphorcourse.gateway.v1.EndpointWork" as const,
    endpoint: `i-0123456789${index}`,
    running: 3,
    unread: [0, 0, 0, index * 100],
    heldTokens: 0,
  }));
  sender.send(protobuf.create(messages.PulseSchema, { vm: "vm-1", work }), [`127.0.0.1:${PORT}`]);
  for (let turn = 0; turn < 100 && received.length === 0; turn++)
    await new Promise((resolve) => setTimeout(resolve, 10));
  sender.close();
  receiver.close();
  const reported = received[0]?.work.map(({ endpoint }) => endpoint) ?? [];
  assert.ok(reported.length >= 20, `${reported.length}`);
  assert.ok(reported.includes("i-012345678981"));
});

// Another process uses the port. The socket's error was only logged, and the daemon waited forever for its port: it was
// running, took no part in the fleet, never became ready, and was not restarted. Its start has to fail instead.
suite("a port in use fails the start", async () => {
  const ignore = (): void => undefined;
  const first = datagrams.createSocket("udp4");
  await new Promise<void>((resolve) => first.bind(PORT, "127.0.0.1", resolve));
  const socket = new heartbeatSockets.HeartbeatSocket(ignore, ignore);
  const failed = socket.listen({ host: "127.0.0.1", port: PORT }).catch((error: unknown) => String(error));
  const waited = new Promise((resolve) => setTimeout(resolve, 500, "waits forever"));
  const outcome = await Promise.race([failed, waited]);
  first.close();
  socket.close();
  assert.match(String(outcome), /EADDRINUSE/);
});

// When the engines of a data centre leave together, the heartbeat named the last eight of them only. The other daemons
// went on sending requests to the rest until they read the key-value service themselves, seconds later.
suite("names all endpoints that have left, whatever else it holds", async () => {
  const received: messages.Pulse[] = [];
  const fail = (detail: string): never => {
    throw new Error(detail);
  };
  const sender = new heartbeatSockets.HeartbeatSocket(() => undefined, fail);
  const receiver = new heartbeatSockets.HeartbeatSocket((pulse) => received.push(pulse), fail);
  await receiver.listen({ host: "127.0.0.1", port: PORT });
  const departures = Array.from({ length: 30 }, (_, index) => ({
    endpoint: `i-0123456${index}`,
    revision: 1_000_000n,
    startedAtMs: 1_760_000_000_000n,
    setAside: false,
  }));
  const entries = Array.from({ length: 40 }, (_, index) => ({
    id: `i-9876543${index}`,
    revision: 1_000_001n,
    value: Buffer.alloc(220),
  }));
  const work = Array.from({ length: 30 }, (_, index) => ({ endpoint: `i-5555555${index}`, running: 3, unread: [10] }));
  sender.send(protobuf.create(messages.PulseSchema, { vm: "vm-1", departures, entries, work }), [`127.0.0.1:${PORT}`]);
  const isComplete = (): boolean => received.some((pulse) => !pulse.changesOnly);
  for (let turn = 0; turn < 100 && !isComplete(); turn++) await new Promise((resolve) => setTimeout(resolve, 10));
  sender.close();
  receiver.close();
  const departed = new Set(received.flatMap((pulse) => pulse.departures.map(({ endpoint }) => endpoint)));
  assert.is(departed.size, departures.length);
  assert.ok(received.length <= 2, `${received.length} datagrams`);
  assert.ok(received.filter((pulse) => !pulse.changesOnly).length === 1);
});

suite.run();
