import type * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "../daemonEntry.js";
import type * as heartbeatSockets from "../heartbeatSocket.js";
import * as peerWorks from "../peerWork.js";
import type * as peerLinkParts from "../peers/peerLinkParts.js";
import type * as peerTables from "../peerTable.js";

/**
 * Delay of the event loop from which on heartbeats are not forwarded, in milliseconds. What waited in the socket for longer
 * has been followed by the next heartbeat, and its sender may have ended.
 */
const MAX_LATE_MS = 350;

/** Dependencies of {@link RegionRelays}. */
export interface RegionRelaysParts extends Pick<
  peerLinkParts.PeerLinkParts,
  "distances" | "entry" | "lateMs" | "traffic"
> {
  readonly peerTable: peerTables.PeerTable;
  readonly heartbeatSocket: Pick<heartbeatSockets.HeartbeatSocket, "send">;
}

/** Sends heartbeats to other regions through one daemon of each, and forwards those of other regions within the own one. */
export class RegionRelays {
  readonly #parts: RegionRelaysParts;
  #round = 0;
  /** IP:PORT of the daemons of the own region that leave it to a relay to get heartbeats of other regions. */
  #nearAddresses: readonly string[] = [];

  /** @param parts - dependencies */
  constructor(parts: RegionRelaysParts) {
    this.#parts = parts;
  }

  /**
   * @param near - daemons of the own region that need the work of other daemons
   * @param now - current time in milliseconds
   */
  updateNear(near: readonly daemonEntries.DaemonEntry[], now: number): void {
    if (this.#parts.distances === undefined) return;
    this.#nearAddresses = near.filter(({ vm }) => this.#forwards(vm, now)).map(({ peers }) => peers);
  }

  /**
   * @param pulses - the messages of one heartbeat to other regions
   * @param recipients - daemons there that need it
   * @param hasChanged - whether it reports a change of state, which goes to each daemon without a stop on the way
   * @param now - current time in milliseconds
   */
  send(
    pulses: readonly messages.Pulse[],
    recipients: readonly daemonEntries.DaemonEntry[],
    hasChanged: boolean,
    now: number,
  ): void {
    const { distances, entry, heartbeatSocket } = this.#parts;
    const daemons = recipients.map(({ vm, dataCentre, peers }) => ({
      vm,
      peers,
      region: distances?.regionOf(dataCentre) ?? "",
      forwards: !hasChanged && this.#forwards(vm, now),
    }));
    const { direct, relays } = serving.chooseRelays(entry.vm, daemons, this.#round++);
    for (const pulse of pulses) {
      heartbeatSocket.send(pulse, addressesOf(direct));
      if (relays.length > 0) heartbeatSocket.send({ ...pulse, forward: true }, addressesOf(relays));
    }
  }

  /**
   * Forwards a heartbeat of another region to the daemons of the own one, if its sender asks for it.
   *
   * @param pulse - the heartbeat
   * @param sender - IP:PORT of its sender
   */
  forward(pulse: messages.Pulse, sender: string): void {
    const { heartbeatSocket, lateMs, traffic } = this.#parts;
    const delayMs = lateMs();
    if (!pulse.forward || delayMs > MAX_LATE_MS || this.#nearAddresses.length === 0) return;
    heartbeatSocket.send(asForwarded(pulse, sender, delayMs), this.#nearAddresses);
    traffic?.noteForwarded();
  }

  #forwards(vm: string, now: number): boolean {
    return this.#parts.peerTable.liveState(vm, now)?.forwards === true;
  }
}

/** Echoes measure the way between two daemons, and ages count from the arrival: the delay here is added to them. */
function asForwarded(pulse: messages.Pulse, sender: string, delayMs: number): messages.Pulse {
  const { configurationAgeMs, dutyLeaseMs, versionsAgeMs } = pulse;
  const older = (ageMs: number): number => peerWorks.toUint32(Math.ceil(ageMs + delayMs));
  return {
    ...pulse,
    forward: false,
    forwardedFrom: sender,
    echoes: [],
    ...(configurationAgeMs === undefined ? {} : { configurationAgeMs: older(configurationAgeMs) }),
    ...(versionsAgeMs === undefined ? {} : { versionsAgeMs: older(versionsAgeMs) }),
    ...(dutyLeaseMs === undefined ? {} : { dutyLeaseMs: peerWorks.toUint32(Math.max(0, dutyLeaseMs - delayMs)) }),
  };
}

function addressesOf(daemons: readonly Pick<daemonEntries.DaemonEntry, "peers">[]): string[] {
  return daemons.map(({ peers }) => peers);
}
