/** Encodes and decodes the shares of organisations and the rejected sessions in heartbeats. */
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";

const MAX_UINT32 = 0xffff_ffff;

/** Length of the longest name of an organisation that heartbeats carry, in UTF-16 code units. */
const MAX_NAME_LENGTH = 128;

/** Largest engine time that a daemon can have accepted within the window, in milliseconds: a day. */
const MAX_ENGINE_MS = 86_400_000;

/** Largest number of organisations that a daemon can have seen. */
const MAX_ORGANISATIONS = 65_536;

/** Time after which a rejected session is of no use, in milliseconds. */
const MAX_SESSION_AGE_MS = 60_000;

/** Largest number of rejections of a session that is believed. */
const MAX_REJECTIONS = 100;

/** Fields of a heartbeat with the shares of organisations. */
export type ShareFields = Partial<
  Pick<messages.Pulse, "organisationWork" | "otherOrganisationsMs" | "organisationsSeen">
>;

/**
 * @param report - this daemon's counts
 * @returns the fields of a heartbeat
 */
export function toFields({ largest, othersMs, organisations }: serving.SharesReport): ShareFields {
  return {
    organisationWork: largest
      .filter(({ organisation }) => organisation.length <= MAX_NAME_LENGTH)
      .map(({ organisation, usedMs, rejectedMs }) =>
        protobuf.create(messages.OrganisationWorkSchema, {
          organisation,
          engineMs: toUint32(usedMs),
          rejectedMs: toUint32(rejectedMs),
        }),
      ),
    otherOrganisationsMs: toUint32(othersMs),
    organisationsSeen: organisations,
  };
}

/** What a heartbeat says of organisations. */
export interface ReceivedShares {
  /** The counts; undefined if it has none, or none that can be. */
  readonly report: serving.SharesReport | undefined;
  /** Number of values that were left out, as they can't be. */
  readonly impossible: number;
}

/**
 * @param pulse - a received heartbeat
 * @returns the counts that it contains
 */
export function fromPulse(pulse: messages.Pulse): ReceivedShares {
  const { organisationWork, otherOrganisationsMs = 0, organisationsSeen } = pulse;
  if (organisationsSeen === undefined) return { report: undefined, impossible: 0 };
  if (organisationsSeen > MAX_ORGANISATIONS || otherOrganisationsMs > MAX_ENGINE_MS)
    return { report: undefined, impossible: 1 };
  const names = new Set<string>();
  const possible = organisationWork.filter(({ organisation, engineMs, rejectedMs }) => {
    const isNew = !names.has(organisation);
    names.add(organisation);
    const isName = organisation.length > 0 && organisation.length <= MAX_NAME_LENGTH;
    return isNew && isName && engineMs <= MAX_ENGINE_MS && rejectedMs <= MAX_ENGINE_MS;
  });
  const largest = possible.slice(0, serving.MAX_NAMED_ORGANISATIONS).map(({ organisation, engineMs, rejectedMs }) => ({
    organisation,
    usedMs: engineMs,
    rejectedMs,
  }));
  const report = {
    largest,
    othersMs: otherOrganisationsMs,
    organisations: Math.max(organisationsSeen, largest.length),
  };
  return { report, impossible: organisationWork.length - largest.length };
}

/**
 * @param record - a rejected session
 * @param now - current instant in milliseconds
 * @returns the session as a message
 */
export function sessionToMessage(record: serving.RejectedSession, now: number): messages.RejectedSession {
  const { session, rejections, firstAt } = record;
  return protobuf.create(messages.RejectedSessionSchema, { session, rejections, firstAgoMs: toUint32(now - firstAt) });
}

/**
 * @param message - a message from a peer
 * @param now - current instant in milliseconds
 * @returns the session, or undefined if it can't be
 */
export function sessionFromMessage(
  message: messages.RejectedSession,
  now: number,
): serving.RejectedSession | undefined {
  const { session, rejections, firstAgoMs } = message;
  if (rejections === 0 || rejections > MAX_REJECTIONS || firstAgoMs > MAX_SESSION_AGE_MS) return undefined;
  return { session, rejections, firstAt: now - firstAgoMs };
}

function toUint32(value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(value)));
}
