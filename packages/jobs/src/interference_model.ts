import { InterferenceSamples } from "./interference_samples";
import type { Step } from "./job";
import { RidgeRegression, type Slopes } from "./ridge_regression";
import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Assumed load of a serving task without reports, 0 to 1. */
const DEFAULT_LOAD = 0.5;
/** Assumed interference with a serving image without samples. */
const DEFAULT_INTERFERENCE = 0.7;
/** Smoothing factor of a task's load estimate. */
const LOAD_SMOOTHING = 0.4;
/** Smoothing factor of the mean load of an image. */
const MEAN_SMOOTHING = 0.02;
/** Bounds of the estimate of a task's own load. */
const MIN_LOAD = 0.1;
const MAX_LOAD = 0.8;
/** Above this utilization, tail latency only shows that a task is overloaded. */
const SATURATION = 0.93;
/** Relative drop of the tail between reports that shows a draining queue. */
const DRAIN_FRACTION = 0.1;
/** Excess utilization at which a task is certain to miss its target. */
const CERTAIN_MISS_EXCESS = 0.12;
/** Change of utilization that changes the risk by a factor of e. */
const RISK_SCALE = 0.1;
/**
 * Cost of each further `RISK_SCALE` beyond a certain miss: the more a task is
 * overloaded, the longer it takes to recover.
 */
const OVERLOAD_COST = 0.5;
/** Interval at which the regression of an image is solved, in ms. */
const SOLVE_INTERVAL_MS = 500;

/** A worker gets no filler once a tail exceeds its target for this long, in ms. */
const EXCLUSION_DELAY_MS = 1000;
/** Cost above every limit except the infinite one of idle jobs. */
const EXCLUDED_COST = 1000;

/** What the model knows about a serving image. */
interface ServingImage {
  /** Change of utilization by changes of the fillers' CPU shares. */
  readonly regression: RidgeRegression;
  /** Mean of the own loads of its tasks. */
  meanLoad: number;
  /** Lowest tail latency seen, in ms. */
  bestTailMs: number;
  /** Monotonic ms of the last solution of the regression. */
  solvedMs: number;
}

/** Learnt interference of fillers with a serving image, as stored. */
export interface LearntInterference extends Slopes {
  readonly bestTailMs: number;
}

/** Learnt interference, by serving image. */
export type LearntInterferenceByImage = Readonly<
  Record<string, LearntInterference>
>;

/** Cached utilization and violation cost of a serving task. */
interface ServingState {
  readonly attempt: Attempt;
  readonly utilization: number;
  readonly cost: number;
}

/**
 * Learns how much fillers (best-effort tasks) slow down serving tasks on the
 * same worker, for each pair of images. The model of a serving task: its
 * utilization is its own load plus, for each filler on the worker, the
 * interference of the two images times the filler's CPU share of the worker.
 * Its tail latency grows as 1 / (1 - utilization).
 */
export class InterferenceModel {
  readonly #images = new Map<string, ServingImage>();
  readonly #samples = new InterferenceSamples();
  /** Estimated own loads of serving tasks. */
  readonly #loads = new WeakMap<Attempt, number>();

  /** Cached serving tasks, with the worker's change counter at that time. */
  readonly #states = new WeakMap<
    WorkerRecord,
    { readonly changeCount: number; readonly states: readonly ServingState[] }
  >();

  /** Learns from the measurements that a worker has just reported. */
  observe(worker: WorkerRecord, nowMs: number): void {
    if (worker.serving.size === 0 || !worker.isRegistered) return;
    this.#samples.observeFillers(worker, measureFillers(worker), nowMs);
    for (const attempt of worker.serving) {
      if (attempt.measurement <= 0 || attempt.percent < 100) continue;
      this.#learn(attempt, nowMs);
    }
    worker.markChanged();
  }

  /** Learnt increase of a serving image's utilization per unit of filler share. */
  interferenceOf(fillerImage: string, servingImage: string): number {
    const image = this.#images.get(servingImage);
    if (image === undefined) return DEFAULT_INTERFERENCE;
    return Math.max(0, image.regression.slopeOf(fillerImage));
  }

  /** Estimated utilization of a serving task, including interference. */
  utilizationOf(attempt: Attempt): number {
    return (
      this.ownLoadOf(attempt) +
      this.#interferenceOn(attempt, attempt.worker.fillers)
    );
  }

  /** Estimated utilization of a serving task without interference. */
  ownLoadOf(attempt: Attempt): number {
    const { image } = attempt.task.stepRun.step;
    const mean = this.#images.get(image)?.meanLoad;
    return this.#loads.get(attempt) ?? mean ?? DEFAULT_LOAD;
  }

  /** Utilization above which a serving task misses its target. */
  utilizationLimitOf({ task }: Attempt): number {
    const { image, targetMs } = task.stepRun.step;
    const best = this.#images.get(image)?.bestTailMs;
    if (best === undefined || best >= targetMs) return SATURATION;
    return Math.min(SATURATION, 1 - best / targetMs);
  }

  /**
   * Violation cost of a serving task at a utilization: up to 1 the risk that it
   * misses its target, above 1 it grows with the overload.
   */
  violationCostAt(attempt: Attempt, utilization: number): number {
    const excess =
      utilization - this.utilizationLimitOf(attempt) - CERTAIN_MISS_EXCESS;
    const scaled = excess / RISK_SCALE;
    return scaled <= 0 ? Math.exp(scaled) : 1 + scaled * OVERLOAD_COST;
  }

  /**
   * Interference cost of placing a filler of the step on a worker: the increase
   * of the summed violation costs of its serving tasks.
   */
  interferenceCostOf(step: Step, worker: WorkerRecord, nowMs: number): number {
    const share = step.resources.cpuMilli / worker.info.capacity.cpuMilli;
    let cost = 0;
    for (const state of this.#statesOf(worker)) {
      const { attempt, utilization } = state;
      const overMs = nowMs - (attempt.overSinceMs ?? nowMs);
      if (overMs > EXCLUSION_DELAY_MS) return EXCLUDED_COST;
      const { image } = attempt.task.stepRun.step;
      const after =
        utilization + this.interferenceOf(step.image, image) * share;
      cost += this.violationCostAt(attempt, after) - state.cost;
    }
    return cost;
  }

  /** Utilization that one filler currently adds to a serving task. */
  addedUtilizationOf(filler: Attempt, serving: Attempt): number {
    return this.#interferenceOn(serving, [filler]);
  }

  /** Returns the learnt interference, to be stored for the next leader. */
  export(): LearntInterferenceByImage {
    const learnt: Record<string, LearntInterference> = {};
    for (const [image, { regression, bestTailMs }] of this.#images) {
      learnt[image] = { bestTailMs, ...regression.slopes };
    }
    return learnt;
  }

  /** Imports the interference that a former leader has learnt. */
  import(learnt: LearntInterferenceByImage): void {
    for (const [image, { bestTailMs, ...slopes }] of Object.entries(learnt)) {
      const known = this.#imageOf(image);
      known.bestTailMs = Math.min(known.bestTailMs, bestTailMs);
      known.regression.seed(slopes);
    }
  }

  #interferenceOn(serving: Attempt, fillers: Iterable<Attempt>): number {
    const { image } = serving.task.stepRun.step;
    let sum = 0;
    for (const filler of fillers) {
      if (filler.phase === AttemptPhase.Stopping) continue;
      const fillerImage = filler.task.stepRun.step.image;
      sum += this.interferenceOf(fillerImage, image) * activeShareOf(filler);
    }
    return sum;
  }

  /** Serving tasks of a worker; recomputed after each change of the worker. */
  #statesOf(worker: WorkerRecord): readonly ServingState[] {
    const known = this.#states.get(worker);
    if (known?.changeCount === worker.changeCount) return known.states;
    const states = [...worker.serving].map((attempt) => {
      const utilization = this.utilizationOf(attempt);
      const cost = this.violationCostAt(attempt, utilization);
      return { attempt, utilization, cost };
    });
    this.#states.set(worker, { changeCount: worker.changeCount, states });
    return states;
  }

  #learn(attempt: Attempt, nowMs: number): void {
    const { image } = attempt.task.stepRun.step;
    const known = this.#imageOf(image);
    const { measurement, previousMeasurement } = attempt;
    known.bestTailMs = Math.min(known.bestTailMs, measurement);
    const observed = Math.min(SATURATION, 1 - known.bestTailMs / measurement);
    const isDraining =
      previousMeasurement > attempt.task.stepRun.step.targetMs &&
      measurement < previousMeasurement * (1 - DRAIN_FRACTION);
    // While its queue drains, the tail does not depend on the load.
    if (isDraining || measurement === previousMeasurement) return;
    const sample = this.#samples.sample(attempt, observed, nowMs);
    if (sample !== undefined) {
      known.regression.add(sample.features, sample.change);
    }
    if (nowMs - known.solvedMs > SOLVE_INTERVAL_MS) {
      known.solvedMs = nowMs;
      known.regression.solve();
    }
    let interference = 0;
    for (const [name, share] of this.#samples.sharesOf(attempt.worker)) {
      interference += this.interferenceOf(name, image) * share;
    }
    const own = Math.max(MIN_LOAD, observed - interference);
    // For a saturated task the result is only a lower bound of the load.
    const isSaturated = observed >= SATURATION;
    const former = this.#loads.get(attempt) ?? known.meanLoad;
    if (isSaturated && own < former) return;
    const next = former + (own - former) * LOAD_SMOOTHING;
    this.#loads.set(attempt, Math.min(MAX_LOAD, next));
    known.meanLoad += (next - known.meanLoad) * MEAN_SMOOTHING;
  }

  #imageOf(image: string): ServingImage {
    let known = this.#images.get(image);
    if (known === undefined) {
      known = {
        regression: new RidgeRegression(DEFAULT_INTERFERENCE, 0),
        meanLoad: DEFAULT_LOAD,
        bestTailMs: Number.POSITIVE_INFINITY,
        solvedMs: Number.NEGATIVE_INFINITY,
      };
      this.#images.set(image, known);
    }
    return known;
  }
}

/** CPU share of its worker that a filler may use at its requested speed. */
function activeShareOf({ task, worker, pacePercent }: Attempt): number {
  const { cpuMilli } = task.stepRun.step.resources;
  return ((cpuMilli / worker.info.capacity.cpuMilli) * pacePercent) / 100;
}

/** CPU shares of a worker that its fillers report to use, by image. */
function measureFillers(worker: WorkerRecord): Map<string, number> {
  const used = new Map<string, number>();
  for (const filler of worker.fillers) {
    const { image } = filler.task.stepRun.step;
    // The first reports of a run contain no measurement yet.
    const share =
      filler.measurement > 0
        ? filler.measurement / worker.info.capacity.cpuMilli
        : activeShareOf(filler);
    used.set(image, (used.get(image) ?? 0) + share);
  }
  return used;
}

/** Lists the filler attempts on a worker that are not being stopped. */
export function listFillers(worker: WorkerRecord): Attempt[] {
  return [...worker.fillers].filter(
    ({ phase }) => phase !== AttemptPhase.Stopping,
  );
}
