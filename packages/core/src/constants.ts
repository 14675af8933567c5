/** Limits and intervals of the core. Names ending in `_MS` are in milliseconds. */

/** Prefix of the control records, which every daemon watches. */
export const CONTROL_PREFIX = "camphorcourse/control/";
/** Prefix of the claims, which are not watched. */
export const CLAIMS_PREFIX = "camphorcourse/claims/";

/** Number of control shards; each has a lease whose holder carries out changes of the shard's services. */
export const CONTROL_SHARDS = 8;
/** Time to live of a daemon's lease in the key-value service. */
export const LEASE_TTL_MS = 9000;
/** A holder stops acting under its lease this long before the key-value service could end it. */
export const LEASE_MARGIN_MS = 2000;
/** Interval of lease renewals. */
export const LEASE_RENEWAL_INTERVAL_MS = 3000;
/** A gap between events of at least this length counts as a pause of the process. */
export const PAUSE_THRESHOLD_MS = 2000;

/** Interval of ticks that go over all services and endpoints. */
export const SLOW_TICK_INTERVAL_MS = 500;
/** Interval of heartbeats between daemons. */
export const HEARTBEAT_INTERVAL_MS = 1000;
/** A peer without a heartbeat for this long is considered unreachable. */
export const PEER_TIMEOUT_MS = 3500;
/** Requests of a lost daemon may keep running at the endpoints for up to this long. */
export const ORPHANED_REQUEST_MS = 900_000;
/** Maximum age of an endpoint's load report on arrival. */
export const MAX_REPORT_DELAY_MS = 3000;
/** A view of the configuration that was not confirmed for this long is stale. */
export const VIEW_MAX_AGE_MS = 4000;
/** How long callers may cache a response of `/v1/addresses`. */
export const ADDRESS_TTL_MS = 5000;

/** Number of claim partitions; batches are appended to a partition one at a time. */
export const CLAIM_PARTITIONS = 12;
/** Deduplication window: duplicates within this time are recognized. */
export const CLAIM_WINDOW_MS = 600_000;
/** Minimum time between two claim writes of a daemon, so that claims are batched. */
export const CLAIM_WRITE_INTERVAL_MS = 25;
/** Maximum number of claims in a batch. */
export const CLAIM_BATCH_LIMIT = 500;

/** Maximum time for which bytes in a socket buffer can outlive the process that wrote them. */
export const SOCKET_LINGER_MS = 900_000;
/** Delay before an order or its record is sent again after a refusal or failure. */
export const ORDER_RETRY_MS = 5000;

/** Maximum attempts of one request, including the first. */
export const MAXIMUM_ATTEMPTS = 3;
/** Retries that the budget allows per served request. */
export const RETRY_RATIO = 0.1;
/** Maximum retries that the retry budget accumulates. */
export const RETRY_BURST = 10;

/** Timeline events that a process keeps; up to twice as many are held before older ones are dropped. */
export const TIMELINE_LIMIT = 20_000;
