import type { StepRun } from "@laburnumtrack/jobs/task";

/** Weight of a new observation. */
const NEW_WEIGHT = 0.1;
/** Bounds of a ratio; values beyond come from outliers, not from estimates. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
/** Most images of queues that are kept; the longest unused one is dropped. */
const MAX_KEYS = 512;

/** How long tasks take relative to their estimates, by queue and image. */
export class DurationRatios {
  readonly #ratios = new Map<string, number>();

  /** Usual ratio of duration to estimate; 1 until it is known. */
  ratioOf(stepRun: StepRun): number {
    return this.#ratios.get(keyOf(stepRun)) ?? 1;
  }

  /** Learns from the ratio of one run. */
  observe(stepRun: StepRun, ratio: number): void {
    if (!Number.isFinite(ratio)) return;
    const key = keyOf(stepRun);
    const former = this.#ratios.get(key) ?? 1;
    const limited = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    this.#ratios.delete(key);
    this.#ratios.set(key, former + (limited - former) * NEW_WEIGHT);
    if (this.#ratios.size <= MAX_KEYS) return;
    const [oldest] = this.#ratios.keys();
    if (oldest !== undefined) this.#ratios.delete(oldest);
  }
}

function keyOf({ record, step }: StepRun): string {
  return `${record.job.queue} ${step.image}`;
}
