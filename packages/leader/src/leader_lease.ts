import type { Clock } from "@laburnumtrack/core/clock";

/** Interval at which the clocks are compared, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Clocks that advance by this much between two checks mean a pause, in ms. */
const PAUSE_THRESHOLD_MS = 700;

/** Options of a leader lease. */
export interface LeaderLeaseOptions {
  readonly clock: Clock;
  /** Time that the lease lasts after the last commit was sent, in ms. */
  readonly durationMs: number;
  /** Monotonic ms at which the last successful commit was sent. */
  readonly lastCommitSentMs: () => number;
  /** Called when the process was paused for about `pausedMs`. */
  readonly onPauseDetected: (pausedMs: number) => void;
}

/**
 * The lease under which a leader may send orders. Every successful commit
 * renews it. It expires a fixed time after the last commit, and immediately
 * when the process was paused, until a commit that was sent after the pause.
 * The monotonic clock may stop during a pause, so the wall clock is compared as
 * well; a false alarm costs one commit.
 */
export class LeaderLease {
  readonly #options: LeaderLeaseOptions;
  #checkedMs: number;
  #checkedWallMs: number;
  #pauseEndMs = Number.NEGATIVE_INFINITY;

  constructor(options: LeaderLeaseOptions) {
    this.#options = options;
    this.#checkedMs = options.clock.nowMs();
    this.#checkedWallMs = options.clock.wallMs();
  }

  /** Whether orders may be sent now. */
  get isValid(): boolean {
    this.#checkForPause();
    const { clock, durationMs, lastCommitSentMs } = this.#options;
    const startMs = lastCommitSentMs();
    return startMs > this.#pauseEndMs && clock.nowMs() - startMs < durationMs;
  }

  /** Checks for pauses until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(CHECK_INTERVAL_MS, signal);
      this.#checkForPause();
    }
  }

  #checkForPause(): void {
    const { clock, onPauseDetected } = this.#options;
    const nowMs = clock.nowMs();
    const wallMs = clock.wallMs();
    const pausedMs = Math.max(
      nowMs - this.#checkedMs,
      wallMs - this.#checkedWallMs,
    );
    this.#checkedMs = nowMs;
    this.#checkedWallMs = wallMs;
    if (pausedMs < PAUSE_THRESHOLD_MS) return;
    this.#pauseEndMs = nowMs;
    onPauseDetected(pausedMs);
  }
}
