import type * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import type * as peerTables from "../peerTable.js";
import type * as ports from "../ports.js";
import * as engineCountKeepers from "./engineCountKeeper.js";
import * as dutyLeases from "./dutyLease.js";
import * as roleChangers from "./roleChanger.js";
import * as usageRecorders from "./usageRecorder.js";
import * as usageReporters from "./usageReporter.js";

/** Dependencies of {@link Duties}. */
export interface DutiesParts {
  readonly context: contexts.ServingContext;
  readonly store: ports.DurableStore;
  /** The same service, for usage records and reports. */
  readonly usageStore: ports.DurableStore;
  readonly layout: ports.StoreLayout;
  /** Calls to the platform; undefined if it expects none. */
  readonly calls: ports.DutyCalls | undefined;
  /** Incarnation of this daemon. */
  readonly incarnation: string;
  readonly usageCounter: serving.UsageCounter;
  /** @returns whether this daemon is the one that should carry out the duties */
  readonly eligible: () => boolean;
  /** Called when this daemon has lost or released the lease, which its peers have to learn at once. */
  readonly onReleased: () => void;
  /** @returns states of the live peers */
  readonly livePeers: () => readonly peerTables.PeerState[];
  /** @returns milliseconds for which the key-value service has not answered this daemon */
  readonly storeSilentMs: () => number;
  /** @returns current true time, in Unix milliseconds */
  readonly unixMs: () => number;
}

/**
 * What one daemon at a time does for the whole fleet, under one lease: it changes the roles of engines, orders
 * their number, and reports the usage of organisations. Each daemon records the usage that it counts.
 */
export class Duties {
  readonly #lease: dutyLeases.DutyLease;
  readonly #roles: roleChangers.RoleChanger;
  readonly #engineCounts: engineCountKeepers.EngineCountKeeper | undefined;
  readonly #usageRecorder: usageRecorders.UsageRecorder | undefined;
  readonly #usageReporter: usageReporters.UsageReporter | undefined;

  /** @param parts - dependencies */
  constructor(parts: DutiesParts) {
    const { context, layout, store } = parts;
    const { demand, log, settings } = context;
    this.#lease = new dutyLeases.DutyLease({
      store,
      key: layout.authorityKey,
      vm: settings.vm,
      log,
      leaseMs: settings.orderLeaseMs,
      isFenced: settings.areOrdersFenced ?? false,
      eligible: parts.eligible,
      heldElsewhereUntil: () => parts.livePeers().flatMap(({ dutyLeaseUntil }) => dutyLeaseUntil ?? []),
      onHeldChange: (isHeld) => {
        this.#onHeldChange(isHeld);
        if (!isHeld) parts.onReleased();
      },
    });
    const sumOverPeers = (valueOf: (peer: peerTables.PeerState) => number): number =>
      parts.livePeers().reduce((sum, peer) => sum + valueOf(peer), 0);
    const load = {
      prefillLoad: () => sumOverPeers((peer) => peer.readingLoad) + demand.readingLoad(performance.now()),
      eventsPerMs: () => sumOverPeers((peer) => peer.eventsPerMs) + demand.eventsPerMs(performance.now()),
    };
    this.#roles = new roleChangers.RoleChanger({
      ...load,
      context,
      lease: this.#lease,
      store,
      changeKey: layout.roleChangeKey,
    });
    const { usage, controlsEngineCounts } = settings;
    if (parts.calls === undefined) return;
    if (controlsEngineCounts === true)
      this.#engineCounts = new engineCountKeepers.EngineCountKeeper({
        ...load,
        context,
        calls: parts.calls,
        lease: this.#lease,
      });
    if (usage === undefined) return;
    this.#usageRecorder = new usageRecorders.UsageRecorder({
      ...parts,
      store: parts.usageStore,
      key: `${layout.usageKeys.recordPrefix}${settings.vm}/${parts.incarnation}`,
      vm: settings.vm,
      counter: parts.usageCounter,
      windowMs: usage.windowMs,
      log,
      draw: () => context.random.next(),
    });
    this.#usageReporter = new usageReporters.UsageReporter({
      ...parts,
      store: parts.usageStore,
      calls: parts.calls,
      keys: layout.usageKeys,
      lease: this.#lease,
      vm: settings.vm,
      log,
      settings: usage,
      counting: () => parts.livePeers().flatMap((peer) => (peer.dispatching ? [peer.vm] : [])),
    });
  }

  /** @returns time for which this daemon relies on the lease in milliseconds, if it holds it */
  get leaseMs(): number | undefined {
    return this.#lease.validMs;
  }

  /** Starts acquiring the lease and carrying out the duties. */
  start(): void {
    void this.#lease.run();
    this.#usageRecorder?.start();
  }

  /** Releases the lease, so that another daemon carries out the duties. */
  release(): void {
    void this.#lease.end();
  }

  /** Runs the checks of the duties only while the lease is held: they would wake every daemon several times a second. */
  #onHeldChange(isHeld: boolean): void {
    for (const duty of [this.#roles, this.#engineCounts, this.#usageReporter]) {
      if (isHeld) duty?.start();
      else duty?.stop();
    }
  }

  /** Records the usage that this daemon has counted, once its requests are over. */
  async recordUsage(): Promise<void> {
    await this.#usageRecorder?.end();
  }

  /** {@inheritDoc roleChangers.RoleChanger.noteRoleChange} */
  noteRoleChange(service: string, role: serving.EngineRole, agoMs: number): void {
    this.#roles.noteRoleChange(service, role, agoMs);
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#roles.forget(endpointId);
  }
}
