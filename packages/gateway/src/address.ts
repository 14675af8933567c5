import * as net from "node:net";

/** Where something listens. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Highest number of a port. */
const HIGHEST_PORT = 65_535;

/**
 * @param value - anything
 * @returns whether it is IP:PORT, with a port that something can listen on
 */
export function isAddress(value: unknown): value is string {
  if (typeof value !== "string") return false;
  const colon = value.lastIndexOf(":");
  const port = value.slice(colon + 1);
  if (!/^\d{1,5}$/.test(port) || Number(port) < 1 || Number(port) > HIGHEST_PORT) return false;
  return net.isIPv4(value.slice(0, colon));
}

/**
 * @param address - IP:PORT
 * @returns its two parts
 */
export function hostAndPort(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
