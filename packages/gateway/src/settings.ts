import * as serving from "@camphorcourse/serving";
import type * as ports from "./ports.js";

/** IP address and port of a socket. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** The validated settings of a gateway. */
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
  /** Address for the other daemons: Connect calls over TCP, load figures over UDP. */
  readonly peers: SocketAddress;
  readonly retryBounds: serving.RetryBounds;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly stopGraceMs: number;
  /** Maximum time for which callers may cache an address list, in seconds. */
  readonly addressTtlSeconds: number;
  /** When the usage of organisations is reported; undefined if it isn't. */
  readonly usage?: ports.UsageSettings | undefined;
  /** Whether the system orders the numbers of engines. */
  readonly controlsEngineCounts?: boolean;
  /** Whether engines and platform refuse orders with a lower fencing token than they have seen. */
  readonly areOrdersFenced?: boolean;
  /** Duration of the lease that allows a daemon to carry out the duties of the fleet, in milliseconds. */
  readonly orderLeaseMs: number;
  /** Time for which an engine that leaves goes on with its runs, in milliseconds; 2,000 if not set. */
  readonly engineDrainMs?: number;
  /** Memory of the VM in bytes, if others contend for it; undefined if answers aren't limited by it. */
  readonly memoryBytes?: number | undefined;
  /** Memory of the VM in bytes, whoever contends for it: bounds what requests hold; 256 MB if not set. */
  readonly vmMemoryBytes?: number | undefined;
  /** Descriptors that the process may open; 4,096 if not set. */
  readonly maxDescriptors?: number | undefined;
  readonly logLevel: string;
}
