import * as http from "node:http";

/** An order to an engine to take a role, with its fencing number and epoch. */
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
 * Sends orders, each on a new connection. The check whether the order may still
 * be sent and the write of its bytes happen in one synchronous step after the
 * connection is established. If the bytes were written earlier, they would wait in
 * the process until it is, and the process could pause between check and sending.
 *
 * A connection without an answer is reset. This discards the data in its socket
 * buffer, so that no copy of an order can arrive later.
 */
export class OrderSender {
  readonly #pendingResets = new Map<http.ClientRequest, () => void>();

  /**
   * Sends an order and waits for its answer.
   *
   * @param order - the order
   * @param mayStillSend - whether the order may still be sent; called in the same step as the write
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
      const settle = (result: OrderResult): void => {
        this.#pendingResets.delete(request);
        resolve(result);
      };
      const reset = (): void => {
        request.socket?.resetAndDestroy();
        request.destroy();
        settle(sent ? OrderResult.Unknown : OrderResult.NotSent);
      };
      this.#pendingResets.set(request, reset);
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
          settle(toOrderResult(response.statusCode ?? 0));
        });
        response.once("error", reset);
      });
      request.once("timeout", reset);
      request.once("error", (error: NodeJS.ErrnoException) => {
        settle(NEVER_SENT_CODES.has(error.code ?? "") || !sent ? OrderResult.NotSent : OrderResult.Unknown);
      });
    });
  }

  /** Resets every connection whose order has no answer yet. */
  resetAll(): void {
    for (const reset of [...this.#pendingResets.values()]) reset();
  }
}

function toOrderResult(status: number): OrderResult {
  if (status === 200) return OrderResult.Confirmed;
  return status === 409 ? OrderResult.Stale : OrderResult.Unknown;
}
