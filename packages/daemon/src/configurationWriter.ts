import * as crypto from "node:crypto";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as neverthrow from "neverthrow";
import type * as daemon from "./daemon.js";

/** A change of a team's document as an operator asks for it. */
export interface ConfigurationChange {
  readonly team: string;
  readonly text: string;
  /** The version that the operator read; 0 for a new team. */
  readonly expectedVersion: number;
  readonly author: string;
}

/** A change that was accepted. */
export interface AcceptedChange {
  readonly version: number;
  readonly revision: number;
}

/** Where a revision is in force. */
export interface InForce {
  readonly inForce: string[];
  readonly pending: string[];
}

type Written<Value> = Promise<neverthrow.Result<Value, common.Problem>>;

const HISTORY_PREFIX = "camphorcourse/history/";
const HISTORY_KEPT = 20;
const VERSION_DIGITS = 9;
const RETRY_MS = 2000;
const WRITE_RETRIES = 1;

/** Writes team documents, and tells where a change is in force. */
export class ConfigurationWriter {
  readonly #daemon: daemon.Daemon;
  readonly #pushed = new Map<number, Set<string>>();

  /** @param owner - the daemon */
  constructor(owner: daemon.Daemon) {
    this.#daemon = owner;
  }

  /**
   * Checks a document whole and accepts it by compare-and-swap on the version
   * that the operator read. Accepted means written; the peers are then told
   * directly, so that an outage of the service just afterwards delays nothing.
   *
   * @param change - the change
   * @returns the version, or a conflict that shows both sides
   */
  async apply(change: ConfigurationChange): Written<AcceptedChange> {
    const checked = core.parseTeamDocument(change.text, change.team);
    if (checked.isErr()) return neverthrow.err(checked.error);
    const present = await this.#read(change.team);
    if (present.isErr()) return neverthrow.err(present.error);
    const { version, revision } = present.value;
    if (version !== change.expectedVersion) return neverthrow.err(conflict(change, present.value));
    const record: core.TeamRecord = {
      text: change.text,
      version: version + 1,
      author: change.author,
      attempt: crypto.randomUUID(),
      acceptedAt: this.#daemon.clock.systemTime(),
    };
    const accepted = await this.#write(change, record, revision);
    if (accepted.isOk()) this.#push(change.team, record, accepted.value.revision);
    return accepted;
  }

  /**
   * @param team - the team
   * @returns its record as it stands in the key-value service
   */
  async current(team: string): Written<core.TeamRecord & { revision: number }> {
    return (await this.#read(team)).andThen((present) => {
      if (present.record) return neverthrow.ok({ ...present.record, revision: present.revision });
      return neverthrow.err(common.problem(common.ProblemKind.UnknownService, `there is no team '${team}'`));
    });
  }

  /**
   * @param team - the team
   * @returns its former records, oldest first
   */
  async history(team: string): Written<core.TeamRecord[]> {
    const records = await this.#daemon.keyValue.read(`${HISTORY_PREFIX}${team}/`);
    if (!records) return neverthrow.err(unavailable());
    return neverthrow.ok(records.map((record) => JSON.parse(record.value) as core.TeamRecord));
  }

  /**
   * @param revision - of an accepted change
   * @returns the daemons that have it in force, and those not known to
   */
  whereInForce(revision: number): InForce {
    const pushed = this.#pushed.get(revision) ?? new Set<string>();
    const inForce = [this.#daemon.settings.vm];
    const pending: string[] = [];
    for (const peer of this.#daemon.core.roster.peers()) {
      const { vm } = peer.registration;
      const known = pushed.has(vm) || (peer.report?.appliedRevision ?? 0) >= revision;
      (known ? inForce : pending).push(vm);
    }
    return { inForce, pending };
  }

  async #write(
    change: ConfigurationChange,
    record: core.TeamRecord,
    revision: number,
    triesLeft = WRITE_RETRIES,
  ): Written<AcceptedChange> {
    const key = core.controlKey(core.ControlKind.Team, change.team);
    const value = JSON.stringify(record);
    const dropped = record.version - HISTORY_KEPT;
    const result = await this.#daemon.keyValue.write({
      conditions: [{ key, kind: core.RevisionKind.Modified, revision }],
      puts: [
        { key, value },
        { key: historyKey(change.team, record.version), value },
      ],
      ...(dropped > 0 ? { deletes: [{ key: historyKey(change.team, dropped) }] } : {}),
    });
    if (result.outcome === core.TransactionOutcome.Applied) {
      return neverthrow.ok({ version: record.version, revision: result.revision });
    }
    if (result.outcome === core.TransactionOutcome.NotSent) return neverthrow.err(unavailable());
    const settled = await this.#settle(change, record);
    const undone = settled.isErr() && settled.error.outcome === common.Outcome.Unknown;
    if (!undone || triesLeft === 0) return settled;
    // Nothing stands yet. Writing again under the same condition is safe: if the
    // first write still arrives, only one of the two can take effect.
    return this.#write(change, record, revision, triesLeft - 1);
  }

  /** The write was refused or its reply was lost: the record itself tells whose change stands. */
  async #settle(change: ConfigurationChange, record: core.TeamRecord): Written<AcceptedChange> {
    const present = await this.#read(change.team);
    if (present.isErr()) return neverthrow.err(undecided(change));
    const standing = present.value;
    if (standing.record?.attempt === record.attempt) {
      return neverthrow.ok({ version: record.version, revision: standing.revision });
    }
    if (standing.version <= change.expectedVersion) return neverthrow.err(undecided(change));
    return neverthrow.err(conflict(change, standing));
  }

  #push(team: string, record: core.TeamRecord, revision: number): void {
    const key = core.controlKey(core.ControlKind.Team, team);
    const pushed: core.KeyRecord = {
      key,
      value: JSON.stringify(record),
      createRevision: revision,
      modRevision: revision,
    };
    this.#daemon.handle({ type: core.EventType.ControlChanges, records: [pushed] });
    const reached = new Set<string>();
    this.#pushed.set(revision, reached);
    const oldest = this.#pushed.keys().next().value;
    if (this.#pushed.size > HISTORY_KEPT && oldest !== undefined) this.#pushed.delete(oldest);
    for (const { registration } of this.#daemon.core.roster.peers()) {
      void this.#daemon.peerCalls.pushRecords(registration.peerUrl, [pushed], 0).then((taken) => {
        if (taken) reached.add(registration.vm);
      });
    }
  }

  async #read(team: string): Written<StandingTeam> {
    const key = core.controlKey(core.ControlKind.Team, team);
    const records = await this.#daemon.keyValue.read(key);
    if (!records) return neverthrow.err(unavailable());
    const found = records.find((candidate) => candidate.key === key);
    const record = found && (JSON.parse(found.value) as core.TeamRecord);
    return neverthrow.ok({
      ...(record ? { record } : {}),
      version: record?.version ?? 0,
      revision: found?.modRevision ?? 0,
    });
  }
}

interface StandingTeam {
  readonly record?: core.TeamRecord;
  readonly version: number;
  readonly revision: number;
}

function historyKey(team: string, version: number): string {
  return `${HISTORY_PREFIX}${team}/${String(version).padStart(VERSION_DIGITS, "0")}`;
}

function conflict(change: ConfigurationChange, standing: StandingTeam): common.Problem {
  const author = standing.record?.author ?? "nobody";
  const detail =
    `your change is based on version ${change.expectedVersion}, but version ${standing.version} by '${author}' stands; ` +
    `theirs:\n${standing.record?.text ?? ""}\nyours:\n${change.text}`;
  return common.problem(common.ProblemKind.Conflict, detail);
}

function unavailable(): common.Problem {
  const detail = "the key-value service can't be reached; nothing was changed";
  return common.problem(common.ProblemKind.KeyValueUnavailable, detail, {
    retryAfterMs: RETRY_MS,
    remedy: "apply again once the key-value service answers",
  });
}

function undecided(change: ConfigurationChange): common.Problem {
  const detail = `the reply to the write of ${change.team} was lost and can't be read back now; the change may stand`;
  return common.problem(common.ProblemKind.KeyValueUnavailable, detail, {
    outcome: common.Outcome.Unknown,
    retryAfterMs: RETRY_MS,
    remedy: "run 'camphorcourse config get' once the key-value service answers",
  });
}
