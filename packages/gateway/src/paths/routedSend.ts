import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as connectionPools from "../endpointConnectionPool.js";
import * as endpointIncarnations from "../endpointIncarnation.js";
import * as endpointSends from "../endpointSend.js";
import type * as sendings from "../sending.js";
import type * as pathMonitors from "./pathMonitor.js";
import type * as peerRelays from "./peerRelays.js";
import * as relayMessages from "./relayMessage.js";

/** Maximum number of peers that are asked to pass on one send. */
const MAX_PEERS = 3;

/** Maximum of the numbers in messages. */
const MAX_UINT32 = 4_294_967_295;

/** What a send to an endpoint needs that may go through a peer. */
export interface RoutedSendParts {
  readonly endpoint: serving.Endpoint;
  readonly request: sendings.OutgoingRequest;
  readonly receiver: sendings.AnswerReceiver;
  /** Connections of this daemon to the endpoint. */
  readonly pool: connectionPools.EndpointConnectionPool;
  readonly monitor: pathMonitors.PathMonitor;
  readonly relays: peerRelays.PeerRelays;
  readonly log: decisionLogs.DecisionLog;
  readonly isLoopLagging: () => boolean;
  /** Whether the endpoint still takes the request. */
  readonly mayDispatch: () => boolean;
  /** Called when a connection to the endpoint breaks, with whether the request had been sent. */
  readonly onBroken: (wasDispatched: boolean) => void;
  /** Called when an answer exceeds a bound. */
  readonly onOversized: () => void;
  /** Called when the request begins and ceases to use a peer, with 1 and -1. */
  readonly onRelayed: (change: 1 | -1) => void;
  /** Called when data of the endpoint has come through a peer. */
  readonly onRelayedData: () => void;
}

/** The attempt of a send through one peer. */
interface RelayAttempt {
  readonly peer: peerRelays.PeerRelay;
  readonly startedAt: number;
}

/**
 * One send of a request to an endpoint, over a connection of this daemon or through a peer. Attempts of which nothing
 * was sent to the endpoint are made up for within the send, so that it stays one send for limits, retries and attempts.
 * The peer sends to the endpoint itself and never passes on: there is one hop at most.
 */
export class RoutedSend implements sendings.InFlightRequest {
  readonly #parts: RoutedSendParts;
  readonly #askedPeers = new Set<string>();
  #attempt: endpointSends.EndpointSend | undefined;
  #relay: RelayAttempt | undefined;
  #hasTriedDirect = false;
  #isOver = false;

  /** @param parts - what the send needs */
  constructor(parts: RoutedSendParts) {
    this.#parts = parts;
    const { endpoint, monitor, pool, request } = parts;
    const now = performance.now();
    const path = monitor.paths.pathTo(endpoint, pool.hasLiveIdle, now);
    if (path === serving.EndpointPath.Direct || request.passOnAs === undefined) {
      this.#sendDirect();
      return;
    }
    monitor.paths.claimRetry(endpoint, now);
    this.#sendThroughPeer();
  }

  /** {@inheritDoc sendings.InFlightRequest.wasDispatched} */
  get wasDispatched(): boolean {
    return this.#attempt?.wasDispatched === true;
  }

  /** {@inheritDoc sendings.InFlightRequest.dispatchedAt} */
  get dispatchedAt(): number | undefined {
    return this.#attempt?.dispatchedAt;
  }

  /** {@inheritDoc sendings.InFlightRequest.unsentBytes} */
  get unsentBytes(): number {
    return this.#attempt?.unsentBytes ?? 0;
  }

  /** {@inheritDoc sendings.InFlightRequest.isPathLost} */
  get isPathLost(): boolean {
    if (this.#relay !== undefined || !this.wasDispatched) return false;
    return this.#parts.monitor.paths.silentSince(this.#parts.endpoint) !== undefined;
  }

  /** {@inheritDoc sendings.InFlightRequest.cancel} */
  cancel(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#endRelay("cancelled");
    this.#attempt?.cancel();
  }

  /** {@inheritDoc sendings.InFlightRequest.pause} */
  pause(): void {
    this.#attempt?.pause();
  }

  /** {@inheritDoc sendings.InFlightRequest.resume} */
  resume(): void {
    this.#attempt?.resume();
  }

  #sendDirect(): void {
    this.#hasTriedDirect = true;
    const { isLoopLagging, mayDispatch, onBroken, onOversized, pool, receiver, request } = this.#parts;
    this.#attempt = new endpointSends.EndpointSend({
      pool,
      request,
      isLoopLagging,
      mayDispatch,
      onBroken,
      onOversized,
      receiver: {
        onHead: (status, headers) => receiver.onHead(status, headers),
        onData: (chunk) => receiver.onData(chunk),
        onEnd: () => this.#end(() => receiver.onEnd()),
        onBroken: (outcome, detail) => this.#onDirectBroken(outcome, detail),
      },
    });
  }

  #onDirectBroken(outcome: serving.SendOutcome, detail: string): void {
    if (this.#isOver) return;
    const mayPassOn = this.#parts.request.passOnAs !== undefined && !this.#isExpired;
    const isNotSent = outcome === serving.SendOutcome.NotSent;
    if (isNotSent && mayPassOn && this.#tryPeer()) return;
    if (isNotSent && this.#askedPeers.size === 0) this.#parts.monitor.notePeerResult(this.#parts.endpoint, false);
    this.#end(() => this.#parts.receiver.onBroken(outcome, detail));
  }

  #sendThroughPeer(): void {
    if (!this.#tryPeer()) this.#sendDirect();
  }

  /** @returns whether there is a peer that may reach the endpoint */
  #tryPeer(): boolean {
    const { endpoint, onOversized, onRelayed, relays } = this.#parts;
    const relay = this.#askedPeers.size < MAX_PEERS ? relays.choose(endpoint.id, this.#askedPeers) : undefined;
    if (relay === undefined) return false;
    this.#askedPeers.add(relay.vm);
    this.#relay = { peer: relay, startedAt: performance.now() };
    onRelayed(1);
    this.#attempt = new endpointSends.EndpointSend({
      pool: relay.pool,
      request: this.#relayedRequest(),
      isLoopLagging: this.#parts.isLoopLagging,
      mayDispatch: this.#parts.mayDispatch,
      onBroken: () => undefined,
      onOversized,
      receiver: this.#relayReceiver(),
    });
    return true;
  }

  /** The answer of the endpoint as the peer passes it back, or the peer's statement that there is none. */
  #relayReceiver(): sendings.AnswerReceiver {
    const { endpoint, monitor, onRelayedData, receiver } = this.#parts;
    let result: relayMessages.RelayResult | undefined;
    return {
      onHead: (status, received) => {
        const { [relayMessages.RESULT_HEADER]: value, ...headers } = endpointHeaders(received);
        result = relayMessages.readResult(value);
        if (result !== relayMessages.RelayResult.Answer) return true;
        monitor.notePeerResult(endpoint, true);
        onRelayedData();
        return receiver.onHead(status, headers);
      },
      onData: (chunk) => {
        // A statement of the peer has no body.
        if (result !== relayMessages.RelayResult.Answer) return false;
        onRelayedData();
        return receiver.onData(chunk);
      },
      onEnd: () => {
        if (result === relayMessages.RelayResult.Answer) this.#end(() => receiver.onEnd());
        else this.#onRelayFailed(result);
      },
      onBroken: (outcome, detail) => {
        const isFailure = result !== undefined && result !== relayMessages.RelayResult.Answer;
        if (isFailure) this.#onRelayFailed(result);
        else if (outcome === serving.SendOutcome.NotSent) this.#onPeerUnreachable();
        else this.#end(() => receiver.onBroken(outcome, detail), "broken");
      },
    };
  }

  #onPeerUnreachable(): void {
    const { endpoint, relays } = this.#parts;
    if (this.#relay !== undefined) relays.noteUnable(endpoint.id, this.#relay.peer);
    this.#onRelayFailed();
  }

  #onRelayFailed(failure: relayMessages.RelayResult = relayMessages.RelayResult.Refused): void {
    if (this.#isOver) return;
    const { endpoint, monitor, receiver, relays } = this.#parts;
    if (failure === relayMessages.RelayResult.AnswerLost) {
      const detail = "the connection between a peer and the endpoint broke";
      this.#end(() => receiver.onBroken(serving.SendOutcome.Unknown, detail), failure);
      return;
    }
    const peer = this.#relay?.peer;
    this.#attempt = undefined;
    this.#endRelay(failure);
    if (peer !== undefined && failure === relayMessages.RelayResult.Unreachable) {
      relays.noteUnable(endpoint.id, peer);
      monitor.notePeerResult(endpoint, false);
    }
    if (!this.#isExpired && this.#tryPeer()) return;
    if (!this.#isExpired && !this.#hasTriedDirect) {
      this.#sendDirect();
      return;
    }
    this.#end(() =>
      receiver.onBroken(serving.SendOutcome.NotSent, "neither this daemon nor a peer reaches the endpoint"),
    );
  }

  #relayedRequest(): sendings.OutgoingRequest {
    const { endpoint, relays, request } = this.#parts;
    const { answerId, body, call, createHeaders, method, path, passOnAs, sendBefore } = request;
    const remainingMs = Math.max(0, Math.min(MAX_UINT32, (sendBefore ?? Infinity) - performance.now()));
    const message = protobuf.create(messages.RelayedRequestSchema, {
      id: passOnAs ?? "",
      vm: relays.vm,
      endpoint: endpoint.id,
      startedAtMs: endpointIncarnations.toMessage(endpoint.bornAt),
      softwareVersion: endpoint.softwareVersion ?? "",
      method,
      path,
      headers: createHeaders(),
      remainingMs: Math.floor(remainingMs),
      asksFraming: true,
      isUnnamed: answerId === undefined,
      ...(body === undefined ? {} : { body }),
    });
    return {
      method: "POST",
      path: relayMessages.RELAY_PATH,
      createHeaders: () => [],
      body: Buffer.from(protobuf.toBinary(messages.RelayedRequestSchema, message)),
      call,
      answerId,
      ...(sendBefore === undefined ? {} : { sendBefore }),
    };
  }

  get #isExpired(): boolean {
    return performance.now() >= (this.#parts.request.sendBefore ?? Infinity);
  }

  #end(report: () => void, outcome = "answered"): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#endRelay(outcome);
    report();
  }

  #endRelay(outcome: string): void {
    const relay = this.#relay;
    if (relay === undefined) return;
    this.#relay = undefined;
    this.#parts.onRelayed(-1);
    this.#parts.log.info("passed-on", {
      id: this.#parts.request.passOnAs,
      endpoint: this.#parts.endpoint.id,
      peer: relay.peer.vm,
      outcome,
      tookMs: Math.round(performance.now() - relay.startedAt),
    });
  }
}

/** The headers as the endpoint sent them, without the chunks in which the peer sends an answer that had no framing. */
function endpointHeaders(received: sendings.AnswerHeaders): sendings.AnswerHeaders {
  const { [relayMessages.UNFRAMED_HEADER]: unframed, ...headers } = received;
  return unframed === undefined ? headers : { ...headers, "transfer-encoding": undefined };
}
