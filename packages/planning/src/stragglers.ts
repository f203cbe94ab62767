import { isWithin } from "@laburnumtrack/core/resources";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import type { PlanningState } from "@laburnumtrack/jobs/start_planner";
import {
  type Attempt,
  AttemptPhase,
  type Task,
} from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { isSuitable, reservedBy } from "./pool_outlook";
import { StopReason, type StopRules } from "./stop_rules";
import { type Timeline, USUAL_STOP_MS } from "./timeline";

/** Options of {@linkcode Stragglers}. */
export interface StragglersOptions {
  readonly board: JobBoard;
  readonly timeline: Timeline;
  readonly rules: StopRules;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
}

/** A planning round in which stragglers are sought. */
export interface StragglerRound extends PlanningState {
  /** Pools in which tasks wait for room. */
  readonly crowdedPools: ReadonlySet<string>;
  /** Most copies to start. */
  readonly limit: number;
}

/** What is done about stragglers. */
export interface StragglerPlan {
  /** Second runs of tasks, recorded on the board, to be started. */
  readonly copies: readonly Attempt[];
  /** Runs to stop, so that their tasks resume on faster workers. */
  readonly moves: readonly Attempt[];
}

/** Interval between two searches for stragglers, in ms. */
const SEARCH_INTERVAL_MS = 200;
/** Least time over which a run was observed before it counts as slow, in ms. */
const MIN_OBSERVED_MS = 300;
/** A run that is this many times slower than usual is a straggler. */
const SLOWNESS = 2.5;
/** Time from the decision to start a run until it works, in ms. */
const START_MS = 100;
/** Least time by which the step ends sooner, in ms. */
const MIN_GAIN_MS = 300;
/** The same as a fraction of the usual duration of a task. */
const MIN_GAIN_FRACTION = 0.2;
/** Most copies at a time as a fraction of all runs, and in any case. */
const MAX_COPIED_FRACTION = 0.03;
const MIN_COPIES = 4;
/** Tasks move away only from a worker that is slower than this. */
const SLOW_WORKER_SPEED = 0.7;
/** Workers slower than this get no copies. */
const MIN_COPY_SPEED = 0.8;
/** Progress is reported in whole percent. */
const PERCENT_STEP = 1;

/** Finds runs far behind comparable ones, and starts or moves their tasks. */
export class Stragglers {
  readonly #options: StragglersOptions;
  #searchedMs = Number.NEGATIVE_INFINITY;

  constructor(options: StragglersOptions) {
    this.#options = options;
  }

  /** Chooses copies and moves; the copies are recorded on the board. */
  plan(round: StragglerRound): StragglerPlan {
    const { nowMs } = round;
    if (nowMs - this.#searchedMs < SEARCH_INTERVAL_MS) return NOTHING;
    this.#searchedMs = nowMs;
    const { stragglers, runs, copies: active } = this.#search(round);
    if (stragglers.length === 0) return NOTHING;
    const most = Math.max(MIN_COPIES, Math.floor(runs * MAX_COPIED_FRACTION));
    const copies: Attempt[] = [];
    const moves: Attempt[] = [];
    for (const attempt of stragglers) {
      const { task } = attempt;
      const worker = this.#findRoom(attempt, round);
      if (worker === undefined) continue;
      if (mayCopy(task)) {
        if (active + copies.length >= most || copies.length >= round.limit) {
          continue;
        }
        const run = task.lastRun + 1;
        copies.push(this.#options.board.onSent(task, run, worker, nowMs));
      } else if (this.#mayMove(attempt, nowMs)) {
        this.#options.rules.onStopped(attempt, nowMs);
        moves.push(attempt);
      }
    }
    return { copies, moves };
  }

  /** Lists runs whose step ends sooner if their task runs elsewhere too. */
  #search(round: StragglerRound): {
    stragglers: Attempt[];
    runs: number;
    copies: number;
  } {
    const stragglers: Attempt[] = [];
    let runs = 0;
    let copies = 0;
    for (const worker of this.#options.board.workers.values()) {
      runs += worker.attempts.size;
      const isCrowded = round.crowdedPools.has(worker.info.pool);
      for (const attempt of worker.attempts) {
        if (attempt.task.attempts.length > 1) copies += 0.5;
        else if (!isCrowded && this.#isStraggler(attempt, round)) {
          stragglers.push(attempt);
        }
      }
    }
    return { stragglers, runs, copies };
  }

  #isStraggler(attempt: Attempt, round: StragglerRound): boolean {
    const { timeline, restoreMs } = this.#options;
    const { nowMs, areRunsKnown } = round;
    const { task, phase, pacePercent, percent } = attempt;
    const { step, record } = task.stepRun;
    const isComparable =
      phase === AttemptPhase.Running &&
      !step.isLongRunning &&
      !step.isGang &&
      !step.isFiller &&
      pacePercent >= 100 &&
      (step.isSpeculative || step.isCheckpointing) &&
      !task.isDone &&
      task.losses.length === 0 &&
      !isFinal(record.phase) &&
      areRunsKnown(record);
    if (!isComparable) return false;
    const usualMs = timeline.durationMs(task.stepRun);
    const msPerPercent = this.#msPerPercent(attempt);
    if (!(usualMs > 0) || msPerPercent === undefined) return false;
    if (msPerPercent * 100 < usualMs * SLOWNESS) return false;
    const endMs = nowMs + (100 - percent) * msPerPercent;
    const canResume = task.checkpoint !== "";
    const againMs = canResume
      ? restoreMs + (usualMs * (100 - percent)) / 100
      : usualMs;
    const otherEndMs = this.#findOtherEndMs(task, nowMs);
    const newEndMs = nowMs + START_MS + USUAL_STOP_MS + againMs;
    const gainMs = endMs - Math.max(newEndMs, otherEndMs);
    return gainMs >= Math.max(MIN_GAIN_MS, usualMs * MIN_GAIN_FRACTION);
  }

  /**
   * Time that a run takes for one percent at least, as observed; undefined if it
   * was not observed for long enough.
   */
  #msPerPercent(attempt: Attempt): number | undefined {
    const { timeline } = this.#options;
    const { lastReportMs } = attempt.worker;
    const observedMs = timeline.observedMs(attempt, lastReportMs);
    if (observedMs < MIN_OBSERVED_MS) return undefined;
    return observedMs / (timeline.gainedPercent(attempt) + PERCENT_STEP);
  }

  /** When a run ends: as observed, or as estimated. */
  #findEndMs(attempt: Attempt, nowMs: number): number {
    const msPerPercent = this.#msPerPercent(attempt);
    return msPerPercent === undefined
      ? this.#options.timeline.expectedEndMs(attempt, nowMs)
      : nowMs + (100 - attempt.percent) * msPerPercent;
  }

  /** When the other tasks of the step are expected to be done. */
  #findOtherEndMs(task: Task, nowMs: number): number {
    const { timeline } = this.#options;
    let latestMs = nowMs;
    for (const other of task.stepRun.tasks) {
      if (other === task || other.isDone) continue;
      const endsMs = other.attempts.map((attempt) =>
        this.#findEndMs(attempt, nowMs),
      );
      const waitingMs = nowMs + timeline.durationMs(task.stepRun);
      const endMs = endsMs.length > 0 ? Math.min(...endsMs) : waitingMs;
      if (Number.isFinite(endMs)) latestMs = Math.max(latestMs, endMs);
    }
    return latestMs;
  }

  /** The fastest, emptiest worker with free room for the task. */
  #findRoom(
    { task }: Attempt,
    { nowMs, isUsable }: StragglerRound,
  ): WorkerRecord | undefined {
    const { board, timeline } = this.#options;
    const { stepRun } = task;
    let best: { worker: WorkerRecord; score: number } | undefined;
    for (const worker of board.workers.values()) {
      if (worker.info.pool !== stepRun.record.queue?.pool) continue;
      // A worker runs a task once only.
      if (task.attempts.some((attempt) => attempt.worker === worker)) continue;
      if (task.failedOn.has(worker.id) || !isUsable(worker)) continue;
      if (!isSuitable(stepRun, worker) || !hasRoom(task, worker)) continue;
      const speed = timeline.speeds.speedOf(worker, nowMs);
      if (speed < MIN_COPY_SPEED) continue;
      const free = 1 - worker.cpuMilli / worker.cpuCapacityMilli;
      const score = speed + free;
      if (best === undefined || score > best.score) best = { worker, score };
    }
    return best?.worker;
  }

  /** Whether the run is slow because of its worker, and keeps its work. */
  #mayMove(attempt: Attempt, nowMs: number): boolean {
    const { timeline, rules } = this.#options;
    return (
      timeline.speeds.speedOf(attempt.worker, nowMs) < SLOW_WORKER_SPEED &&
      rules.mayStop(attempt, StopReason.Straggling, nowMs)
    );
  }
}

const NOTHING: StragglerPlan = { copies: [], moves: [] };

/**
 * Whether another run of the task may start beside its only one. Each active run
 * may fail, which must not exceed the attempts of the task.
 */
export function mayCopy({ stepRun, attempts, failedRuns }: Task): boolean {
  const { step, record } = stepRun;
  const limit = record.queue?.attemptLimit ?? 0;
  return (
    step.isSpeculative &&
    attempts.length === 1 &&
    failedRuns.size + attempts.length + 1 <= limit
  );
}

function hasRoom({ stepRun }: Task, worker: WorkerRecord): boolean {
  const { capacity } = worker.info;
  return isWithin(reservedBy(stepRun.step), {
    cpuMilli: capacity.cpuMilli - worker.cpuMilli,
    memoryMb: capacity.memoryMb - worker.memoryMb,
    accelerators: capacity.accelerators - worker.accelerators,
  });
}
