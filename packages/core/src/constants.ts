/** Named limits of the core. Times in milliseconds unless the name says otherwise. */

/** Prefix of the keys that every daemon follows. */
export const CONTROL_PREFIX = "camphorcourse/control/";
/** Prefix of the claims, which are not watched. */
export const CLAIMS_PREFIX = "camphorcourse/claims/";

/** Control work of services is split over this many leases. */
export const CONTROL_SHARDS = 8;
/** Time to live of a daemon's lease in the key-value service. */
export const LEASE_TTL_MS = 9000;
/** A holder gives its lease up this long before the service could. */
export const LEASE_MARGIN_MS = 2000;
/** How often the lease is renewed. */
export const LEASE_RENEWAL_INTERVAL_MS = 3000;
/** A gap between ticks above this means that the process was paused. */
export const PAUSE_THRESHOLD_MS = 2000;

/** How often a tick walks over all services and endpoints. */
export const SLOW_TICK_INTERVAL_MS = 500;
/** How often peers exchange heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 1000;
/** A peer not heard for this long is taken as silent. */
export const PEER_TIMEOUT_MS = 3500;
/** Requests of a daemon that vanished end at the endpoints within this time. */
export const ORPHANED_REQUEST_MS = 900_000;
/** An endpoint's load report may be this old when it arrives. */
export const MAX_REPORT_DELAY_MS = 3000;
/** A view that nobody confirmed for this long is stale. */
export const VIEW_MAX_AGE_MS = 4000;
/** How long callers may keep an answer to `/v1/addresses`. */
export const ADDRESS_TTL_MS = 5000;

/** Partitions of the claims; a partition's claims are appended one batch at a time. */
export const CLAIM_PARTITIONS = 12;
/** Duplicates that come within this time are recognized. */
export const CLAIM_WINDOW_MS = 600_000;
/** Least time between two claim writes of a daemon, so that claims share writes. */
export const CLAIM_WRITE_INTERVAL_MS = 25;
/** Claims that one batch may hold. */
export const CLAIM_BATCH_LIMIT = 500;

/** Longest time that bytes in a socket buffer can outlive the process that wrote them. */
export const SOCKET_LINGER_MS = 900_000;
/** An endpoint whose order was refused is not ordered again for this long. */
export const ORDER_RETRY_MS = 5000;

/** Attempts of one request, the first included. */
export const MAXIMUM_ATTEMPTS = 3;
/** Retries that the budget allows for each request served. */
export const RETRY_RATIO = 0.1;
/** Retries that may be saved up. */
export const RETRY_BURST = 10;

/** Events that a process keeps for the time line. */
export const TIMELINE_LIMIT = 20_000;
