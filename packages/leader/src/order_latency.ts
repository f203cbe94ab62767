/** Weight of a new measurement in the smoothed latency (RFC 6298). */
const LATENCY_GAIN = 1 / 8;
/** Weight of a new measurement in the smoothed deviation (RFC 6298). */
const DEVIATION_GAIN = 1 / 4;
/** Deviations above the smoothed latency after which an answer is overdue. */
const OVERDUE_DEVIATIONS = 4;

/**
 * Estimates how long workers take to answer an order, in the way in which TCP
 * estimates its retransmission time-out.
 */
export class OrderLatency {
  readonly #minDelayMs: number;
  #smoothedMs: number | undefined;
  #deviationMs = 0;

  /** `minDelayMs`: shortest delay of a resend in ms; 0 if none is resent. */
  constructor(minDelayMs: number) {
    this.#minDelayMs = minDelayMs;
  }

  /** Adds the latency of an answered order, in ms. */
  record(latencyMs: number): void {
    const former = this.#smoothedMs;
    if (former === undefined) {
      this.#smoothedMs = latencyMs;
      this.#deviationMs = latencyMs / 2;
      return;
    }
    const difference = Math.abs(latencyMs - former);
    this.#deviationMs += DEVIATION_GAIN * (difference - this.#deviationMs);
    this.#smoothedMs = former + LATENCY_GAIN * (latencyMs - former);
  }

  /**
   * Time without an answer after which an order is sent again, in ms; undefined
   * if it is not, or while no order was answered.
   */
  get resendDelayMs(): number | undefined {
    if (this.#minDelayMs === 0 || this.#smoothedMs === undefined) {
      return undefined;
    }
    const overdueMs = this.#smoothedMs + OVERDUE_DEVIATIONS * this.#deviationMs;
    return Math.max(this.#minDelayMs, overdueMs);
  }
}
