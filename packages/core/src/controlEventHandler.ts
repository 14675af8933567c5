import * as actions from "./actions.js";
import type * as claimManager from "./claimManager.js";
import type * as controlFollower from "./controlFollower.js";
import type * as controlStore from "./controlStore.js";
import * as events from "./events.js";
import type * as keyValue from "./keyValueTypes.js";
import type * as leaseManager from "./leaseManager.js";
import type * as leases from "./leases.js";
import type * as membership from "./membership.js";
import type * as orderContext from "./orderContext.js";
import type * as orderManager from "./orderManager.js";
import type * as peerView from "./peerView.js";
import * as timeline from "./timeline.js";
import type * as viewFreshness from "./viewFreshness.js";

/** State that control events change. */
export interface ControlParts {
  readonly store: controlStore.ControlStore;
  readonly follower: controlFollower.ControlFollower;
  readonly freshness: viewFreshness.ViewFreshness;
  readonly leaseManager: leaseManager.LeaseManager;
  readonly claimManager: claimManager.ClaimManager;
  readonly orderManager: orderManager.OrderManager;
  readonly peerView: peerView.PeerView;
  readonly roster: membership.Roster;
  readonly shards: leases.ShardLeases;
  readonly loads: Map<string, orderContext.ReceivedLoadReport>;
  emit(action: actions.Action): void;
}

/** Handles the events that belong to no single request: those of the key-value service, peers, VMs, load reports and orders. */
export class ControlEventHandler {
  readonly #parts: ControlParts;

  /** @param parts - the state that events change */
  constructor(parts: ControlParts) {
    this.#parts = parts;
  }

  /**
   * @param event - the event; events of single requests are ignored
   * @param now - current time
   */
  apply(event: events.CoreEvent, now: number): void {
    switch (event.type) {
      case events.EventType.ControlSnapshot:
        this.#parts.freshness.onKeyValueResponded(now);
        this.#parts.follower.apply(this.#parts.store.changesFromSnapshot(event.records, event.revision), now);
        this.#parts.store.markAppliedUpTo(event.revision);
        break;
      case events.EventType.ControlChanges:
        this.#parts.follower.apply(event.records, now);
        if (event.completeRevision !== undefined) this.#parts.store.markAppliedUpTo(event.completeRevision);
        break;
      case events.EventType.KeyValueResponded:
        this.#onKeyValueResponded(event.revision, now);
        break;
      case events.EventType.KeyValueFailed:
        this.#parts.leaseManager.onFailed();
        if (this.#parts.freshness.onKeyValueFailed(now)) this.#note(timeline.EventKind.KeyValueLost);
        break;
      case events.EventType.LeaseRenewed:
        this.#parts.leaseManager.onRenewed(event.lease, event.sentAt, event.ttlMs);
        break;
      case events.EventType.LeaseLost:
        this.#parts.leaseManager.onLost(now);
        this.#note(timeline.EventKind.LeaseLost);
        break;
      case events.EventType.Transacted:
        this.#onTransacted(event.token, event.result, now);
        break;
      case events.EventType.KeysRead:
        this.#onKeysRead(event.token, event.records, now);
        break;
      case events.EventType.PeerReported:
        this.#onPeerReported(event.report, now);
        break;
      case events.EventType.VmsListed:
        this.#parts.roster.onVmList(event.vms);
        break;
      case events.EventType.LoadReported:
        this.#parts.loads.set(event.report.endpoint, { report: event.report, receivedAt: now });
        break;
      case events.EventType.OrderAnswered:
        this.#parts.orderManager.onAnswered(event.endpoint, event.number, event.outcome, now);
        break;
      case events.EventType.DeposeAsked:
        this.#parts.shards.depose(event.shard, event.epoch);
        break;
      case events.EventType.DeposeAnswered:
        this.#parts.orderManager.onDeposed(event.vm, event.incarnation, event.reset, event.shard);
        break;
      default:
        break;
    }
  }

  #onKeyValueResponded(revision: number, now: number): void {
    if (this.#parts.freshness.onKeyValueResponded(now)) this.#note(timeline.EventKind.KeyValueBack);
    if (this.#parts.store.appliedRevision > 0) this.#parts.store.markAppliedUpTo(revision);
  }

  #onTransacted(token: string, result: keyValue.TransactionResult, now: number): void {
    const [kind, ...rest] = token.split(":");
    const name = rest.join(":");
    if (kind === "claims") this.#parts.claimManager.onWritten(result);
    if (kind === "order") this.#parts.orderManager.onWritten(name, result, now);
    if (kind === "lease") this.#parts.leaseManager.onShardWritten(name);
    if (kind === "register") this.#parts.leaseManager.onRegistered(result.outcome);
  }

  #onKeysRead(token: string, records: readonly keyValue.KeyRecord[] | undefined, now: number): void {
    const [kind, ...rest] = token.split(":");
    const name = rest.join(":");
    if (kind === "claims") this.#parts.claimManager.onRead(Number(name), records);
    if (kind !== "order") return;
    this.#parts.follower.apply(records ?? [], now);
    this.#parts.orderManager.onReadBack(name, records !== undefined, now);
  }

  #onPeerReported(report: membership.PeerReport, now: number): void {
    const peer = this.#parts.roster.get(report.vm);
    this.#parts.peerView.recordPeerDemand(peer?.report, report, now);
    this.#parts.roster.onHeartbeat(report, now);
    this.#parts.freshness.onPeerReported();
    this.#parts.peerView.updatePeerTotals(now);
    const isBehind = report.appliedRevision < this.#parts.store.appliedRevision;
    if (!peer || report.keyValueReachable || !isBehind) return;
    // The peer can't reach the key-value service, so it is sent the records that it missed.
    this.#parts.emit({
      type: actions.ActionType.PushRecords,
      to: peer.registration,
      records: this.#parts.store.changesSince(report.appliedRevision),
      completeRevision: this.#parts.store.appliedRevision,
    });
  }

  #note(kind: timeline.EventKind): void {
    this.#parts.emit({ type: actions.ActionType.Note, note: { kind, fields: {} } });
  }
}
