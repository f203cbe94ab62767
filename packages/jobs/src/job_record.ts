import { LossEvidence } from "./crash_losses";
import { countOccurrences, type Job } from "./job";
import {
  isFinal,
  JobPhase,
  type JobState,
  type StepProgress,
  type StoredLoss,
  type StoredPlacement,
} from "./job_state";
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

/** Creates the record of a job from its stored rows. */
export function createJobRecord(
  job: Job,
  options: JobRecordOptions,
): JobRecord {
  const { revision, queue, state } = options;
  const record: JobRecord = {
    job,
    revision,
    queue,
    phase: state?.phase ?? JobPhase.Queued,
    sinceMs: state?.sinceMs ?? job.submittedMs,
    occurrences: [],
    openSteps: 0,
  };
  const occurrences = countOccurrences(job);
  for (let occurrence = 0; occurrence < occurrences; occurrence += 1) {
    const steps = job.steps.map((step, number) => {
      const stepRun: StepRun = {
        record,
        occurrence,
        number,
        step,
        tasks: [],
        doneCount: 0,
        idleSinceMs: undefined,
      };
      for (let index = 0; index < step.count; index += 1) {
        stepRun.tasks.push(createTask(stepRun, index, options));
      }
      return stepRun;
    });
    record.occurrences.push(steps);
    record.openSteps += steps.length;
  }
  for (const progress of state?.steps ?? []) applyProgress(record, progress);
  for (const stepRun of record.occurrences.flat()) {
    if (isStepDone(stepRun)) record.openSteps -= 1;
  }
  return record;
}

/** Returns the progress of a job as it is to be stored. */
export function stateOf(record: JobRecord): JobState {
  const steps: StepProgress[] = [];
  // The progress of a finished job is not needed any more.
  const stepRuns = isFinal(record.phase) ? [] : record.occurrences.flat();
  for (const stepRun of stepRuns) {
    const done: number[] = [];
    const failures: [number, number[]][] = [];
    const losses: StoredLoss[] = [];
    const placements = storedPlacementsOf(stepRun);
    for (const task of stepRun.tasks) {
      losses.push(...storedLossesOf(task));
      if (task.isDone) done.push(task.index);
      else if (task.failedRuns.size > 0) {
        failures.push([task.index, [...task.failedRuns]]);
      }
    }
    const isEmpty = [done, failures, losses, placements].every(
      ({ length }) => length === 0,
    );
    if (isEmpty) continue;
    const { occurrence, number: step } = stepRun;
    const optional = {
      ...(losses.length > 0 ? { losses } : {}),
      ...(placements.length > 0 ? { placements } : {}),
    };
    steps.push({ occurrence, step, done, failures, ...optional });
  }
  const { phase, sinceMs, job } = record;
  return { phase, queue: job.queue, sinceMs, steps };
}

/** Finds a task by its indices; undefined if the job has no such task. */
export function findTask(
  record: JobRecord,
  place: { occurrence: number; step: number; index: number },
): Task | undefined {
  const stepRun = record.occurrences[place.occurrence]?.[place.step];
  return stepRun?.tasks[place.index];
}

function createTask(
  stepRun: StepRun,
  index: number,
  { runFloor, state }: JobRecordOptions,
): Task {
  // Which tasks of a job ran under former leaders is not stored.
  const wasAtWork = state?.phase === JobPhase.Running;
  return {
    stepRun,
    index,
    isDone: false,
    failedRuns: new Set(),
    failedOn: new Set(),
    losses: [],
    wasAtWork,
    lastRun: runFloor,
    checkpoint: "",
    attempts: [],
    reservedOn: undefined,
    placement: undefined,
    notBeforeMs: Number.NEGATIVE_INFINITY,
  };
}

/** Marks stored completed tasks as done and restores their failed runs. */
function applyProgress(record: JobRecord, progress: StepProgress): void {
  const stepRun = record.occurrences[progress.occurrence]?.[progress.step];
  if (stepRun === undefined) return;
  for (const index of progress.done) {
    const task = stepRun.tasks[index];
    if (task === undefined || task.isDone) continue;
    task.isDone = true;
    stepRun.doneCount += 1;
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
  return record.occurrences.some((steps) =>
    steps.some(({ tasks }) =>
      tasks.some(({ attempts }) => attempts.length > 0),
    ),
  );
}
