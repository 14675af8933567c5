import type * as common from "@camphorcourse/common";

/** Descriptors of a process that are for its files, and those for its listeners, the key-value service and the runtime. */
const FILE_DESCRIPTORS = 200;
const OTHER_DESCRIPTORS = 32;

/** Shares of the remaining descriptors for connections to endpoints, and for the clients of each server. */
const SHARES = {
  outgoing: 5 / 16,
  callers: 7 / 16,
  peers: 1 / 8,
  addresses: 1 / 16,
  readiness: 1 / 64,
  metrics: 1 / 64,
};

/** Fewest connections that a server takes, however few descriptors there are. */
const MIN_CONNECTIONS = 4;

/** Heap that a connection takes at most while its head is unfinished, in bytes: the parser keeps each line as strings. */
const HEAD_HEAP_BYTES = 32_768;

/** Share of the heap that unfinished heads may take. */
const HEAD_SHARE = 1 / 2;

/** Heap that an open request takes, in bytes, without its body. */
const REQUEST_HEAP_BYTES = 24_576;

/** Shares of the VM's memory and of the heap that open requests may take. */
const REQUEST_SHARES = { memory: 1 / 10, heap: 1 / 4 };

/** Requests at the same time for addresses, readiness or metrics, which are answered at once. */
const MAX_SIDE_REQUESTS = 256;

/** Bounds of a daemon's servers, and of its own connections. */
export interface ServerBounds {
  /** Connections to endpoints. */
  readonly maxOutgoing: number;
  readonly callers: common.ConnectionBounds;
  readonly peers: common.ConnectionBounds;
  readonly addresses: common.ConnectionBounds;
  readonly readiness: common.ConnectionBounds;
  readonly metrics: common.ConnectionBounds;
}

/** What a process may take of its VM. */
export interface ProcessLimits {
  /** Memory of the VM in bytes. */
  readonly memoryBytes: number;
  /** Largest size of the heap in bytes. */
  readonly heapBytes: number;
  /** Descriptors that it may open. */
  readonly maxDescriptors: number;
}

/**
 * Divides the descriptors of a process among its servers, so that connections to endpoints, peers and the key-value service have
 * theirs while clients take all that they get, and bounds what connections and open requests take of the heap.
 *
 * @param limits - what the process may take
 * @returns the bounds of each server
 */
export function serverBounds({ heapBytes, maxDescriptors, memoryBytes }: ProcessLimits): ServerBounds {
  const sockets = Math.max(0, maxDescriptors - FILE_DESCRIPTORS - OTHER_DESCRIPTORS);
  const maxHeads = Math.floor((heapBytes * HEAD_SHARE) / HEAD_HEAP_BYTES);
  const connections = (share: number): number => Math.max(MIN_CONNECTIONS, Math.floor(sockets * share));
  const requestBytes = Math.min(memoryBytes * REQUEST_SHARES.memory, heapBytes * REQUEST_SHARES.heap);
  const maxRequests = Math.floor(requestBytes / REQUEST_HEAP_BYTES);
  const sideBounds = (share: number): common.ConnectionBounds => ({
    maxConnections: connections(share),
    maxRequests: MAX_SIDE_REQUESTS,
  });
  return {
    maxOutgoing: connections(SHARES.outgoing),
    callers: { maxConnections: Math.min(maxHeads, connections(SHARES.callers)), maxRequests },
    peers: { maxConnections: connections(SHARES.peers), maxRequests },
    addresses: sideBounds(SHARES.addresses),
    readiness: sideBounds(SHARES.readiness),
    metrics: sideBounds(SHARES.metrics),
  };
}
