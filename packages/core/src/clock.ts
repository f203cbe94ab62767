import { performance } from "node:perf_hooks";

/**
 * Abort reason for an abort that only ends a wait. Without an explicit reason,
 * `abort()` constructs a DOMException, which costs more than the wait itself.
 */
export const WAIT_OVER = null;

/** Source of time; tests substitute a virtual clock. */
export abstract class Clock {
  /** Monotonic time in ms; not comparable across processes. */
  abstract nowMs(): number;
  /** Wall time in ms since the Unix epoch; may jump when it is corrected. */
  abstract wallMs(): number;
  /** Resolves after `ms`, or as soon as `signal` is aborted; never rejects. */
  abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The operating system's clock. */
export class SystemClock extends Clock {
  override nowMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const onDone = () => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", onDone);
        resolve();
      };
      const timer = setTimeout(onDone, ms);
      signal?.addEventListener("abort", onDone);
    });
  }
}
