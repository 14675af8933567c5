import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerPulses from "../src/heartbeatSocket.js";

const PORT = 31_700 + (process.pid % 1_000);

const suite = uvu.suite("a pulse that can't be written as it is");

// An estimate that had become no number was told as a load. The message library throws for it ("invalid uint32: NaN"),
// in the timer of the pulses, and the daemon ended by itself with code 1: four requests on kept connections were cut.
// The others must still hear that it lives and what has left; its figures they do without.
suite("is told without its figures, and ends nothing", async () => {
  const problems: string[] = [];
  const heard: messages.Pulse[] = [];
  const note = (detail: string): unknown => problems.push(detail);
  const speaker = new peerPulses.PeerPulse(() => undefined, note);
  const hearer = new peerPulses.PeerPulse((pulse) => heard.push(pulse), note);
  await hearer.listen({ host: "127.0.0.1", port: PORT });
  const departures = [{ endpoint: "e1", revision: 7n, startedAtMs: 0n, setAside: false }];
  const pulse = protobuf.create(messages.PulseSchema, {
    vm: "vm-1",
    ready: true,
    departures,
    readingLoadThousandths: Number.NaN,
    eventsPerSecond: 12,
  });
  speaker.say(pulse, [`127.0.0.1:${PORT}`]);
  for (let turn = 0; turn < 100 && heard.length === 0; turn++) await new Promise((resolve) => setTimeout(resolve, 10));
  speaker.close();
  hearer.close();
  assert.is(heard[0]?.vm, "vm-1");
  assert.is(heard[0]?.departures[0]?.endpoint, "e1");
  assert.is(heard[0]?.eventsPerSecond, 0);
  assert.is(problems.length, 1);
  assert.match(problems[0] ?? "", /without its figures.*NaN/);
});

// The time until the next pulse was no whole number in a fleet of sixty. The pulse without its figures still held it, so
// the library threw again, in a timer, and daemons ended by themselves all day long.
suite("is told whichever of its figures is none", async () => {
  const problems: string[] = [];
  const heard: messages.Pulse[] = [];
  const note = (detail: string): unknown => problems.push(detail);
  const speaker = new peerPulses.PeerPulse(() => undefined, note);
  const hearer = new peerPulses.PeerPulse((pulse) => heard.push(pulse), note);
  await hearer.listen({ host: "127.0.0.1", port: PORT });
  const wrong = [
    { nextWithinMs: 744.2 },
    { busyThousandths: Number.NaN },
    { capacityThousandths: -1 },
    { storeSilentMs: 0.5 },
  ];
  for (const figures of wrong) {
    speaker.say(protobuf.create(messages.PulseSchema, { vm: "vm-1", ...figures }), [`127.0.0.1:${PORT}`]);
  }
  const all = wrong.length;
  for (let turn = 0; turn < 100 && heard.length < all; turn++) await new Promise((resolve) => setTimeout(resolve, 10));
  speaker.close();
  hearer.close();
  assert.is(heard.length, all);
  assert.is(problems.length, all);
});

// A daemon that takes the callers of forty VMs has work at most engines. Told without any of it, as a pulse over the size
// was, the others would send their own prompts to the engines that it has filled.
suite("over the size tells where most of the work is", async () => {
  const heard: messages.Pulse[] = [];
  const ignore = (): void => undefined;
  const speaker = new peerPulses.PeerPulse(ignore, ignore);
  const hearer = new peerPulses.PeerPulse((pulse) => heard.push(pulse), ignore);
  await hearer.listen({ host: "127.0.0.1", port: PORT });
  const work = Array.from({ length: 82 }, (_, index) => ({
    $typeName: "camphorcourse.gateway.v1.EndpointWork" as const,
    endpoint: `i-0123456789${index}`,
    running: 3,
    unread: [0, 0, 0, index * 100],
  }));
  speaker.say(protobuf.create(messages.PulseSchema, { vm: "vm-1", work }), [`127.0.0.1:${PORT}`]);
  for (let turn = 0; turn < 100 && heard.length === 0; turn++) await new Promise((resolve) => setTimeout(resolve, 10));
  speaker.close();
  hearer.close();
  const told = heard[0]?.work.map(({ endpoint }) => endpoint) ?? [];
  assert.ok(told.length >= 20, `${told.length}`);
  assert.ok(told.includes("i-012345678981"));
});

// Another process has the port. The socket's error was only logged, and the daemon waited for ever for its port: it was
// up, took no part in the fleet and was never ready, and nothing started it again. Its start fails instead.
suite("a port that can't be had fails the start", async () => {
  const ignore = (): void => undefined;
  const first = datagrams.createSocket("udp4");
  await new Promise<void>((resolve) => first.bind(PORT, "127.0.0.1", resolve));
  const pulse = new peerPulses.PeerPulse(ignore, ignore);
  const failed = pulse.listen({ host: "127.0.0.1", port: PORT }).catch((error: unknown) => String(error));
  const waited = new Promise((resolve) => setTimeout(resolve, 500, "waits for ever"));
  const outcome = await Promise.race([failed, waited]);
  first.close();
  pulse.close();
  assert.match(String(outcome), /EADDRINUSE/);
});

suite.run();
