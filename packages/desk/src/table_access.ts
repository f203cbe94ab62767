import type { Clock } from "@laburnumtrack/core/clock";

/** Time for which a failed call counts against the table, in ms. */
const FAILURE_RETENTION_MS = 1000;

/** Whether the table serves this process, as its last calls showed. */
export class TableAccess {
  readonly #clock: Clock;
  readonly #isReachable: () => boolean;
  #failedMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock, isReachable: () => boolean) {
    this.#clock = clock;
    this.#isReachable = isReachable;
  }

  /** Whether the table was reachable from this process when last tried. */
  get isReachable(): boolean {
    return this.#isReachable();
  }

  /** Whether it is reachable and did not reject or ignore the last calls. */
  get isServed(): boolean {
    const isFailing =
      this.#clock.nowMs() - this.#failedMs < FAILURE_RETENTION_MS;
    return this.isReachable && !isFailing;
  }

  /** Records that a call was carried out, also one whose condition failed. */
  onServed(): void {
    this.#failedMs = Number.NEGATIVE_INFINITY;
  }

  /** Records that a call was rejected or not answered. */
  onFailed(): void {
    this.#failedMs = this.#clock.nowMs();
  }
}
