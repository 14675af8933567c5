/** What the gateway needs of its surroundings; an adapter gives it for one platform. */
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";

/** Why a call to the key-value service gave no result. */
export enum StoreFailure {
  /** No answer, or a broken one: a write may have been done. */
  Unanswered = "unanswered",
  /** The service said that nothing was done. */
  Refused = "refused",
  /** The history that a watch asked for is no longer kept. */
  HistoryLost = "history-lost",
  /** A condition of a write did not hold. */
  Conflict = "conflict",
  /** The lease has ended. */
  LeaseEnded = "lease-ended",
  /** What was asked for does not exist. */
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

/** A change that a watch tells of; without an item the key was removed. */
export interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  readonly item: StoredItem | undefined;
}

/** Items under a prefix, or changes since a revision. */
export interface StoreListing {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** Changes since a revision; continue from {@link StoreChanges.revision}. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  readonly revision: number;
}

/** A write that happens only if all conditions hold. */
export interface ConditionalWrite {
  /** Key and its expected revision, 0 where it must not exist. */
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
   * @param prefix - prefix of the keys
   * @param afterRevision - revision after which changes count
   * @param waitMs - longest wait for the first change, in milliseconds
   */
  watch(prefix: string, afterRevision: number, waitMs: number): Promise<neverthrow.Result<StoreChanges, StoreProblem>>;
  /** @param write - conditions and changes; @returns the revision of the write */
  write(write: ConditionalWrite): Promise<neverthrow.Result<number, StoreProblem>>;
  /** @param ttlMs - time to live in milliseconds */
  grantLease(ttlMs: number): Promise<neverthrow.Result<GrantedLease, StoreProblem>>;
  /** @param lease - the lease to renew */
  renewLease(lease: number): Promise<neverthrow.Result<void, StoreProblem>>;
  /** @param lease - the lease to end, with its keys */
  endLease(lease: number): Promise<neverthrow.Result<void, StoreProblem>>;
}

/** Where things lie in the key-value service, and how they read. */
export interface StoreLayout {
  /** Prefix that covers everything the gateway follows. */
  readonly watchedPrefix: string;
  readonly configurationKey: string;
  readonly endpointPrefix: string;
  readonly daemonPrefix: string;
  /** Key of the right to give orders. */
  readonly authorityKey: string;
  /** Key of the last change of an engine's role. */
  readonly roleChangeKey: string;
  /** Prefix of the requests that are rejected because endpoints ended under them. */
  readonly suspectPrefix: string;
  /** @param value - the operators' document */
  decodeConfiguration(value: Uint8Array): neverthrow.Result<serving.Configuration, string>;
  /** @param id - the endpoint's id; @param value - its entry; @returns what it names, or why that can't be used */
  decodeEndpoint(id: string, value: Uint8Array): neverthrow.Result<serving.Endpoint, string>;
}

/** A caller's request, as far as its headers tell. */
export interface CallerHeaders {
  readonly requestId: string;
  /** Milliseconds that the caller will wait, if it said so. */
  readonly deadlineMs: number | undefined;
  readonly lastEventId: string | undefined;
  readonly prompt: serving.Prompt | undefined;
  /** Headers to pass on, names and values by turns. */
  readonly passedOn: readonly string[];
}

/** What the gateway adds to a request that it sends to an endpoint. */
export interface SendHeaders {
  /** Milliseconds that are left. */
  readonly deadlineMs: number;
  readonly endpointId: string;
  readonly urgency?: number;
  /** Only read the prompt, and answer with a handle. */
  readonly prefillOnly?: boolean;
  /** Go on from the prompt that this engine has read. */
  readonly source?: { readonly address: string; readonly handle: string };
  /** Copy what this engine keeps of the prompt before reading the rest. */
  readonly copyFrom?: string;
  /** Go on after this event instead of the caller's own. */
  readonly lastEventId?: string;
}

/** The head of an endpoint's answer, as far as the gateway judges it. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  readonly sealed: boolean;
  /** The endpoint says that it did not run the request. */
  readonly notRun: boolean;
  /** The request was meant for another endpoint, or for another role of this one. */
  readonly misdirected: boolean;
  /** The endpoint that answered, if it says so. */
  readonly endpointId: string | undefined;
}

/** A prompt that an engine has read for another to go on with. */
export interface PrefillResult {
  readonly handle: string;
}

/** A call of the gateway's own to an engine. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  /** @param endpointId - the engine that is meant; @returns names and values by turns */
  headers(endpointId: string): string[];
  readonly body: string | undefined;
}

/** An engine's word of itself, some hundred milliseconds old. */
export interface EngineState {
  /** Whether an order is being carried out. */
  readonly busy: boolean;
  /** Orders that it has accepted since its start. */
  readonly ordersAccepted: number;
  /** Its start, in Unix milliseconds, if it says it. */
  readonly bornAt: number | undefined;
}

/** An order to take another role. */
export interface RoleOrder {
  readonly role: serving.EngineRole;
  readonly holder: string;
  /** Fencing token: an engine that has seen a higher one refuses. */
  readonly token: number;
  /** Orders that the engine has accepted so far; with another number it refuses. */
  readonly expectedOrders: number;
}

/** How requests and answers are spelt between callers, gateway and endpoints. */
export interface MessageFormat {
  /**
   * @param names - header names and values by turns, as received
   * @returns the request's own headers, or what is wrong with them
   */
  readCaller(names: readonly string[]): neverthrow.Result<CallerHeaders, string>;
  /** @param caller - the caller's headers; @param send - what is added; @returns names and values by turns */
  writeRequestHeaders(caller: CallerHeaders, send: SendHeaders): string[];
  /** @param headers - the answer's headers by lower-case name; @param status - its status */
  readAnswer(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead;
  /** @param body - body of an answer to a request that was only read */
  readHandle(body: Uint8Array): neverthrow.Result<PrefillResult, string>;
  /** @param handle - the handle to free; @returns method and path of the call */
  freeHandleCall(handle: string): { readonly method: string; readonly path: string };
  /** @returns the call that asks an engine for its state */
  engineStateCall(): EngineCall;
  /** @param body - body of the answer to {@link MessageFormat.engineStateCall} */
  readEngineState(body: Uint8Array): neverthrow.Result<EngineState, string>;
  /** @param order - the order; @returns the call that gives it */
  roleOrderCall(order: RoleOrder): EngineCall;
  /** Name of the header that tells when to come back, in seconds. */
  readonly retryAfterHeader: string;
}
