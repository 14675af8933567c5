/** Divides engine time that is short among those that ask for it. */

/**
 * Max-min fair division: whoever asks for less than the fair share gets all of it, and what is left of their shares goes
 * to the others in equal parts.
 *
 * @param demands - what each asks for, none negative
 * @param capacity - what there is
 * @returns the most that one of them gets; infinite if there is enough for all
 */
export function maxMinShare(demands: readonly number[], capacity: number): number {
  const ascending = [...demands].sort((left, right) => left - right);
  let left = capacity;
  for (const [index, demand] of ascending.entries()) {
    const equalPart = left / (ascending.length - index);
    if (demand > equalPart) return Math.max(0, equalPart);
    left -= demand;
  }
  return Number.POSITIVE_INFINITY;
}
