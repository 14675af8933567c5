/** Encodes and decodes records of streams in messages between daemons. */
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import type * as serving from "@camphorcourse/serving";
import * as peerWorks from "../peerWork.js";

const HEXADECIMAL = 16;

/** Hexadecimal digits of the hash of a request's id. */
const ATTEMPT_DIGITS = 16;

/**
 * @param attempt - hash of the id of a request, in hexadecimal digits
 * @returns the hash as messages carry it
 */
export function toMessageAttempt(attempt: string): bigint {
  return BigInt(`0x${attempt}`);
}

/**
 * @param attempt - hash of the id of a request, as messages carry it
 * @returns the hash in hexadecimal digits
 */
export function fromMessageAttempt(attempt: bigint): string {
  return attempt.toString(HEXADECIMAL).padStart(ATTEMPT_DIGITS, "0");
}

/**
 * @param record - what began a stream
 * @param now - current time in milliseconds
 * @returns the record as a message
 */
export function toMessage(record: serving.StreamRecord, now: number): messages.StreamRecord {
  return protobuf.create(messages.StreamRecordSchema, {
    attempt: toMessageAttempt(record.attempt),
    ...record.origin,
    begunAgoMs: peerWorks.toUint32(now - record.begunAt),
  });
}

/**
 * @param message - a message from a peer
 * @param now - current time in milliseconds
 * @returns the record; undefined if it names no origin
 */
export function fromMessage(message: messages.StreamRecord, now: number): serving.StreamRecord | undefined {
  const { attempt, begunAgoMs, service, softwareVersion } = message;
  if (service === "" || softwareVersion === "") return undefined;
  return {
    attempt: fromMessageAttempt(attempt),
    origin: { service, softwareVersion },
    begunAt: now - begunAgoMs,
  };
}
