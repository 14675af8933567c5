import * as common from "@camphorcourse/common";

const WORDS = ["batch", "foam", "bale", "clean", "plot", "list", "gate", "label", "none", "retardant", "weigh", "sort"];

/**
 * What an engine answers is a function of the request, so that a test outside
 * the process can tell whether a caller got the answer to its own request.
 *
 * @param prompt - the prompt's text
 * @param index - position in the answer
 * @returns the text of that token
 */
export function answerToken(prompt: string, index: number): string {
  const hash = common.hash32(`${prompt}\u0000${index}`);
  return `${WORDS[hash % WORDS.length] ?? ""}${hash % 97} `;
}

/**
 * @param prompt - the prompt's text
 * @param tokens - length of the answer
 * @returns the whole answer
 */
export function expectedAnswer(prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => answerToken(prompt, index)).join("");
}
