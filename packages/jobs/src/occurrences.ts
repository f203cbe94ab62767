import {
  countOccurrences,
  earliestStartMsOf,
  type Job,
  type Step,
} from "./job";
import { maxExpandedOccurrences } from "./job_size";
import { JobTask } from "./job_task";
import { isStepDone, type JobRecord, type StepRun, type Task } from "./task";

/** A step of an expanded occurrence. */
class ExpandedStep implements StepRun {
  readonly record: JobRecord;
  readonly occurrence: number;
  readonly number: number;
  readonly step: Step;
  doneCount = 0;
  idleSinceMs: number | undefined;
  #tasks: Task[] | undefined;

  constructor(
    record: JobRecord,
    occurrence: number,
    number: number,
    step: Step,
  ) {
    this.record = record;
    this.occurrence = occurrence;
    this.number = number;
    this.step = step;
  }

  get hasTasks(): boolean {
    return this.#tasks !== undefined;
  }

  get tasks(): Task[] {
    if (this.#tasks === undefined) {
      const isDone = isStepDone(this);
      const tasks: Task[] = [];
      for (let index = 0; index < this.step.count; index += 1) {
        tasks.push(new JobTask(this, index, isDone));
      }
      this.#tasks = tasks;
    }
    return this.#tasks;
  }

  releaseTasks(): void {
    this.#tasks = undefined;
  }
}

/** The expanded occurrences of a job, in order. */
export function listOccurrences({ occurrences }: JobRecord): StepRun[][] {
  // Unlike the array's own methods, this does not visit the gaps.
  return Object.values(occurrences);
}

/** The steps of all expanded occurrences of a job, in order. */
export function listStepRuns(record: JobRecord): StepRun[] {
  return listOccurrences(record).flat();
}

/** Whether the occurrence may start by now. */
export function isDue(job: Job, occurrence: number, wallMs: number): boolean {
  // Only repeated jobs wait for a time: `submittedMs` comes from another VM, whose
  // clock may be ahead of this one.
  return (
    job.repeat === undefined || earliestStartMsOf(job, occurrence) <= wallMs
  );
}

/**
 * The steps of an occurrence, which is expanded if need be; undefined if the job
 * has no such occurrence.
 */
export function findOccurrence(
  record: JobRecord,
  occurrence: number,
): StepRun[] | undefined {
  const { job, occurrences, doneOccurrences } = record;
  const isValid =
    Number.isInteger(occurrence) &&
    occurrence >= 0 &&
    occurrence < countOccurrences(job);
  if (!isValid) return undefined;
  const known = occurrences[occurrence];
  if (known !== undefined) return known;
  const isDone = doneOccurrences.has(occurrence);
  const steps = job.steps.map((step, number) => {
    const stepRun = new ExpandedStep(record, occurrence, number, step);
    if (isDone) stepRun.doneCount = step.count;
    return stepRun;
  });
  occurrences[occurrence] = steps;
  return steps;
}

/**
 * Expands the occurrences that have become due, as many as may be open at the
 * same time, and releases what is done.
 */
export function expandDue(record: JobRecord, wallMs: number): void {
  const { job, doneOccurrences, occurrences } = record;
  const total = countOccurrences(job);
  let open = releaseDone(record);
  const limit = maxExpandedOccurrences(job);
  while (record.nextOccurrence < total && open < limit) {
    const next = record.nextOccurrence;
    if (!isDue(job, next, wallMs)) return;
    record.nextOccurrence += 1;
    if (occurrences[next] !== undefined || doneOccurrences.has(next)) continue;
    findOccurrence(record, next);
    open += 1;
  }
}

/**
 * Releases the tasks of steps and the occurrences that are done and have no runs;
 * returns the number of occurrences that are not.
 */
function releaseDone(record: JobRecord): number {
  let open = 0;
  for (const steps of listOccurrences(record)) {
    let isOver = true;
    for (const stepRun of steps) {
      if (!isStepDone(stepRun)) isOver = false;
      else if (stepRun.hasTasks) {
        if (stepRun.tasks.some(hasRuns)) isOver = false;
        else stepRun.releaseTasks();
      }
    }
    const occurrence = steps[0]?.occurrence;
    if (!isOver || occurrence === undefined) open += 1;
    else {
      record.doneOccurrences.add(occurrence);
      delete record.occurrences[occurrence];
    }
  }
  return open;
}

function hasRuns({ attempts }: Task): boolean {
  return attempts.length > 0;
}
