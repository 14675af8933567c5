/** Encodes and decodes the limits of endpoints in messages between daemons. */
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as endpointIncarnations from "../endpointIncarnation.js";

/**
 * @param record - the latest statement of an endpoint
 * @returns the record as a message
 */
export function toMessage(record: serving.LimitRecord): messages.EndpointLimit {
  const { endpointId, bornAt, requestsPerSecond, statedIn, version } = record;
  return protobuf.create(messages.EndpointLimitSchema, {
    endpoint: endpointId,
    startedAtMs: endpointIncarnations.toMessage(bornAt),
    version: BigInt(version),
    statedIn,
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
  });
}

/**
 * @param message - a message from a peer
 * @returns the record that it contains, or undefined if it contains none that can be used
 */
export function fromMessage(message: messages.EndpointLimit): serving.LimitRecord | undefined {
  const { endpoint, startedAtMs, requestsPerSecond } = message;
  const statedIn = Object.values(serving.AnsweredCall).find((call) => call === message.statedIn);
  const version = Number(message.version);
  if (statedIn === undefined || !Number.isSafeInteger(version)) return undefined;
  if (requestsPerSecond !== undefined && !(requestsPerSecond >= 0)) return undefined;
  return {
    endpointId: endpoint,
    bornAt: endpointIncarnations.fromMessage(startedAtMs),
    requestsPerSecond,
    statedIn,
    version,
  };
}
