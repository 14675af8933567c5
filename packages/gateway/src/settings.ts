import * as serving from "@camphorcourse/serving";

/** IP and port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** The settings of a gateway, checked. */
export interface GatewaySettings {
  readonly vm: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly dataCentres: Readonly<Record<string, string>>;
  /** Processor capacity of the VM, in cores. */
  readonly capacity: number;
  readonly callers: SocketAddress;
  readonly readiness: SocketAddress;
  readonly addresses: SocketAddress;
  readonly metrics: SocketAddress;
  /** Address for the other daemons: Connect calls over TCP, work figures over UDP. */
  readonly peers: SocketAddress;
  readonly retryBounds: serving.RetryBounds;
  /** Time from the request to stop until the process is ended by force, in milliseconds. */
  readonly stopGraceMs: number;
  /** Longest time that callers may keep an answer with addresses, in seconds. */
  readonly addressTtlSeconds: number;
  /** Time for which the right to give orders is granted, in milliseconds. */
  readonly orderLeaseMs: number;
  readonly logLevel: string;
}
