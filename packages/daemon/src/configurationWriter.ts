import * as crypto from "node:crypto";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as neverthrow from "neverthrow";
import type * as daemon from "./daemon.js";

/** An operator's change to the configuration document of a team. */
export interface ConfigurationChange {
  readonly team: string;
  readonly text: string;
  /** The version on which the change is based; 0 for a new team. */
  readonly expectedVersion: number;
  readonly author: string;
}

/** Version and revision of an accepted change. */
export interface AcceptedChange {
  readonly version: number;
  readonly revision: number;
}

/** VMs whose daemons have applied a revision, and VMs whose daemons aren't known to have. */
export interface InForce {
  readonly inForce: string[];
  readonly pending: string[];
}

type AsyncResult<Value> = Promise<neverthrow.Result<Value, common.Problem>>;

const HISTORY_PREFIX = "camphorcourse/history/";
const MAX_HISTORY_VERSIONS = 20;
const VERSION_DIGITS = 9;
const RETRY_AFTER_MS = 2000;
const MAX_WRITE_RETRIES = 1;

/** Writes team documents, and reports which daemons have applied a change. */
export class ConfigurationWriter {
  readonly #daemon: daemon.Daemon;
  readonly #pushedTo = new Map<number, Set<string>>();

  /** @param owner - the daemon */
  constructor(owner: daemon.Daemon) {
    this.#daemon = owner;
  }

  /**
   * Validates a document and stores it by compare-and-swap on the expected
   * version. A stored document is also pushed to the peers directly, so that an
   * outage of the key-value service right after the write doesn't delay it.
   *
   * @param change - the change
   * @returns the new version, or a problem; a conflict shows both documents
   */
  async apply(change: ConfigurationChange): AsyncResult<AcceptedChange> {
    const checked = core.parseTeamDocument(change.text, change.team);
    if (checked.isErr()) return neverthrow.err(checked.error);
    const stored = await this.#read(change.team);
    if (stored.isErr()) return neverthrow.err(stored.error);
    const { version, revision } = stored.value;
    if (version !== change.expectedVersion) return neverthrow.err(conflict(change, stored.value));
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
   * Reads the current document of a team.
   *
   * @param team - the team
   * @returns its record in the key-value service
   */
  async current(team: string): AsyncResult<core.TeamRecord & { revision: number }> {
    return (await this.#read(team)).andThen((stored) => {
      if (stored.record) return neverthrow.ok({ ...stored.record, revision: stored.revision });
      return neverthrow.err(common.problem(common.ProblemKind.UnknownService, `unknown team '${team}'`));
    });
  }

  /**
   * Reads the version history of a team's document.
   *
   * @param team - the team
   * @returns its stored versions, oldest first
   */
  async history(team: string): AsyncResult<core.TeamRecord[]> {
    const records = await this.#daemon.keyValue.read(`${HISTORY_PREFIX}${team}/`);
    if (!records) return neverthrow.err(unavailable());
    return neverthrow.ok(records.map((record) => JSON.parse(record.value) as core.TeamRecord));
  }

  /**
   * Reports which daemons have applied an accepted change.
   *
   * @param revision - of the accepted change
   * @returns the VMs that have applied it, and those not known to have
   */
  whereInForce(revision: number): InForce {
    const pushed = this.#pushedTo.get(revision) ?? new Set<string>();
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
    retriesLeft = MAX_WRITE_RETRIES,
  ): AsyncResult<AcceptedChange> {
    const key = core.controlKey(core.ControlKind.Team, change.team);
    const value = JSON.stringify(record);
    const expiredVersion = record.version - MAX_HISTORY_VERSIONS;
    const result = await this.#daemon.keyValue.write({
      conditions: [{ key, kind: core.RevisionKind.Modified, revision }],
      puts: [
        { key, value },
        { key: historyKey(change.team, record.version), value },
      ],
      ...(expiredVersion > 0 ? { deletes: [{ key: historyKey(change.team, expiredVersion) }] } : {}),
    });
    if (result.outcome === core.TransactionOutcome.Applied) {
      return neverthrow.ok({ version: record.version, revision: result.revision });
    }
    if (result.outcome === core.TransactionOutcome.NotSent) return neverthrow.err(unavailable());
    const resolved = await this.#resolveOutcome(change, record);
    const isUndecided = resolved.isErr() && resolved.error.outcome === common.Outcome.Unknown;
    if (!isUndecided || retriesLeft === 0) return resolved;
    // The change isn't stored, or can't be read. Writing again under the same condition
    // is safe: if the first write still arrives, only one of the two can take effect.
    return this.#write(change, record, revision, retriesLeft - 1);
  }

  /** After a refused write or a lost reply, reads the record back to see whose change is stored. */
  async #resolveOutcome(change: ConfigurationChange, record: core.TeamRecord): AsyncResult<AcceptedChange> {
    const reread = await this.#read(change.team);
    if (reread.isErr()) return neverthrow.err(outcomeUnknown(change));
    const stored = reread.value;
    if (stored.record?.attempt === record.attempt) {
      return neverthrow.ok({ version: record.version, revision: stored.revision });
    }
    if (stored.version <= change.expectedVersion) return neverthrow.err(outcomeUnknown(change));
    return neverthrow.err(conflict(change, stored));
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
    const confirmed = new Set<string>();
    this.#pushedTo.set(revision, confirmed);
    const oldest = this.#pushedTo.keys().next().value;
    if (this.#pushedTo.size > MAX_HISTORY_VERSIONS && oldest !== undefined) this.#pushedTo.delete(oldest);
    for (const { registration } of this.#daemon.core.roster.peers()) {
      void this.#daemon.peerCalls.pushRecords(registration.peerUrl, [pushed], 0).then((accepted) => {
        if (accepted) confirmed.add(registration.vm);
      });
    }
  }

  async #read(team: string): AsyncResult<StoredTeam> {
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

interface StoredTeam {
  readonly record?: core.TeamRecord;
  readonly version: number;
  readonly revision: number;
}

function historyKey(team: string, version: number): string {
  return `${HISTORY_PREFIX}${team}/${String(version).padStart(VERSION_DIGITS, "0")}`;
}

function conflict(change: ConfigurationChange, stored: StoredTeam): common.Problem {
  const author = stored.record?.author ?? "nobody";
  const detail =
    `your change is based on version ${change.expectedVersion}, but version ${stored.version} by '${author}' is stored; ` +
    `theirs:\n${stored.record?.text ?? ""}\nyours:\n${change.text}`;
  return common.problem(common.ProblemKind.Conflict, detail);
}

function unavailable(): common.Problem {
  const detail = "the key-value service is unreachable; nothing was changed";
  return common.problem(common.ProblemKind.KeyValueUnavailable, detail, {
    retryAfterMs: RETRY_AFTER_MS,
    remedy: "apply again once the key-value service answers",
  });
}

function outcomeUnknown(change: ConfigurationChange): common.Problem {
  const detail = `the reply to the write of ${change.team} was lost and can't be read back; the change may have been stored`;
  return common.problem(common.ProblemKind.KeyValueUnavailable, detail, {
    outcome: common.Outcome.Unknown,
    retryAfterMs: RETRY_AFTER_MS,
    remedy: "run 'camphorcourse config get' once the key-value service answers",
  });
}
