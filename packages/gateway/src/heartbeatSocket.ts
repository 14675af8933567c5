import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as socketAddresses from "./address.js";
import type * as settingsModule from "./settings.js";

/** Largest datagram in bytes that crosses usual links in one piece. */
const LARGEST_BYTES = 1_400;

const IP_VERSION = 4;

/** Entries that a pulse still tells when it is over the size; the seldom readings make good what is left out. */
const MOST_ENTRIES_WHEN_FULL = 2;

/** Suspects that a pulse over the size still tells, the most suspected. */
const MOST_SUSPECTS_WHEN_FULL = 3;

/** Engines of which a pulse that is over the size still tells the work. */
const MOST_WORK_WHEN_FULL = 24;

/** Sends and hears the daemons' pulses. Lost ones are made good by the next. */
export class PeerPulse {
  // Addresses are IP numbers already, and looking each up took a turn of the loop for every datagram.
  readonly #socket = datagrams.createSocket({
    type: "udp4",
    reuseAddr: true,
    lookup: (host, _options, found) => {
      found(null, host, IP_VERSION);
    },
  });
  readonly #onPulse: (pulse: messages.Pulse, sender: string) => void;
  readonly #onProblem: (detail: string) => void;

  /**
   * @param onPulse - takes what is heard, and IP:PORT of the daemon that said it
   * @param onProblem - takes what went wrong
   */
  constructor(onPulse: (pulse: messages.Pulse, sender: string) => void, onProblem: (detail: string) => void) {
    this.#onPulse = onPulse;
    this.#onProblem = onProblem;
    this.#socket.on("message", (bytes, from) => this.#hear(bytes, `${from.address}:${from.port}`));
    this.#socket.on("error", (error) => onProblem(error.message));
  }

  /**
   * @param address - where to listen
   * @returns once it listens; it fails if the address can't be had, as a daemon that waits for it would never be ready
   */
  listen(address: settingsModule.SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(address.port, address.host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
  }

  /**
   * @param pulse - what to say
   * @param addresses - IP:PORT of the daemons to say it to
   */
  say(pulse: messages.Pulse, addresses: readonly string[]): void {
    const bytes = this.#encodeWithin(pulse);
    for (const address of addresses) {
      const { host, port } = socketAddresses.hostAndPort(address);
      this.#socket.send(bytes, port, host, (error) => {
        if (error !== null) this.#onProblem(error.message);
      });
    }
  }

  /**
   * What is under way counts more than shares, which the next pulses go on with, and than what was learned. Of a daemon
   * that has work at many engines the others must still hear where most of it is: they would send their own there.
   */
  #encodeWithin(pulse: messages.Pulse): Uint8Array {
    const withoutShares = { ...pulse, sizes: [] };
    const withWorkAlone = { ...withoutShares, reads: [], observations: [] };
    const withMostWork = { ...withWorkAlone, work: mostWork(pulse.work) };
    for (const told of [pulse, withoutShares, withWorkAlone, withMostWork]) {
      const bytes = this.#encode(told);
      if (bytes.length <= LARGEST_BYTES) return bytes;
    }
    return this.#encode({
      ...withMostWork,
      work: [],
      entries: pulse.entries.slice(-MOST_ENTRIES_WHEN_FULL),
      departures: pulse.departures.slice(-8),
      suspects: pulse.suspects.slice(0, MOST_SUSPECTS_WHEN_FULL),
    });
  }

  /**
   * A figure that the message can't hold makes the library throw, in a timer: one daemon's wrong figure would end it
   * with all its callers. Told without its figures, the pulse still says that it lives and what has left.
   */
  #encode(pulse: messages.Pulse): Uint8Array {
    try {
      return protobuf.toBinary(messages.PulseSchema, pulse);
    } catch (error) {
      this.#onProblem(`a pulse is told without its figures: ${String(error)}`);
      const withoutFigures = {
        work: [],
        reads: [],
        observations: [],
        sizes: [],
        changing: [],
        suspects: [],
        readingLoadThousandths: 0,
        eventsPerSecond: 0,
        storeSilentMs: 0,
        capacityThousandths: 0,
        busyThousandths: 0,
        nextWithinMs: 0,
      };
      return protobuf.toBinary(messages.PulseSchema, { ...pulse, ...withoutFigures });
    }
  }

  /** Ends speaking and hearing. */
  close(): void {
    this.#socket.close();
  }

  #hear(bytes: Uint8Array, sender: string): void {
    try {
      this.#onPulse(protobuf.fromBinary(messages.PulseSchema, bytes), sender);
    } catch (error) {
      this.#onProblem(`a datagram can't be read: ${String(error)}`);
    }
  }
}

/** The engines with the most unread tokens, then with the most requests. */
function mostWork(work: readonly messages.EndpointWork[]): messages.EndpointWork[] {
  const unreadOf = ({ unread }: messages.EndpointWork): number => unread.reduce((sum, tokens) => sum + tokens, 0);
  return [...work]
    .sort((left, right) => unreadOf(right) - unreadOf(left) || right.running - left.running)
    .slice(0, MOST_WORK_WHEN_FULL);
}
