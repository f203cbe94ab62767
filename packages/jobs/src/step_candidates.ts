import { type CostLimitOptions, costLimitOf } from "./cost_limit";
import type { InterferenceModel } from "./interference_model";
import type { PlanningAid } from "./planning_aid";
import type { StepRun } from "./task";
import { type FitContext, scoreFit } from "./worker_fit";
import type { WorkerRecord } from "./worker_record";

/** Input of {@linkcode StepCandidates} besides step and workers. */
export interface CandidateOptions extends CostLimitOptions {
  readonly model: InterferenceModel;
  readonly aid?: PlanningAid | undefined;
}

/**
 * The workers on which tasks of one step can be placed in a planning round. The
 * tasks of a step are alike, so each worker is scored once, and again only
 * after a task was placed on it.
 */
export class StepCandidates {
  readonly #stepRun: StepRun;
  readonly #workers: readonly WorkerRecord[];
  readonly #options: CandidateOptions;
  #context: FitContext;
  /** Score of each worker; undefined where no task fits. */
  #scores: (number | undefined)[];

  constructor(
    stepRun: StepRun,
    workers: readonly WorkerRecord[],
    options: CandidateOptions,
  ) {
    this.#stepRun = stepRun;
    this.#workers = workers;
    this.#options = options;
    this.#context = this.#createContext();
    this.#scores = this.#scoreAll();
  }

  /** Highest interference cost that a task of the step may add on a worker. */
  get costLimit(): number {
    return this.#context.costLimit;
  }

  /** The best worker that is not excluded; undefined if there is none. */
  choose(excluded?: ReadonlySet<string>): WorkerRecord | undefined {
    let best: WorkerRecord | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (let index = 0; index < this.#workers.length; index += 1) {
      const score = this.#scores[index];
      if (score === undefined || score <= bestScore) continue;
      const worker = this.#workers[index];
      if (worker === undefined || excluded?.has(worker.id)) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  /**
   * The worker with the lowest cost, and the best of those; undefined if there
   * is none. Workers without a cost are excluded.
   */
  chooseCheapest(
    costOf: (worker: WorkerRecord) => number | undefined,
  ): WorkerRecord | undefined {
    let best: { worker: WorkerRecord; cost: number; score: number } | undefined;
    for (const [index, worker] of this.#workers.entries()) {
      const score = this.#scores[index];
      const cost = score === undefined ? undefined : costOf(worker);
      if (score === undefined || cost === undefined) continue;
      const isBetter =
        best === undefined ||
        cost < best.cost ||
        (cost === best.cost && score > best.score);
      if (isBetter) best = { worker, cost, score };
    }
    return best?.worker;
  }

  /** Updates the scores after a task of the step was placed on the worker. */
  onPlaced(worker: WorkerRecord): void {
    const former = this.#context;
    this.#context = this.#createContext();
    const { costLimit, siblingRack } = this.#context;
    const isSame =
      former.costLimit === costLimit && former.siblingRack === siblingRack;
    if (!isSame) {
      this.#scores = this.#scoreAll();
      return;
    }
    const index = this.#workers.indexOf(worker);
    this.#scores[index] = scoreFit(this.#stepRun, worker, this.#context);
  }

  #scoreAll(): (number | undefined)[] {
    return this.#workers.map((worker) =>
      scoreFit(this.#stepRun, worker, this.#context),
    );
  }

  #createContext(): FitContext {
    const { nowMs, model, aid } = this.#options;
    return {
      siblingRack: findSiblingRack(this.#stepRun),
      model,
      nowMs,
      aid,
      costLimit: costLimitOf(this.#stepRun, this.#options),
    };
  }
}

function findSiblingRack(stepRun: StepRun): string {
  if (!stepRun.step.isColocated) return "";
  for (const { attempts } of stepRun.tasks) {
    const [attempt] = attempts;
    if (attempt !== undefined) return attempt.worker.info.rack;
  }
  return "";
}
