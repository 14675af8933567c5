import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as origin from "./origin.js";

const listSchema = zod.array(
  zod.looseObject({ vm: zod.string(), dataCentre: zod.string(), state: zod.enum(["live", "leaving", "gone"]) }),
);

/** One VM as the platform's list reports it. */
export type ListedVm = zod.infer<typeof listSchema>[number];

const CALL_TIMEOUT_MS = 1500;

/** Client of the platform's VM list. */
export class VmListClient {
  readonly #origin: origin.Origin;

  /** @param url - base URL of the list */
  constructor(url: string) {
    this.#origin = new origin.Origin(url, 1);
  }

  /** @returns the VMs, or why the list could not be read */
  async list(): Promise<neverthrow.Result<ListedVm[], origin.TransportFailure>> {
    const timeouts = { headersTimeoutMs: CALL_TIMEOUT_MS, bodyIdleTimeoutMs: CALL_TIMEOUT_MS };
    const reply = await this.#origin.call({ path: "/vms", method: "GET", ...timeouts });
    if (reply.isErr()) return neverthrow.err(reply.error);
    const text = reply.value.body.toString("utf8");
    const parsed = neverthrow.fromThrowable(
      () => listSchema.parse(JSON.parse(text)),
      () => ({
        delivery: origin.DeliveryStatus.MayHaveArrived,
        timedOut: false,
        detail: "the VM list has an unexpected format",
      }),
    );
    return parsed();
  }

  /** Closes the connection. */
  async close(): Promise<void> {
    await this.#origin.destroy();
  }
}
