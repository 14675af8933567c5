import * as serving from "@camphorcourse/serving";
import type * as sendings from "../sending.js";

/** A send that is not made, as its endpoint has said that it takes nothing now. */
export class WithheldSend implements sendings.InFlightRequest {
  readonly wasDispatched = false;
  readonly dispatchedAt = undefined;
  readonly isPathLost = false;
  readonly unsentBytes = 0;
  #isCancelled = false;

  /** @param receiver - is told after the caller of this constructor has continued, as with any other send */
  constructor(receiver: Pick<sendings.AnswerReceiver, "onBroken">) {
    queueMicrotask(() => {
      if (!this.#isCancelled) receiver.onBroken(serving.SendOutcome.Withheld, "the endpoint takes nothing now");
    });
  }

  /** {@inheritDoc sendings.InFlightRequest.cancel} */
  cancel(): void {
    this.#isCancelled = true;
  }

  /** {@inheritDoc sendings.InFlightRequest.pause} */
  pause(): void {
    // There is no answer to read.
  }

  /** {@inheritDoc sendings.InFlightRequest.resume} */
  resume(): void {
    // There is no answer to read.
  }
}
