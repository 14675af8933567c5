import type * as serving from "@camphorcourse/serving";
import type * as plannedSends from "../sends/plannedSend.js";
import type * as servedRequests from "../servedRequest.js";

/** The send that a run belongs to, while it is in flight. */
export interface RunningSend extends plannedSends.PlannedSend {
  /** When it was decided on, in milliseconds. */
  readonly sentAt: number;
  /** Whether it has brought an event. */
  readonly hasEvents: boolean;
  /** Closes the connection, upon which the endpoint drops the request. */
  cancel(): void;
}

/** What serves the request of a run. */
export interface RunHost {
  /** The send that is in flight. */
  readonly active: RunningSend | undefined;
  /**
   * Ends a send; nothing more is accepted from it.
   *
   * @param active - the send
   * @returns whether it was under way, and the request has not ended
   */
  end(active: RunningSend): boolean;
  /**
   * Handles a stream that has broken off.
   *
   * @param active - the send
   * @param outcome - whether the request may have run
   * @param detail - what went wrong
   */
  broken(active: RunningSend, outcome: serving.SendOutcome, detail: string): void;
  /** @param planned - a send with which a stopped run goes on */
  resumeRun(planned: plannedSends.PlannedSend & { readonly resume: plannedSends.ResumedRun }): void;
  /**
   * @param planned - a send with which a run goes on at the engine that has a copy
   * @param lost - the send whose engine has ended
   */
  resumeAtBackup(planned: plannedSends.PlannedSend, lost: RunningSend): void;
}

/** A run of this daemon's caller at an engine. */
export interface OwnRun {
  readonly active: RunningSend;
  readonly served: servedRequests.ServedRequest;
  readonly host: RunHost;
}

/** What follows the close of a stream whose run is being moved, if it doesn't go on elsewhere. */
export interface CloseFollowUp {
  readonly complete: () => void;
  readonly break: () => void;
}

/** This daemon's runs at engines whose services allow moves. */
export interface OwnRuns {
  /** @param update - a change of an endpoint */
  noteChange(update: serving.EndpointUpdate): void;

  /** @param run - a run that begins, or goes on at another engine */
  noteRunning(run: OwnRun): void;

  /**
   * @param run - a run whose stream has closed without the end that its framing asks for
   * @param close - how it closed
   * @param followUp - what follows unless the run goes on elsewhere
   * @returns whether a move decides what follows, now or later
   */
  onClosed(run: Pick<OwnRun, "active" | "served">, close: serving.StreamClose, followUp: CloseFollowUp): boolean;

  /**
   * @param served - a request with which a run was to go on
   * @param detail - why it was not taken
   * @returns whether the request goes on elsewhere with the handle
   */
  onRefused(served: servedRequests.ServedRequest, detail: string): boolean;

  /** @param run - a run that goes on with a handle, at its first event there */
  noteResumed(run: Pick<OwnRun, "active" | "served">): void;

  /** @param served - a request that is over */
  noteOver(served: servedRequests.ServedRequest): void;

  /**
   * @param served - a request
   * @returns whether its run has been told to stop, and has not been sent again yet
   */
  isBeingStopped(served: servedRequests.ServedRequest): boolean;

  /** Number of moves under way. */
  readonly underWay: number;
}

/** Copies of this daemon's runs at second engines. */
export interface RunBackups {
  /** Number of streams that have a copy at a second engine. */
  readonly count: number;

  /** @param endpoint - an endpoint that has ended or is suspected, or that has restarted */
  noteUnreliable(endpoint: Pick<serving.Endpoint, "address">): void;

  /** @param update - a change of an endpoint */
  noteChange(update: serving.EndpointUpdate): void;

  /**
   * @param run - a run whose request is about to be sent
   * @returns the engine that is to keep a copy of it, if there is one
   */
  noteSend(run: OwnRun): serving.Endpoint | undefined;

  /**
   * @param run - a run whose stream has broken off, so that its request may have run
   * @param giveUp - ends the stream; called if the run doesn't go on with its copy
   * @returns whether that is decided later
   */
  onBroken(run: Pick<OwnRun, "active" | "served">, giveUp: () => void): boolean;

  /**
   * @param served - a request with which a run was to go on at the engine with its copy
   * @param detail - why it was not taken
   */
  onRefused(served: servedRequests.ServedRequest, detail: string): void;

  /** @param served - a request that goes on with a handle or a copy, at its first event there */
  noteResumed(served: servedRequests.ServedRequest): void;

  /** @param served - a request whose stream is complete, so that the copy is dropped */
  noteComplete(served: servedRequests.ServedRequest): void;

  /** @param served - a request that is over */
  noteOver(served: servedRequests.ServedRequest): void;
}
