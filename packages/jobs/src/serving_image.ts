import { fieldBytes, jsonBytes } from "./json_bytes";
import { type Feature, type Prior, RidgeRegression } from "./ridge_regression";
import type { StepRun } from "./task";

/** Assumed load of a serving task without reports, 0 to 1. */
export const DEFAULT_LOAD = 0.5;
/** Assumed interference with a serving image without samples. */
export const DEFAULT_INTERFERENCE = 0.7;
/** Smoothing factor of the mean load of an image. */
const MEAN_SMOOTHING = 0.02;
/** Standard error of a value that is rounded to whole milliseconds, in ms. */
const ROUNDING_MS = 0.29;
/** Typical unexplained variation of a utilization between two reports. */
const LOAD_ERROR = 0.03;
/** Interval at which the regression is solved, in ms. */
const SOLVE_INTERVAL_MS = 500;
/** Weight of a sample of changes within seconds, while no period is known. */
const CHANGE_WEIGHT = 0.3;
/** Least number of samples of a step before its load is forecast. */
const MIN_STEP_SAMPLES = 8;
/** Coefficients of a step without samples for this time are removed, in ms. */
const STEP_LIFETIME_MS = 30_000;

/** Most filler images of a regression, whose cost grows with their third power. */
const MAX_FILLER_IMAGES = 64;

/** Prefixes of the features of a regression. */
enum FeaturePrefix {
  /** CPU share of fillers of an image. */
  Filler = "filler/",
  /** 1 for the tasks of a step. */
  Mean = "mean/",
  /** Sine and cosine of the load's period for the tasks of a step. */
  Sine = "sine/",
  Cosine = "cosine/",
}

/** Priors of the coefficients of these features. */
const PRIORS: Readonly<Record<FeaturePrefix, Prior>> = {
  [FeaturePrefix.Filler]: { value: DEFAULT_INTERFERENCE, weight: 0.015 },
  [FeaturePrefix.Mean]: { value: DEFAULT_LOAD, weight: 1 },
  [FeaturePrefix.Sine]: { value: 0, weight: 3 },
  [FeaturePrefix.Cosine]: { value: 0, weight: 3 },
};

/** Learnt interference of fillers with a serving image, as stored. */
export interface LearntInterference {
  readonly bestTailMs: number;
  /** Always 0; earlier versions read it. */
  readonly base: number;
  /** Interference by filler image. */
  readonly slopes: Readonly<Record<string, number>>;
}

/** Samples of the load of a step's tasks. */
interface StepLoad {
  /** Identifies the step in the names of its features. */
  readonly key: string;
  count: number;
  /** Monotonic ms of the last sample. */
  lastMs: number;
  /** Coefficients as of the last solution; undefined until they are used. */
  wave: LoadWave | undefined;
}

/** A load `mean + sine * sin(wt) + cosine * cos(wt)`. */
interface LoadWave {
  readonly mean: number;
  readonly sine: number;
  readonly cosine: number;
}

/** A measurement of a serving task, or the change since its recent mean. */
export interface UtilizationSample {
  readonly utilization: number;
  /** CPU shares of the fillers beside it, or their changes, by image. */
  readonly shares: readonly Feature[];
  readonly tailMs: number;
}

/**
 * What is known about the tasks of a serving image. One regression explains
 * their utilization by the fillers' CPU shares and, once the period of the load
 * is known, by the mean and the wave of each step's load.
 */
export class ServingImage {
  /** Mean of the own loads of its tasks. */
  meanLoad = DEFAULT_LOAD;
  /** Lowest tail latency seen, in ms. */
  bestTailMs = Number.POSITIVE_INFINITY;
  readonly #regression = new RidgeRegression(priorOf);
  /** Filler images in the regression; the one seen last comes last. */
  readonly #fillers = new Set<string>();
  /** Steps with coefficients of their own. */
  readonly #steps = new Map<StepRun, StepLoad>();
  /** Results of {@linkcode interferenceOf} since the last solution. */
  readonly #interference = new Map<string, number>();
  #periodMs: number | undefined;
  #solvedMs = Number.NEGATIVE_INFINITY;

  /** Learnt increase of the utilization per unit of a filler image's share. */
  interferenceOf(fillerImage: string): number {
    const known = this.#interference.get(fillerImage);
    if (known !== undefined) return known;
    const name = FeaturePrefix.Filler + fillerImage;
    const interference = Math.max(0, this.#regression.coefficientOf(name));
    this.#interference.set(fillerImage, interference);
    return interference;
  }

  /** Begins to fit load waves of a period, in ms, from new samples. */
  setPeriod(periodMs: number): void {
    if (periodMs === this.#periodMs) return;
    this.#periodMs = periodMs;
    for (const stepRun of [...this.#steps.keys()]) this.#removeStep(stepRun);
  }

  /** Adds the change of a task's utilization and of the shares beside it. */
  addChange({ utilization, shares, tailMs }: UtilizationSample): void {
    const weight = this.#precisionOf(tailMs) * CHANGE_WEIGHT;
    this.#noteFillers(shares.map(({ name }) => name));
    this.#regression.add(shares.map(toFillerFeature), utilization, weight);
  }

  /** Adds a task's utilization and the shares beside it. */
  add(
    stepRun: StepRun,
    { utilization, shares, tailMs }: UtilizationSample,
    nowMs: number,
  ): void {
    const step = this.#stepOf(stepRun);
    step.count += 1;
    step.lastMs = nowMs;
    const features = [
      ...this.#loadFeatures(step.key, nowMs),
      ...shares.map(toFillerFeature),
    ];
    this.#noteFillers(shares.map(({ name }) => name));
    this.#regression.add(features, utilization, this.#precisionOf(tailMs));
  }

  /** Solves the regression if that is due. */
  update(nowMs: number): void {
    if (nowMs - this.#solvedMs <= SOLVE_INTERVAL_MS) return;
    this.#solvedMs = nowMs;
    for (const [stepRun, { lastMs }] of [...this.#steps]) {
      if (nowMs - lastMs > STEP_LIFETIME_MS) this.#removeStep(stepRun);
    }
    this.#solve();
  }

  /** Updates the mean load by the load of one task. */
  recordLoad(load: number): void {
    this.meanLoad += (load - this.meanLoad) * MEAN_SMOOTHING;
  }

  /** Load of a step's tasks at a time; undefined while it cannot be forecast. */
  forecastLoad(stepRun: StepRun, atMs: number): number | undefined {
    const step = this.#steps.get(stepRun);
    if (step === undefined || step.count < MIN_STEP_SAMPLES) return undefined;
    step.wave ??= this.#waveOf(step.key);
    const { mean, sine, cosine } = step.wave;
    const angle = this.#angleAt(atMs);
    return mean + sine * Math.sin(angle) + cosine * Math.cos(angle);
  }

  /**
   * Returns what is learnt, rounded, to be stored for the next leader in at most
   * `maxBytes` of JSON. The slopes that differ least from the default are left out
   * first. Undefined if not even an entry without slopes fits.
   */
  export(maxBytes: number): LearntInterference | undefined {
    const slopes: Record<string, number> = {};
    const learnt = { bestTailMs: this.bestTailMs, base: 0, slopes };
    let bytes = jsonBytes(learnt);
    if (bytes > maxBytes) return undefined;
    for (const [filler, slope] of this.#listSlopes()) {
      bytes += fieldBytes(filler, slope);
      if (bytes > maxBytes) break;
      slopes[filler] = slope;
    }
    return learnt;
  }

  /** Rounded slopes by filler image, the least expected ones first. */
  #listSlopes(): [filler: string, slope: number][] {
    const slopes: [string, number][] = [];
    for (const name of this.#regression.names) {
      if (!name.startsWith(FeaturePrefix.Filler)) continue;
      const filler = name.slice(FeaturePrefix.Filler.length);
      const slope = this.#regression.coefficientOf(name);
      slopes.push([filler, Math.round(slope * 100) / 100]);
    }
    return slopes.sort(([, a], [, b]) => surpriseOf(b) - surpriseOf(a));
  }

  /** Imports what a former leader has learnt, except for values of other types. */
  import({ bestTailMs, slopes }: LearntInterference): void {
    this.bestTailMs = Math.min(this.bestTailMs, bestTailMs);
    const usable = Object.entries(slopes ?? {})
      .filter(([, slope]) => Number.isFinite(slope))
      .slice(0, MAX_FILLER_IMAGES);
    this.#noteFillers(usable.map(([filler]) => filler));
    const seeds = usable.map(([filler, slope]) => [
      FeaturePrefix.Filler + filler,
      slope,
    ]);
    this.#regression.seed(Object.fromEntries(seeds));
    this.#solve();
  }

  /** Forgets the filler images seen longest ago if there are too many. */
  #noteFillers(images: readonly string[]): void {
    for (const image of images) {
      this.#fillers.delete(image);
      this.#fillers.add(image);
    }
    for (const image of this.#fillers) {
      if (this.#fillers.size <= MAX_FILLER_IMAGES) return;
      this.#fillers.delete(image);
      this.#regression.remove(FeaturePrefix.Filler + image);
    }
  }

  #solve(): void {
    this.#regression.solve();
    this.#interference.clear();
    for (const step of this.#steps.values()) step.wave = undefined;
  }

  #waveOf(key: string): LoadWave {
    return {
      mean: this.#regression.coefficientOf(FeaturePrefix.Mean + key),
      sine: this.#regression.coefficientOf(FeaturePrefix.Sine + key),
      cosine: this.#regression.coefficientOf(FeaturePrefix.Cosine + key),
    };
  }

  #angleAt(atMs: number): number {
    return (2 * Math.PI * atMs) / (this.#periodMs ?? 1);
  }

  #stepOf(stepRun: StepRun): StepLoad {
    let step = this.#steps.get(stepRun);
    if (step === undefined) {
      const key = `${stepRun.record.job.id}/${stepRun.number}`;
      const lastMs = Number.NEGATIVE_INFINITY;
      step = { key, count: 0, lastMs, wave: undefined };
      this.#steps.set(stepRun, step);
    }
    return step;
  }

  #removeStep(stepRun: StepRun): void {
    for (const { name } of this.#loadFeatures(this.#stepOf(stepRun).key, 0)) {
      this.#regression.remove(name);
    }
    this.#steps.delete(stepRun);
  }

  #loadFeatures(key: string, atMs: number): Feature[] {
    const angle = this.#angleAt(atMs);
    return [
      { name: FeaturePrefix.Mean + key, value: 1 },
      { name: FeaturePrefix.Sine + key, value: Math.sin(angle) },
      { name: FeaturePrefix.Cosine + key, value: Math.cos(angle) },
    ];
  }

  /**
   * Weight of a sample by its precision. Tails are whole milliseconds, which tells
   * little about the utilization while they are short.
   */
  #precisionOf(tailMs: number): number {
    const roundingError = (ROUNDING_MS * this.bestTailMs) / tailMs ** 2;
    return LOAD_ERROR ** 2 / (LOAD_ERROR ** 2 + roundingError ** 2);
  }
}

/** Difference of a slope from the one that is assumed without samples. */
function surpriseOf(slope: number): number {
  return Math.abs(slope - DEFAULT_INTERFERENCE);
}

function priorOf(name: string): Prior {
  const prefix = name.slice(0, name.indexOf("/") + 1);
  return PRIORS[prefix as FeaturePrefix];
}

function toFillerFeature({ name, value }: Feature): Feature {
  return { name: FeaturePrefix.Filler + name, value };
}
