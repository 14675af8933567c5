import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const MEGABYTE = 1_048_576;
const SMALL_VM = { memoryBytes: 250 * MEGABYTE, heapBytes: 160 * MEGABYTE, maxDescriptors: 4_100 };

const suite = uvu.suite("bounds of a daemon's servers");

suite("callers take less than half of the descriptors, as each running request needs one at its endpoint", () => {
  assert.is(serving.serverBounds(SMALL_VM).callers.maxConnections, 1_692);
});

suite("connections to endpoints have a part that callers can't take", () => {
  assert.is(serving.serverBounds(SMALL_VM).maxOutgoing, 1_208);
});

suite("all servers and the connections to endpoints together take no more than there are", () => {
  const { maxOutgoing, ...servers } = serving.serverBounds(SMALL_VM);
  const connections = Object.values(servers).reduce((sum, { maxConnections }) => sum + maxConnections, maxOutgoing);
  assert.ok(connections <= SMALL_VM.maxDescriptors - 232);
});

suite("where there are many descriptors, unfinished heads on all connections fit into half of the heap", () => {
  const { callers } = serving.serverBounds({ ...SMALL_VM, maxDescriptors: 100_000 });
  assert.is(callers.maxConnections, 2_560);
});

suite("open requests fit into a tenth of the VM's memory, and into a quarter of the heap", () => {
  assert.is(serving.serverBounds(SMALL_VM).callers.maxRequests, 1_066);
  assert.is(serving.serverBounds({ ...SMALL_VM, memoryBytes: 1_000 * MEGABYTE }).callers.maxRequests, 1_706);
});

suite("a server takes some connections however few descriptors there are", () => {
  assert.is(serving.serverBounds({ ...SMALL_VM, maxDescriptors: 100 }).callers.maxConnections, 4);
});

suite.run();
