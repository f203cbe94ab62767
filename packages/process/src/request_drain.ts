import type { Clock } from "@laburnumtrack/core/clock";

/** Options of {@linkcode drainRequests}. */
export interface RequestDrainOptions {
  readonly clock: Clock;
  /** Monotonic ms at which the process was told to stop. */
  readonly stopMs: number;
  /** Time after `stopMs` during which callers may still send requests, in ms. */
  readonly removalMs: number;
  /** Longest time after `stopMs` that open requests are waited for, in ms. */
  readonly limitMs: number;
  /** Number of requests without a complete response. */
  readonly openRequests: () => number;
  /** Whether the process has handed over all other work. */
  readonly isReleased: () => boolean;
}

/** Interval of checks for open requests, in ms. */
const POLL_MS = 50;

/**
 * Waits until all requests are answered, no more are to be expected and other work
 * is handed over, but no longer than the limit. Both times count from the signal to
 * stop. What is not handed over by the limit is left as after a crash.
 */
export async function drainRequests({
  clock,
  stopMs,
  removalMs,
  limitMs,
  openRequests,
  isReleased,
}: RequestDrainOptions): Promise<void> {
  while (clock.nowMs() < stopMs + limitMs) {
    const isRemoved = clock.nowMs() > stopMs + removalMs;
    if (isRemoved && openRequests() === 0 && isReleased()) return;
    await clock.sleep(POLL_MS);
  }
}
