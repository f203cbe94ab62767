import type { Step } from "./job";
import { RidgeRegression } from "./ridge_regression";
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

  /** Takes in the figures that a worker has just reported. */
  observe(worker: WorkerRecord, nowMs: number): void {
    if (worker.serving === 0) return;
    const fillers = listFillers(worker);
    for (const attempt of listServing(worker)) {
      if (attempt.figure <= 0 || attempt.percent < 100) continue;
      this.#learn(attempt, fillers, nowMs);
    }
  }

  /** Learnt pressure of a filler's image on a serving image. */
  pressureOf(fillerImage: string, servingImage: string): number {
    const image = this.#images.get(servingImage);
    if (image === undefined) return DEFAULT_PRESSURE;
    return Math.max(0, image.regression.slopeOf(fillerImage));
  }

  /** Estimated utilization of a serving task, with what fills beside it. */
  utilizationOf(attempt: Attempt): number {
    return (
      this.loadOf(attempt) + this.#sum(attempt, listFillers(attempt.worker))
    );
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
    for (const attempt of listServing(worker)) {
      const overMs = nowMs - (attempt.overSinceMs ?? nowMs);
      if (overMs > BARRED_MS) return BARRED_HARM;
      const { image } = attempt.task.stepRun.step;
      const before = this.utilizationOf(attempt);
      const after = before + this.pressureOf(step.image, image) * share;
      harm += this.riskAt(attempt, after) - this.riskAt(attempt, before);
    }
    return harm;
  }

  /** What one filler adds to the utilization of a serving task now. */
  shareOf(filler: Attempt, serving: Attempt): number {
    return this.#sum(serving, [filler]);
  }

  /** Learnt pressures by serving image and filler's image, for operators. */
  dump(fillerImages: Iterable<string>): object {
    const names = [...fillerImages];
    return Object.fromEntries(
      [...this.#images].map(([image, { regression }]) => [
        image,
        Object.fromEntries(
          names.map((name) => [name, roundCents(regression.slopeOf(name))]),
        ),
      ]),
    );
  }

  #sum(serving: Attempt, fillers: readonly Attempt[]): number {
    const { image } = serving.task.stepRun.step;
    let sum = 0;
    for (const filler of fillers) {
      const fillerImage = filler.task.stepRun.step.image;
      sum += this.pressureOf(fillerImage, image) * activeShareOf(filler);
    }
    return sum;
  }

  #learn(attempt: Attempt, fillers: readonly Attempt[], nowMs: number): void {
    const known = this.#imageOf(attempt);
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

  #imageOf({ task }: Attempt): ServingImage {
    const { image } = task.stepRun.step;
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

function roundCents(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Attempts on a worker that serve and have a target. */
export function listServing(worker: WorkerRecord): Attempt[] {
  return [...worker.attempts].filter(
    ({ task }) => task.stepRun.step.targetMs > 0,
  );
}

/** Attempts on a worker that fill what others leave and are not stopping. */
export function listFillers(worker: WorkerRecord): Attempt[] {
  return [...worker.attempts].filter(
    ({ task, phase }) =>
      task.stepRun.step.isFiller && phase !== AttemptPhase.Stopping,
  );
}
