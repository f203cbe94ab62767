import type { Resources } from "@laburnumtrack/core/resources";

/** Tasks of a job that are alike. */
export interface Step {
  readonly count: number;
  /** Of each task. */
  readonly resources: Resources;
  /** Rough duration of a task in ms; 0 when the caller gave none. */
  readonly estimateMs: number;
  /** Numbers of the steps that must be done first. */
  readonly after: readonly number[];
  readonly isCheckpointing: boolean;
  /** All tasks run together or not at all. */
  readonly isGang: boolean;
  /** Tasks are slower when they are spread over racks. */
  readonly isColocated: boolean;
  /** Label that a worker must have; empty: any worker. */
  readonly requiredLabel: string;
  /** Rack that holds the data; empty: none. */
  readonly dataRack: string;
  /** Most tasks of the step on one worker; 0: no limit. */
  readonly perWorkerLimit: number;
  /** Several copies of a task may run; the first that is done counts. */
  readonly isSpeculative: boolean;
  /** Tasks run until the job is cancelled. */
  readonly isLongRunning: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image: string;
  /** Target for the tail latency of a serving task in ms; 0: it has none. */
  readonly targetMs: number;
  /** The tasks use processor time that others leave; it is not reserved. */
  readonly isFiller: boolean;
  /** Most tasks that may be interrupted at a time; 0: not limited. */
  readonly disruptionLimit: number;
}

/** When a job's steps run again. */
export interface Repeat {
  readonly count: number;
  /** Unix ms of the first occurrence. */
  readonly startMs: number;
  readonly intervalMs: number;
}

/** A job as a caller handed it in. */
export interface Job {
  readonly id: string;
  /** Name of the queue that took it. */
  readonly queue: string;
  /** Opaque text for the workers. */
  readonly spec: string;
  readonly steps: readonly Step[];
  /** Undefined: the steps run once, at once. */
  readonly repeat: Repeat | undefined;
  /** Unix ms at which the entry VM took it. */
  readonly submittedMs: number;
}

/** Times that the steps of a job run. */
export function countOccurrences(job: Job): number {
  return Math.max(1, job.repeat?.count ?? 1);
}

/** Unix ms from which an occurrence may run. */
export function dueMsOf(job: Job, occurrence: number): number {
  const { repeat, submittedMs } = job;
  if (repeat === undefined) return submittedMs;
  return repeat.startMs + occurrence * repeat.intervalMs;
}

/** Whether the job runs until it is cancelled. */
export function isLasting(job: Job): boolean {
  return job.steps.some((step) => step.isLongRunning);
}

/** Length of the longest chain of steps in ms, by the callers' estimates. */
export function chainMs(job: Job): number {
  const lengths: number[] = [];
  for (const [index, step] of job.steps.entries()) {
    let before = 0;
    for (const earlier of step.after) {
      if (earlier < index) before = Math.max(before, lengths[earlier] ?? 0);
    }
    lengths.push(before + step.estimateMs);
  }
  return Math.max(0, ...lengths);
}
