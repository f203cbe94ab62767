import type { Clock } from "@laburnumtrack/core/clock";
import {
  PAUSE_CHECK_INTERVAL_MS,
  PauseDetector,
} from "@laburnumtrack/core/pause_detector";

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
 * when the process was paused, until a commit that was sent after the pause; a
 * false alarm costs one commit.
 */
export class LeaderLease {
  readonly #options: LeaderLeaseOptions;
  readonly #pauses: PauseDetector;
  #pauseEndMs = Number.NEGATIVE_INFINITY;

  constructor(options: LeaderLeaseOptions) {
    this.#options = options;
    this.#pauses = new PauseDetector(options.clock);
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
      await this.#options.clock.sleep(PAUSE_CHECK_INTERVAL_MS, signal);
      this.#checkForPause();
    }
  }

  #checkForPause(): void {
    const pausedMs = this.#pauses.check();
    if (pausedMs === 0) return;
    this.#pauseEndMs = this.#options.clock.nowMs();
    this.#options.onPauseDetected(pausedMs);
  }
}
