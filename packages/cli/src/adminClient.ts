import * as neverthrow from "neverthrow";
import * as undici from "undici";

/** A problem as a daemon told it, or as the tool found it. */
export interface ToolProblem {
  readonly title: string;
  readonly detail: string;
  readonly remedy: string;
  readonly outcome?: string;
}

const TIMEOUT_MS = 10_000;

/** A client of the administration API. */
export class AdminClient {
  readonly #url: string;
  readonly #token: string;

  /**
   * @param url - any daemon's administration address
   * @param token - the team's or the platform operator's token
   */
  constructor(url: string, token: string) {
    this.#url = url;
    this.#token = token;
  }

  /**
   * @param path - of the API
   * @returns what the daemon answers
   */
  get<Value>(path: string): Promise<neverthrow.Result<Value, ToolProblem>> {
    return this.#call<Value>("GET", path);
  }

  /**
   * @param path - of the API
   * @param body - to be sent as JSON
   * @returns what the daemon answers
   */
  put<Value>(path: string, body: object): Promise<neverthrow.Result<Value, ToolProblem>> {
    return this.#call<Value>("PUT", path, JSON.stringify(body));
  }

  async #call<Value>(
    method: "GET" | "PUT",
    path: string,
    body?: string,
  ): Promise<neverthrow.Result<Value, ToolProblem>> {
    try {
      const reply = await undici.request(new URL(path, this.#url), {
        method,
        headers: { authorization: `Bearer ${this.#token}`, "content-type": "application/json" },
        body: body ?? null,
        headersTimeout: TIMEOUT_MS,
      });
      const value = await reply.body.json();
      return reply.statusCode < 400 ? neverthrow.ok(value as Value) : neverthrow.err(value as ToolProblem);
    } catch (error) {
      return neverthrow.err({
        title: "unreachable",
        detail: `${this.#url}: ${error instanceof Error ? error.message : String(error)}`,
        remedy: "check --admin (CAMPHORCOURSE_ADMIN), or name another daemon",
      });
    }
  }
}
