/** One client sends a few requests whose path is legal and has many slashes. */
import * as http from "node:http";
import * as sites from "./site.mjs";

const SLASHES = 15_000;
const REQUESTS = 40;
const OBSERVED_MS = 6_000;

await sites.run(undefined, async (site) => {
  site.beginTraffic(20);
  await sites.sleep(4_000);
  const path = `/puxa403/${"/".repeat(sites.TROUBLE ? SLASHES : 3)}`;
  const outcomes = {};
  for (const daemon of site.daemons) {
    site.note(`${REQUESTS} requests with a path of ${path.length} bytes are sent to ${daemon.vm}`);
    for (let index = 0; index < REQUESTS; index++) {
      const headers = { Host: sites.HOST, "X-Request-Id": `path-${daemon.vm}-${index}`, "X-Deadline-Ms": "1000" };
      const request = http.request(
        { host: "127.0.0.1", port: daemon.front, path, headers, agent: false },
        (response) => {
          response.resume();
          outcomes[response.statusCode] = (outcomes[response.statusCode] ?? 0) + 1;
        },
      );
      request.once("error", ({ code }) => {
        outcomes[code] = (outcomes[code] ?? 0) + 1;
      });
      request.end();
    }
  }
  for (let waited = 0; waited < OBSERVED_MS; waited += 1_000) {
    await sites.sleep(1_000);
    site.note(`answers to the long paths: ${JSON.stringify(outcomes)}`);
  }
  await sites.sleep(2_000);
  const { late, overdue } = site.overdue();
  const reason = `of ${late} ordinary calls that were unanswered at their route's timeout, ${overdue} had no answer half a second later`;
  return { isBroken: late >= 8 && overdue > late / 2, reason };
});
