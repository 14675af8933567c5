/** A value of a field in a log line or a timeline event. */
export type Field = string | number | boolean | undefined;

const NEEDS_QUOTES = /[\s"=]/;

/**
 * @param fields - names and values; undefined values are left out
 * @returns one line of key=value pairs, with quotes around values that need them
 */
export function formatFields(fields: Readonly<Record<string, Field>>): string {
  const parts: string[] = [];
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    const text = String(value);
    parts.push(`${name}=${text === "" || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text}`);
  }
  return parts.join(" ");
}
