import { listFillers, type PressureModel } from "./pressure_model";
import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** What is done about a filler. */
export enum Relief {
  /** It may work at full speed again. */
  Release = "release",
  /** It stands still where it is. */
  Pause = "pause",
  /** It is stopped and starts again elsewhere from its checkpoint. */
  Move = "move",
}

/** A decision about one filler. */
export interface ReliefOrder {
  readonly filler: Attempt;
  readonly relief: Relief;
  /** Tail that is to be expected over its target, of the worst off task. */
  readonly ratio: number;
}

/** What relief depends on besides the worker. */
export interface ReliefOptions {
  /** Monotonic ms. */
  readonly nowMs: number;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
}

/** Expected tail over its target from which fillers give way. */
const PRESSED_RATIO = 1;
/** Tail over its target, measured and expected, below which a filler may go on. */
const RELEASE_RATIO = 0.6;
/** Serving tasks that a filler may push over when it goes on. */
const RELEASE_HARM = 0.15;
/** Room below its limit that relief is to leave a serving task. */
const SPARE_ROOM = 0.05;

/** All fillers yield to a task that misses its target for this long, in ms. */
const PATIENCE_MS = 1200;
/** A filler is moved once it stood still for this many restores. */
const PAUSE_FACTOR = 2;
/** A filler stays for this long before it is moved again, in ms. */
const LEAST_STAY_MS = 1000;
/** Up to this cost of a restore a filler is moved at once, in ms. */
const CHEAP_RESTORE_MS = 200;
/** A measured tail shows relief after this time, in ms. */
const SETTLE_MS = 700;
/** Part of its last change by which a tail is taken to go on moving. */
const TREND_PART = 0.6;

/**
 * Says which fillers give way on a worker whose serving tasks miss their
 * target or are about to, those that press most first, and which go on.
 */
export function planRelief(
  model: PressureModel,
  worker: WorkerRecord,
  { nowMs, restoreMs }: ReliefOptions,
): ReliefOrder[] {
  const fillers = listFillers(worker);
  if (fillers.length === 0 || nowMs - worker.relievedMs < SETTLE_MS) return [];
  const serving = [...worker.serving].filter(({ percent }) => percent === 100);
  let worst = 0;
  const orders = new Map<Attempt, ReliefOrder>();
  for (const attempt of serving) {
    const { targetMs } = attempt.task.stepRun.step;
    const ratio = tailAhead(attempt) / targetMs;
    worst = Math.max(worst, ratio, attempt.figure / targetMs);
    if (ratio < PRESSED_RATIO) continue;
    const overMs = nowMs - (attempt.overSinceMs ?? nowMs);
    const yielding =
      overMs > PATIENCE_MS
        ? fillers.filter(({ pacePercent }) => pacePercent > 0)
        : chooseYielding(model, attempt, fillers);
    for (const filler of yielding) {
      const isCheap = restoreMs <= CHEAP_RESTORE_MS && canMove(filler, nowMs);
      const relief = isCheap ? Relief.Move : Relief.Pause;
      orders.set(filler, { filler, relief, ratio });
    }
  }
  if (orders.size > 0) worker.relievedMs = nowMs;
  for (const filler of fillers) {
    const pausedMs = nowMs - (filler.pausedMs ?? nowMs);
    if (pausedMs < PAUSE_FACTOR * restoreMs || !canMove(filler, nowMs))
      continue;
    if (filler.pausedMs === undefined) continue;
    orders.set(filler, { filler, relief: Relief.Move, ratio: worst });
  }
  if (worst > RELEASE_RATIO) return [...orders.values()];
  for (const filler of fillers) {
    if (filler.pacePercent === 100 || orders.has(filler)) continue;
    const { step } = filler.task.stepRun;
    if (model.harmOf(step, worker, nowMs) > RELEASE_HARM) continue;
    orders.set(filler, { filler, relief: Relief.Release, ratio: worst });
    // One at a time: the next report shows what it did.
    break;
  }
  return [...orders.values()];
}

/** Where a tail is heading, in ms: it follows its causes with a lag. */
function tailAhead({ figure, formerFigure }: Attempt): number {
  if (formerFigure <= 0) return figure;
  return figure + (figure - formerFigure) * TREND_PART;
}

/** The fillers that have to yield until a serving task has room again. */
function chooseYielding(
  model: PressureModel,
  serving: Attempt,
  fillers: readonly Attempt[],
): Attempt[] {
  const active = fillers
    .filter(({ pacePercent }) => pacePercent > 0)
    .map((filler) => ({ filler, share: model.shareOf(filler, serving) }))
    .sort((a, b) => b.share - a.share);
  let excess =
    model.utilizationOf(serving) - model.limitOf(serving) + SPARE_ROOM;
  const chosen: Attempt[] = [];
  for (const { filler, share } of active) {
    // The measured tail counts for more than the model: one yields at least.
    if (excess <= 0 && chosen.length > 0) break;
    chosen.push(filler);
    excess -= share;
  }
  return chosen;
}

function canMove(attempt: Attempt, nowMs: number): boolean {
  const { task, phase, confirmedMs } = attempt;
  return (
    task.stepRun.step.isCheckpointing &&
    phase === AttemptPhase.Running &&
    nowMs - (confirmedMs ?? nowMs) > LEAST_STAY_MS
  );
}
