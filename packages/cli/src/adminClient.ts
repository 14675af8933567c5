import * as neverthrow from "neverthrow";
import * as undici from "undici";

/** An error that a daemon returned or that the command-line tool detected. */
export interface CliProblem {
  readonly title: string;
  readonly detail: string;
  readonly remedy: string;
  readonly outcome?: string;
}

const HEADERS_TIMEOUT_MS = 10_000;

/** HTTP client of a daemon's administration API. */
export class AdminClient {
  readonly #url: string;
  readonly #token: string;

  /**
   * @param url - administration URL of any daemon
   * @param token - bearer token of the team or the platform operator
   */
  constructor(url: string, token: string) {
    this.#url = url;
    this.#token = token;
  }

  /**
   * Sends a GET request to the daemon.
   *
   * @param path - path in the API
   * @returns the parsed JSON reply, or the problem
   */
  get<Value>(path: string): Promise<neverthrow.Result<Value, CliProblem>> {
    return this.#call<Value>("GET", path);
  }

  /**
   * Sends a PUT request to the daemon.
   *
   * @param path - path in the API
   * @param body - value that is sent as JSON
   * @returns the parsed JSON reply, or the problem
   */
  put<Value>(path: string, body: object): Promise<neverthrow.Result<Value, CliProblem>> {
    return this.#call<Value>("PUT", path, JSON.stringify(body));
  }

  async #call<Value>(
    method: "GET" | "PUT",
    path: string,
    body?: string,
  ): Promise<neverthrow.Result<Value, CliProblem>> {
    try {
      const reply = await undici.request(new URL(path, this.#url), {
        method,
        headers: { authorization: `Bearer ${this.#token}`, "content-type": "application/json" },
        body: body ?? null,
        headersTimeout: HEADERS_TIMEOUT_MS,
      });
      const value = await reply.body.json();
      return reply.statusCode < 400 ? neverthrow.ok(value as Value) : neverthrow.err(value as CliProblem);
    } catch (error) {
      return neverthrow.err({
        title: "unreachable",
        detail: `${this.#url}: ${error instanceof Error ? error.message : String(error)}`,
        remedy: "check --admin (CAMPHORCOURSE_ADMIN), or use another daemon",
      });
    }
  }
}
