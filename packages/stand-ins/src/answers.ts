import * as common from "@camphorcourse/common";

const WORDS = ["batch", "foam", "bale", "clean", "plot", "list", "gate", "label", "none", "retardant", "weigh", "sort"];

/**
 * Derives one token of an engine's answer from the prompt, so that a test in
 * another process can check that a caller received the answer to its own request.
 *
 * @param prompt - text of the prompt
 * @param index - position of the token in the answer
 * @returns the text of the token
 */
export function answerToken(prompt: string, index: number): string {
  const hash = common.hash32(`${prompt}\u0000${index}`);
  return `${WORDS[hash % WORDS.length] ?? ""}${hash % 97} `;
}

/**
 * Computes the complete answer that an engine gives to a prompt.
 *
 * @param prompt - text of the prompt
 * @param tokens - length of the answer in tokens
 * @returns the text of the answer
 */
export function expectedAnswer(prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => answerToken(prompt, index)).join("");
}
