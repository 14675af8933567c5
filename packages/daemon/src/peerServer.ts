import type * as http from "node:http";
import type * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as protocol from "@camphorcourse/protocol";
import type * as daemon from "./daemon.js";
import * as messages from "./peerMessages.js";

/** Serves the calls of other daemons. */
export class PeerServer {
  readonly #daemon: daemon.Daemon;
  readonly handler: http.RequestListener;

  /** @param owner - the daemon */
  constructor(owner: daemon.Daemon) {
    this.#daemon = owner;
    const routes = (router: connect.ConnectRouter): void => {
      router.service(protocol.Peer, {
        exchange: (request) => this.#exchange(request),
        pushRecords: (request) => this.#pushRecords(request),
        claim: (request) => this.#claim(request),
        joinAttempt: (request) => this.#joinAttempt(request),
        depose: (request) => this.#depose(request),
        timeline: (request) => this.#timeline(request),
      });
    };
    this.handler = connectNode.connectNodeAdapter({ routes }) as http.RequestListener;
  }

  #exchange(request: protocol.ExchangeRequest): { reply: protocol.ExchangeRequest } {
    this.#daemon.peerCalls.onHeartbeat(request);
    return { reply: this.#daemon.peerCalls.heartbeat() };
  }

  #pushRecords(request: protocol.PushRecordsRequest): { appliedRevision: bigint } {
    const complete = Number(request.completeRevision);
    this.#daemon.handle({
      type: core.EventType.ControlChanges,
      records: request.records.map(messages.recordFromWire),
      ...(complete > 0 ? { completeRevision: complete } : {}),
    });
    return { appliedRevision: BigInt(this.#daemon.core.appliedRevision) };
  }

  async #claim(
    request: protocol.ClaimRequest,
  ): Promise<{ answers: { verdict: protocol.ClaimVerdict; standing?: core.Claim }[] }> {
    const claims = request.items.map(messages.claimFromWire);
    const answers = await Promise.all(claims.map((claim) => this.#daemon.claimForPeer(claim)));
    return {
      answers: answers.map(({ verdict, standing }) => ({
        verdict: messages.claimVerdictToWire(verdict),
        ...(standing ? { standing } : {}),
      })),
    };
  }

  async #joinAttempt(request: protocol.JoinAttemptRequest): Promise<{
    verdict: protocol.JoinVerdict;
    status?: number;
    contentType?: string;
    body?: Uint8Array;
    movedTo?: { vm: string; incarnation: string; attempt: string };
  }> {
    const { key, digest, incarnation, attempt, asker } = request;
    const owner = { vm: asker?.vm ?? "", incarnation: asker?.incarnation ?? "", attempt: asker?.attempt ?? "" };
    const joined = await this.#daemon.joinForPeer({
      key,
      digest,
      incarnation,
      attempt,
      asker: owner,
    });
    const { answer, movedTo } = joined;
    return {
      verdict: messages.joinVerdictToWire(joined.verdict),
      ...(answer ?? {}),
      ...(movedTo ? { movedTo } : {}),
    };
  }

  #depose(request: protocol.DeposeRequest): { incarnation: string; reset: boolean } {
    this.#daemon.handle({ type: core.EventType.DeposeAsked, shard: request.shard, epoch: Number(request.epoch) });
    this.#daemon.resetOrderConnections();
    return { incarnation: this.#daemon.core.registration.incarnation, reset: true };
  }

  #timeline(request: protocol.TimelineRequest): { events: ReturnType<typeof messages.timelineEventToWire>[] } {
    const events = this.#daemon.timeline.read({
      afterSequence: Number(request.afterSequence),
      ...(request.requestId === "" ? {} : { request: request.requestId }),
      ...(request.endpoint === "" ? {} : { endpoint: request.endpoint }),
    });
    return { events: events.map(messages.timelineEventToWire) };
  }
}

/** A timeline event received from a peer. */
export interface PeerTimelineEvent {
  readonly stamp: common.HybridTimestamp;
  readonly vm: string;
  readonly kind: string;
  readonly sequence: number;
  readonly fields: Readonly<Record<string, common.Field>>;
}

/**
 * Converts a timeline event from its protocol message.
 *
 * @param event - the received message
 * @returns the event
 */
export function timelineEventFromWire(event: protocol.TimelineEvent): PeerTimelineEvent {
  return {
    stamp: { wallMs: Number(event.wallMs), counter: event.counter },
    vm: event.vm,
    kind: event.kind,
    sequence: Number(event.sequence),
    fields: event.fields,
  };
}
