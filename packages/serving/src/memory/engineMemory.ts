import * as directories from "../endpointDirectory.js";

/**
 * Leaves out the engines that have no room for a prompt and its answer: an engine crashes if the requests that it holds, queued
 * ones included, exceed its memory. Where no engine of a kind has room, all of that kind stay, as a request that waits at an engine
 * is served sooner than one that is rejected.
 *
 * @param engines - engines that may get the prompt
 * @param tokens - tokens of the prompt and of the requested output
 * @param memoryTokens - tokens that an engine's memory can hold
 * @param heldTokens - tokens of what all daemons have outstanding at an engine
 * @returns the engines to choose among
 */
export function enginesWithRoom(
  engines: readonly directories.Endpoint[],
  tokens: number,
  memoryTokens: number,
  heldTokens: (engineId: string) => number,
): directories.Endpoint[] {
  const hasRoom = ({ id }: directories.Endpoint): boolean => heldTokens(id) + tokens <= memoryTokens;
  const isPrefill = ({ role }: directories.Endpoint): boolean => role === directories.EngineRole.Prefill;
  const kinds = [engines.filter(isPrefill), engines.filter((engine) => !isPrefill(engine))];
  return kinds.flatMap((kind) => {
    const withRoom = kind.filter(hasRoom);
    return withRoom.length > 0 ? withRoom : kind;
  });
}
