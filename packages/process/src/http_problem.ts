import type { ServerResponse } from "node:http";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";

/** Whether a request that got no response from an endpoint was run. */
export enum RequestOutcome {
  /** It did not run and will not. */
  NotRun = "not run",
  /** It was sent to an endpoint; whether it ran is unknown. */
  Unknown = "outcome unknown",
}

/** HTTP status of each fault code; codes not listed are sent as 503. */
const HTTP_STATUS: Partial<Record<FaultCode, number>> = {
  [FaultCode.NoRoute]: 404,
  [FaultCode.NotFound]: 404,
  [FaultCode.InvalidFile]: 422,
  [FaultCode.Malformed]: 400,
  [FaultCode.Unauthorized]: 401,
  [FaultCode.VersionConflict]: 409,
  [FaultCode.DuplicateRequest]: 409,
  [FaultCode.TooLarge]: 413,
  [FaultCode.AnswerLost]: 502,
  [FaultCode.OutcomeUnknown]: 502,
  [FaultCode.DeadlineExceeded]: 504,
};

/** HTTP status of a fault code. */
export function statusOf(code: FaultCode): number {
  return HTTP_STATUS[code] ?? 503;
}

/** Sends a fault as `application/problem+json` (RFC 9457). */
export function sendProblem(
  response: ServerResponse,
  fault: Fault,
  options: {
    readonly outcome: RequestOutcome;
    readonly requestId?: string;
    readonly isClosing?: boolean;
    readonly details?: unknown;
  },
): void {
  const status = statusOf(fault.code);
  const body = JSON.stringify({
    type: `urn:laburnumtrack:${fault.code}`,
    title: fault.message,
    status,
    outcome: options.outcome,
    requestId: options.requestId,
    details: options.details,
  });
  response.writeHead(status, {
    "content-type": "application/problem+json",
    "content-length": Buffer.byteLength(body),
    ...(status === 503 ? { "retry-after": "1" } : {}),
    ...(options.isClosing ? { connection: "close" } : {}),
  });
  response.end(body);
}
