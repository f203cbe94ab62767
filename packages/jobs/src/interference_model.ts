import { type FillerShare, InterferenceSamples } from "./interference_samples";
import type { Step } from "./job";
import { fieldBytes, jsonBytes } from "./json_bytes";
import { PeriodFinder } from "./period_finder";
import {
  DEFAULT_INTERFERENCE,
  DEFAULT_LOAD,
  type LearntInterference,
  ServingImage,
} from "./serving_image";
import { type Attempt, AttemptPhase, type StepRun } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Smoothing factor of a task's load estimate. */
const LOAD_SMOOTHING = 0.4;
/** Bounds of the estimate of a task's own load. */
const MIN_LOAD = 0.1;
const MAX_LOAD = 0.8;
/** Above this utilization, tail latency only shows that a task is overloaded. */
const SATURATION = 0.93;
/** Relative drop of the tail between reports that shows a draining queue. */
const DRAIN_FRACTION = 0.1;
/** Excess utilization at which a task is certain to miss its target. */
const CERTAIN_MISS_EXCESS = 0.05;
/** Change of utilization that changes the risk by a factor of e. */
const RISK_SCALE = 0.05;
/**
 * Cost of each further `RISK_SCALE` beyond a certain miss: the more a task is
 * overloaded, the longer it takes to recover.
 */
const OVERLOAD_COST = 0.5;
/** Times ahead at which the cost of a further filler is evaluated, in ms. */
const HORIZONS_MS: readonly number[] = [400, 1200, 2000];

/** Most serving images; the one measured longest ago is forgotten first. */
const MAX_IMAGES = 1000;

/** A worker gets no filler once a tail exceeds its target for this long, in ms. */
const EXCLUSION_DELAY_MS = 1000;
/** Cost above every limit except the infinite one of idle jobs. */
const EXCLUDED_COST = 1000;

/** Learnt interference, by serving image. */
export type LearntInterferenceByImage = Readonly<
  Record<string, LearntInterference>
>;

/** What the model has learnt, as stored for the next leader. */
export interface LearntModel {
  readonly pressures: LearntInterferenceByImage;
  /** Period of the load waves in ms; undefined if none is known. */
  readonly loadPeriodMs?: number | undefined;
}

/** Cached utilizations and violation costs of a serving task. */
interface ServingState {
  readonly attempt: Attempt;
  readonly image: ServingImage | undefined;
  /** Utilization above which it misses its target. */
  readonly limit: number;
  /** Expected utilization at each of the horizons. */
  readonly utilizations: readonly number[];
  /** Sum of the violation costs at these utilizations. */
  readonly cost: number;
}

/**
 * Learns how much fillers (best-effort tasks) slow down serving tasks on the
 * same worker, for each pair of images. The model of a serving task: its
 * utilization is its own load plus, for each filler on the worker, the
 * interference of the two images times the filler's CPU share of the worker.
 * Its tail latency grows as 1 / (1 - utilization). Once it is known by which
 * period loads swing, own loads are forecast.
 */
export class InterferenceModel {
  /** By image; the one measured last comes last. */
  readonly #images = new Map<string, ServingImage>();
  readonly #samples = new InterferenceSamples();
  /** Estimated own loads of serving tasks. */
  readonly #loads = new WeakMap<Attempt, number>();
  readonly #periodFinder = new PeriodFinder<StepRun>();

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
    return image?.interferenceOf(fillerImage) ?? DEFAULT_INTERFERENCE;
  }

  /** Estimated utilization of a serving task, including interference. */
  utilizationOf(attempt: Attempt): number {
    return (
      this.#ownLoadOf(attempt) +
      this.#interferenceOn(attempt, attempt.worker.fillers)
    );
  }

  /** Estimated utilization of a serving task without interference. */
  #ownLoadOf(attempt: Attempt): number {
    const { image } = attempt.task.stepRun.step;
    const mean = this.#images.get(image)?.meanLoad;
    return this.#loads.get(attempt) ?? mean ?? DEFAULT_LOAD;
  }

  /** Expected utilization of a serving task without interference at a time. */
  #ownLoadAt(attempt: Attempt, atMs: number): number {
    const forecast = this.#forecastLoad(attempt.task.stepRun, atMs);
    if (forecast === undefined) return this.#ownLoadOf(attempt);
    return Math.min(MAX_LOAD, Math.max(MIN_LOAD, forecast));
  }

  /**
   * Expected tail latency of a serving task after `aheadMs` in ms, if its fillers
   * stay as they are; undefined while its load cannot be forecast.
   */
  forecastTailMs(
    attempt: Attempt,
    nowMs: number,
    aheadMs: number,
  ): number | undefined {
    const { stepRun } = attempt.task;
    const best = this.#images.get(stepRun.step.image)?.bestTailMs;
    const before = this.#forecastLoad(stepRun, nowMs);
    const after = this.#forecastLoad(stepRun, nowMs + aheadMs);
    if (best === undefined || before === undefined || after === undefined) {
      return undefined;
    }
    const observed = 1 - best / attempt.measurement;
    if (observed >= SATURATION) return undefined;
    return best / (1 - Math.min(SATURATION, observed + after - before));
  }

  #forecastLoad(stepRun: StepRun, atMs: number): number | undefined {
    return this.#images.get(stepRun.step.image)?.forecastLoad(stepRun, atMs);
  }

  /** Utilization above which a serving task misses its target. */
  utilizationLimitOf({ task }: Attempt): number {
    const { image, targetMs } = task.stepRun.step;
    const best = this.#images.get(image)?.bestTailMs;
    if (best === undefined || best >= targetMs) return SATURATION;
    return Math.min(SATURATION, 1 - best / targetMs);
  }

  /**
   * Interference cost of placing a filler of the step on a worker: the increase
   * of the summed violation costs of its serving tasks. Once it exceeds `maxCost`,
   * it is not computed further.
   */
  interferenceCostOf(
    step: Step,
    worker: WorkerRecord,
    nowMs: number,
    maxCost = Number.POSITIVE_INFINITY,
  ): number {
    const share = step.resources.cpuMilli / worker.cpuCapacityMilli;
    let cost = 0;
    for (const state of this.#statesOf(worker, nowMs)) {
      const { attempt, image, limit, utilizations } = state;
      const overMs = nowMs - (attempt.overSinceMs ?? nowMs);
      if (overMs > EXCLUSION_DELAY_MS) return EXCLUDED_COST;
      const interference =
        image?.interferenceOf(step.image) ?? DEFAULT_INTERFERENCE;
      const added = interference * share;
      let after = 0;
      for (const utilization of utilizations) {
        after += violationCostOf(utilization + added - limit);
      }
      cost += (after - state.cost) / utilizations.length;
      if (cost > maxCost) return cost;
    }
    return cost;
  }

  /** Utilization that one filler currently adds to a serving task. */
  addedUtilizationOf(filler: Attempt, serving: Attempt): number {
    return this.#interferenceOn(serving, [filler]);
  }

  /**
   * Returns what is learnt, to be stored for the next leader in at most `maxBytes`
   * of JSON. The images measured last come first; those that do not fit are left
   * out.
   */
  export(maxBytes: number): LearntModel {
    const pressures: Record<string, LearntInterference> = {};
    const { periodMs: loadPeriodMs } = this.#periodFinder;
    let left = maxBytes - jsonBytes({ pressures, loadPeriodMs });
    for (const [image, known] of [...this.#images].reverse()) {
      const learnt = known.export(left - fieldBytes(image, ""));
      if (learnt === undefined) continue;
      pressures[image] = learnt;
      left -= fieldBytes(image, learnt);
    }
    return { pressures, loadPeriodMs };
  }

  /**
   * Imports what a former leader has learnt. Entries that cannot be used are left
   * out: without them, it is learnt again.
   */
  import({ pressures, loadPeriodMs }: LearntModel): void {
    if (loadPeriodMs !== undefined) this.#periodFinder.import(loadPeriodMs);
    this.#applyPeriod();
    // The images measured last are stored first, and are kept last.
    for (const [image, stored] of Object.entries(pressures).reverse()) {
      const { bestTailMs, slopes } = (stored ?? {}) as LearntInterference;
      if (!(bestTailMs > 0) || typeof slopes !== "object") continue;
      this.#imageOf(image).import({ bestTailMs, base: 0, slopes });
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
  #statesOf(worker: WorkerRecord, nowMs: number): readonly ServingState[] {
    const known = this.#states.get(worker);
    if (known?.changeCount === worker.changeCount) return known.states;
    const states = [...worker.serving].map((attempt) => {
      const interference = this.#interferenceOn(attempt, worker.fillers);
      const limit = this.utilizationLimitOf(attempt);
      const utilizations = HORIZONS_MS.map(
        (aheadMs) => this.#ownLoadAt(attempt, nowMs + aheadMs) + interference,
      );
      let cost = 0;
      for (const utilization of utilizations) {
        cost += violationCostOf(utilization - limit);
      }
      const image = this.#images.get(attempt.task.stepRun.step.image);
      return { attempt, image, limit, utilizations, cost };
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
    // A saturated tail only shows a lower bound of the utilization.
    const isSaturated = observed >= SATURATION;
    if (!isSaturated || this.utilizationOf(attempt) < SATURATION) {
      this.#addSample(attempt, known, { observed, nowMs });
    }
    known.update(nowMs);
    let interference = 0;
    for (const [name, share] of this.#samples.sharesOf(attempt.worker)) {
      interference += this.interferenceOf(name, image) * share;
    }
    const own = Math.max(MIN_LOAD, observed - interference);
    if (!isSaturated) {
      const { stepRun } = attempt.task;
      this.#periodFinder.add(stepRun, observed - interference, nowMs);
      this.#applyPeriod();
    }
    const former = this.#loads.get(attempt) ?? known.meanLoad;
    if (isSaturated && own < former) return;
    const next = former + (own - former) * LOAD_SMOOTHING;
    this.#loads.set(attempt, Math.min(MAX_LOAD, next));
    known.recordLoad(next);
  }

  /** Adds a measurement to what is known about the serving image. */
  #addSample(
    attempt: Attempt,
    known: ServingImage,
    { observed, nowMs }: { observed: number; nowMs: number },
  ): void {
    const { task, worker, measurement: tailMs } = attempt;
    if (this.#periodFinder.periodMs !== undefined) {
      const shares = [...this.#samples.sharesOf(worker)].map(
        ([name, value]) => ({ name, value }),
      );
      const sample = { utilization: observed, shares, tailMs };
      known.add(task.stepRun, sample, nowMs);
      return;
    }
    const sample = this.#samples.sample(attempt, observed, nowMs);
    if (sample === undefined) return;
    const { change: utilization, features: shares } = sample;
    known.addChange({ utilization, shares, tailMs });
  }

  /** Lets the images fit load waves once their period is found or changes. */
  #applyPeriod(): void {
    const { periodMs } = this.#periodFinder;
    if (periodMs === undefined) return;
    for (const image of this.#images.values()) image.setPeriod(periodMs);
  }

  #imageOf(image: string): ServingImage {
    const known = this.#images.get(image);
    if (known !== undefined) {
      this.#images.delete(image);
      this.#images.set(image, known);
      return known;
    }
    const added = new ServingImage();
    this.#images.set(image, added);
    const [oldest] = this.#images.keys();
    if (this.#images.size > MAX_IMAGES && oldest !== undefined) {
      this.#images.delete(oldest);
    }
    this.#applyPeriod();
    return added;
  }
}

/**
 * Violation cost of a serving task whose utilization exceeds its limit by so
 * much: up to 1 the risk that it misses its target, above 1 it grows with the
 * overload.
 */
function violationCostOf(excess: number): number {
  const scaled = (excess - CERTAIN_MISS_EXCESS) / RISK_SCALE;
  return scaled <= 0 ? Math.exp(scaled) : 1 + scaled * OVERLOAD_COST;
}

/** CPU share of its worker that a filler may use at its requested speed. */
function activeShareOf({ task, worker, pacePercent }: Attempt): number {
  const { cpuMilli } = task.stepRun.step.resources;
  return ((cpuMilli / worker.cpuCapacityMilli) * pacePercent) / 100;
}

/** CPU shares of a worker that its fillers use by its last report. */
function measureFillers(worker: WorkerRecord): FillerShare[] {
  return [...worker.fillers].map((filler) => ({
    image: filler.task.stepRun.step.image,
    // The first reports of a run contain no measurement yet.
    share:
      filler.measurement > 0
        ? filler.measurement / worker.cpuCapacityMilli
        : activeShareOf(filler),
    sinceMs: filler.confirmedMs ?? filler.sentMs,
  }));
}

/** Lists the filler attempts on a worker that are not being stopped. */
export function listFillers(worker: WorkerRecord): Attempt[] {
  return [...worker.fillers].filter(
    ({ phase }) => phase !== AttemptPhase.Stopping,
  );
}
