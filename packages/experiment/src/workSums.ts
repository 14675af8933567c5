import type * as serving from "@camphorcourse/serving";

/** Work of a daemon, by engine. */
export type Work = ReadonlyMap<string, serving.EndpointWork>;

/**
 * @param works - work of several daemons
 * @returns the sum by engine
 */
export function sumOfWork(works: readonly Work[]): Work {
  const total = new Map<string, { running: number; unread: number[] }>();
  for (const work of works)
    for (const [id, { running, unread }] of work) {
      const sum = total.get(id) ?? { running: 0, unread: [] };
      sum.running += running;
      for (const [urgency, tokens] of unread.entries()) sum.unread[urgency] = (sum.unread[urgency] ?? 0) + tokens;
      total.set(id, sum);
    }
  return total;
}

/**
 * @param total - work of several daemons
 * @param own - work of one of them
 * @returns the work of the others
 */
export function subtractWork(total: Work, own: Work): Work {
  return new Map(
    [...total].map(([id, { running, unread }]) => {
      const part = own.get(id);
      const others = unread.map((tokens, urgency) => Math.max(0, tokens - (part?.unread[urgency] ?? 0)));
      return [id, { running: Math.max(0, running - (part?.running ?? 0)), unread: others }];
    }),
  );
}
