import { type InterferenceModel, listFillers } from "./interference_model";
import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Action on a filler to reduce or end its interference with serving tasks. */
export enum Relief {
  /** The filler resumes at full speed. */
  Release = "release",
  /** The filler is paused on its worker. */
  Pause = "pause",
  /** The filler is stopped and resumes from its checkpoint on another worker. */
  Move = "move",
}

/** A decision about one filler. */
export interface ReliefOrder {
  readonly filler: Attempt;
  readonly relief: Relief;
  /** Ratio of tail latency to its target that caused the action. */
  readonly ratio: number;
}

/** Input of {@linkcode planRelief} besides model and worker. */
export interface ReliefOptions {
  /** Monotonic ms. */
  readonly nowMs: number;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
}

/** Ratio of expected tail to target from which fillers are paused or moved. */
const YIELD_RATIO = 1;
/** Ratio of tail to target, measured and expected, up to which fillers resume. */
const RELEASE_RATIO = 0.6;
/** Highest interference cost of a filler that resumes. */
const MAX_RELEASE_COST = 0.15;
/** Utilization below its limit that relief aims to leave a serving task. */
const UTILIZATION_MARGIN = 0.05;

/** All fillers yield once a task misses its target for this long, in ms. */
const YIELD_ALL_AFTER_MS = 1200;
/** A paused filler is moved after this many restore times. */
const PAUSE_RESTORES = 2;
/** Minimum time that a filler stays on a worker before it is moved, in ms. */
const MIN_STAY_MS = 1000;
/** Up to this restore time a filler is moved instead of paused, in ms. */
const CHEAP_RESTORE_MS = 200;
/** Time until relief shows in the measured tail latency, in ms. */
const RELIEF_LAG_MS = 700;
/** Fraction of its last change by which a tail is predicted to change again. */
const TREND_FACTOR = 0.6;

/**
 * Chooses which fillers to pause or move on a worker whose serving tasks miss
 * their latency targets or are about to, those with the most interference
 * first, and which paused filler to resume.
 */
export function planRelief(
  model: InterferenceModel,
  worker: WorkerRecord,
  { nowMs, restoreMs }: ReliefOptions,
): ReliefOrder[] {
  const fillers = listFillers(worker);
  if (fillers.length === 0 || nowMs - worker.lastReliefMs < RELIEF_LAG_MS)
    return [];
  const serving = [...worker.serving].filter(({ percent }) => percent === 100);
  let worstRatio = 0;
  const orders = new Map<Attempt, ReliefOrder>();
  for (const attempt of serving) {
    const { targetMs } = attempt.task.stepRun.step;
    const ratio = predictTailMs(model, attempt, nowMs) / targetMs;
    worstRatio = Math.max(worstRatio, ratio, attempt.measurement / targetMs);
    if (ratio < YIELD_RATIO) continue;
    const overMs = nowMs - (attempt.overSinceMs ?? nowMs);
    const yielding =
      overMs > YIELD_ALL_AFTER_MS
        ? fillers.filter(({ pacePercent }) => pacePercent > 0)
        : chooseYielding(model, attempt, fillers);
    for (const filler of yielding) {
      const isCheap = restoreMs <= CHEAP_RESTORE_MS && canMove(filler, nowMs);
      const relief = isCheap ? Relief.Move : Relief.Pause;
      orders.set(filler, { filler, relief, ratio });
    }
  }
  if (orders.size > 0) worker.lastReliefMs = nowMs;
  for (const filler of fillers) {
    const pausedMs = nowMs - (filler.pausedMs ?? nowMs);
    if (pausedMs < PAUSE_RESTORES * restoreMs || !canMove(filler, nowMs))
      continue;
    if (filler.pausedMs === undefined) continue;
    orders.set(filler, { filler, relief: Relief.Move, ratio: worstRatio });
  }
  if (worstRatio > RELEASE_RATIO) return [...orders.values()];
  for (const filler of fillers) {
    if (filler.pacePercent === 100 || orders.has(filler)) continue;
    const { step } = filler.task.stepRun;
    if (model.interferenceCostOf(step, worker, nowMs) > MAX_RELEASE_COST)
      continue;
    orders.set(filler, { filler, relief: Relief.Release, ratio: worstRatio });
    // Only one resumes at a time: the next report shows its effect.
    break;
  }
  return [...orders.values()];
}

/** Predicts the next tail latency in ms, as tails lag behind their causes. */
function predictTailMs(
  model: InterferenceModel,
  attempt: Attempt,
  nowMs: number,
): number {
  const { measurement, previousMeasurement } = attempt;
  if (measurement <= 0) return measurement;
  const forecastMs = model.forecastTailMs(attempt, nowMs, RELIEF_LAG_MS);
  if (forecastMs !== undefined) return forecastMs;
  if (previousMeasurement <= 0) return measurement;
  return measurement + (measurement - previousMeasurement) * TREND_FACTOR;
}

/** Chooses the fillers whose removal brings a serving task below its limit. */
function chooseYielding(
  model: InterferenceModel,
  serving: Attempt,
  fillers: readonly Attempt[],
): Attempt[] {
  const active = fillers
    .filter(({ pacePercent }) => pacePercent > 0)
    .map((filler) => ({
      filler,
      utilization: model.addedUtilizationOf(filler, serving),
    }))
    .sort((a, b) => b.utilization - a.utilization);
  let excess =
    model.utilizationOf(serving) -
    model.utilizationLimitOf(serving) +
    UTILIZATION_MARGIN;
  const chosen: Attempt[] = [];
  for (const { filler, utilization } of active) {
    // Whatever the model says, the tail is too high: at least one yields.
    if (excess <= 0 && chosen.length > 0) break;
    chosen.push(filler);
    excess -= utilization;
  }
  return chosen;
}

/** Whether a filler can resume elsewhere and has run here long enough. */
function canMove(attempt: Attempt, nowMs: number): boolean {
  const { task, phase, confirmedMs } = attempt;
  return (
    task.stepRun.step.isCheckpointing &&
    phase === AttemptPhase.Running &&
    nowMs - (confirmedMs ?? nowMs) > MIN_STAY_MS
  );
}
