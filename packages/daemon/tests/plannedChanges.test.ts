import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const TOKENS = 120;

const fleet = new standIns.Fleet({ engines: 3, services: 2, daemons: 3, engineFlags: ["--speed", "2"] });
const suite = uvu.suite("operator changes and graceful shutdown, with processes");

suite.before(() => fleet.start());
suite.after(() => {
  fleet.stop();
});

/** Starts streams through the given daemons; the inner promise resolves to the number of complete ones. */
async function beginStreams(name: string, count: number, daemons: readonly number[]): Promise<Promise<number>> {
  const replies = await Promise.all(
    Array.from({ length: count }, (_, index) =>
      fleet.requestCompletion(daemons[index % daemons.length] ?? 0, `${name} ${index}`, TOKENS),
    ),
  );
  const reads = replies.map(async (reply, index) => {
    const read = await standIns.readStream(reply);
    return read.complete && read.text === standIns.expectedAnswer(`${name} ${index}`, TOKENS);
  });
  return Promise.all(reads).then((complete) => complete.filter(Boolean).length);
}

async function startedAt(engine: number): Promise<number> {
  const journal = await fleet.journal(fleet.engines[engine]?.url ?? "");
  return journal.filter((entry) => entry.event === "started").length;
}

async function orderOf(endpoint: string): Promise<string> {
  const endpoints = await fleet.admin<{ endpoint: string; order: string }[]>(0, "/admin/endpoints");
  return endpoints.find((candidate) => candidate.endpoint === endpoint)?.order ?? "";
}

async function journalOf(engine: number): Promise<standIns.JournalEntry[]> {
  return fleet.journal(fleet.engines[engine]?.url ?? "");
}

/*
 * An operator drains an engine while thirty long streams run and the open
 * connections to the key-value service are silent. Every daemon has applied the
 * change when the operator gets the confirmation; from then on the engine gets
 * no new requests, and its running ones complete.
 */
suite("a drained engine gets no new work and its streams complete", async () => {
  const before = await beginStreams("before drain", 30, [0, 1, 2]);
  await fleet.setFaults(fleet.keyValueUrl, { silenceOpenConnections: true });
  await fleet.configure({ draining: ["engine-1"] });
  const started = await startedAt(0);
  const after = await beginStreams("after drain", 30, [0, 1, 2]);
  assert.is(await before, 30);
  assert.is(await after, 30);
  assert.is(await startedAt(0), started);
  assert.ok(await standIns.waitUntil(async () => (await orderOf("leoben/engine-1")).includes("drained")));
});

/*
 * The operator undoes the drain and assigns roles while streams run. Each engine
 * is drained, ordered and then serves its new role; no stream is interrupted.
 */
suite("role changes interrupt no stream", async () => {
  const streams = await beginStreams("roles", 30, [0, 1, 2]);
  await fleet.configure({ roles: ["prefill", "decode", "mixed"] });
  assert.is(await streams, 30);
  assert.ok(
    await standIns.waitUntil(
      async () =>
        (await orderOf("leoben/engine-1")).endsWith("settled prefill") &&
        (await orderOf("leoben/engine-2")).endsWith("settled decode"),
      60_000,
    ),
  );
  for (const engine of [0, 1, 2]) {
    assert.equal(
      (await journalOf(engine)).filter((entry) => entry.event === "cut" || entry.conflicting === true),
      [],
    );
  }
  assert.is(await await beginStreams("by pairs", 20, [0, 1, 2]), 20);
});

/*
 * A daemon shuts down gracefully while callers have open streams. It is removed
 * from the addresses, continues to serve, and exits after the last stream ends.
 */
suite("a graceful shutdown of a daemon interrupts no stream", async () => {
  const streams = await beginStreams("stop", 20, [0]);
  const { child } = fleet.daemon(0);
  const exited = new Promise<number | null>((resolve) => child.once("exit", resolve));
  child.kill("SIGTERM");
  const isRemoved = await standIns.waitUntil(async () => {
    const reply = await fetch(`${fleet.daemon(1).url}/v1/addresses`);
    const { addresses } = (await reply.json()) as { addresses: { vm: string }[] };
    return addresses.every((address) => address.vm !== "vm-1");
  });
  assert.ok(isRemoved);
  const late = await fleet.requestCompletion(0, "late caller", 10);
  assert.is(late.status, 200);
  await late.body?.cancel();
  assert.is(await streams, 20);
  assert.is(await exited, 0);
});

suite.run();
