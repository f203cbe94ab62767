import type { Clock } from "./clock";

/** Interval at which {@linkcode PauseDetector.check} must be called, in ms. */
export const PAUSE_CHECK_INTERVAL_MS = 100;
/** Clocks that advance by this much between two checks mean a pause, in ms. */
const PAUSE_THRESHOLD_MS = 700;

/**
 * Detects that this process did not run for a while. The monotonic clock may
 * stop during a pause, so the wall clock is compared as well; when that clock
 * is set forward, it counts as a pause.
 */
export class PauseDetector {
  readonly #clock: Clock;
  #checkedMs: number;
  #checkedWallMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#checkedMs = clock.nowMs();
    this.#checkedWallMs = clock.wallMs();
  }

  /** Length of a pause since the last check, in ms; 0 if there was none. */
  check(): number {
    const nowMs = this.#clock.nowMs();
    const wallMs = this.#clock.wallMs();
    const passedMs = Math.max(
      nowMs - this.#checkedMs,
      wallMs - this.#checkedWallMs,
    );
    this.#checkedMs = nowMs;
    this.#checkedWallMs = wallMs;
    return passedMs < PAUSE_THRESHOLD_MS ? 0 : passedMs;
  }
}
