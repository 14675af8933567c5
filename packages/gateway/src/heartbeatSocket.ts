import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as socketAddresses from "./address.js";
import type * as settingsModule from "./settings.js";

/** Largest datagram that passes common networks without fragmentation, in bytes. */
const MAX_DATAGRAM_BYTES = 1_400;

const IP_VERSION = 4;

/**
 * Entries kept in a heartbeat that would exceed the size limit. Omitted ones are read from the key-value service
 * later.
 */
const MAX_ENTRIES_WHEN_OVERSIZE = 2;

/**
 * Number of departures from which on they are sent in a datagram of their own. When a data centre's engines leave
 * together, the heartbeat could name the last few only, and requests would still be sent to the others.
 */
const MAX_DEPARTURES_IN_HEARTBEAT = 8;

/** Suspects kept in a heartbeat that would exceed the size limit; the most suspected come first. */
const MAX_SUSPECTS_WHEN_OVERSIZE = 3;

/** Limits of endpoints kept in a heartbeat that would exceed the size limit; the others follow in the next ones. */
const MAX_LIMITS_WHEN_OVERSIZE = 3;

/** Engines whose work is kept in a heartbeat that would exceed the size limit. */
const MAX_WORK_WHEN_OVERSIZE = 24;

/** UDP socket for the heartbeats between daemons (wire message Pulse). A lost heartbeat is made up for by the next. */
export class HeartbeatSocket {
  // Addresses are IP numbers already. Looking each one up took a turn of the event loop per datagram.
  readonly #socket = datagrams.createSocket({
    type: "udp4",
    reuseAddr: true,
    lookup: (host, _options, callback) => {
      callback(null, host, IP_VERSION);
    },
  });
  readonly #onPulse: (pulse: messages.Pulse, sender: string) => void;
  readonly #onError: (detail: string) => void;
  readonly #onSent: (address: string, bytes: number) => void;

  /**
   * @param onPulse - called with a received heartbeat and the IP:PORT of its sender
   * @param onError - called with a description of what failed
   * @param onSent - called with the IP:PORT of a receiver and the bytes that are sent there
   */
  constructor(
    onPulse: (pulse: messages.Pulse, sender: string) => void,
    onError: (detail: string) => void,
    onSent: (address: string, bytes: number) => void = () => undefined,
  ) {
    this.#onPulse = onPulse;
    this.#onError = onError;
    this.#onSent = onSent;
    this.#socket.on("message", (bytes, from) => this.#receive(bytes, `${from.address}:${from.port}`));
    this.#socket.on("error", (error) => onError(error.message));
  }

  /**
   * Binds the socket. Fails if the address is not available; a daemon that waited for it would never become ready.
   *
   * @param address - address to listen on
   * @returns once the socket is bound
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
   * @param pulse - the heartbeat to send
   * @param addresses - IP:PORT of the receivers
   */
  send(pulse: messages.Pulse, addresses: readonly string[]): void {
    if (addresses.length === 0) return;
    if (pulse.departures.length > MAX_DEPARTURES_IN_HEARTBEAT)
      this.#sendBytes(this.#encode(departuresOnly(pulse)), addresses);
    this.#sendBytes(this.#encodeToFit(pulse), addresses);
  }

  #sendBytes(bytes: Uint8Array, addresses: readonly string[]): void {
    for (const address of addresses) {
      this.#onSent(address, bytes.length);
      const { host, port } = socketAddresses.hostAndPort(address);
      this.#socket.send(bytes, port, host, (error) => {
        if (error !== null) this.#onError(error.message);
      });
    }
  }

  /**
   * Encodes a heartbeat and omits fields until it fits into a datagram. Work in progress matters more than size shares,
   * which the next heartbeats continue, and than learned observations. A daemon with work at many engines must still
   * report where most of it is, or the others would send their own requests there.
   */
  #encodeToFit(pulse: messages.Pulse): Uint8Array {
    const withoutShares = { ...pulse, sizes: [] };
    const withWorkOnly = { ...withoutShares, reads: [], observations: [] };
    const withLargestWork = { ...withWorkOnly, work: largestWork(pulse.work) };
    for (const candidate of [pulse, withoutShares, withWorkOnly, withLargestWork]) {
      const bytes = this.#encode(candidate);
      if (bytes.length <= MAX_DATAGRAM_BYTES) return bytes;
    }
    return this.#encode({
      ...withLargestWork,
      work: [],
      entries: pulse.entries.slice(-MAX_ENTRIES_WHEN_OVERSIZE),
      departures: pulse.departures.slice(-8),
      suspects: pulse.suspects.slice(0, MAX_SUSPECTS_WHEN_OVERSIZE),
      limits: pulse.limits.slice(0, MAX_LIMITS_WHEN_OVERSIZE),
    });
  }

  /**
   * Encodes a heartbeat, without its numeric fields if one of them is out of range. The protobuf library throws for
   * such a value, and as this runs in a timer, one wrong number would end the daemon with all its callers' requests.
   * Without the numbers the heartbeat still reports that the daemon is alive and which endpoints have left.
   */
  #encode(pulse: messages.Pulse): Uint8Array {
    try {
      return protobuf.toBinary(messages.PulseSchema, pulse);
    } catch (error) {
      this.#onError(`heartbeat sent without its numeric fields: ${String(error)}`);
      const withoutNumbers = {
        work: [],
        reads: [],
        observations: [],
        sizes: [],
        changing: [],
        suspects: [],
        limits: [],
        readingLoadThousandths: 0,
        eventsPerSecond: 0,
        echoes: [],
        storeSilentMs: 0,
        capacityThousandths: 0,
        busyThousandths: 0,
        nextWithinMs: 0,
      };
      return protobuf.toBinary(messages.PulseSchema, { ...pulse, ...withoutNumbers });
    }
  }

  /** Closes the socket. */
  close(): void {
    this.#socket.close();
  }

  #receive(bytes: Uint8Array, sender: string): void {
    try {
      this.#onPulse(protobuf.fromBinary(messages.PulseSchema, bytes), sender);
    } catch (error) {
      this.#onError(`received datagram can't be decoded: ${String(error)}`);
    }
  }
}

/** The engines with the most unread tokens, ties broken by the most running requests. */
function largestWork(work: readonly messages.EndpointWork[]): messages.EndpointWork[] {
  const unreadOf = ({ unread }: messages.EndpointWork): number => unread.reduce((sum, tokens) => sum + tokens, 0);
  return [...work]
    .sort((left, right) => unreadOf(right) - unreadOf(left) || right.running - left.running)
    .slice(0, MAX_WORK_WHEN_OVERSIZE);
}

/** A message with the departures, which may not fit into the heartbeat. */
function departuresOnly({ vm, incarnation, departures }: messages.Pulse): messages.Pulse {
  return protobuf.create(messages.PulseSchema, { vm, incarnation, departures, changesOnly: true });
}
