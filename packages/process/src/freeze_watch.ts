import type { Clock } from "@laburnumtrack/core/clock";

const CHECK_INTERVAL_MS = 250;
/** Shorter pauses are not reported. */
const MIN_FREEZE_MS = 2000;

/**
 * Detects that this process did not run for a while, or that its monotonic and
 * wall clocks drifted apart, which happens when a VM is paused and resumed.
 * Calls `onResume` with the length of the pause, until `signal` is aborted.
 */
export async function watchFreezes(
  clock: Clock,
  onResume: (pausedMs: number) => void,
  signal: AbortSignal,
): Promise<void> {
  let lastMs = clock.nowMs();
  let lastWallMs = clock.wallMs();
  while (!signal.aborted) {
    await clock.sleep(CHECK_INTERVAL_MS, signal);
    const nowMs = clock.nowMs();
    const wallMs = clock.wallMs();
    const pausedMs =
      Math.max(nowMs - lastMs, wallMs - lastWallMs) - CHECK_INTERVAL_MS;
    lastMs = nowMs;
    lastWallMs = wallMs;
    if (pausedMs > MIN_FREEZE_MS) onResume(pausedMs);
  }
}
