import type * as neverthrow from "neverthrow";
import * as platform from "@camphorcourse/fleet-state";

/** A call of a plain service. */
export interface ServiceCall {
  readonly path: string;
  readonly method: platform.CallOptions["method"];
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

const CONNECTIONS = 128;

/** A client of one plain endpoint. It never sends a call twice. */
export class ServiceClient {
  readonly #origin: platform.Origin;

  /** @param url - the endpoint's address */
  constructor(url: string) {
    this.#origin = new platform.Origin(url, CONNECTIONS);
  }

  /**
   * @param call - the call
   * @param signal - ends the wait
   * @returns the whole reply, or how far the call can have got
   */
  call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<neverthrow.Result<platform.WholeReply, platform.TransportFailure>> {
    const { path, method, headers, body, timeoutMs } = call;
    const content = body.length > 0 ? { body } : {};
    return this.#origin.call({
      path,
      method,
      headers,
      ...content,
      headTimeoutMs: timeoutMs,
      silenceMs: timeoutMs,
      signal,
    });
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#origin.destroy();
  }
}
