import * as zod from "zod";
import * as standIn from "./standIn.js";

const vmSchema = zod.object({
  vm: zod.string(),
  dataCentre: zod.string(),
  state: zod.enum(["live", "leaving", "gone"]),
});

/** One VM as the list tells it. */
export type ListedVm = zod.infer<typeof vmSchema>;

/** The platform's list of VMs; what is put in shows after the report lag. */
export class VmListStandIn extends standIn.StandIn {
  #shown: ListedVm[] = [];

  constructor() {
    super();
    this.app.get("/vms", (context) => context.json(this.#shown));
    this.app.post("/vms", async (context) => {
      const list = zod.array(vmSchema).parse(await context.req.json());
      await standIn.delay(this.faults.reportLagMs);
      this.#shown = list;
      return context.json({ ok: true });
    });
  }
}
