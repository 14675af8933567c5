import * as common from "@camphorcourse/common";
import * as decisionLogs from "../../src/decisionLog.js";
import type * as daemonEntries from "../../src/daemonEntry.js";
import * as peerTables from "../../src/peerTable.js";
import * as recipientsModule from "../../src/peers/recipients.js";
import * as activeSetTrackers from "../../src/peers/activeSetTracker.js";

/** Interval of the heartbeats to daemons that need no work data, in milliseconds, as in the gateway. */
const OCCASIONAL_MS = { dispatching: 450, standby: 1_000 };

const STEP_MS = 100;
const NO_LOG = new decisionLogs.DecisionLog("fleet", "fatal", { writableLength: 0, write: () => true });

/** One daemon of the fleet: the heartbeats it receives decide whom it sends to. */
export class SimulatedDaemon {
  readonly entry: daemonEntries.DaemonEntry;
  readonly peerTable: peerTables.PeerTable;
  readonly activeSet: activeSetTrackers.ActiveSetTracker;
  up = true;
  ready = true;
  busyCores = 0;
  /** Whether it is cut off from endpoints. */
  cutOff = false;
  /** Whether heartbeats of others reach it. */
  receives = true;
  receivedCount = 0;
  #lastOccasionalAt = Number.NEGATIVE_INFINITY;
  #round = 0;

  constructor(entry: daemonEntries.DaemonEntry) {
    this.entry = entry;
    this.peerTable = new peerTables.PeerTable(entry.vm);
    this.activeSet = new activeSetTrackers.ActiveSetTracker({
      entry,
      peerTable: this.peerTable,
      log: NO_LOG,
      ready: () => this.ready,
      isCutOff: () => this.cutOff,
      busyCores: () => this.busyCores,
    });
  }

  /** @returns the receivers of heartbeats now, and the time until the next one to each, in milliseconds */
  selectHeartbeats(now: number, others: readonly daemonEntries.DaemonEntry[]): [to: string, nextWithinMs: number][] {
    const hasChanged = this.activeSet.update(now);
    const reportedActive = new Set(this.peerTable.live(now).flatMap(({ activeVms }) => activeVms));
    const knownDaemons = others.map((entry) => {
      const state = this.peerTable.liveState(entry.vm, now);
      return {
        entry,
        live: state !== undefined,
        dispatching: state?.dispatching ?? false,
        reportedActive: reportedActive.has(entry.vm),
      };
    });
    const { active: dispatching, isStandbyContact } = this.activeSet;
    const recipients = recipientsModule.chooseRecipients(
      { dataCentre: this.entry.dataCentre, dispatching, isStandbyContact },
      knownDaemons,
      this.#round,
    );
    const occasionalMs = dispatching ? OCCASIONAL_MS.dispatching : OCCASIONAL_MS.standby;
    const frequent = recipients.frequent.map(({ vm }): [string, number] => [vm, STEP_MS]);
    if (!hasChanged && now - this.#lastOccasionalAt < occasionalMs) return frequent;
    this.#lastOccasionalAt = now;
    this.#round++;
    return [...frequent, ...recipients.occasional.map(({ vm }): [string, number] => [vm, occasionalMs])];
  }

  /** @returns the state it reports */
  state(now: number, nextWithinMs: number): peerTables.PeerState {
    const { vm, dataCentre, capacity } = this.entry;
    const { active, activeVms } = this.activeSet;
    return {
      vm,
      incarnation: vm,
      dataCentre,
      ready: this.ready,
      active,
      cutOff: this.cutOff,
      linkLost: this.cutOff,
      dispatching: active,
      activeVms,
      capacity,
      busyCores: this.busyCores,
      nextWithinMs,
      configurationRevision: 1,
      storeSilentMs: 0,
      followsClosely: false,
      readingLoad: 0,
      eventsPerMs: 0,
      lastReceivedAt: now,
    };
  }
}

/** Daemons of several data centres that exchange heartbeats over a lossy network, in virtual time. */
export class SimulatedFleet {
  readonly daemons: SimulatedDaemon[];
  readonly #random: common.SeededRandom;
  readonly #lossRate: number;
  #now = 0;

  /**
   * @param entries - the daemons
   * @param seed - seed of the losses
   * @param lossRate - share of the heartbeats that is lost
   */
  constructor(entries: readonly daemonEntries.DaemonEntry[], seed: number, lossRate = 0) {
    this.daemons = entries.map((entry) => new SimulatedDaemon(entry));
    this.#random = new common.SeededRandom(seed);
    this.#lossRate = lossRate;
  }

  /** @returns running active daemons, in one data centre or in all */
  active(dataCentre?: string): SimulatedDaemon[] {
    return this.daemons
      .filter(({ up, activeSet }) => up && activeSet.active)
      .filter(({ entry }) => dataCentre === undefined || entry.dataCentre === dataCentre);
  }

  /** @param ms - time to simulate, in milliseconds */
  advance(ms: number): void {
    for (const until = this.#now + ms; this.#now < until; this.#now += STEP_MS) this.#step();
  }

  #step(): void {
    const byVm = new Map(this.daemons.map((daemon) => [daemon.entry.vm, daemon]));
    for (const daemon of this.daemons.filter(({ up }) => up)) {
      const others = this.daemons.filter((other) => other !== daemon).map(({ entry }) => entry);
      for (const [vm, nextWithinMs] of daemon.selectHeartbeats(this.#now, others)) {
        const receiver = byVm.get(vm);
        const isLost = this.#random.next() < this.#lossRate;
        if (receiver === undefined || isLost || !receiver.up || !receiver.receives) continue;
        receiver.receivedCount++;
        receiver.peerTable.record(daemon.state(this.#now, nextWithinMs));
      }
    }
  }
}
