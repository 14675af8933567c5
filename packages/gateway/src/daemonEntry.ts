import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as addresses from "./address.js";

/** Another daemon, as it registered itself. */
export interface DaemonEntry {
  readonly vm: string;
  /** Names one start of the daemon. */
  readonly incarnation: string;
  readonly dataCentre: string;
  /** IP:PORT for callers; empty for a daemon that was heard, not yet read of, and has not said it. */
  readonly callers: string;
  /** IP:PORT for the other daemons. */
  readonly peers: string;
  /** Processor capacity of its VM, in cores. */
  readonly capacity: number;
}

/** Capacity of a daemon's VM where its entry doesn't say it, in cores. */
export const USUAL_CAPACITY = 1;

/** A change of an engine's role, as a daemon wrote it for the others. */
export interface WrittenRoleChange {
  readonly service: string;
  /** The engine's role to come, or none if it isn't told. */
  readonly role: serving.EngineRole;
  /** Unix milliseconds. */
  readonly at: number;
}

/**
 * Another writer may have left anything under a daemon's key. An address that is
 * none would be spoken to in the next pulse, which throws and ends the process
 * with all that it serves; so what is read is checked before it is believed.
 *
 * @param name - the daemon that the key names
 * @param value - what is written there
 * @returns the entry, or what is wrong with it
 */
export function readDaemonEntry(name: string, value: Uint8Array): neverthrow.Result<DaemonEntry, string> {
  return readObject(value).andThen(({ vm, incarnation, dataCentre, callers, peers, capacity = USUAL_CAPACITY }) => {
    if (vm !== name) return neverthrow.err("it names another daemon");
    if (typeof incarnation !== "string" || typeof dataCentre !== "string") return neverthrow.err("a field is no text");
    if (!addresses.isAddress(callers) || !addresses.isAddress(peers)) return neverthrow.err("an address isn't IP:PORT");
    if (typeof capacity !== "number" || !(capacity > 0)) return neverthrow.err("the capacity is no number above 0");
    return neverthrow.ok({ vm: name, incarnation, dataCentre, callers, peers, capacity });
  });
}

/**
 * @param value - what is written under the key of the last change of a role
 * @returns the change, or what is wrong with it
 */
export function readRoleChange(value: Uint8Array): neverthrow.Result<WrittenRoleChange, string> {
  return readObject(value).andThen(({ service, at, role }) => {
    if (typeof service !== "string" || typeof at !== "number") return neverthrow.err("a field is of another type");
    const known = Object.values(serving.EngineRole).find((each) => each === role);
    return neverthrow.ok({ service, at, role: known ?? serving.EngineRole.None });
  });
}

function readObject(value: Uint8Array): neverthrow.Result<Readonly<Record<string, unknown>>, string> {
  try {
    const read: unknown = JSON.parse(Buffer.from(value).toString());
    if (typeof read !== "object" || read === null) return neverthrow.err("it is no object");
    return neverthrow.ok(read as Record<string, unknown>);
  } catch (error) {
    return neverthrow.err(String(error));
  }
}
