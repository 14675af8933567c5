/**
 * A request crashes each runner that begins to run it, and comes again. Its prompt has many parts, as that of a long
 * conversation has.
 */
import * as sites from "../support-2/site.mjs";

const PARTS = 400;
const TOKENS_PER_PART = 15;
const PATH = "/lohu930/crashing";

/** Time between two tries of the caller, in milliseconds: the crashed runners are back by then. */
const TRY_AGAIN_MS = 4_500;

/** Daemons that get the request, by index, one try after the other. */
const TRIES = [0, 0, 1];

const OBSERVED_MS = 15_000;

await sites.run(import.meta.dirname, async (site) => {
  for (const engine of site.engines) engine.isCrashing = ({ url }) => sites.TROUBLE && url === PATH;
  site.beginTraffic(10);
  await sites.sleep(4_000);
  const parts = Array.from({ length: PARTS }, (_, index) => `${(0x5c1e_0000 + index).toString(16)}:${TOKENS_PER_PART}`);
  for (const [index, target] of TRIES.entries()) {
    const daemon = site.daemons[target];
    const id = `crashing-${index + 1}`;
    site.note(`${id} is sent to ${daemon.vm}`);
    const sent = { id, path: PATH, parts, tokens: PARTS * TOKENS_PER_PART, waitMs: 3_000 };
    void site.stream(daemon, sent).then((outcome) => site.note(`${id}: ${outcome}`));
    await sites.sleep(TRY_AGAIN_MS);
    site.note(`runners have crashed ${site.engines.reduce((sum, { crashes }) => sum + crashes, 0)} times`);
  }
  await sites.sleep(OBSERVED_MS);
  for (const daemon of site.daemons)
    site.note(`${daemon.vm} ${(await site.isAnswering(daemon)) ? "answers" : "doesn't answer"} its readiness check`);
  const { late, overdue } = site.overdue();
  const reason = `of ${late} ordinary calls that were unanswered at their route's timeout, ${overdue} had no answer half a second later`;
  return { isBroken: late >= 8 && overdue > late / 2, reason };
});
