/** Encodes and decodes suspects in messages between daemons and in the key-value service. */
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";
import * as peerWorks from "../peerWork.js";

/** Hexadecimal digits of a fingerprint. */
const FINGERPRINT_DIGITS = 16;

/** Added to the age of a successful run in messages, whose numbers can't be absent: 0 means that there was none. */
const AGE_OFFSET_MS = 1;

const nonNegativeIntegerSchema = zod.number().check(zod.refine((value) => Number.isSafeInteger(value) && value >= 0));

const storedSchema = zod.object({
  fingerprint: zod.string().check(zod.regex(/^[0-9a-f]{16}$/)),
  scope: zod.optional(zod.enum(serving.SuspectScope)),
  ends: zod.array(zod.object({ life: nonNegativeIntegerSchema, at: nonNegativeIntegerSchema })),
  clearedAt: zod.optional(nonNegativeIntegerSchema),
});

/**
 * @param record - record of a suspect
 * @returns the record as a message
 */
export function toMessage(record: serving.SuspectRecord): messages.Suspect {
  const { fingerprint, scope, ends, clearedAgoMs } = record;
  return protobuf.create(messages.SuspectSchema, {
    fingerprint: BigInt(`0x${fingerprint}`),
    scope,
    lives: ends.map(({ life }) => life),
    endedAgoMs: ends.map(({ agoMs }) => peerWorks.toUint32(agoMs)),
    clearedAgoMs: clearedAgoMs === undefined ? 0 : peerWorks.toUint32(clearedAgoMs + AGE_OFFSET_MS),
  });
}

/**
 * @param message - a message from a peer; a crash without an age is left out
 * @returns the record that it contains
 */
export function fromMessage(message: messages.Suspect): serving.SuspectRecord {
  const { fingerprint, scope, lives, endedAgoMs, clearedAgoMs } = message;
  return {
    scope: scopeOf(scope),
    fingerprint: fingerprint.toString(16).padStart(FINGERPRINT_DIGITS, "0"),
    ends: lives.flatMap((life, index) => {
      const agoMs = endedAgoMs[index];
      return agoMs === undefined ? [] : [{ life, agoMs }];
    }),
    clearedAgoMs: clearedAgoMs === 0 ? undefined : clearedAgoMs - AGE_OFFSET_MS,
  };
}

/**
 * @param record - record of a suspect
 * @param timeOfDay - current Unix milliseconds
 * @returns the record as it is stored in the key-value service, with Unix milliseconds in place of ages
 */
export function toStored(record: serving.SuspectRecord, timeOfDay: number): Buffer {
  const { fingerprint, scope, ends, clearedAgoMs } = record;
  const unixMsOf = (agoMs: number): number => Math.max(0, Math.round(timeOfDay - agoMs));
  return Buffer.from(
    JSON.stringify({
      fingerprint,
      scope,
      ends: ends.map(({ life, agoMs }) => ({ life, at: unixMsOf(agoMs) })),
      clearedAt: clearedAgoMs === undefined ? undefined : unixMsOf(clearedAgoMs),
    }),
  );
}

/**
 * @param value - value from the key-value service; as others write there too, it may hold anything
 * @param timeOfDay - current Unix milliseconds
 * @returns the record that it contains, or why it can't be decoded
 */
export function fromStored(value: Uint8Array, timeOfDay: number): neverthrow.Result<serving.SuspectRecord, string> {
  try {
    const parsed = zod.safeParse(storedSchema, JSON.parse(Buffer.from(value).toString()));
    if (!parsed.success) return neverthrow.err(zod.prettifyError(parsed.error));
    const { fingerprint, scope, ends, clearedAt } = parsed.data;
    const ageOf = (at: number): number => Math.max(0, timeOfDay - at);
    return neverthrow.ok({
      fingerprint,
      scope: scope ?? serving.SuspectScope.Request,
      ends: ends.map(({ life, at }) => ({ life, agoMs: ageOf(at) })),
      clearedAgoMs: clearedAt === undefined ? undefined : ageOf(clearedAt),
    });
  } catch (error) {
    return neverthrow.err(String(error));
  }
}

/** A scope that is not known here is one of newer software; as a request it concerns nothing. */
function scopeOf(value: number): serving.SuspectScope {
  const known = [serving.SuspectScope.OrganisationPart, serving.SuspectScope.Part];
  return known.find((scope) => scope === value) ?? serving.SuspectScope.Request;
}
