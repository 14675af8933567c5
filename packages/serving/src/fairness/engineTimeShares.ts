import * as organisationCounts from "./organisationCount.js";
import * as maxMinShares from "./maxMinShare.js";

/** Time over which engine time is counted, in milliseconds: a shortage that callers notice lasts for some seconds. */
const WINDOW_MS = 5_000;

/** The window moves by this time, in milliseconds. */
const SLOT_MS = 500;

/** Time without a report after which a peer's counts expire, in milliseconds: half the window that they cover. */
export const PEER_SHARES_EXPIRY_MS = 2_500;

/** Organisations that a report names. */
export const MAX_NAMED_ORGANISATIONS = 8;

/** Organisations that are counted here at the same time; the largest deployment has 1,900. */
const MAX_OWN_ORGANISATIONS = 4_096;

/** Peers whose reports are kept; the largest deployment has 690 daemons. */
const MAX_PEERS = 1_024;

/** Multiple of the fair share above which an organisation is far above it. */
export const OVER_SHARE = 2;

/** Age of the fair share from which it is computed again, in milliseconds: a twentieth of the window. */
const LEVEL_AGE_MS = 250;

/** Engine time of one organisation within the window, in milliseconds. */
export interface OrganisationUse {
  readonly organisation: string;
  /** Predicted time of the requests that were accepted. */
  readonly usedMs: number;
  /** Predicted time of the requests that the engines had no room for. */
  readonly rejectedMs: number;
}

/** What a daemon reports of the organisations that it serves. */
export interface SharesReport {
  /** The largest organisations. */
  readonly largest: readonly OrganisationUse[];
  /** Engine time of all other organisations together, in milliseconds. */
  readonly othersMs: number;
  /** Number of organisations, the named ones included. */
  readonly organisations: number;
}

/** An organisation's part of the engine time. */
export interface OrganisationShare {
  /** Its engine time in multiples of the fair share; 0 as long as there is enough for all. */
  readonly ofFairShare: number;
  /** Whether requests found no room within the window. */
  readonly isShortage: boolean;
  /** Whether some organisation is far above the fair share meanwhile. */
  readonly isUneven: boolean;
}

interface Use {
  usedMs: number;
  rejectedMs: number;
}

interface Slot {
  readonly endsAt: number;
  requests: number;
  readonly uses: Map<string, Use>;
}

interface PeerReport extends SharesReport {
  readonly validUntil: number;
}

/** Sum of the reports that name an organisation. */
interface PeerTotal extends Use {
  /** Number of these reports. */
  reports: number;
  /** Time of the organisations that these reports don't name, in milliseconds. */
  othersMs: number;
}

/** The fair share, and what else is the same for all organisations. */
interface Level {
  readonly computedAt: number;
  /** Estimated number of organisations at all daemons. */
  readonly organisations: number;
  readonly fairMs: number;
  readonly isShortage: boolean;
  /** Known organisations that are far above the fair share. */
  readonly overShare: number;
}

const NO_SHORTAGE = { fairMs: Number.POSITIVE_INFINITY, isShortage: false, overShare: 0 };

/**
 * Counts engine time by organisation, of this daemon and its peers, and computes the max-min fair share. It answers one
 * organisation that asks for many times its share: without it, the others' requests are rejected as often as those that
 * cause the shortage.
 *
 * Requests count with their predicted engine time when their admission is decided, not as they run, so that a burst
 * counts before it is served. What there is to divide is what was accepted within the window, as engines are busy with
 * that while requests are rejected. Peers name their largest organisations only; what they don't name counts as the mean
 * of their others.
 */
export class EngineTimeShares {
  readonly #own = new Map<string, Use>();
  readonly #slots: Slot[] = [];
  readonly #peers = new Map<string, PeerReport>();
  readonly #named = new Map<string, PeerTotal>();
  #peersOthersMs = 0;
  #configured = Number.POSITIVE_INFINITY;
  #level: Level | undefined;

  /**
   * @param organisation - organisation of an accepted request
   * @param engineMs - predicted engine time of the request, in milliseconds
   * @param now - current instant in milliseconds
   */
  noteAccepted(organisation: string, engineMs: number, now: number): void {
    this.#add(organisation, engineMs, 0, now);
  }

  /**
   * @param organisation - organisation of a request that the engines had no room for
   * @param engineMs - predicted engine time of the request, in milliseconds
   * @param now - current instant in milliseconds
   */
  noteRejected(organisation: string, engineMs: number, now: number): void {
    this.#add(organisation, 0, engineMs, now);
  }

  /** @param organisations - number of organisations that the configuration lists */
  setConfigured(organisations: number): void {
    this.#configured = organisations;
  }

  /** @returns organisations with requests at this daemon within the window */
  get ownOrganisations(): number {
    return this.#own.size;
  }

  /**
   * Names the organisations that are largest at all daemons, as far as this one knows, and not those that are largest
   * here: among 690 daemons even a large organisation has only a few requests at each.
   *
   * @param now - current instant in milliseconds
   * @returns this daemon's counts for its peers
   */
  report(now: number): SharesReport {
    this.#expire(now);
    const largest: (OrganisationUse & { readonly size: number })[] = [];
    let othersMs = 0;
    // Sorting 1,900 organisations for each report would take several times as long.
    for (const [organisation, use] of this.#own) {
      othersMs += use.usedMs;
      const size = asked(use) + this.#askedOfPeers(organisation);
      const smallest = largest.at(-1);
      if (largest.length >= MAX_NAMED_ORGANISATIONS && size <= (smallest?.size ?? 0)) continue;
      const position = largest.findIndex((each) => each.size < size);
      largest.splice(position < 0 ? largest.length : position, 0, { organisation, ...use, size });
      if (largest.length > MAX_NAMED_ORGANISATIONS) largest.pop();
    }
    const named = largest.map(({ organisation, usedMs, rejectedMs }) => ({ organisation, usedMs, rejectedMs }));
    othersMs -= sumOf(named.map(({ usedMs }) => usedMs));
    return { largest: named, othersMs: Math.max(0, othersMs), organisations: this.#own.size };
  }

  /**
   * Replaces a peer's last report.
   *
   * @param peer - name of the peer
   * @param report - its counts
   * @param now - current instant in milliseconds
   */
  updatePeer(peer: string, report: SharesReport, now: number): void {
    const before = this.#peers.get(peer);
    if (before !== undefined) this.#addPeer(before, -1);
    else if (this.#peers.size >= MAX_PEERS) return;
    const kept = { ...report, validUntil: now + PEER_SHARES_EXPIRY_MS };
    this.#peers.set(peer, kept);
    this.#addPeer(kept, 1);
  }

  /**
   * @param organisation - an organisation
   * @param now - current instant in milliseconds
   * @returns its part of the engine time
   */
  shareOf(organisation: string, now: number): OrganisationShare {
    const { fairMs, isShortage, overShare } = this.#currentLevel(now);
    const ofFairShare = Number.isFinite(fairMs) ? this.#usedMs(organisation) / Math.max(1, fairMs) : 0;
    return { ofFairShare, isShortage, isUneven: overShare > 0 };
  }

  /**
   * @param now - current instant in milliseconds
   * @returns number of known organisations far above their fair share while requests are rejected
   */
  overShare(now: number): number {
    return this.#currentLevel(now).overShare;
  }

  #add(organisation: string, usedMs: number, rejectedMs: number, now: number): void {
    this.#expire(now);
    if (!this.#own.has(organisation) && this.#own.size >= MAX_OWN_ORGANISATIONS) return;
    let slot = this.#slots.at(-1);
    if (slot === undefined || now >= slot.endsAt) {
      slot = { endsAt: (Math.floor(now / SLOT_MS) + 1) * SLOT_MS, requests: 0, uses: new Map() };
      this.#slots.push(slot);
    }
    slot.requests++;
    for (const uses of [slot.uses, this.#own]) {
      const use = uses.get(organisation) ?? { usedMs: 0, rejectedMs: 0 };
      uses.set(organisation, { usedMs: use.usedMs + usedMs, rejectedMs: use.rejectedMs + rejectedMs });
    }
  }

  /** Sums up the slots that are left, instead of subtracting those that are not: rounding errors would add up. */
  #expire(now: number): void {
    const kept = this.#slots.findIndex(({ endsAt }) => endsAt > now - WINDOW_MS);
    const expired = kept < 0 ? this.#slots.length : kept;
    if (expired > 0) {
      this.#slots.splice(0, expired);
      this.#own.clear();
      for (const { uses } of this.#slots)
        for (const [organisation, { usedMs, rejectedMs }] of uses) {
          const sum = this.#own.get(organisation) ?? { usedMs: 0, rejectedMs: 0 };
          this.#own.set(organisation, { usedMs: sum.usedMs + usedMs, rejectedMs: sum.rejectedMs + rejectedMs });
        }
    }
    for (const [peer, report] of this.#peers) {
      if (now < report.validUntil) continue;
      this.#peers.delete(peer);
      this.#addPeer(report, -1);
    }
  }

  #addPeer({ largest, othersMs }: PeerReport, sign: 1 | -1): void {
    this.#peersOthersMs = Math.max(0, this.#peersOthersMs + sign * othersMs);
    for (const { organisation, usedMs, rejectedMs } of largest) {
      const total = this.#named.get(organisation) ?? { usedMs: 0, rejectedMs: 0, reports: 0, othersMs: 0 };
      total.usedMs += sign * usedMs;
      total.rejectedMs += sign * rejectedMs;
      total.othersMs += sign * othersMs;
      total.reports += sign;
      if (total.reports === 0) this.#named.delete(organisation);
      else this.#named.set(organisation, total);
    }
  }

  #askedOfPeers(organisation: string): number {
    const named = this.#named.get(organisation);
    return named === undefined ? 0 : asked(named);
  }

  #known(): string[] {
    return [...new Set([...this.#own.keys(), ...this.#named.keys()])];
  }

  #usedMs(organisation: string): number {
    const named = this.#named.get(organisation);
    return (this.#own.get(organisation)?.usedMs ?? 0) + (named?.usedMs ?? 0) + this.#unnamedMs(named);
  }

  /** Estimated time of an organisation at the peers that don't name it. */
  #unnamedMs(named: PeerTotal | undefined): number {
    const unnamedOrganisations = Math.max(1, (this.#level?.organisations ?? 0) - MAX_NAMED_ORGANISATIONS);
    return Math.max(0, this.#peersOthersMs - (named?.othersMs ?? 0)) / unnamedOrganisations;
  }

  #currentLevel(now: number): Level {
    if (this.#level === undefined || now - this.#level.computedAt >= LEVEL_AGE_MS) this.#computeLevel(now);
    return this.#level ?? { computedAt: now, organisations: 0, ...NO_SHORTAGE };
  }

  #computeLevel(now: number): void {
    this.#expire(now);
    const known = this.#known();
    const organisations = this.#countOrganisations(known.length);
    this.#level = { computedAt: now, organisations, ...NO_SHORTAGE };
    const rejectedMs = sumOf([...this.#own.values(), ...this.#named.values()].map((use) => use.rejectedMs));
    if (rejectedMs <= MIN_REJECTED_MS) return;
    const unnamedRejected = this.#rejectedPerUsed(known);
    const demandOf = (name: string | undefined): number => {
      const unnamedMs = this.#unnamedMs(name === undefined ? undefined : this.#named.get(name));
      const countedMs = name === undefined ? 0 : this.#usedMs(name) - unnamedMs + this.#rejectedMs(name);
      return countedMs + unnamedMs * (1 + unnamedRejected);
    };
    const demands = known.map(demandOf);
    for (let others = known.length; others < organisations; others++) demands.push(demandOf(undefined));
    const named = [...this.#own.values(), ...this.#named.values()];
    const capacityMs = sumOf(named.map(({ usedMs }) => usedMs)) + this.#peersOthersMs;
    const fairMs = maxMinShares.maxMinShare(demands, capacityMs);
    const overShare = known.filter((name) => this.#usedMs(name) > OVER_SHARE * Math.max(1, fairMs)).length;
    this.#level = { ...this.#level, fairMs, isShortage: true, overShare };
  }

  /** Estimated number of organisations with requests at any daemon; most of them may be unknown here. */
  #countOrganisations(known: number): number {
    const reported = [...this.#peers.values()].map(({ organisations }) => organisations);
    const fewest = Math.max(known, ...reported);
    if (this.#peers.size === 0) return fewest;
    const requests = sumOf(this.#slots.map((slot) => slot.requests));
    return Math.max(fewest, Math.min(this.#configured, organisationCounts.estimateTotal(this.#own.size, requests)));
  }

  /**
   * Rejected time for each accepted one, for organisations whose rejections peers don't report. The largest organisation
   * is left out, as it is rejected most.
   */
  #rejectedPerUsed(known: readonly string[]): number {
    const uses = known.map((name) => {
      const usedMs = (this.#own.get(name)?.usedMs ?? 0) + (this.#named.get(name)?.usedMs ?? 0);
      return { usedMs, rejectedMs: this.#rejectedMs(name) };
    });
    uses.sort((left, right) => asked(right) - asked(left));
    const smaller = uses.slice(1);
    const usedMs = sumOf(smaller.map((use) => use.usedMs));
    return usedMs <= 0 ? 0 : sumOf(smaller.map((use) => use.rejectedMs)) / usedMs;
  }

  #rejectedMs(organisation: string): number {
    return (this.#own.get(organisation)?.rejectedMs ?? 0) + (this.#named.get(organisation)?.rejectedMs ?? 0);
  }
}

/** Engine time up to which rejections count as none, in milliseconds; sums of reports that were subtracted are inexact. */
const MIN_REJECTED_MS = 0.5;

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function asked({ usedMs, rejectedMs }: Use): number {
  return usedMs + rejectedMs;
}
