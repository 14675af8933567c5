import type * as core from "../../src/index.js";

/** Document of a team with three plain endpoints whose calls are not idempotent. */
export const PLAIN_TEAM = `
team: leoben
services:
  yard-app: { kind: service, idempotent: false, deadlineMs: 8000 }
endpoints:
  printer-1: { service: yard-app, url: "http://10.0.0.1", dataCentre: halle-a }
  printer-2: { service: yard-app, url: "http://10.0.0.2", dataCentre: halle-b }
  printer-3: { service: yard-app, url: "http://10.0.0.3", dataCentre: halle-c }
`;

/**
 * @param roles - configured role of each engine
 * @param checksFencing - whether the engines check fencing numbers
 * @returns document of a team with engines
 */
export function engineTeam(roles: readonly string[], checksFencing: boolean): string {
  const endpoints = roles.map(
    (role, index) =>
      `  engine-${index + 1}: { service: assist-llm, url: "http://10.0.1.${index + 1}", dataCentre: halle-a, role: ${role}, checksFencing: ${checksFencing} }`,
  );
  return `
team: leoben
services:
  assist-llm: { kind: engine, deadlineMs: 20000 }
endpoints:
${endpoints.join("\n")}
`;
}

/**
 * @param id - id of the request
 * @param key - idempotency key
 * @param digest - digest of the request
 * @returns a call to the plain service
 */
export function plainCall(id: string, key: string, digest = "digest"): core.RequestDescription {
  return {
    id,
    team: "leoben",
    service: "leoben/yard-app",
    promptTokens: 0,
    maximumOutputTokens: 0,
    key,
    digest,
  };
}
