import { costLimitOf } from "./cost_limit";
import { isOverLossLimit } from "./crash_losses";
import type { InterferenceModel } from "./interference_model";
import type { JobBoard } from "./job_board";
import {
  compareRanks,
  isInterrupted,
  type JobRank,
  rankJob,
} from "./job_order";
import { hasAttempts } from "./job_record";
import { isFinal } from "./job_state";
import { expandDue, isDue, listStepRuns } from "./occurrences";
import { countPasses } from "./passes";
import { PlacementFailures } from "./placement_failures";
import type { PlanningAid } from "./planning_aid";
import { isRoomFree, releaseRoom, reserveRoom } from "./reservations";
import { StepCandidates } from "./step_candidates";
import { chooseForSuspect, needsIsolation } from "./suspect_placement";
import {
  type Attempt,
  isStepDone,
  isStepReady,
  type JobRecord,
  type StepRun,
  type Task,
} from "./task";
import { mayOverloadCold } from "./worker_fit";
import type { WorkerRecord } from "./worker_record";

/** Fraction of a pool's CPU that is reserved when the pool counts as busy. */
const BUSY_FRACTION = 0.6;

/** What may be planned at a moment. */
export interface PlanningState {
  /** Monotonic ms. */
  readonly nowMs: number;
  /** Unix ms. */
  readonly wallMs: number;
  /** Whether new tasks may be placed on the worker. */
  readonly isUsable: (worker: WorkerRecord) => boolean;
  /** Whether the board knows all runs of the job. */
  readonly areRunsKnown: (record: JobRecord) => boolean;
  /**
   * Whether the board knows all runs of the task, also where it doesn't know
   * those of its job.
   */
  readonly areTaskRunsKnown?: (task: Task) => boolean;
}

/** Input of a planning round besides the board. */
export interface PlanOptions extends PlanningState {
  /** Maximum number of starts in this round. */
  readonly limit: number;
  readonly model: InterferenceModel;
  /** Only jobs of queues with at most this priority are planned; all by default. */
  readonly priorityLimit?: number | undefined;
  /** Plans beyond what is free now; undefined: only free room counts. */
  readonly aid?: PlanningAid | undefined;
}

/**
 * Chooses which tasks start now and on which workers, most urgent job first.
 * Each start is recorded on the board immediately, so that later choices see
 * the resources as taken.
 */
export function planStarts(board: JobBoard, options: PlanOptions): Attempt[] {
  const starts: Attempt[] = [];
  const unplaced = new Set<StepRun>();
  planAll(board, { starts, unplaced, options });
  countPasses(unplaced, starts);
  return starts;
}

/** Outcome of a planning round, as far as it has come. */
interface Round {
  readonly starts: Attempt[];
  /** Steps of which a task found no room. */
  readonly unplaced: Set<StepRun>;
  readonly options: PlanOptions;
}

function planAll(board: JobBoard, round: Round): void {
  const { starts, options } = round;
  const pools = groupUsableByPool(board, options);
  const failures = new PlacementFailures();
  // Failures of other steps say nothing of those that may overload cold workers.
  const hasColdLimits = [...board.workers.values()].some(({ coldTaskLimit }) =>
    Number.isFinite(coldTaskLimit),
  );
  const relaxedFailures = hasColdLimits ? new PlacementFailures() : failures;
  for (const record of rankJobs(board, options)) {
    expandDue(record, options.wallMs);
    const areRunsKnown = options.areRunsKnown(record);
    if (!areRunsKnown && !hasKnownTask(record, options)) continue;
    const pool = pools.get(record.queue?.pool ?? "");
    if (pool === undefined) continue;
    for (const stepRun of listReadySteps(record, options.wallMs)) {
      if (starts.length >= options.limit) return;
      const placementFailures = mayOverloadCold(stepRun, options.nowMs)
        ? relaxedFailures
        : failures;
      planStep(board, {
        ...round,
        stepRun,
        pool,
        placementFailures,
        areRunsKnown,
      });
    }
  }
}

/** Whether the runs of a task are known in a job whose runs are not. */
function hasKnownTask(
  { occurrences }: JobRecord,
  { areTaskRunsKnown = () => false }: PlanningState,
): boolean {
  return occurrences.some((steps) =>
    steps.some(
      ({ step, tasks }) => step.isLongRunning && tasks.some(areTaskRunsKnown),
    ),
  );
}

/** Lists the unfinished steps of a job that may start now. */
export function listReadySteps(record: JobRecord, wallMs: number): StepRun[] {
  const ready: StepRun[] = [];
  for (const stepRun of listStepRuns(record)) {
    // An occurrence of which runs were reported may be expanded before its time.
    if (!isDue(record.job, stepRun.occurrence, wallMs)) continue;
    if (!isStepDone(stepRun) && isStepReady(stepRun)) ready.push(stepRun);
  }
  return ready;
}

/** Whether a task can be started now. */
export function isWaiting(task: Task, nowMs: number): boolean {
  return (
    !task.isDone &&
    task.attempts.length === 0 &&
    task.notBeforeMs <= nowMs &&
    !isOverLossLimit(task)
  );
}

/** Workers of a pool on which tasks may be placed. */
interface UsablePool {
  readonly workers: readonly WorkerRecord[];
  /** Whether most of their CPU is reserved. */
  readonly isBusy: boolean;
}

/** A step to be planned, with the state of the planning round. */
interface StepPlan extends Round {
  readonly stepRun: StepRun;
  readonly pool: UsablePool;
  readonly placementFailures: PlacementFailures;
  /** Whether the board knows all runs of the job. */
  readonly areRunsKnown: boolean;
}

function planStep(board: JobBoard, plan: StepPlan): void {
  const { stepRun, areRunsKnown, options } = plan;
  const { areTaskRunsKnown = () => false } = options;
  const waiting = stepRun.tasks.filter(
    (task) =>
      isWaiting(task, options.nowMs) &&
      (areRunsKnown || areTaskRunsKnown(task)),
  );
  if (waiting.length === 0) return;
  if (hasAttempts(stepRun.record)) stepRun.idleSinceMs = undefined;
  else stepRun.idleSinceMs ??= options.nowMs;
  if (stepRun.step.isGang) {
    planGang(board, plan, waiting);
    return;
  }
  const poolName = stepRun.record.queue?.pool ?? "";
  const hasOwnRoom = waiting.some(isRoomFree);
  for (const task of waiting) {
    if (!options.aid?.isHeld(task)) releaseRoom(task);
  }
  const candidates = createCandidates(plan, hasOwnRoom);
  if (candidates === undefined) {
    reserveForInterrupted(plan, waiting);
    reportUnplaced(plan, waiting);
    return;
  }
  for (const task of waiting) {
    if (plan.starts.length >= options.limit) return;
    const worker = chooseForTask(task, candidates, plan.pool, options.nowMs);
    // Others of the step can be placed although one that must be alone, or wait
    // for a machine to stay up, cannot.
    if (worker === undefined && isHeldBack(task, candidates)) continue;
    if (worker === undefined) {
      // `perWorkerLimit` may be the cause, which does not apply to other steps.
      if (stepRun.step.perWorkerLimit === 0) {
        const { costLimit } = candidates;
        plan.placementFailures.add(poolName, stepRun.step, costLimit);
      }
      reserveForInterrupted(plan, waiting);
      reportUnplaced(plan, waiting);
      return;
    }
    // Room that is held for it elsewhere is not needed any more.
    releaseRoom(task);
    const run = task.lastRun + 1;
    plan.starts.push(board.onSent(task, run, worker, options.nowMs));
    stepRun.idleSinceMs = undefined;
    candidates.onPlaced(worker);
  }
}

/** Notes which tasks of a step found no room, and tells the planning aid. */
function reportUnplaced(
  { stepRun, pool, unplaced, options }: StepPlan,
  waiting: readonly Task[],
): void {
  unplaced.add(stepRun);
  const { aid } = options;
  if (aid === undefined) return;
  const tasks = waiting.filter(
    (task) => task.attempts.length === 0 && !aid.isHeld(task),
  );
  if (tasks.length === 0) return;
  aid.onUnplaced({ stepRun, tasks, workers: pool.workers });
}

/** Reserves room for long-running tasks that were at work before. */
function reserveForInterrupted(
  { stepRun, pool }: StepPlan,
  waiting: readonly Task[],
): void {
  if (stepRun.step.isFiller) return;
  for (const task of waiting) {
    if (isInterrupted(task)) reserveRoom(task, pool.workers, undefined);
  }
}

/**
 * Scores the workers; undefined when it is known that the step does not fit.
 * Room that was reserved for the step itself was not open to other steps.
 */
function createCandidates(
  { stepRun, pool, placementFailures, options }: StepPlan,
  hasOwnRoom: boolean,
): StepCandidates | undefined {
  const limited = { ...options, isPoolBusy: pool.isBusy };
  const poolName = stepRun.record.queue?.pool ?? "";
  const costLimit = costLimitOf(stepRun, limited);
  const isKnownFailure = placementFailures.has(
    poolName,
    stepRun.step,
    costLimit,
  );
  const canBackfill = options.aid?.canBackfill(stepRun) ?? false;
  if (isKnownFailure && !hasOwnRoom && !canBackfill) return undefined;
  return new StepCandidates(stepRun, pool.workers, limited);
}

/** Whether a task does not start although others of its step may. */
function isHeldBack(task: Task, candidates: StepCandidates): boolean {
  return (
    needsIsolation(task) ||
    (task.losses.length > 0 && candidates.choose() !== undefined)
  );
}

/** Avoids workers on which the task failed unless no other worker fits. */
function chooseForTask(
  task: Task,
  candidates: StepCandidates,
  { workers }: UsablePool,
  nowMs: number,
): WorkerRecord | undefined {
  const { failedOn, losses } = task;
  if (losses.length > 0) {
    return chooseForSuspect(task, candidates, workers, nowMs);
  }
  return candidates.choose(failedOn) ?? candidates.choose();
}

/** Starts all tasks of a gang in one round, or none. */
function planGang(
  board: JobBoard,
  plan: StepPlan,
  waiting: readonly Task[],
): void {
  const { stepRun, pool, starts, options } = plan;
  for (const task of waiting) releaseRoom(task);
  const open = stepRun.tasks.filter((task) => !task.isDone);
  if (waiting.length < open.length) return;
  const before = open.map(({ lastRun, checkpoint }) => ({
    lastRun,
    checkpoint,
  }));
  const run = 1 + Math.max(...before.map(({ lastRun }) => lastRun));
  const checkpoint = open.find((task) => task.checkpoint !== "")?.checkpoint;
  const planned: Attempt[] = [];
  const candidates = new StepCandidates(stepRun, pool.workers, {
    ...options,
    isPoolBusy: pool.isBusy,
  });
  for (const task of open) {
    const worker =
      task.losses.length > 0
        ? chooseForSuspect(task, candidates, pool.workers, options.nowMs)
        : candidates.choose();
    if (worker === undefined) {
      for (const attempt of planned) {
        board.onRefused(attempt, Number.NEGATIVE_INFINITY);
      }
      // The next leader counts runs from a fixed number per epoch. If rounds
      // without a start raised the number, it would order older runs than this
      // leader, which workers refuse.
      for (const [index, member] of open.entries()) {
        Object.assign(member, before[index]);
      }
      reportUnplaced(plan, waiting);
      return;
    }
    task.checkpoint = checkpoint ?? "";
    planned.push(board.onSent(task, run, worker, options.nowMs));
    candidates.onPlaced(worker);
  }
  starts.push(...planned);
}

function groupUsableByPool(
  board: JobBoard,
  { isUsable }: PlanOptions,
): Map<string, UsablePool> {
  const groups = new Map<string, WorkerRecord[]>();
  for (const worker of board.workers.values()) {
    if (!isUsable(worker)) continue;
    const group = groups.get(worker.info.pool);
    if (group === undefined) groups.set(worker.info.pool, [worker]);
    else group.push(worker);
  }
  const pools = new Map<string, UsablePool>();
  for (const [name, workers] of groups) {
    pools.set(name, { workers, isBusy: isBusy(workers) });
  }
  return pools;
}

function isBusy(workers: readonly WorkerRecord[]): boolean {
  let reservedMilli = 0;
  let capacityMilli = 0;
  for (const { cpuMilli, info } of workers) {
    reservedMilli += cpuMilli;
    capacityMilli += info.capacity.cpuMilli;
  }
  return reservedMilli > capacityMilli * BUSY_FRACTION;
}

/** The jobs that are not over, most urgent first. */
export function rankJobs(
  board: JobBoard,
  {
    wallMs,
    aid,
    priorityLimit = Number.POSITIVE_INFINITY,
  }: Pick<PlanOptions, "wallMs" | "aid" | "priorityLimit">,
): JobRecord[] {
  const ranked: { record: JobRecord; rank: JobRank }[] = [];
  for (const record of board.jobs.values()) {
    if (isFinal(record.phase)) continue;
    const priority = record.queue?.priority ?? Number.POSITIVE_INFINITY;
    if (priority > priorityLimit) continue;
    ranked.push({
      record,
      rank: rankJob(record, wallMs, aid?.isResuming(record)),
    });
  }
  ranked.sort((a, b) => compareRanks(a.rank, b.rank));
  return ranked.map(({ record }) => record);
}
