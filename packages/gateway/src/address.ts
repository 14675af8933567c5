import * as net from "node:net";

/** Host and port of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/**
 * Checks whether a value is an address on which something can listen.
 *
 * @param value - any value
 * @returns whether the value is IPv4:PORT with a port from 1 to 65535
 */
export function isAddress(value: unknown): value is string {
  if (typeof value !== "string") return false;
  const colon = value.lastIndexOf(":");
  const port = value.slice(colon + 1);
  if (!/^\d{1,5}$/.test(port) || Number(port) < 1 || Number(port) > MAX_PORT) return false;
  return net.isIPv4(value.slice(0, colon));
}

/**
 * Splits an address into its parts.
 *
 * @param address - IP:PORT
 * @returns host and port
 */
export function hostAndPort(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
