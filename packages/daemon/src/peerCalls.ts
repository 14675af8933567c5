import type * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import type * as protocol from "@camphorcourse/protocol";
import type * as keyValueAdapter from "./keyValueAdapter.js";
import type * as peerClients from "./peerClients.js";
import * as messages from "./peerMessages.js";

const PEER_TIMEOUT_MS = 1000;
const CLAIM_TIMEOUT_MS = 3000;
/** The daemon with the lower VM name initiates the exchange; the other one only after this time without a heartbeat. */
const HEARTBEAT_TAKEOVER_MS = 2500;

/** Executes the core's actions that call other daemons, and exchanges heartbeats with them. */
export class PeerCalls {
  readonly #clients: peerClients.PeerClients;
  readonly #core: core.Core;
  readonly #emit: keyValueAdapter.EventSink;
  readonly #hybrid: common.HybridClock;
  readonly #clock: common.Clock;

  /**
   * @param clients - clients of the other daemons
   * @param daemonCore - the core
   * @param emit - passes events to the core
   * @param clocks - hybrid and monotonic clocks
   */
  constructor(
    clients: peerClients.PeerClients,
    daemonCore: core.Core,
    emit: keyValueAdapter.EventSink,
    clocks: { hybrid: common.HybridClock; clock: common.Clock },
  ) {
    this.#clients = clients;
    this.#core = daemonCore;
    this.#emit = emit;
    this.#hybrid = clocks.hybrid;
    this.#clock = clocks.clock;
  }

  /** @returns this daemon's heartbeat message */
  heartbeat(): protocol.ExchangeRequest {
    return messages.heartbeatToWire(this.#core.heartbeat(this.#clock.now()), this.#hybrid.tick());
  }

  /**
   * Handles a heartbeat from a peer.
   *
   * @param message - the heartbeat
   */
  onHeartbeat(message: protocol.ExchangeRequest): void {
    this.#hybrid.observe(messages.timestampOf(message));
    this.#emit({ type: core.EventType.PeerReported, report: messages.heartbeatFromWire(message) });
  }

  /** Sends heartbeats to the peers whose exchange this daemon initiates. */
  exchangeHeartbeats(): void {
    const now = this.#clock.now();
    const { vm } = this.#core.registration;
    for (const peer of this.#core.roster.peers()) {
      const initiates = vm < peer.registration.vm || now - peer.lastSeenAt > HEARTBEAT_TAKEOVER_MS;
      if (initiates) void this.#exchangeHeartbeatsWith(peer.registration.peerUrl);
    }
  }

  /**
   * Pushes control records to a peer.
   *
   * @param url - address of the peer
   * @param records - records that the peer may not have
   * @param completeRevision - revision up to which the records are complete, or 0
   * @returns whether the peer acknowledged them
   */
  async pushRecords(url: string, records: readonly core.KeyRecord[], completeRevision: number): Promise<boolean> {
    const request = {
      fromVm: this.#core.registration.vm,
      records: records.map(messages.recordToWire),
      completeRevision: BigInt(completeRevision),
    };
    const reply = await this.#clients.call(url, (client) =>
      client.pushRecords(request, { timeoutMs: PEER_TIMEOUT_MS }),
    );
    return reply !== undefined;
  }

  /**
   * Asks the preferred daemon of a claim's partition to write the claim.
   *
   * @param claim - the claim
   * @param peerUrl - address of the preferred daemon
   */
  async askClaim(claim: core.Claim, peerUrl: string): Promise<void> {
    const reply = await this.#clients.call(peerUrl, (client) =>
      client.claim({ items: [claim] }, { timeoutMs: CLAIM_TIMEOUT_MS }),
    );
    const answer = reply?.answers[0];
    if (!answer) {
      // The preferred daemon is unreachable. Any daemon can write the claim safely by
      // compare-and-swap, only at a higher cost.
      this.#emit({ type: core.EventType.ClaimsAsked, claims: [claim] });
      return;
    }
    const standing = answer.standing && messages.claimFromWire(answer.standing);
    const verdict = messages.claimVerdictFromWire(answer.verdict);
    const { attempt } = claim;
    this.#emit({
      type: core.EventType.ClaimAnswered,
      attempt,
      verdict,
      ...(standing ? { standing } : {}),
    });
  }

  /**
   * Asks the daemon that runs an attempt for the answer, and reports it to the core.
   *
   * @param action - the attempt and its owner
   */
  async askJoin(action: Extract<core.Action, { type: core.ActionType.AskJoin }>): Promise<void> {
    const { request, key, digest, owner, asker, timeoutMs } = action;
    const peerUrl = this.#core.roster.get(owner.vm)?.registration.peerUrl;
    const question = { key, digest, incarnation: owner.incarnation, attempt: owner.attempt, asker };
    const callOwner = (): Promise<protocol.JoinAttemptResponse | undefined> =>
      this.#clients.call(peerUrl ?? "", (client) => client.joinAttempt(question, { timeoutMs }));
    // The second call uses a new connection, since the first one may have been lost with its connection.
    const reply = peerUrl === undefined ? undefined : ((await callOwner()) ?? (await callOwner()));
    const verdict = reply ? messages.joinVerdictFromWire(reply.verdict) : core.JoinVerdict.Unknown;
    const isAnswered = reply && verdict === core.JoinVerdict.Answered;
    const answer = isAnswered && { status: reply.status, contentType: reply.contentType, body: reply.body };
    this.#emit({
      type: core.EventType.JoinAnswered,
      request,
      verdict,
      ...(answer ? { answer } : {}),
      ...(reply?.movedTo ? { movedTo: reply.movedTo } : {}),
    });
  }

  /**
   * Tells a former lease holder that a newer epoch has begun.
   *
   * @param action - the former holder, the shard and the new epoch
   */
  async askDepose(action: Extract<core.Action, { type: core.ActionType.AskDepose }>): Promise<void> {
    const { vm, peerUrl, shard, epoch } = action;
    const question = { shard, epoch: BigInt(epoch) };
    const reply = await this.#clients.call(peerUrl, (client) =>
      client.depose(question, { timeoutMs: PEER_TIMEOUT_MS }),
    );
    if (!reply) return;
    const { incarnation, reset } = reply;
    this.#emit({
      type: core.EventType.DeposeAnswered,
      vm,
      shard,
      epoch,
      incarnation,
      reset,
    });
  }

  async #exchangeHeartbeatsWith(url: string): Promise<void> {
    const heartbeat = this.heartbeat();
    const reply = await this.#clients.call(url, (client) => client.exchange(heartbeat, { timeoutMs: PEER_TIMEOUT_MS }));
    if (reply?.reply) this.onHeartbeat(reply.reply);
  }
}
