import type * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import type * as protocol from "@camphorcourse/protocol";
import type * as keyValueShell from "./keyValueShell.js";
import type * as peerClients from "./peerClients.js";
import * as messages from "./peerMessages.js";

const PEER_TIMEOUT_MS = 1000;
const CLAIM_TIMEOUT_MS = 3000;
/** The peer with the lower name begins the exchange; the other only if it hears nothing. */
const EXCHANGE_TAKEOVER_MS = 2500;

/** Carries out what the core asks of the other daemons. */
export class PeerCalls {
  readonly #clients: peerClients.PeerClients;
  readonly #core: core.Core;
  readonly #sink: keyValueShell.EventSink;
  readonly #hybrid: common.HybridClock;
  readonly #clock: common.Clock;

  /**
   * @param clients - of the other daemons
   * @param decisions - the core
   * @param sink - takes the events
   * @param clocks - hybrid and monotonic time
   */
  constructor(
    clients: peerClients.PeerClients,
    decisions: core.Core,
    sink: keyValueShell.EventSink,
    clocks: { hybrid: common.HybridClock; clock: common.Clock },
  ) {
    this.#clients = clients;
    this.#core = decisions;
    this.#sink = sink;
    this.#hybrid = clocks.hybrid;
    this.#clock = clocks.clock;
  }

  /** @returns this daemon's heartbeat */
  heartbeat(): protocol.ExchangeRequest {
    return messages.heartbeatToWire(this.#core.heartbeat(this.#clock.now()), this.#hybrid.tick());
  }

  /** @param message - a peer's heartbeat */
  onHeartbeat(message: protocol.ExchangeRequest): void {
    this.#hybrid.observe(messages.stampOf(message));
    this.#sink({ type: core.EventType.PeerHeard, report: messages.heartbeatFromWire(message) });
  }

  /** Exchanges heartbeats with the peers whose turn it is not to begin. */
  exchange(): void {
    const now = this.#clock.now();
    const { vm } = this.#core.registration;
    for (const peer of this.#core.roster.peers()) {
      const begins = vm < peer.registration.vm || now - peer.lastSeenAt > EXCHANGE_TAKEOVER_MS;
      if (begins) void this.#exchangeWith(peer.registration.peerUrl);
    }
  }

  /**
   * @param url - a peer's address
   * @param records - records that it may lack
   * @param completeRevision - 0, or the revision up to which they are complete
   * @returns whether the peer took them in
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
   * @param claim - to be appended by its partition's preferred daemon
   * @param peerUrl - that daemon's address
   */
  async askClaim(claim: core.Claim, peerUrl: string): Promise<void> {
    const reply = await this.#clients.call(peerUrl, (client) =>
      client.claim({ items: [claim] }, { timeoutMs: CLAIM_TIMEOUT_MS }),
    );
    const answer = reply?.answers[0];
    if (!answer) {
      // The owner is out of reach; the compare-and-swap is safe from any daemon, only dearer.
      this.#sink({ type: core.EventType.ClaimsAsked, claims: [claim] });
      return;
    }
    const standing = answer.standing && messages.claimFromWire(answer.standing);
    const verdict = messages.claimVerdictFromWire(answer.verdict);
    const { attempt } = claim;
    this.#sink({ type: core.EventType.ClaimAnswered, attempt, verdict, ...(standing ? { standing } : {}) });
  }

  /** @param action - which attempt's answer is wanted, and where it runs */
  async askJoin(action: Extract<core.Action, { type: core.ActionType.AskJoin }>): Promise<void> {
    const { request, key, digest, owner, asker, timeoutMs } = action;
    const peerUrl = this.#core.roster.get(owner.vm)?.registration.peerUrl;
    const question = { key, digest, incarnation: owner.incarnation, attempt: owner.attempt, asker };
    const ask = (): Promise<protocol.JoinAttemptResponse | undefined> =>
      this.#clients.call(peerUrl ?? "", (client) => client.joinAttempt(question, { timeoutMs }));
    // The second try is on a new connection: the first may have been lost on the way.
    const reply = peerUrl === undefined ? undefined : ((await ask()) ?? (await ask()));
    const verdict = reply ? messages.joinVerdictFromWire(reply.verdict) : core.JoinVerdict.Unknown;
    const answered = reply && verdict === core.JoinVerdict.Answered;
    const answer = answered && { status: reply.status, contentType: reply.contentType, body: reply.body };
    this.#sink({
      type: core.EventType.JoinAnswered,
      request,
      verdict,
      ...(answer ? { answer } : {}),
      ...(reply?.movedTo ? { movedTo: reply.movedTo } : {}),
    });
  }

  /** @param action - which former holder is to be told of which epoch */
  async askDepose(action: Extract<core.Action, { type: core.ActionType.AskDepose }>): Promise<void> {
    const { vm, peerUrl, shard, epoch } = action;
    const question = { shard, epoch: BigInt(epoch) };
    const reply = await this.#clients.call(peerUrl, (client) =>
      client.depose(question, { timeoutMs: PEER_TIMEOUT_MS }),
    );
    if (!reply) return;
    const { incarnation, reset } = reply;
    this.#sink({ type: core.EventType.DeposeAnswered, vm, shard, epoch, incarnation, reset });
  }

  async #exchangeWith(url: string): Promise<void> {
    const heartbeat = this.heartbeat();
    const reply = await this.#clients.call(url, (client) => client.exchange(heartbeat, { timeoutMs: PEER_TIMEOUT_MS }));
    if (reply?.reply) this.onHeartbeat(reply.reply);
  }
}
