/** Statuses that promise callers that their request has not run and never will. */
export enum RejectionStatus {
  RequestTimeout = 408,
  Misdirected = 421,
  TooManyRequests = 429,
  Unavailable = 503,
}

/** Statuses of the daemon's own error answers that promise nothing of the kind. */
export enum FailureStatus {
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  PayloadTooLarge = 413,
  ExpectationFailed = 417,
  HeadersTooLarge = 431,
  BadGateway = 502,
  GatewayTimeout = 504,
}

const REJECTIONS: ReadonlySet<number> = new Set(
  Object.values(RejectionStatus).filter((status) => typeof status === "number"),
);

/**
 * @param status - status of an answer
 * @returns whether it promises that the request has not run
 */
export function isRejection(status: number): status is RejectionStatus {
  return REJECTIONS.has(status);
}
