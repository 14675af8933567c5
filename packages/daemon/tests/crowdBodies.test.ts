import * as standIns from "@camphorcourse/stand-ins";
import * as crowds from "@camphorcourse/stand-ins/crowd";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const BYTES_PER_MEGABYTE = 1_048_576;

/** Memory of a small VM, in megabytes. */
const MEMORY_MEGABYTES = 250;

/** Largest body that the daemon takes by default, in bytes. */
const BODY_BYTES = 4_194_304;

/** Bytes of a body in chunks of one byte: none of these objects may be kept, whatever the limit of the heap. */
const SMALL_CHUNKS_BYTES = 524_288;

/** Descriptors that the daemon may use for its connections. */
const MAX_CONNECTIONS = 100;

/** Descriptors of a process besides its connections. */
const OTHER_DESCRIPTORS = 60;

const OK = 200;

const suite = uvu.suite("a crowd of bodies at the product's own daemon");
let fleet: standIns.Fleet;

suite.before.each(async () => {
  process.env["CAMPHORCOURSE_MAX_CONNECTIONS"] = String(MAX_CONNECTIONS);
  fleet = new standIns.Fleet({ engines: 0, services: 1, daemons: 1 });
  await fleet.start();
});
suite.after.each(() => fleet.stop());

function request(): crowds.CrowdRequest {
  const { host } = new URL(fleet.daemon(0).url);
  return { target: "/v1/services/yard-app/labels", host, lines: [`Authorization: Bearer ${standIns.TEAM_TOKEN}`] };
}

async function callOrdinary(when: string): Promise<void> {
  const response = await fleet.printLabel(0, `key-${when.replaceAll(" ", "-")}`);
  assert.is(response.status, OK, `${when}: an ordinary request`);
}

function check(when: string): void {
  const { child } = fleet.daemon(0);
  assert.ok(child.exitCode === null && child.signalCode === null, `${when}: the process has ended`);
  const peakMegabytes = Math.round(crowds.peakMemoryBytes(child.pid ?? 0) / BYTES_PER_MEGABYTE);
  const descriptors = crowds.openDescriptors(child.pid ?? 0);
  if (process.env["CROWD_FIGURES"] !== undefined)
    console.log(`${when}: ${peakMegabytes} MB at the peak, ${descriptors} descriptors`);
  assert.ok(
    peakMegabytes <= MEMORY_MEGABYTES,
    `${when}: ${peakMegabytes} MB at the peak (limit ${MEMORY_MEGABYTES} MB)`,
  );
  const limit = MAX_CONNECTIONS + OTHER_DESCRIPTORS;
  assert.ok(descriptors <= limit, `${when}: ${descriptors} open descriptors (limit ${limit})`);
}

interface Case {
  readonly name: string;
  readonly connections: number;
  readonly pieces: () => Iterable<Buffer>;
}

const CASES: readonly Case[] = [
  {
    name: "bodies that stop a byte short",
    connections: 60,
    pieces: () => crowds.stated(request(), BODY_BYTES, BODY_BYTES - 1),
  },
  {
    name: "bodies in chunks of one byte, not ended",
    connections: 10,
    pieces: () => crowds.chunked(request(), 1, SMALL_CHUNKS_BYTES),
  },
  {
    name: "connections that send nothing",
    connections: 2 * MAX_CONNECTIONS,
    pieces: () => [],
  },
];

// Guards against a daemon that ends because of the bodies that it holds, or that has no descriptor left.
for (const { name, connections, pieces } of CASES) {
  suite(`${name}: the daemon stays within its memory and descriptors and serves others`, async () => {
    await callOrdinary("before the crowd");
    const crowd = new crowds.Crowd(Number(new URL(fleet.daemon(0).url).port), { connections, pieces });
    try {
      await crowd.standsStill();
      check("beside the crowd");
      await callOrdinary("beside the crowd");
    } finally {
      crowd.leave();
    }
    await callOrdinary("after the crowd");
    check("after the crowd");
  });
}

suite.run();
