/** Interfaces through which the gateway uses its platform; each platform has an adapter that implements them. */
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";

/** Why a call to the key-value service failed. */
export enum StoreFailure {
  /** No answer, or an incomplete one: a write may have taken effect. */
  Unanswered = "unanswered",
  /** The service reported that nothing was done. */
  Refused = "refused",
  /** The revision from which a watch was to start has been compacted. */
  HistoryLost = "history-lost",
  /** A condition of a write did not hold. */
  Conflict = "conflict",
  /** The lease has expired or was revoked. */
  LeaseEnded = "lease-ended",
  /** The requested item or lease does not exist. */
  Missing = "missing",
}

/** A failed call to the key-value service. */
export interface StoreProblem {
  readonly failure: StoreFailure;
  readonly detail: string;
}

/** An item of the key-value service. */
export interface StoredItem {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of the last write. */
  readonly revision: number;
  /** Revision of the write that created it. */
  readonly createdRevision: number;
}

/** A change reported by a watch; without an item, the key was removed. */
export interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  readonly item: StoredItem | undefined;
}

/** All items under a prefix, at one revision. */
export interface StoreListing {
  readonly items: readonly StoredItem[];
  readonly revision: number;
  /** Number of calls that reading it took, if not one. */
  readonly calls?: number;
}

/** Changes since a revision; the next watch continues from {@link StoreChanges.revision}. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  readonly revision: number;
}

/** A write that is applied only if all its conditions hold. */
export interface ConditionalWrite {
  /** Each key and its expected revision; 0 if the key must not exist. */
  readonly conditions: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly { readonly key: string; readonly value: Uint8Array; readonly lease: number }[];
  readonly removals: readonly string[];
}

/** A lease that was granted. */
export interface GrantedLease {
  readonly id: number;
  readonly ttlMs: number;
}

/** The platform's key-value service. */
export interface DurableStore {
  /** @param prefix - prefix of the keys; @returns the items under it, read page by page */
  list(prefix: string): Promise<neverthrow.Result<StoreListing, StoreProblem>>;
  /**
   * Waits for changes under a prefix.
   *
   * @param prefix - prefix of the keys
   * @param afterRevision - only changes after this revision are returned
   * @param waitMs - longest wait for the first change, in milliseconds
   */
  watch(prefix: string, afterRevision: number, waitMs: number): Promise<neverthrow.Result<StoreChanges, StoreProblem>>;
  /** @param write - conditions and changes; @returns the revision of the write */
  write(write: ConditionalWrite): Promise<neverthrow.Result<number, StoreProblem>>;
  /** @param ttlMs - time to live in milliseconds */
  grantLease(ttlMs: number): Promise<neverthrow.Result<GrantedLease, StoreProblem>>;
  /** @param lease - the lease to renew */
  renewLease(lease: number): Promise<neverthrow.Result<void, StoreProblem>>;
  /** @param lease - the lease to revoke, which removes its keys */
  endLease(lease: number): Promise<neverthrow.Result<void, StoreProblem>>;
}

/** Keys of the usage of organisations in the key-value service. */
export interface UsageKeys {
  /** Prefix of the other two. */
  readonly prefix: string;
  /** Key of the report that was fixed last. */
  readonly report: string;
  /** Prefix of the daemons' records. */
  readonly recordPrefix: string;
}

/** Keys of the gateway's data in the key-value service, and decoders of their values. */
export interface StoreLayout {
  /** Prefix of all keys that the gateway watches. */
  readonly watchedPrefix: string;
  readonly configurationKey: string;
  readonly endpointPrefix: string;
  readonly daemonPrefix: string;
  /** Key whose holder may send role orders to engines. */
  readonly authorityKey: string;
  /** Key of the last change of an engine's role. */
  readonly roleChangeKey: string;
  /** Key of the longest timeout of streams. */
  readonly streamTimeoutKey: string;
  readonly usageKeys: UsageKeys;
  /** Prefix of the requests that are rejected because endpoints crashed while running them. */
  readonly suspectPrefix: string;
  /** @param value - the configuration document that the operators wrote */
  decodeConfiguration(value: Uint8Array): neverthrow.Result<serving.Configuration, string>;
  /** @param id - the endpoint's id; @param value - its entry; @returns the endpoint, or why the entry is unusable */
  decodeEndpoint(id: string, value: Uint8Array): neverthrow.Result<serving.Endpoint, string>;
}

/** A stream of which the caller has a part, and which the request goes on with. */
export interface Resumption {
  /** Id of the request that brought the stream's first event; undefined if the caller doesn't name it. */
  readonly attemptId: string | undefined;
  /** Id of the last event that the caller has, if it names one. */
  readonly lastEventId: string | undefined;
}

/** What the gateway reads from the headers of a caller's request. */
export interface CallerHeaders {
  readonly requestId: string;
  /** Milliseconds that the caller will wait, if it said so. */
  readonly deadlineMs: number | undefined;
  /** The stream that the request goes on with, if it begins none. */
  readonly resumption: Resumption | undefined;
  readonly prompt: serving.Prompt | undefined;
  readonly credential: serving.Credential;
  /** Headers to forward, as alternating names and values. */
  readonly passedOn: readonly string[];
  /**
   * Headers that say who the caller is, as alternating names and values; forwarded only if the configuration has no
   * organisations.
   */
  readonly identityHeaders: readonly string[];
  /** Names of the headers that the format doesn't know. */
  readonly unlistedHeaders: readonly string[];
}

/** Values of the headers that the gateway adds to a request to an endpoint. */
export interface SendHeaders {
  /** Milliseconds until the deadline. */
  readonly deadlineMs: number;
  readonly endpointId: string;
  readonly access: serving.Access;
  readonly urgency?: number;
  /** Only prefill the prompt, and answer with a handle of the KV cache. */
  readonly prefillOnly?: boolean;
  /** Engine that has prefilled the prompt, and the handle of its KV cache: decoding continues from there. */
  readonly source?: { readonly address: string; readonly handle: string };
  /** Engine whose cached part of the prompt is copied before the rest is prefilled. */
  readonly copyFrom?: string;
  /** IP:PORT of the engine at which a copy of the run is kept. */
  readonly backup?: string;
  /** Resume the stream after this event instead of the one that the caller named. */
  readonly lastEventId?: string;
}

/** What the gateway reads from the status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  readonly sealed: boolean;
  /** The endpoint says that it did not run the request. */
  readonly notRun: boolean;
  /** The request was meant for another endpoint, or for another role of this one. */
  readonly misdirected: boolean;
  /** The endpoint that answered, if it says so. */
  readonly endpointId: string | undefined;
  /** How many requests the endpoint takes, if it limits them. */
  readonly limit: serving.StatedLimit;
  /** How long the endpoint wants nothing from this daemon, if it turns the request away. */
  readonly rest: serving.StatedRest;
  /** The endpoint says that it leaves, and takes no new requests. */
  readonly isLeaving: boolean;
  /** Names of the headers that the format doesn't know. */
  readonly unlistedHeaders: readonly string[];
}

/** Result of a prefill, from which another engine can decode. */
export interface PrefillResult {
  readonly handle: string;
}

/** A call that the gateway itself makes to an engine. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  /** @param endpointId - the engine that is called; @returns alternating names and values */
  headers(endpointId: string): string[];
  readonly body: string | undefined;
}

/** State that an engine reports of itself; it may be some hundred milliseconds old. */
export interface EngineState {
  /** Whether an order is being carried out. */
  readonly busy: boolean;
  /** Number of orders that it has accepted since its start. */
  readonly ordersAccepted: number;
  /** Its start, in Unix milliseconds, if it reports it. */
  readonly bornAt: number | undefined;
}

/** An order to take another role. */
export interface RoleOrder {
  readonly role: serving.EngineRole;
  /** VM of the daemon that holds the duty lease. */
  readonly holder: string;
  /** Fencing token: an engine that has seen a higher one refuses the order. */
  readonly token: number;
  /** Number of orders that the engine has accepted so far; if its count differs, it refuses. */
  readonly expectedOrders: number;
}

/** A call that copies a run to another engine. */
export interface RunMove {
  /** Id of the request that runs. */
  readonly requestId: string;
  /** IP:PORT of the engine that gets the copy. */
  readonly target: string;
  /** Whether the run stops before the copy, and its stream closes without its end. */
  readonly isLast: boolean;
}

/** The HTTP headers, paths and bodies that callers, gateway and endpoints exchange. */
export interface MessageFormat {
  /**
   * Parses the headers of a caller's request.
   *
   * @param names - alternating header names and values, as received
   * @returns what the gateway uses of them, or what is wrong with them
   */
  readCaller(names: readonly string[]): neverthrow.Result<CallerHeaders, string>;
  /** @param caller - the caller's headers; @param send - what is added; @returns alternating names and values */
  writeRequestHeaders(caller: CallerHeaders, send: SendHeaders): string[];
  /** @param headers - the answer's headers by lower-case name; @param status - its status */
  readAnswer(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead;
  /** @param body - body of the answer to a prefill */
  readHandle(body: Uint8Array): neverthrow.Result<PrefillResult, string>;
  /** @param handle - the handle to free; @returns method and path of the call */
  freeHandleCall(handle: string): { readonly method: string; readonly path: string };
  /** @returns the call that asks an engine for its state */
  engineStateCall(): EngineCall;
  /** @param body - body of the answer to {@link MessageFormat.engineStateCall} */
  readEngineState(body: Uint8Array): neverthrow.Result<EngineState, string>;
  /** @param order - the order; @returns the call that sends it */
  roleOrderCall(order: RoleOrder): EngineCall;
  /** @param move - what is copied where; @returns the call to the engine that runs the request */
  moveRunCall(move: RunMove): EngineCall;
  /**
   * @param status - status of the answer to {@link MessageFormat.moveRunCall}
   * @param body - its body
   * @returns what became of the copy
   */
  readMoveResult(status: number, body: Uint8Array): serving.MoveAnswer;
  /** Name of the header that tells the caller when to retry, in seconds. */
  readonly retryAfterHeader: string;
}

/** Why a call to the platform on behalf of a duty failed. */
export enum DutyFailure {
  /** No answer, or an incomplete one: the call may be carried out, also later. */
  Unanswered = "unanswered",
  /** Nothing was done: the platform is overloaded or unavailable. */
  Refused = "refused",
  /** The platform has seen a higher fencing token, or cannot do now what was ordered. */
  Conflict = "conflict",
}

/** A failed call to the platform on behalf of a duty. */
export interface DutyProblem {
  readonly failure: DutyFailure;
  readonly detail: string;
}

/** Proof that the caller holds the duty lease. */
export interface DutyAuthority {
  /** VM of the holder. */
  readonly holder: string;
  /** Fencing token: the platform refuses calls with a lower token than it has seen. */
  readonly token: number;
}

/** An order for the number of engines of a service in a data centre. */
export interface EngineCountOrder {
  readonly service: string;
  readonly dataCentre: string;
  readonly count: number;
  /** Whether the order is for engines that the platform may reclaim; both kinds are counted separately. */
  readonly reclaimable: boolean;
}

/** Calls to the platform that one daemon at a time makes for the whole fleet. */
export interface DutyCalls {
  /** @param report - usage of a window; @param authority - the holder of the duty */
  reportUsage(report: serving.UsageReport, authority: DutyAuthority): Promise<neverthrow.Result<void, DutyProblem>>;
  /** @param order - the wanted number of engines; @param authority - the holder of the duty */
  orderEngines(order: EngineCountOrder, authority: DutyAuthority): Promise<neverthrow.Result<void, DutyProblem>>;
}

/** When the usage of organisations is reported. */
export interface UsageSettings {
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due, in milliseconds. */
  readonly dueMs: number;
}
