import type * as http from "node:http";
import type * as httpServers from "@camphorcourse/common/http";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";
import type * as endpointClients from "../endpointClient.js";
import * as endpointIncarnations from "../endpointIncarnation.js";
import type * as fleetViews from "../fleetView.js";
import * as sendings from "../sending.js";
import * as pathMonitors from "./pathMonitor.js";
import * as relayMessages from "./relayMessage.js";

/** Size by which a message may exceed the body of the request that it carries, in bytes. */
const MAX_OVERHEAD_BYTES = 262_144;

/** Largest body that is read while no configuration is known, in bytes. */
const DEFAULT_BODY_BYTES = 4_194_304;

/** What the other daemon is told of a send that gave no answer. */
const FAILURES: Readonly<Record<serving.SendOutcome, relayMessages.RelayResult>> = {
  [serving.SendOutcome.NotSent]: relayMessages.RelayResult.Unreachable,
  [serving.SendOutcome.Withheld]: relayMessages.RelayResult.Refused,
  [serving.SendOutcome.Declined]: relayMessages.RelayResult.AnswerLost,
  [serving.SendOutcome.Unknown]: relayMessages.RelayResult.AnswerLost,
  [serving.SendOutcome.Foreign]: relayMessages.RelayResult.AnswerLost,
};

/** Time for the message of a peer, in milliseconds; a peer has the whole request when it passes it on. */
const READ_TIMEOUT_MS = 10_000;

const BAD_REQUEST = 400;
const BAD_GATEWAY = 502;
const REFUSED_CODE = "ECONNREFUSED";

/** Headers that belong to one connection and are not passed back. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "trailer",
  "transfer-encoding",
  "upgrade",
  relayMessages.RESULT_HEADER,
  relayMessages.UNFRAMED_HEADER,
]);

/** Dependencies of {@link RelayServer}. */
export interface RelayServerParts {
  readonly log: decisionLogs.DecisionLog;
  /** Reads messages within the memory for the bodies of all requests. */
  readonly bodies: httpServers.RequestBodies;
  readonly view: fleetViews.FleetView;
  readonly client: endpointClients.EndpointClient;
  readonly monitor: pathMonitors.PathMonitor;
  readonly isStopping: () => boolean;
  /** @returns upper bound of the number of live daemons, including this one */
  readonly liveDaemons: () => number;
}

/**
 * Sends requests to endpoints in place of daemons that don't reach them. The daemon that serves the caller keeps all decisions on
 * the request; this one only makes the send, over its own connections and only to an endpoint that it knows as available.
 */
export class RelayServer {
  readonly #parts: RelayServerParts;
  #open = 0;

  /** @param parts - dependencies */
  constructor(parts: RelayServerParts) {
    this.#parts = parts;
  }

  /** @returns number of requests that are being passed on */
  get open(): number {
    return this.#open;
  }

  /**
   * @param endpointId - an endpoint that a peer can't connect to
   * @returns whether this daemon reaches it
   */
  async probe(endpointId: string): Promise<pathMonitors.PeerFinding> {
    const { client, monitor, view } = this.#parts;
    const endpoint = view.directory.availableEndpoint(endpointId);
    if (endpoint === undefined) return { reached: false, refused: false };
    // Data that came shortly before proves nothing: the endpoint may have crashed since.
    if (monitor.isLinkLost) return { reached: false, refused: false };
    const error = await pathMonitors.connectOnce(endpoint.address);
    return {
      reached: error === undefined,
      refused: error?.code === REFUSED_CODE && !client.hasLiveConnection(endpointId),
    };
  }

  /**
   * Handles a call of another daemon.
   *
   * @param incoming - the call
   * @param response - its response
   */
  async handle(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    response.sendDate = false;
    response.on("error", () => undefined);
    const message = await this.#read(incoming, response);
    if (message.isErr()) {
      this.#parts.log.warn("relay-request-unreadable", { detail: message.error, from: incoming.socket.remoteAddress });
      // A reset would look to the peer as if the request might have run.
      this.#parts.bodies.unread.refuse(response, BAD_REQUEST);
      return;
    }
    if (response.closed) return;
    const endpoint = this.#endpointFor(message.value);
    if (endpoint.isErr()) this.#fail(message.value, response, endpoint.error);
    else this.#send(message.value, endpoint.value, response);
  }

  /** Reads the message of a peer, which is held until the response closes. */
  async #read(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<neverthrow.Result<messages.RelayedRequest, string>> {
    const { bodies, view } = this.#parts;
    const bodyBytes = view.table?.configuration.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
    const deadlineAt = performance.now() + READ_TIMEOUT_MS;
    const reader = bodies.read(incoming, { maxBytes: bodyBytes + MAX_OVERHEAD_BYTES, deadlineAt: () => deadlineAt });
    response.once("close", () => reader.release());
    const body = await reader.result;
    return body.mapErr((fault) => `the message was not read: ${fault}`).andThen(decodeMessage);
  }

  #endpointFor(message: messages.RelayedRequest): neverthrow.Result<serving.Endpoint, relayMessages.RelayResult> {
    const { client, isStopping, liveDaemons, monitor, view } = this.#parts;
    const endpoint = view.directory.availableEndpoint(message.endpoint);
    const bornAt = endpointIncarnations.fromMessage(message.startedAtMs);
    if (isStopping() || endpoint === undefined || endpointIncarnations.isOtherIncarnation(view, endpoint.id, bornAt))
      return neverthrow.err(relayMessages.RelayResult.Refused);
    // An older daemon names no version.
    if (message.softwareVersion !== "" && message.softwareVersion !== endpoint.softwareVersion)
      return neverthrow.err(relayMessages.RelayResult.Refused);
    const maxConnections = view.table?.service(endpoint.service)?.maxConnections ?? Number.MAX_SAFE_INTEGER;
    if (!client.mayReceive(endpoint, serving.AnsweredCall.Run))
      return neverthrow.err(relayMessages.RelayResult.Refused);
    if (!client.hasRoom(endpoint.id, maxConnections, liveDaemons()))
      return neverthrow.err(relayMessages.RelayResult.Refused);
    const path = monitor.paths.pathTo(endpoint, client.hasLiveConnection(endpoint.id), performance.now());
    return path === serving.EndpointPath.Direct
      ? neverthrow.ok(endpoint)
      : neverthrow.err(relayMessages.RelayResult.Unreachable);
  }

  #send(message: messages.RelayedRequest, endpoint: serving.Endpoint, response: http.ServerResponse): void {
    const { client, log } = this.#parts;
    const startedAt = performance.now();
    this.#open++;
    const { headers, method, path } = message;
    const body = message.body === undefined ? undefined : viewOf(message.body);
    const sendBefore = startedAt + message.remainingMs;
    const request = {
      method,
      path,
      createHeaders: () => headers,
      body,
      call: serving.AnsweredCall.Run,
      answerId: message.isUnnamed ? undefined : message.id,
      sendBefore,
    };
    const inFlight = client.sendForPeer(
      endpoint,
      request,
      this.#receiver(message, response, () => inFlight),
    );
    response.once("close", () => {
      this.#open--;
      if (!response.writableFinished) inFlight.cancel();
      log.info("relayed", {
        id: message.id,
        endpoint: endpoint.id,
        for: message.vm,
        status: response.headersSent ? response.statusCode : 0,
        isComplete: response.writableFinished,
        tookMs: Math.round(performance.now() - startedAt),
      });
    });
  }

  #receiver(
    message: messages.RelayedRequest,
    response: http.ServerResponse,
    inFlight: () => Pick<sendings.InFlightRequest, "pause" | "resume">,
  ): sendings.AnswerReceiver {
    return {
      onHead: (status, headers) => {
        response.writeHead(status, {
          ...passedBack(headers),
          [relayMessages.RESULT_HEADER]: relayMessages.RelayResult.Answer,
          ...(message.asksFraming && !sendings.isFramed(headers) ? { [relayMessages.UNFRAMED_HEADER]: "1" } : {}),
        });
        response.flushHeaders();
        return true;
      },
      onData: (chunk) => {
        if (response.write(chunk)) return true;
        inFlight().pause();
        response.once("drain", () => inFlight().resume());
        return true;
      },
      onEnd: () => response.end(),
      onBroken: (outcome) => {
        const failure = FAILURES[outcome];
        // An answer that has begun must not look complete to the other daemon.
        if (response.headersSent) response.destroy();
        else this.#fail(message, response, failure);
      },
    };
  }

  #fail(message: messages.RelayedRequest, response: http.ServerResponse, failure: relayMessages.RelayResult): void {
    this.#parts.log.info("relay-failed", { id: message.id, endpoint: message.endpoint, for: message.vm, failure });
    response.writeHead(BAD_GATEWAY, { [relayMessages.RESULT_HEADER]: failure, "content-length": 0 });
    response.end();
  }
}

function decodeMessage(bytes: Buffer): neverthrow.Result<messages.RelayedRequest, string> {
  try {
    const message = protobuf.fromBinary(messages.RelayedRequestSchema, bytes);
    if (message.method === "" || !message.path.startsWith("/")) return neverthrow.err("method or path is missing");
    if (message.headers.length % 2 !== 0) return neverthrow.err("a header has no value");
    return neverthrow.ok(message);
  } catch (error) {
    return neverthrow.err(error instanceof Error ? error.message : String(error));
  }
}

/** @returns the bytes of a part of a message, without a copy */
function viewOf({ buffer, byteOffset, byteLength }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}

function passedBack(headers: sendings.AnswerHeaders): http.OutgoingHttpHeaders {
  const kept = Object.entries(headers).filter(([name, value]) => value !== undefined && !CONNECTION_HEADERS.has(name));
  return Object.fromEntries(kept) as http.OutgoingHttpHeaders;
}
