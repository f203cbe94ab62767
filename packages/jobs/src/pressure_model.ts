import type { Step } from "./job";
import { RidgeRegression, type Slopes } from "./ridge_regression";
import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Load of a serving task before anything is known, 0 to 1. */
const DEFAULT_LOAD = 0.5;
/** Pressure on a serving image before anything is known of it. */
const DEFAULT_PRESSURE = 0.7;
/** Weight of a new figure in the estimate of a task's load. */
const LOAD_SHARE = 0.4;
/** Bounds of the estimate of a task's own load. */
const LEAST_LOAD = 0.1;
const MOST_LOAD = 0.8;
/** Above this a tail tells only that the task is overloaded. */
const SATURATED = 0.93;
/** Utilization that stands for any that is saturated. */
const OVERLOADED = 1.1;
/** Utilization over the limit at which a task is sure to miss its target. */
const SURE_EXCESS = 0.12;
/** Change of utilization that changes the risk by a factor of e. */
const RISK_SCALE = 0.1;
/** Time between two solutions of a model, in ms. */
const SOLVE_MS = 500;

/** A worker gets no filler while a tail is over its target for this long. */
const BARRED_MS = 1000;
/** Harm that stands for more than any limit but the last resort. */
const BARRED_HARM = 1000;

interface ServingImage {
  /** Utilization by fillers' images. */
  readonly regression: RidgeRegression;
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
  readonly risk: number;
}

/**
 * Learns how much tasks that fill press on tasks that serve, by pairs of
 * images. A serving task's utilization is taken as its own load plus, for each
 * filler beside it, the pair's pressure times the filler's share of the
 * worker; its tail latency grows as 1 / (1 - utilization).
 */
export class PressureModel {
  readonly #images = new Map<string, ServingImage>();
  /** Estimates of attempts' own loads. */
  readonly #loads = new WeakMap<Attempt, number>();

  readonly #states = new WeakMap<
    WorkerRecord,
    { readonly change: number; readonly states: readonly ServingState[] }
  >();

  /** Takes in the figures that a worker has just reported. */
  observe(worker: WorkerRecord, nowMs: number): void {
    if (worker.serving.size === 0 || !worker.isRegistered) return;
    const fillers = listFillers(worker);
    for (const attempt of worker.serving) {
      if (attempt.figure <= 0 || attempt.percent < 100) continue;
      this.#learn(attempt, fillers, nowMs);
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
    return this.#loads.get(attempt) ?? DEFAULT_LOAD;
  }

  /** Utilization above which a serving task misses its target. */
  limitOf({ task }: Attempt): number {
    const { image, targetMs } = task.stepRun.step;
    const best = this.#images.get(image)?.bestTailMs;
    if (best === undefined || best >= targetMs) return SATURATED;
    return Math.min(SATURATED, 1 - best / targetMs);
  }

  /** Risk that a serving task misses its target, 0 to 1. */
  riskAt(attempt: Attempt, utilization: number): number {
    const excess = utilization - this.limitOf(attempt) - SURE_EXCESS;
    return Math.min(1, Math.exp(excess / RISK_SCALE));
  }

  /** Serving tasks of a worker that a filler of the step would push over. */
  harmOf(step: Step, worker: WorkerRecord, nowMs: number): number {
    const share = step.resources.cpuMilli / worker.info.capacity.cpuMilli;
    let harm = 0;
    for (const { attempt, utilization, risk } of this.#statesOf(worker)) {
      const overMs = nowMs - (attempt.overSinceMs ?? nowMs);
      if (overMs > BARRED_MS) return BARRED_HARM;
      const { image } = attempt.task.stepRun.step;
      const after = utilization + this.pressureOf(step.image, image) * share;
      harm += this.riskAt(attempt, after) - risk;
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
      const risk = this.riskAt(attempt, utilization);
      return { attempt, utilization, risk };
    });
    this.#states.set(worker, { change: worker.change, states });
    return states;
  }

  #learn(attempt: Attempt, fillers: readonly Attempt[], nowMs: number): void {
    const { image } = attempt.task.stepRun.step;
    const known = this.#imageOf(image);
    known.bestTailMs = Math.min(known.bestTailMs, attempt.figure);
    const best = known.bestTailMs;
    const observed = 1 - best / attempt.figure;
    const isSaturated = observed > SATURATED;
    known.regression.add(
      fillers.map((filler) => ({
        name: filler.task.stepRun.step.image,
        value: activeShareOf(filler),
      })),
      isSaturated ? OVERLOADED : observed,
    );
    if (nowMs - known.solvedMs > SOLVE_MS) {
      known.solvedMs = nowMs;
      known.regression.solve();
    }
    // While its queue drains, the tail says nothing of the load.
    if (isSaturated) {
      if (fillers.length === 0) this.#loads.set(attempt, MOST_LOAD);
      return;
    }
    const own = observed - this.#sum(attempt, fillers);
    const former = this.#loads.get(attempt) ?? known.regression.base;
    const next = former + (own - former) * LOAD_SHARE;
    this.#loads.set(attempt, Math.min(MOST_LOAD, Math.max(LEAST_LOAD, next)));
  }

  #imageOf(image: string): ServingImage {
    let known = this.#images.get(image);
    if (known === undefined) {
      known = {
        regression: new RidgeRegression(DEFAULT_PRESSURE, DEFAULT_LOAD),
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

/** Attempts on a worker that fill what others leave and are not stopping. */
export function listFillers(worker: WorkerRecord): Attempt[] {
  return [...worker.fillers].filter(
    ({ phase }) => phase !== AttemptPhase.Stopping,
  );
}
