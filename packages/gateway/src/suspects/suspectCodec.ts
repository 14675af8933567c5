/** How suspects are spelt in messages between daemons and in the key-value service. */
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import type * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";
import * as peerWorks from "../peerWork.js";

/** Hexadecimal digits of a fingerprint. */
const DIGITS = 16;

/** Messages have no missing number: ages since a run that ended well are told one millisecond older. */
const KNOWN_MS = 1;

const wholeSchema = zod.number().check(zod.refine((value) => Number.isSafeInteger(value) && value >= 0));

const storedSchema = zod.object({
  fingerprint: zod.string().check(zod.regex(/^[0-9a-f]{16}$/)),
  ends: zod.array(zod.object({ life: wholeSchema, at: wholeSchema })),
  clearedAt: zod.optional(wholeSchema),
});

/**
 * @param record - what is known of a suspect
 * @returns the same as a message
 */
export function toMessage(record: serving.SuspectRecord): messages.Suspect {
  const { fingerprint, ends, clearedAgoMs } = record;
  return protobuf.create(messages.SuspectSchema, {
    fingerprint: BigInt(`0x${fingerprint}`),
    lives: ends.map(({ life }) => life),
    endedAgoMs: ends.map(({ agoMs }) => peerWorks.wholeNumber(agoMs)),
    clearedAgoMs: clearedAgoMs === undefined ? 0 : peerWorks.wholeNumber(clearedAgoMs + KNOWN_MS),
  });
}

/**
 * @param message - what a peer says
 * @returns what it knows of a suspect
 */
export function fromMessage(message: messages.Suspect): serving.SuspectRecord {
  const { fingerprint, lives, endedAgoMs, clearedAgoMs } = message;
  return {
    fingerprint: fingerprint.toString(16).padStart(DIGITS, "0"),
    ends: lives.flatMap((life, index) => {
      const agoMs = endedAgoMs[index];
      return agoMs === undefined ? [] : [{ life, agoMs }];
    }),
    clearedAgoMs: clearedAgoMs === 0 ? undefined : clearedAgoMs - KNOWN_MS,
  };
}

/**
 * @param record - what is known of a suspect
 * @param timeOfDay - current Unix milliseconds
 * @returns the same as it is kept in the key-value service
 */
export function toStored(record: serving.SuspectRecord, timeOfDay: number): Buffer {
  const { fingerprint, ends, clearedAgoMs } = record;
  const instantOf = (agoMs: number): number => Math.max(0, Math.round(timeOfDay - agoMs));
  return Buffer.from(
    JSON.stringify({
      fingerprint,
      ends: ends.map(({ life, agoMs }) => ({ life, at: instantOf(agoMs) })),
      clearedAt: clearedAgoMs === undefined ? undefined : instantOf(clearedAgoMs),
    }),
  );
}

/**
 * @param value - what is kept in the key-value service; another writer may have left anything
 * @param timeOfDay - current Unix milliseconds
 * @returns what it says of a suspect, or why that can't be read
 */
export function fromStored(value: Uint8Array, timeOfDay: number): neverthrow.Result<serving.SuspectRecord, string> {
  try {
    const parsed = zod.safeParse(storedSchema, JSON.parse(Buffer.from(value).toString()));
    if (!parsed.success) return neverthrow.err(zod.prettifyError(parsed.error));
    const { fingerprint, ends, clearedAt } = parsed.data;
    const ageOf = (at: number): number => Math.max(0, timeOfDay - at);
    return neverthrow.ok({
      fingerprint,
      ends: ends.map(({ life, at }) => ({ life, agoMs: ageOf(at) })),
      clearedAgoMs: clearedAt === undefined ? undefined : ageOf(clearedAt),
    });
  } catch (error) {
    return neverthrow.err(String(error));
  }
}
