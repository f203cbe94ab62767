import { LossEvidence } from "./crash_losses";
import { IndexRanges, readRanges } from "./index_ranges";
import { countOccurrences, type Job } from "./job";
import {
  isFinal,
  JobPhase,
  type JobState,
  type StepProgress,
  type StoredLoss,
  type StoredPlacement,
} from "./job_state";
import { findOccurrence, listStepRuns } from "./occurrences";
import type { QueueSettings } from "./queue_config";
import { isStepDone, type JobRecord, type StepRun, type Task } from "./task";

/** What {@linkcode createJobRecord} needs besides the job. */
export interface JobRecordOptions {
  /** Revision of the row that the job was read from. */
  readonly revision: number;
  readonly queue: QueueSettings | undefined;
  /** Stored progress; undefined if there is none. */
  readonly state: JobState | undefined;
  /** Run numbers start above this. */
  readonly runFloor: number;
}

/**
 * Consecutive tasks that are done from which a pair is stored. Earlier releases
 * read indices only, and one of them may lead while entries are replaced.
 */
const MIN_PAIR_LENGTH = 100;

/** Creates the record of a job from its stored rows. */
export function createJobRecord(
  job: Job,
  options: JobRecordOptions,
): JobRecord {
  const { revision, queue, state, runFloor } = options;
  const occurrences = Math.ceil(countOccurrences(job));
  const doneOccurrences = readRanges(state?.doneOccurrences, occurrences);
  const record: JobRecord = {
    job,
    revision,
    queue,
    phase: state?.phase ?? JobPhase.Queued,
    sinceMs: state?.sinceMs ?? job.submittedMs,
    storedParts: state?.parts ?? 0,
    occurrences: [],
    doneOccurrences,
    nextOccurrence: 0,
    // Which tasks of a job ran under former leaders is not stored.
    newTasks: { runFloor, wasAtWork: state?.phase === JobPhase.Running },
    openSteps: (occurrences - doneOccurrences.size) * job.steps.length,
    passes: 0,
    stoppedRuns: 0,
  };
  for (const progress of state?.steps ?? []) applyProgress(record, progress);
  for (const stepRun of listStepRuns(record)) {
    const isOver = doneOccurrences.has(stepRun.occurrence);
    if (!isOver && isStepDone(stepRun)) record.openSteps -= 1;
  }
  if (!doneOccurrences.has(0)) findOccurrence(record, 0);
  return record;
}

/** Returns the progress of a job as it is to be stored. */
export function stateOf(record: JobRecord): JobState {
  const { phase, sinceMs, job, doneOccurrences } = record;
  const state: JobState = { phase, queue: job.queue, sinceMs, steps: [] };
  // The progress of a finished job is not needed any more.
  if (isFinal(phase)) return state;
  const steps: StepProgress[] = [];
  for (const stepRun of listStepRuns(record)) {
    if (doneOccurrences.has(stepRun.occurrence)) continue;
    const progress = progressOf(stepRun);
    if (progress !== undefined) steps.push(progress);
  }
  const done = doneOccurrences.list();
  const optional = done.length > 0 ? { doneOccurrences: done } : {};
  return { ...state, steps, ...optional };
}

/** Progress of a step; undefined if there is none. */
function progressOf(stepRun: StepRun): StepProgress | undefined {
  const { occurrence, number: step } = stepRun;
  const done = new IndexRanges();
  const failures: [number, number[]][] = [];
  const losses: StoredLoss[] = [];
  const placements: StoredPlacement[] = [];
  if (isStepDone(stepRun)) done.add(0, stepRun.step.count - 1);
  else if (!stepRun.hasTasks) return undefined;
  else {
    for (const task of stepRun.tasks) {
      for (const loss of storedLossesOf(task)) losses.push(loss);
      if (task.isDone) done.add(task.index);
      else if (task.hasFailed) {
        failures.push([task.index, [...task.failedRuns]]);
      }
    }
    placements.push(...storedPlacementsOf(stepRun));
  }
  const { length } = [...failures, ...losses, ...placements];
  if (done.size + length === 0) return undefined;
  const optional = {
    ...(losses.length > 0 ? { losses } : {}),
    ...(placements.length > 0 ? { placements } : {}),
  };
  const list = done.list(MIN_PAIR_LENGTH);
  return { occurrence, step, done: list, failures, ...optional };
}

/** Finds a task by its indices; undefined if the job has no such task. */
export function findTask(
  record: JobRecord,
  place: { occurrence: number; step: number; index: number },
): Task | undefined {
  const stepRun = findOccurrence(record, place.occurrence)?.[place.step];
  if (stepRun === undefined || !(place.index < stepRun.step.count)) {
    return undefined;
  }
  return stepRun.tasks[place.index];
}

/** Marks stored completed tasks as done and restores their failed runs. */
function applyProgress(record: JobRecord, progress: StepProgress): void {
  const steps = findOccurrence(record, progress.occurrence);
  const stepRun = steps?.[progress.step];
  if (stepRun === undefined) return;
  const { count } = stepRun.step;
  const done = readRanges(progress.done, count);
  if (done.size === count && !stepRun.hasTasks) stepRun.doneCount = count;
  else if (done.size > 0) {
    for (const task of stepRun.tasks) {
      if (task.isDone || !done.has(task.index)) continue;
      task.isDone = true;
      stepRun.doneCount += 1;
    }
  }
  for (const [index, runs] of progress.failures) {
    for (const run of runs) stepRun.tasks[index]?.failedRuns.add(run);
  }
  applyPlacements(stepRun, progress.placements);
  if (!Array.isArray(progress.losses)) return;
  for (const loss of progress.losses) applyLoss(stepRun, loss);
}

function storedPlacementsOf({ tasks }: StepRun): StoredPlacement[] {
  return tasks.flatMap(({ index, placement }) =>
    placement === undefined
      ? []
      : [[index, placement.workerId, placement.epoch] as const],
  );
}

/** Restores placements; those that cannot be read are left out. */
function applyPlacements(stepRun: StepRun, stored: unknown): void {
  if (!Array.isArray(stored)) return;
  for (const entry of stored) {
    if (!Array.isArray(entry)) continue;
    const [index, workerId, epoch] = entry;
    const task = stepRun.tasks[index];
    const isReadable = typeof workerId === "string" && Number.isInteger(epoch);
    if (task !== undefined && isReadable) task.placement = { workerId, epoch };
  }
}

function storedLossesOf({ index, losses }: Task): StoredLoss[] {
  return losses.map(({ workerId, ...loss }) => ({
    index,
    worker: workerId,
    ...loss,
  }));
}

/** Restores a lost run; one that cannot be read is left out. */
function applyLoss(stepRun: StepRun, stored: StoredLoss | null): void {
  if (stored === null) return;
  const { index, run, worker, address, bornMs, evidence } = stored;
  const isReadable =
    Number.isFinite(run) &&
    Number.isFinite(bornMs) &&
    Object.values(LossEvidence).includes(evidence);
  const task = stepRun.tasks[index];
  if (!isReadable || task === undefined || task.isDone) return;
  task.losses.push({
    run,
    workerId: `${worker}`,
    address: `${address}`,
    bornMs,
    evidence,
    isLate: stored.isLate === true,
    ...(stored.isMachineFault === true ? { isMachineFault: true } : {}),
  });
  task.lastRun = Math.max(task.lastRun, run);
}

/** Whether any task of the job may be running. */
export function hasAttempts(record: JobRecord): boolean {
  return listStepRuns(record).some(
    (stepRun) =>
      stepRun.hasTasks &&
      stepRun.tasks.some(({ attempts }) => attempts.length > 0),
  );
}
