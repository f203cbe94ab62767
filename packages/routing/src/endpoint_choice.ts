import type { EndpointRecord } from "./endpoint_record";

/** Inputs of {@linkcode chooseEndpoint} besides the endpoints. */
export interface ChoiceContext {
  /** Monotonic time in ms. */
  readonly nowMs: number;
  /** Mean latency over all endpoints of the service, in ms. */
  readonly meanLatencyMs: number;
  /** Failure domain of this gateway. */
  readonly failureDomain: string;
  /** Time that the request has waited in the queue, in ms. */
  readonly waitedMs: number;
}

/** Latency added for an unmeasured endpoint in another failure domain. */
const REMOTE_PENALTY_MS = 8;
/** Multiple of the mean latency from which an endpoint counts as slow. */
const SLOW_FACTOR = 2.5;

/**
 * Picks the endpoint with the lowest expected latency among those that have a
 * free slot. A slow endpoint is chosen only once the request has waited for as
 * long as that endpoint is slower than the mean; until then the result is
 * undefined.
 */
export function chooseEndpoint(
  free: readonly EndpointRecord[],
  context: ChoiceContext,
): EndpointRecord | undefined {
  const { meanLatencyMs, nowMs } = context;
  let best: EndpointRecord | undefined;
  let bestMs = Number.POSITIVE_INFINITY;
  for (const record of free) {
    if (record.isEjected(nowMs)) continue;
    const expectedMs = expectedMsOf(record, context);
    if (expectedMs >= bestMs) continue;
    best = record;
    bestMs = expectedMs;
  }
  if (best === undefined) return undefined;
  const isSlow = bestMs > meanLatencyMs * SLOW_FACTOR + REMOTE_PENALTY_MS;
  const isWorthWaiting = bestMs - meanLatencyMs > context.waitedMs;
  return isSlow && isWorthWaiting ? undefined : best;
}

function expectedMsOf(record: EndpointRecord, context: ChoiceContext): number {
  const { meanLatencyMs, nowMs, failureDomain } = context;
  const expectedMs = record.expectedMs(meanLatencyMs, nowMs);
  // A measured latency already contains the network distance.
  if (record.latencyMs > 0) return expectedMs;
  const isLocal = record.endpoint.failureDomain === failureDomain;
  return isLocal ? expectedMs : expectedMs + REMOTE_PENALTY_MS;
}
