import type * as common from "@camphorcourse/common";

/** Descriptors of a process that are for its files, and those for its listeners, the key-value service and the runtime. */
const FILE_DESCRIPTORS = 200;
const OTHER_DESCRIPTORS = 32;

/** Shares of the remaining descriptors for callers' connections, and for those to endpoints. */
const SHARES = { callers: 7 / 16, outgoing: 5 / 16 };

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

/** Bounds of a daemon's servers, and of its own connections. */
export interface ServerBounds {
  /** Connections to endpoints. */
  readonly maxOutgoing: number;
  readonly callers: common.ConnectionBounds;
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
  return {
    maxOutgoing: connections(SHARES.outgoing),
    callers: { maxConnections: Math.min(maxHeads, connections(SHARES.callers)), maxRequests },
  };
}
