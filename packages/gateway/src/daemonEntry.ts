import * as crypto from "node:crypto";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as addresses from "./address.js";
import type * as settingsModule from "./settings.js";

/** A daemon's registration entry. */
export interface DaemonEntry {
  readonly vm: string;
  /** Identifies one start of the daemon. */
  readonly incarnation: string;
  readonly dataCentre: string;
  /** IP:PORT for callers; empty for a daemon that is known only from heartbeats and has not reported it. */
  readonly callers: string;
  /** IP:PORT for the other daemons. */
  readonly peers: string;
  /** Processor capacity of its VM, in cores. */
  readonly capacity: number;
}

/** Capacity of a daemon's VM if its entry doesn't give it, in cores. */
export const DEFAULT_CAPACITY = 1;

/** A change of an engine's role, as stored by a daemon for the others. */
export interface StoredRoleChange {
  readonly service: string;
  /** The engine's new role, or none if it isn't given. */
  readonly role: serving.EngineRole;
  /** Unix milliseconds. */
  readonly at: number;
}

/**
 * Parses and validates a daemon's entry. Another writer may have left anything under the key. Sending a heartbeat to an
 * invalid address throws, which would end the process with all the requests it serves.
 *
 * @param name - the daemon that the key names
 * @param value - the stored value
 * @returns the entry, or what is wrong with it
 */
export function parseDaemonEntry(name: string, value: Uint8Array): neverthrow.Result<DaemonEntry, string> {
  return parseObject(value).andThen(({ vm, incarnation, dataCentre, callers, peers, capacity = DEFAULT_CAPACITY }) => {
    if (vm !== name) return neverthrow.err("field vm doesn't match the key");
    if (typeof incarnation !== "string" || typeof dataCentre !== "string")
      return neverthrow.err("incarnation or dataCentre is not a string");
    if (!addresses.isAddress(callers) || !addresses.isAddress(peers))
      return neverthrow.err("callers or peers is not IP:PORT");
    if (typeof capacity !== "number" || !(capacity > 0)) return neverthrow.err("capacity is not a positive number");
    return neverthrow.ok({ vm: name, incarnation, dataCentre, callers, peers, capacity });
  });
}

/**
 * @param value - the stored value of the last role change
 * @returns the change, or what is wrong with it
 */
export function parseRoleChange(value: Uint8Array): neverthrow.Result<StoredRoleChange, string> {
  return parseObject(value).andThen(({ service, at, role }) => {
    if (typeof service !== "string" || typeof at !== "number")
      return neverthrow.err("service is not a string or at is not a number");
    const knownRole = Object.values(serving.EngineRole).find((each) => each === role);
    return neverthrow.ok({ service, at, role: knownRole ?? serving.EngineRole.None });
  });
}

function parseObject(value: Uint8Array): neverthrow.Result<Readonly<Record<string, unknown>>, string> {
  try {
    const parsed: unknown = JSON.parse(Buffer.from(value).toString());
    if (typeof parsed !== "object" || parsed === null) return neverthrow.err("not a JSON object");
    return neverthrow.ok(parsed as Record<string, unknown>);
  } catch (error) {
    return neverthrow.err(String(error));
  }
}

/**
 * @param settings - settings of this daemon
 * @returns its entry, with a new incarnation
 */
export function createEntry(settings: settingsModule.GatewaySettings): DaemonEntry {
  return {
    vm: settings.vm,
    incarnation: crypto.randomUUID(),
    dataCentre: settings.dataCentre,
    callers: `${settings.callers.host}:${settings.callers.port}`,
    peers: `${settings.peers.host}:${settings.peers.port}`,
    capacity: settings.capacity,
  };
}
