import { AttemptOutcome, type Endpoint } from "./endpoint";

/** Weight of the newest latency in the moving average of the endpoint. */
const NEWEST_LATENCY_WEIGHT = 0.3;
/** Time constant with which a measured latency decays towards the mean. */
const LATENCY_DECAY_MS = 5000;
/** Consecutive failures after which an endpoint is ejected. */
const FAILURES_TO_EJECT = 3;
/** Length of the first ejection; it doubles with each probe that fails. */
const FIRST_EJECTION_MS = 500;
/** Upper limit of an ejection. */
const MAX_EJECTION_MS = 15_000;

/** Latency and failures of an endpoint as this gateway has measured them. */
export class EndpointRecord {
  readonly endpoint: Endpoint;
  #latencyMs = 0;
  #updatedMs = 0;
  #consecutiveFailures = 0;
  /** Length of the last ejection; 0 once the endpoint has answered. */
  #ejectionMs = 0;
  #ejectedUntilMs = 0;
  #isProbing = false;
  /** Start times of the running attempts, monotonic ms. */
  readonly #attemptStartsMs: number[] = [];

  constructor(endpoint: Endpoint) {
    this.endpoint = endpoint;
  }

  /** Records the start of an attempt, the probe when an ejection has ended. */
  onSent(nowMs: number): void {
    this.#attemptStartsMs.push(nowMs);
    if (this.#ejectionMs > 0) this.#isProbing = true;
  }

  /** Records the end of an attempt. */
  onOutcome(outcome: AttemptOutcome, latencyMs: number, nowMs: number): void {
    this.#isProbing = false;
    this.#removeAttempt(nowMs - latencyMs);
    if (outcome === AttemptOutcome.Cancelled) {
      // The answer would have taken at least this long, so a longer time than
      // the known latency still counts; a hedge may have won for that reason.
      if (latencyMs > this.#latencyMs) this.#recordLatency(latencyMs, nowMs);
      return;
    }
    if (outcome === AttemptOutcome.Answered) {
      this.#consecutiveFailures = 0;
      this.#ejectionMs = 0;
      this.#recordLatency(latencyMs, nowMs);
      return;
    }
    this.#consecutiveFailures += 1;
    const wasEjected = this.#ejectionMs > 0;
    if (this.#consecutiveFailures < FAILURES_TO_EJECT && !wasEjected) return;
    this.#ejectionMs = wasEjected
      ? Math.min(this.#ejectionMs * 2, MAX_EJECTION_MS)
      : FIRST_EJECTION_MS;
    this.#ejectedUntilMs = nowMs + this.#ejectionMs;
  }

  /** Whether it gets no request: it is ejected or its probe still runs. */
  isEjected(nowMs: number): boolean {
    if (this.#ejectionMs === 0) return false;
    return this.#isProbing || nowMs < this.#ejectedUntilMs;
  }

  /** Whether it was ejected and has not answered since. */
  get isSuspect(): boolean {
    return this.#ejectionMs > 0;
  }

  /**
   * Expected latency in ms. The measured latency decays towards
   * `meanLatencyMs`, so that an endpoint that was slow is tried again. The
   * result is at least the age of the oldest running attempt.
   */
  expectedMs(meanLatencyMs: number, nowMs: number): number {
    const longestRunningMs = nowMs - (this.#attemptStartsMs[0] ?? nowMs);
    if (this.#latencyMs === 0) return Math.max(meanLatencyMs, longestRunningMs);
    const ageMs = Math.max(0, nowMs - this.#updatedMs);
    const weight = Math.exp(-ageMs / LATENCY_DECAY_MS);
    const decayedMs =
      meanLatencyMs + (this.#latencyMs - meanLatencyMs) * weight;
    return Math.max(decayedMs, longestRunningMs);
  }

  /** Moving average of the latency in ms; 0 before the first measurement. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** Attempts end in any order: removes the one that began at `startMs`. */
  #removeAttempt(startMs: number): void {
    let nearest = 0;
    let gapMs = Number.POSITIVE_INFINITY;
    for (const [index, startedMs] of this.#attemptStartsMs.entries()) {
      if (Math.abs(startedMs - startMs) >= gapMs) continue;
      gapMs = Math.abs(startedMs - startMs);
      nearest = index;
    }
    this.#attemptStartsMs.splice(nearest, 1);
  }

  #recordLatency(latencyMs: number, nowMs: number): void {
    this.#latencyMs =
      this.#latencyMs === 0
        ? latencyMs
        : this.#latencyMs * (1 - NEWEST_LATENCY_WEIGHT) +
          latencyMs * NEWEST_LATENCY_WEIGHT;
    this.#updatedMs = nowMs;
  }
}
