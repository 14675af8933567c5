import * as zod from "zod";
import * as standIn from "./standIn.js";

const vmSchema = zod.object({
  vm: zod.string(),
  dataCentre: zod.string(),
  state: zod.enum(["live", "leaving", "gone"]),
});

/** A VM as listed by the platform. */
export type ListedVm = zod.infer<typeof vmSchema>;

/** Stand-in for the platform's VM list; a posted list becomes visible after `reportLagMs`. */
export class VmListStandIn extends standIn.StandIn {
  #visibleVms: ListedVm[] = [];

  constructor() {
    super();
    this.app.get("/vms", (context) => context.json(this.#visibleVms));
    this.app.post("/vms", async (context) => {
      const list = zod.array(vmSchema).parse(await context.req.json());
      await standIn.delay(this.faults.reportLagMs);
      this.#visibleVms = list;
      return context.json({ ok: true });
    });
  }
}
