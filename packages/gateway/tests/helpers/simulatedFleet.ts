import * as common from "@camphorcourse/common";
import * as decisionLogs from "../../src/decisionLog.js";
import type * as daemonEntries from "../../src/daemonEntry.js";
import * as peerBooks from "../../src/peerTable.js";
import * as audiences from "../../src/peers/recipients.js";
import * as standings from "../../src/peers/activeSetTracker.js";

/** Interval of the pulses to daemons that need not know the work, in milliseconds, as in the gateway. */
const SELDOM_MS = { deciding: 450, standingBy: 1_000 };

const LOOK_MS = 100;
const SILENT = new decisionLogs.DecisionLog("fleet", "fatal", { writableLength: 0, write: () => true });

/** One daemon of the fleet: what it hears decides whom it speaks to. */
export class TalkingDaemon {
  readonly entry: daemonEntries.DaemonEntry;
  readonly book: peerBooks.PeerTable;
  readonly standing: standings.Standing;
  up = true;
  ready = true;
  busyCores = 0;
  /** Whether what others say reaches it. */
  hears = true;
  heardCount = 0;
  #saidSeldomAt = Number.NEGATIVE_INFINITY;
  #turn = 0;

  constructor(entry: daemonEntries.DaemonEntry) {
    this.entry = entry;
    this.book = new peerBooks.PeerTable(entry.vm);
    this.standing = new standings.Standing({
      entry,
      book: this.book,
      log: SILENT,
      ready: () => this.ready,
      busyCores: () => this.busyCores,
    });
  }

  /** @returns whom it speaks to now, and when it speaks to them again */
  look(now: number, others: readonly daemonEntries.DaemonEntry[]): [to: string, nextWithinMs: number][] {
    const hasChanged = this.standing.look(now);
    const named = new Set(this.book.live(now).flatMap(({ activeVms: names }) => names));
    const known = others.map((entry) => {
      const heard = this.book.liveState(entry.vm, now);
      return {
        entry,
        live: heard !== undefined,
        deciding: heard?.deciding ?? false,
        named: named.has(entry.vm),
      };
    });
    const { active: deciding, host } = this.standing;
    const audience = audiences.audienceOf({ dataCentre: this.entry.dataCentre, deciding, host }, known, this.#turn);
    const seldomMs = deciding ? SELDOM_MS.deciding : SELDOM_MS.standingBy;
    const often = audience.often.map(({ vm }): [string, number] => [vm, LOOK_MS]);
    if (!hasChanged && now - this.#saidSeldomAt < seldomMs) return often;
    this.#saidSeldomAt = now;
    this.#turn++;
    return [...often, ...audience.seldom.map(({ vm }): [string, number] => [vm, seldomMs])];
  }

  /** @returns what it says of itself */
  says(now: number, nextWithinMs: number): peerBooks.PeerState {
    const { vm, dataCentre, capacity } = this.entry;
    const { active, activeVms: names } = this.standing;
    return {
      vm,
      incarnation: vm,
      dataCentre,
      ready: this.ready,
      active,
      deciding: active,
      activeVms: names,
      capacity,
      busyCores: this.busyCores,
      nextWithinMs,
      configurationRevision: 1,
      storeSilentMs: 0,
      followsClosely: false,
      readingLoad: 0,
      eventsPerMs: 0,
      heardAt: now,
    };
  }
}

/** Daemons of several data centres that speak with each other over a network that loses a part, in virtual time. */
export class TalkingFleet {
  readonly daemons: TalkingDaemon[];
  readonly #random: common.SeededRandom;
  readonly #lostShare: number;
  #now = 0;

  /**
   * @param entries - the daemons
   * @param seed - of what is lost
   * @param lostShare - part of what is said that is lost
   */
  constructor(entries: readonly daemonEntries.DaemonEntry[], seed: number, lostShare = 0) {
    this.daemons = entries.map((entry) => new TalkingDaemon(entry));
    this.#random = new common.SeededRandom(seed);
    this.#lostShare = lostShare;
  }

  /** @returns daemons that run and take callers, in one data centre or in all */
  active(dataCentre?: string): TalkingDaemon[] {
    return this.daemons
      .filter(({ up, standing }) => up && standing.active)
      .filter(({ entry }) => dataCentre === undefined || entry.dataCentre === dataCentre);
  }

  /** @param ms - time to go on, in milliseconds */
  goOn(ms: number): void {
    for (const until = this.#now + ms; this.#now < until; this.#now += LOOK_MS) this.#turn();
  }

  #turn(): void {
    const byVm = new Map(this.daemons.map((daemon) => [daemon.entry.vm, daemon]));
    for (const daemon of this.daemons.filter(({ up }) => up)) {
      const others = this.daemons.filter((other) => other !== daemon).map(({ entry }) => entry);
      for (const [vm, nextWithinMs] of daemon.look(this.#now, others)) {
        const receiver = byVm.get(vm);
        const isLost = this.#random.next() < this.#lostShare;
        if (receiver === undefined || isLost || !receiver.up || !receiver.hears) continue;
        receiver.heardCount++;
        receiver.book.hear(daemon.says(this.#now, nextWithinMs));
      }
    }
  }
}
