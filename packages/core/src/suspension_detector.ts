import type { Clock } from "./clock";

/** The wall clock advances this much more than the other one, in ms. */
const SUSPENSION_THRESHOLD_MS = 500;

/**
 * Detects that the VM was suspended, which the monotonic clock may not count. A
 * wall clock that is set forward looks the same.
 */
export class SuspensionDetector {
  readonly #clock: Clock;
  #checkedMs: number;
  #checkedWallMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#checkedMs = clock.nowMs();
    this.#checkedWallMs = clock.wallMs();
  }

  /** Whether there was a suspension since the last check. */
  check(): boolean {
    const nowMs = this.#clock.nowMs();
    const wallMs = this.#clock.wallMs();
    const passedMs = nowMs - this.#checkedMs;
    const passedWallMs = wallMs - this.#checkedWallMs;
    this.#checkedMs = nowMs;
    this.#checkedWallMs = wallMs;
    return passedWallMs - passedMs > SUSPENSION_THRESHOLD_MS;
  }
}
