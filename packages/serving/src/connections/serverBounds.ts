import type * as common from "@camphorcourse/common";

/** Heap that an open request takes, in bytes, without its body. */
const REQUEST_HEAP_BYTES = 24_576;

/** Shares of the VM's memory and of the heap that open requests may take. */
const REQUEST_SHARES = { memory: 1 / 10, heap: 1 / 4 };

/** Bounds of a daemon's servers. */
export interface ServerBounds {
  readonly callers: common.ConnectionBounds;
}

/** What a process may take of its VM. */
export interface ProcessLimits {
  /** Memory of the VM in bytes. */
  readonly memoryBytes: number;
  /** Largest size of the heap in bytes. */
  readonly heapBytes: number;
}

/**
 * Bounds what open requests take of the heap.
 *
 * @param limits - what the process may take
 * @returns the bounds of each server
 */
export function serverBounds({ heapBytes, memoryBytes }: ProcessLimits): ServerBounds {
  const requestBytes = Math.min(memoryBytes * REQUEST_SHARES.memory, heapBytes * REQUEST_SHARES.heap);
  const maxRequests = Math.floor(requestBytes / REQUEST_HEAP_BYTES);
  return { callers: { maxConnections: Number.POSITIVE_INFINITY, maxRequests } };
}
