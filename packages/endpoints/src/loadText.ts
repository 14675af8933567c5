/** What an engine's load report says. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly role?: string;
}

/**
 * @param text - Prometheus text as engines publish it
 * @returns the part that routing uses
 */
export function parseLoad(text: string): EngineLoad {
  const role = /^engine_role\{role="([a-z]+)"\} 1$/m.exec(text)?.[1];
  return {
    running: valueOf(text, "num_requests_running"),
    waiting: valueOf(text, "num_requests_waiting"),
    ...(role === undefined ? {} : { role }),
  };
}

function valueOf(text: string, name: string): number {
  const match = new RegExp(`^${name}(?:\\{[^}]*\\})? ([0-9.eE+-]+)$`, "m").exec(text);
  return match?.[1] === undefined ? 0 : Number(match[1]);
}
