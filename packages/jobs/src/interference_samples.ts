import type { Feature } from "./ridge_regression";
import type { Attempt } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Time constant with which tail latency follows interference, in ms. */
const TAIL_LAG_MS = 300;
/** Time constant of the recent mean of a serving task, in ms. */
const MEAN_WINDOW_MS = 1200;
/** A mean without samples for this time begins anew, in ms. */
const MAX_SAMPLE_GAP_MS = 3000;
/** Shares and changes of shares below this are treated as noise. */
const MIN_SHARE = 0.0005;

/** Deviation of a serving task and its fillers from their recent means. */
export interface InterferenceSample {
  /** Change of the smoothed CPU shares of fillers, by image. */
  readonly features: readonly Feature[];
  /** Change of the serving task's utilization. */
  readonly change: number;
}

/** CPU share that a filler uses. */
export interface FillerShare {
  readonly image: string;
  readonly share: number;
  /** Monotonic ms since which the filler uses it. */
  readonly sinceMs: number;
}

/** Smoothed CPU shares of a worker's fillers. */
interface WorkerShares {
  readonly byImage: Map<string, number>;
  atMs: number;
}

/** Exponential mean of a serving task's utilization and its fillers' shares. */
interface RecentMean {
  readonly byImage: Map<string, number>;
  utilization: number;
  atMs: number;
}

/**
 * Turns reports into samples for a regression. Tail latency lags behind its
 * causes, so the fillers' CPU shares are smoothed with the same lag. Tasks of
 * one image have different loads that drift, so samples hold deviations from a
 * task's recent mean instead of absolute values.
 */
export class InterferenceSamples {
  readonly #shares = new WeakMap<WorkerRecord, WorkerShares>();
  readonly #means = new WeakMap<Attempt, RecentMean>();

  /** Records the CPU shares of a worker's fillers, once for each report. */
  observeFillers(
    worker: WorkerRecord,
    used: readonly FillerShare[],
    nowMs: number,
  ): void {
    let shares = this.#shares.get(worker);
    if (shares === undefined) {
      shares = { byImage: new Map(), atMs: Number.NEGATIVE_INFINITY };
      this.#shares.set(worker, shares);
    }
    const { byImage, atMs } = shares;
    const kept = Math.exp((atMs - nowMs) / TAIL_LAG_MS);
    shares.atMs = nowMs;
    for (const [image, share] of byImage) {
      if (share * kept < MIN_SHARE) byImage.delete(image);
      else byImage.set(image, share * kept);
    }
    for (const { image, share, sinceMs } of used) {
      const usedMs = Math.max(0, nowMs - Math.max(atMs, sinceMs));
      const reached = share * (1 - Math.exp(-usedMs / TAIL_LAG_MS));
      byImage.set(image, (byImage.get(image) ?? 0) + reached);
    }
  }

  /** Smoothed CPU shares of the worker's fillers, by image. */
  sharesOf(worker: WorkerRecord): ReadonlyMap<string, number> {
    return this.#shares.get(worker)?.byImage ?? new Map();
  }

  /** Records a serving task's utilization; undefined without a recent one. */
  sample(
    attempt: Attempt,
    utilization: number,
    nowMs: number,
  ): InterferenceSample | undefined {
    const shares = this.sharesOf(attempt.worker);
    const mean = this.#means.get(attempt);
    if (mean === undefined || nowMs - mean.atMs > MAX_SAMPLE_GAP_MS) {
      const byImage = new Map(shares);
      this.#means.set(attempt, { byImage, utilization, atMs: nowMs });
      return undefined;
    }
    const features: Feature[] = [];
    for (const name of new Set([...shares.keys(), ...mean.byImage.keys()])) {
      const value = (shares.get(name) ?? 0) - (mean.byImage.get(name) ?? 0);
      if (Math.abs(value) > MIN_SHARE) features.push({ name, value });
    }
    const change = utilization - mean.utilization;
    const kept = Math.exp((mean.atMs - nowMs) / MEAN_WINDOW_MS);
    mean.atMs = nowMs;
    mean.utilization = utilization + (mean.utilization - utilization) * kept;
    blend(mean.byImage, shares, kept);
    return { features, change };
  }
}

/** Moves each value towards `next`, keeping the fraction `kept` of it. */
function blend(
  values: Map<string, number>,
  next: ReadonlyMap<string, number>,
  kept: number,
): void {
  for (const name of new Set([...values.keys(), ...next.keys()])) {
    const target = next.get(name) ?? 0;
    const value = target + ((values.get(name) ?? 0) - target) * kept;
    if (value < MIN_SHARE) values.delete(name);
    else values.set(name, value);
  }
}
