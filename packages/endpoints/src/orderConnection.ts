import * as http from "node:http";

/** An order to an engine. */
export interface EngineOrder {
  readonly url: string;
  readonly number: number;
  readonly epoch: number;
  readonly role: string;
}

/** How an order ended. */
export enum OrderResult {
  Confirmed = "confirmed",
  Stale = "stale",
  NotSent = "not-sent",
  Unknown = "unknown",
}

const ORDER_TIMEOUT_MS = 30_000;
const NEVER_SENT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

/**
 * Sends orders, each on a fresh connection. The check whether the order may
 * still go out and the write of its bytes happen in one synchronous step after
 * the connection stands: on a connection that were still being made, the bytes
 * would wait in the process, and a pause could come between.
 *
 * A connection without an answer is reset, which discards what its socket
 * buffer still holds, so that no copy of an order is left to arrive later.
 */
export class OrderSender {
  readonly #open = new Map<http.ClientRequest, () => void>();

  /**
   * @param order - the order
   * @param mayStillSend - asked in the step that writes
   * @returns how it ended
   */
  send(order: EngineOrder, mayStillSend: () => boolean): Promise<OrderResult> {
    return new Promise((resolve) => {
      const body = JSON.stringify({ role: order.role });
      const request = http.request(`${order.url}/v1/orders`, {
        method: "POST",
        agent: false,
        timeout: ORDER_TIMEOUT_MS,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
          "x-fencing-number": String(order.number),
          "x-epoch": String(order.epoch),
        },
      });
      let sent = false;
      const settle = (reply: OrderResult): void => {
        this.#open.delete(request);
        resolve(reply);
      };
      const reset = (): void => {
        request.socket?.resetAndDestroy();
        request.destroy();
        settle(sent ? OrderResult.Unknown : OrderResult.NotSent);
      };
      this.#open.set(request, reset);
      request.once("socket", (socket) => {
        socket.once("connect", () => {
          if (!mayStillSend()) {
            reset();
            return;
          }
          sent = true;
          request.end(body);
        });
      });
      request.once("response", (response) => {
        response.resume();
        response.once("end", () => {
          settle(replyOf(response.statusCode ?? 0));
        });
        response.once("error", reset);
      });
      request.once("timeout", reset);
      request.once("error", (error: NodeJS.ErrnoException) => {
        settle(NEVER_SENT_CODES.has(error.code ?? "") || !sent ? OrderResult.NotSent : OrderResult.Unknown);
      });
    });
  }

  /** Resets every connection whose order has no answer. */
  resetAll(): void {
    for (const reset of [...this.#open.values()]) reset();
  }
}

function replyOf(status: number): OrderResult {
  if (status === 200) return OrderResult.Confirmed;
  return status === 409 ? OrderResult.Stale : OrderResult.Unknown;
}
