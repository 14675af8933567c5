/** The open connections of the daemons to the store go silent, while new ones work. Just then a runner leaves without notice. */
import * as sites from "./site.mjs";

const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;

await sites.run(undefined, async (site) => {
  site.beginTraffic(10);
  await sites.sleep(6_000);
  site.endTraffic();
  await sites.sleep(1_500);
  const silentAt = performance.now();
  if (sites.TROUBLE)
    for (const link of site.storeLinks) site.note(`${link.silence()} connections to the store are silent from now on`);
  await sites.sleep(400);
  const [runner] = site.plainRunners;
  runner.leave();
  const leftAt = performance.now();
  site.note(`${runner.id} has removed its entry and serves on for some seconds; the store has acknowledged it`);
  await sites.sleep(silentAt + CONTACT_MS + 100 - performance.now());
  site.note("the daemons are in touch again; clients send calls");
  site.beginTraffic(40);
  await sites.sleep(3_000);
  site.endTraffic();
  await sites.sleep(1_000);
  const late = runner.runs.filter(({ at }) => at > leftAt + DRAIN_MS && at > silentAt + CONTACT_MS);
  for (const { id, at } of late)
    site.note(`${id} reached ${runner.id} ${Math.round(at - leftAt)} ms after its leaving was acknowledged`);
  return {
    isBroken: late.length > 0,
    reason: `${late.length} calls reached the runner later than ${DRAIN_MS} ms after its leaving was acknowledged`,
  };
});
