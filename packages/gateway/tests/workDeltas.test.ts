import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as distantPulses from "../src/distance/distantPulses.js";
import * as workDeltas from "../src/distance/workDeltas.js";

const suite = uvu.suite("what heartbeats report once, to recipients near and far");

const MAX_DATAGRAM_BYTES = 1_400;

function read(part: string, isRead = false): messages.PartRead {
  return protobuf.create(messages.PartReadSchema, { endpoint: "engine-1", model: "model", part, tokens: 500, isRead });
}

function observation(tookMs: number): messages.ReadObservation {
  return protobuf.create(messages.ReadObservationSchema, { service: "s", role: "prefill", tookMs });
}

function size(sizeClass: number, offered: number, taken: number): messages.SizeCount {
  return protobuf.create(messages.SizeCountSchema, { kind: "chat", sizeClass, offered, taken });
}

function sumOf(sizes: readonly messages.SizeCount[]): { offered: number; taken: number } {
  return {
    offered: sizes.reduce((sum, { offered }) => sum + offered, 0),
    taken: sizes.reduce((sum, { taken }) => sum + taken, 0),
  };
}

// The counts are sums: one that reached a region twice would hide a shortage, and one that was taken for a heartbeat to
// the other region would be missing there.
suite("near and distant recipients each get every count and read once, in whatever order heartbeats are sent", () => {
  const steps = fastCheck.array(
    fastCheck.constantFrom(undefined, workDeltas.Audience.Near, workDeltas.Audience.Distant),
    {
      maxLength: 60,
    },
  );
  fastCheck.assert(
    fastCheck.property(steps, (order) => {
      let fresh: workDeltas.Deltas = { reads: [], observations: [], sizes: [] };
      const deltas = new workDeltas.WorkDeltas(() => {
        const taken = fresh;
        fresh = { reads: [], observations: [], sizes: [] };
        return taken;
      }, true);
      const got = { near: [] as workDeltas.Deltas[], distant: [] as workDeltas.Deltas[] };
      let count = 0;
      const add = (): void => {
        fresh.reads.push(read(`part-${count}`));
        fresh.sizes.push(size(count % 3, 2, 1));
        count++;
      };
      for (const step of [...order, workDeltas.Audience.Distant, workDeltas.Audience.Near]) {
        if (step === undefined) add();
        else got[step].push(deltas.take(step));
      }
      for (const taken of [got.near, got.distant]) {
        const parts = taken.flatMap(({ reads }) => reads.map(({ part }) => part));
        assert.equal(
          parts,
          Array.from({ length: count }, (_, index) => `part-${index}`),
        );
        assert.equal(sumOf(taken.flatMap(({ sizes }) => sizes)), { offered: 2 * count, taken: count });
      }
      assert.not.ok(deltas.hasNearReads);
    }),
  );
});

suite("the memory for distant recipients is bounded, and what is newest is kept", () => {
  let index = 0;
  const deltas = new workDeltas.WorkDeltas(() => {
    index++;
    return { reads: [read(`part-${index}`)], observations: [observation(index)], sizes: [size(1, 1, 1)] };
  }, true);
  for (let round = 0; round < 1_000; round++) deltas.take(workDeltas.Audience.Near);
  const { reads, observations, sizes } = deltas.take(workDeltas.Audience.Distant);
  assert.is(reads.length, 200);
  assert.is(reads.at(-1)?.part, "part-1001");
  assert.is(observations.length, 16);
  assert.is(observations.at(-1)?.tookMs, 1_001);
  assert.equal(sumOf(sizes), { offered: 1_001, taken: 1_001 });
  assert.is(sizes.length, 1);
});

suite(
  "a part that many prompts share is reported to other regions once, as prefilled if one of them has prefilled it",
  () => {
    let fresh = [read("shared"), read("other"), read("shared", true), read("shared")];
    const deltas = new workDeltas.WorkDeltas(() => {
      const reads = fresh;
      fresh = [];
      return { reads, observations: [], sizes: [] };
    }, true);
    assert.is(deltas.take(workDeltas.Audience.Near).reads.length, 4);
    const { reads } = deltas.take(workDeltas.Audience.Distant);
    assert.equal(
      reads.map(({ part, isRead }) => [part, isRead]),
      [
        ["other", false],
        ["shared", true],
      ],
    );
  },
);

// A heartbeat that exceeds a datagram loses its reads and observations: those of a third of a second would never arrive.
suite("deltas that exceed one datagram are sent in more, each of them small enough, and nothing is lost", () => {
  const reads = Array.from({ length: 200 }, (_, index) => read(`a-rather-long-part-name-${index}`));
  const observations = Array.from({ length: 16 }, (_, index) => observation(index));
  const sizes = [size(1, 5, 4), size(2, 3, 3)];
  const work = Array.from({ length: 12 }, (_, index) =>
    protobuf.create(messages.EndpointWorkSchema, {
      endpoint: `engine-${index}`,
      running: 3,
      unread: [100, 2_000, 0, 7],
    }),
  );
  const state = { vm: "vm-1", incarnation: "incarnation", ready: true, work };
  const pulses = distantPulses.dividePulse(state, { reads, observations, sizes });
  assert.ok(pulses.length > 1);
  for (const pulse of pulses) {
    const bytes = protobuf.toBinary(messages.PulseSchema, pulse).length;
    assert.ok(bytes <= MAX_DATAGRAM_BYTES, String(bytes));
  }
  assert.equal(
    pulses.flatMap((pulse) => pulse.reads.map(({ part }) => part)),
    reads.map(({ part }) => part),
  );
  assert.is(pulses.flatMap((pulse) => pulse.observations).length, 16);
  assert.is(pulses.flatMap((pulse) => pulse.sizes).length, 2);
  const [first, ...others] = pulses;
  assert.not.ok(first?.changesOnly);
  assert.is(first?.work.length, 12);
  // Only messages that say so may be without work: any other would replace what was reported.
  assert.ok(others.every((pulse) => pulse.changesOnly && pulse.work.length === 0 && pulse.vm === "vm-1"));
});

suite("a heartbeat without deltas is one message", () => {
  const pulses = distantPulses.dividePulse({ vm: "vm-1" }, { reads: [], observations: [], sizes: [] });
  assert.is(pulses.length, 1);
  assert.not.ok(pulses[0]?.changesOnly);
});

suite.run();
