/** Load that an engine reports. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly role?: string;
}

/**
 * Parses an engine's metrics. A request count that is missing is taken as 0.
 *
 * @param text - the engine's metrics as Prometheus text
 * @returns the values that routing uses
 */
export function parseLoad(text: string): EngineLoad {
  const role = /^engine_role\{role="([a-z]+)"\} 1$/m.exec(text)?.[1];
  return {
    running: metricValue(text, "num_requests_running"),
    waiting: metricValue(text, "num_requests_waiting"),
    ...(role === undefined ? {} : { role }),
  };
}

function metricValue(text: string, name: string): number {
  const match = new RegExp(`^${name}(?:\\{[^}]*\\})? ([0-9.eE+-]+)$`, "m").exec(text);
  return match?.[1] === undefined ? 0 : Number(match[1]);
}
