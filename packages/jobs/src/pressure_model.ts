import type { Step } from "./job";
import { PressureSamples } from "./pressure_samples";
import { RidgeRegression, type Slopes } from "./ridge_regression";
import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Load of a serving task before anything is known, 0 to 1. */
const DEFAULT_LOAD = 0.5;
/** Pressure on a serving image before anything is known of it. */
const DEFAULT_PRESSURE = 0.7;
/** Weight of a new figure in the estimate of a task's load. */
const LOAD_SHARE = 0.4;
/** Weight of a task's load in the mean of its image. */
const MEAN_SHARE = 0.02;
/** Bounds of the estimate of a task's own load. */
const LEAST_LOAD = 0.1;
const MOST_LOAD = 0.8;
/** Above this a tail tells only that the task is overloaded. */
const SATURATED = 0.93;
/** Part of a tail that a task loses between reports while its queue drains. */
const DRAINED_PART = 0.1;
/** Utilization over the limit at which a task is sure to miss its target. */
const SURE_EXCESS = 0.12;
/** Change of utilization that changes the risk by a factor of e. */
const RISK_SCALE = 0.1;
/** Harm for each such change beyond a sure miss: the recovery takes longer. */
const OVERLOAD_SLOPE = 0.5;
/** Time between two solutions of a model, in ms. */
const SOLVE_MS = 500;

/** A worker gets no filler while a tail is over its target for this long. */
const BARRED_MS = 1000;
/** Harm that stands for more than any limit but the last resort. */
const BARRED_HARM = 1000;

interface ServingImage {
  /** Change of utilization by changes of fillers' shares. */
  readonly regression: RidgeRegression;
  /** Mean of the tasks' own loads. */
  meanLoad: number;
  /** Least tail latency seen, in ms. */
  bestTailMs: number;
  solvedMs: number;
}

/** What was learnt of a serving image. */
export interface LearntPressure extends Slopes {
  readonly bestTailMs: number;
}

/** What was learnt, by serving image. */
export type LearntPressures = Readonly<Record<string, LearntPressure>>;

interface ServingState {
  readonly attempt: Attempt;
  readonly utilization: number;
  readonly harm: number;
}

/**
 * Learns how much tasks that fill press on tasks that serve, by pairs of
 * images. A serving task's utilization is taken as its own load plus, for each
 * filler beside it, the pair's pressure times the filler's share of the
 * worker; its tail latency grows as 1 / (1 - utilization).
 */
export class PressureModel {
  readonly #images = new Map<string, ServingImage>();
  readonly #samples = new PressureSamples();
  /** Estimates of attempts' own loads. */
  readonly #loads = new WeakMap<Attempt, number>();

  readonly #states = new WeakMap<
    WorkerRecord,
    { readonly change: number; readonly states: readonly ServingState[] }
  >();

  /** Takes in the figures that a worker has just reported. */
  observe(worker: WorkerRecord, nowMs: number): void {
    if (worker.serving.size === 0 || !worker.isRegistered) return;
    this.#samples.observeFillers(worker, measureFillers(worker), nowMs);
    for (const attempt of worker.serving) {
      if (attempt.figure <= 0 || attempt.percent < 100) continue;
      this.#learn(attempt, nowMs);
    }
    worker.touch();
  }

  /** Learnt pressure of a filler's image on a serving image. */
  pressureOf(fillerImage: string, servingImage: string): number {
    const image = this.#images.get(servingImage);
    if (image === undefined) return DEFAULT_PRESSURE;
    return Math.max(0, image.regression.slopeOf(fillerImage));
  }

  /** Estimated utilization of a serving task, with what fills beside it. */
  utilizationOf(attempt: Attempt): number {
    return this.loadOf(attempt) + this.#sum(attempt, attempt.worker.fillers);
  }

  /** Estimated own load of a serving task. */
  loadOf(attempt: Attempt): number {
    const { image } = attempt.task.stepRun.step;
    const mean = this.#images.get(image)?.meanLoad;
    return this.#loads.get(attempt) ?? mean ?? DEFAULT_LOAD;
  }

  /** Utilization above which a serving task misses its target. */
  limitOf({ task }: Attempt): number {
    const { image, targetMs } = task.stepRun.step;
    const best = this.#images.get(image)?.bestTailMs;
    if (best === undefined || best >= targetMs) return SATURATED;
    return Math.min(SATURATED, 1 - best / targetMs);
  }

  /**
   * Harm to a serving task: up to 1 the risk that it misses its target, and
   * more the further it is overloaded.
   */
  harmAt(attempt: Attempt, utilization: number): number {
    const excess = utilization - this.limitOf(attempt) - SURE_EXCESS;
    const scaled = excess / RISK_SCALE;
    return scaled <= 0 ? Math.exp(scaled) : 1 + scaled * OVERLOAD_SLOPE;
  }

  /** Harm that a filler of the step would add on a worker. */
  harmOf(step: Step, worker: WorkerRecord, nowMs: number): number {
    const share = step.resources.cpuMilli / worker.info.capacity.cpuMilli;
    let harm = 0;
    for (const state of this.#statesOf(worker)) {
      const { attempt, utilization } = state;
      const overMs = nowMs - (attempt.overSinceMs ?? nowMs);
      if (overMs > BARRED_MS) return BARRED_HARM;
      const { image } = attempt.task.stepRun.step;
      const after = utilization + this.pressureOf(step.image, image) * share;
      harm += this.harmAt(attempt, after) - state.harm;
    }
    return harm;
  }

  /** What one filler adds to the utilization of a serving task now. */
  shareOf(filler: Attempt, serving: Attempt): number {
    return this.#sum(serving, [filler]);
  }

  /** What was learnt, by serving image, for the next leader. */
  export(): LearntPressures {
    const learnt: Record<string, LearntPressure> = {};
    for (const [image, { regression, bestTailMs }] of this.#images) {
      learnt[image] = { bestTailMs, ...regression.slopes };
    }
    return learnt;
  }

  /** Takes over what a former leader has learnt. */
  import(learnt: LearntPressures): void {
    for (const [image, { bestTailMs, ...slopes }] of Object.entries(learnt)) {
      const known = this.#imageOf(image);
      known.bestTailMs = Math.min(known.bestTailMs, bestTailMs);
      known.regression.seed(slopes);
    }
  }

  #sum(serving: Attempt, fillers: Iterable<Attempt>): number {
    const { image } = serving.task.stepRun.step;
    let sum = 0;
    for (const filler of fillers) {
      if (filler.phase === AttemptPhase.Stopping) continue;
      const fillerImage = filler.task.stepRun.step.image;
      sum += this.pressureOf(fillerImage, image) * activeShareOf(filler);
    }
    return sum;
  }

  /** The serving tasks of a worker, worked out again after each change. */
  #statesOf(worker: WorkerRecord): readonly ServingState[] {
    const known = this.#states.get(worker);
    if (known?.change === worker.change) return known.states;
    const states = [...worker.serving].map((attempt) => {
      const utilization = this.utilizationOf(attempt);
      const harm = this.harmAt(attempt, utilization);
      return { attempt, utilization, harm };
    });
    this.#states.set(worker, { change: worker.change, states });
    return states;
  }

  #learn(attempt: Attempt, nowMs: number): void {
    const { image } = attempt.task.stepRun.step;
    const known = this.#imageOf(image);
    const { figure, formerFigure } = attempt;
    known.bestTailMs = Math.min(known.bestTailMs, figure);
    const observed = Math.min(SATURATED, 1 - known.bestTailMs / figure);
    const isDraining =
      formerFigure > attempt.task.stepRun.step.targetMs &&
      figure < formerFigure * (1 - DRAINED_PART);
    // While its queue drains, the tail says nothing of the load.
    if (isDraining || figure === formerFigure) return;
    const sample = this.#samples.sample(attempt, observed, nowMs);
    if (sample !== undefined) {
      known.regression.add(sample.features, sample.change);
    }
    if (nowMs - known.solvedMs > SOLVE_MS) {
      known.solvedMs = nowMs;
      known.regression.solve();
    }
    let pressed = 0;
    for (const [name, share] of this.#samples.sharesOf(attempt.worker)) {
      pressed += this.pressureOf(name, image) * share;
    }
    const own = Math.max(LEAST_LOAD, observed - pressed);
    // Of a saturated task it is only known that it has at least that load.
    const isSaturated = observed >= SATURATED;
    const former = this.#loads.get(attempt) ?? known.meanLoad;
    if (isSaturated && own < former) return;
    const next = former + (own - former) * LOAD_SHARE;
    this.#loads.set(attempt, Math.min(MOST_LOAD, next));
    known.meanLoad += (next - known.meanLoad) * MEAN_SHARE;
  }

  #imageOf(image: string): ServingImage {
    let known = this.#images.get(image);
    if (known === undefined) {
      known = {
        regression: new RidgeRegression(DEFAULT_PRESSURE, 0),
        meanLoad: DEFAULT_LOAD,
        bestTailMs: Number.POSITIVE_INFINITY,
        solvedMs: Number.NEGATIVE_INFINITY,
      };
      this.#images.set(image, known);
    }
    return known;
  }
}

/** Share of its worker that a filler uses at its pace. */
function activeShareOf({ task, worker, pacePercent }: Attempt): number {
  const { cpuMilli } = task.stepRun.step.resources;
  return ((cpuMilli / worker.info.capacity.cpuMilli) * pacePercent) / 100;
}

/** Share of a worker that its fillers use, by image, as they report it. */
function measureFillers(worker: WorkerRecord): Map<string, number> {
  const used = new Map<string, number>();
  for (const filler of worker.fillers) {
    const { image } = filler.task.stepRun.step;
    // The first reports of a run say nothing yet.
    const share =
      filler.figure > 0
        ? filler.figure / worker.info.capacity.cpuMilli
        : activeShareOf(filler);
    used.set(image, (used.get(image) ?? 0) + share);
  }
  return used;
}

/** Attempts on a worker that fill what others leave and are not stopping. */
export function listFillers(worker: WorkerRecord): Attempt[] {
  return [...worker.fillers].filter(
    ({ phase }) => phase !== AttemptPhase.Stopping,
  );
}
