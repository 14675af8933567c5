/** Formats of the usage records and reports that the daemons store. */
import type * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";

const count = zod.number().check(zod.nonnegative());
const countsSchema = zod.record(zod.string(), count);
const recordSchema = zod.object({
  vm: zod.string(),
  closedThrough: zod.number(),
  windows: zod.record(zod.string(), countsSchema),
});
const reportSchema = zod.object({ window: zod.number(), counts: countsSchema });

/**
 * @param record - what a daemon has counted
 * @returns the stored value
 */
export function encodeRecord({ vm, closedThrough, windows }: serving.UsageRecord): Uint8Array {
  const byWindow = [...windows].map(([window, counts]) => [String(window), Object.fromEntries(counts)]);
  return Buffer.from(JSON.stringify({ vm, closedThrough, windows: Object.fromEntries(byWindow) as unknown }));
}

/**
 * @param value - a stored value
 * @returns the record, or what is wrong with it
 */
export function decodeRecord(value: Uint8Array): neverthrow.Result<serving.UsageRecord, string> {
  return decode(recordSchema, value).map(({ vm, closedThrough, windows }) => ({
    vm,
    closedThrough,
    windows: new Map(
      Object.entries(windows).map(([window, counts]) => [Number(window), new Map(Object.entries(counts))]),
    ),
  }));
}

/**
 * @param report - the usage of a window
 * @returns the stored value
 */
export function encodeReport({ window, counts }: serving.UsageReport): Uint8Array {
  return Buffer.from(JSON.stringify({ window, counts: Object.fromEntries(counts) }));
}

/**
 * @param value - a stored value
 * @returns the report, or what is wrong with it
 */
export function decodeReport(value: Uint8Array): neverthrow.Result<serving.UsageReport, string> {
  return decode(reportSchema, value).map(({ window, counts }) => ({ window, counts: new Map(Object.entries(counts)) }));
}

function decode<T extends zod.core.$ZodType>(schema: T, value: Uint8Array): neverthrow.Result<zod.infer<T>, string> {
  try {
    const parsed = zod.safeParse(schema, JSON.parse(Buffer.from(value).toString()));
    return parsed.success ? neverthrow.ok(parsed.data) : neverthrow.err(zod.prettifyError(parsed.error));
  } catch (error) {
    return neverthrow.err(String(error));
  }
}
