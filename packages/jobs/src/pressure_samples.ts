import type { Feature } from "./ridge_regression";
import type { Attempt } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Time in which a reported tail follows a change of pressure, in ms. */
const TAIL_LAG_MS = 300;
/** Time over which a serving task's own load counts as steady, in ms. */
const STEADY_MS = 1200;
/** Shares, and changes of shares, below this are noise. */
const LEAST_SHARE = 0.0005;

/** A departure from what a serving task and its fillers did just before. */
export interface PressureSample {
  /** Change of the smoothed shares of the worker, by fillers' image. */
  readonly features: readonly Feature[];
  /** Change of the serving task's utilization. */
  readonly change: number;
}

interface WorkerShares {
  readonly byImage: Map<string, number>;
  atMs: number;
}

interface RecentMean {
  readonly byImage: Map<string, number>;
  utilization: number;
  atMs: number;
}

/**
 * Turns reports into samples for a regression. A tail follows its causes with
 * a lag, so the fillers' shares are smoothed over as long. Tasks of one image
 * have loads of their own that drift, so only departures from a task's recent
 * mean tell what fillers do to it.
 */
export class PressureSamples {
  readonly #shares = new WeakMap<WorkerRecord, WorkerShares>();
  readonly #means = new WeakMap<Attempt, RecentMean>();

  /** Takes in what a worker's fillers use, once for each report. */
  observeFillers(
    worker: WorkerRecord,
    used: ReadonlyMap<string, number>,
    nowMs: number,
  ): void {
    let shares = this.#shares.get(worker);
    if (shares === undefined) {
      shares = { byImage: new Map(used), atMs: nowMs };
      this.#shares.set(worker, shares);
      return;
    }
    const kept = Math.exp((shares.atMs - nowMs) / TAIL_LAG_MS);
    shares.atMs = nowMs;
    blend(shares.byImage, used, kept);
  }

  /** Smoothed share of the worker that an image's fillers use. */
  sharesOf(worker: WorkerRecord): ReadonlyMap<string, number> {
    return this.#shares.get(worker)?.byImage ?? new Map();
  }

  /** Takes in a serving task's utilization; undefined for its first. */
  sample(
    attempt: Attempt,
    utilization: number,
    nowMs: number,
  ): PressureSample | undefined {
    const shares = this.sharesOf(attempt.worker);
    const mean = this.#means.get(attempt);
    if (mean === undefined) {
      const byImage = new Map(shares);
      this.#means.set(attempt, { byImage, utilization, atMs: nowMs });
      return undefined;
    }
    const features: Feature[] = [];
    for (const name of new Set([...shares.keys(), ...mean.byImage.keys()])) {
      const value = (shares.get(name) ?? 0) - (mean.byImage.get(name) ?? 0);
      if (Math.abs(value) > LEAST_SHARE) features.push({ name, value });
    }
    const change = utilization - mean.utilization;
    const kept = Math.exp((mean.atMs - nowMs) / STEADY_MS);
    mean.atMs = nowMs;
    mean.utilization = utilization + (mean.utilization - utilization) * kept;
    blend(mean.byImage, shares, kept);
    return { features, change };
  }
}

/** Moves each value towards `next`, keeping a part of what it was. */
function blend(
  values: Map<string, number>,
  next: ReadonlyMap<string, number>,
  kept: number,
): void {
  for (const name of new Set([...values.keys(), ...next.keys()])) {
    const target = next.get(name) ?? 0;
    const value = target + ((values.get(name) ?? 0) - target) * kept;
    if (value < LEAST_SHARE) values.delete(name);
    else values.set(name, value);
  }
}
