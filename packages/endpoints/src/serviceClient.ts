import type * as neverthrow from "neverthrow";
import * as platform from "@camphorcourse/fleet-state";

/** A call to a plain service. */
export interface ServiceCall {
  readonly path: string;
  readonly method: platform.CallOptions["method"];
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

const MAX_CONNECTIONS = 128;

/** Client of one endpoint of a plain service. It never retries a call. */
export class ServiceClient {
  readonly #origin: platform.Origin;

  /** @param url - base URL of the endpoint */
  constructor(url: string) {
    this.#origin = new platform.Origin(url, MAX_CONNECTIONS);
  }

  /**
   * @param call - the call
   * @param signal - aborts the call
   * @returns the complete reply, or the failure and whether the call may have been delivered
   */
  call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<neverthrow.Result<platform.BufferedReply, platform.TransportFailure>> {
    const { path, method, headers, body, timeoutMs } = call;
    const content = body.length > 0 ? { body } : {};
    return this.#origin.call({
      path,
      method,
      headers,
      ...content,
      headersTimeoutMs: timeoutMs,
      bodyIdleTimeoutMs: timeoutMs,
      signal,
    });
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#origin.destroy();
  }
}
