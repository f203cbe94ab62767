import type { Resources } from "@laburnumtrack/core/resources";
import type { QueueSettings } from "./queue_config";

/** A group of identical tasks of a job. */
export interface Step {
  readonly count: number;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Estimated duration of a task in ms; 0 when the caller gave none. */
  readonly estimateMs: number;
  /** Indices of the steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** Tasks report checkpoints and can resume from them. */
  readonly isCheckpointing: boolean;
  /** All tasks start together or not at all. */
  readonly isGang: boolean;
  /** Tasks run faster when they share a rack. */
  readonly isColocated: boolean;
  /** Label that a worker must have; empty if any worker will do. */
  readonly requiredLabel: string;
  /** Rack that holds the input data; empty if there is none. */
  readonly dataRack: string;
  /** Maximum number of tasks of the step on one worker; 0 means no limit. */
  readonly perWorkerLimit: number;
  /** Several copies of a task may run; the first to finish counts. */
  readonly isSpeculative: boolean;
  /** Tasks run until the job is cancelled. */
  readonly isLongRunning: boolean;
  /** Program that the tasks run; tasks of one image behave alike. */
  readonly image: string;
  /**
   * Target tail latency of a serving task in ms; 0 if it has no target.
   * A task with a target is a serving task.
   */
  readonly targetMs: number;
  /** Best effort: the tasks use spare CPU time, none is reserved for them. */
  readonly isFiller: boolean;
  /** Maximum number of tasks interrupted at a time; 0 means no limit. */
  readonly disruptionLimit: number;
}

/** Schedule of a job whose steps run several times. */
export interface Repeat {
  readonly count: number;
  /** Unix ms of the first occurrence. */
  readonly startMs: number;
  readonly intervalMs: number;
}

/** A job as a caller submitted it. */
export interface Job {
  readonly id: string;
  /** Name of the queue that accepted it. */
  readonly queue: string;
  /**
   * Settings of that queue when it accepted the job, which apply once the queue
   * was removed; undefined for a job stored by an earlier release.
   */
  readonly queueSettings?: QueueSettings | undefined;
  /** Opaque text that is passed on to the workers. */
  readonly spec: string;
  readonly steps: readonly Step[];
  /** Undefined if the steps run once, immediately. */
  readonly repeat: Repeat | undefined;
  /** Unix ms at which the entry VM accepted it. */
  readonly submittedMs: number;
}

/** Number of times that the steps of a job run. */
export function countOccurrences(job: Job): number {
  return Math.max(1, job.repeat?.count ?? 1);
}

/** Earliest start of an occurrence in Unix ms. */
export function earliestStartMsOf(job: Job, occurrence: number): number {
  const { repeat, submittedMs } = job;
  if (repeat === undefined) return submittedMs;
  return repeat.startMs + occurrence * repeat.intervalMs;
}

/** Whether a step of the job runs until the job is cancelled. */
export function isLongRunning(job: Job): boolean {
  return job.steps.some((step) => step.isLongRunning);
}

/** Estimated durations of chains of dependent steps, in ms. */
interface PathLengths {
  /** Of the longest chain in the job. */
  readonly criticalMs: number;
  /** Of the longest chain that begins with a step, by the step's number. */
  readonly remainingMs: readonly number[];
}

/** Results of {@linkcode pathLengthsOf}: jobs never change. */
const pathLengths = new WeakMap<Job, PathLengths>();

/** Duration of the longest chain of dependent steps in ms, as estimated. */
export function criticalPathMs(job: Job): number {
  return pathLengthsOf(job).criticalMs;
}

/**
 * Duration of the longest chain of dependent steps that begins with the step of
 * that number, in ms, as estimated.
 */
export function remainingPathMs(job: Job, number: number): number {
  return pathLengthsOf(job).remainingMs[number] ?? 0;
}

/** Visits each step and dependency once: the number of paths is not bounded. */
function pathLengthsOf(job: Job): PathLengths {
  const known = pathLengths.get(job);
  if (known !== undefined) return known;
  const { steps } = job;
  const remainingMs = new Array<number>(steps.length).fill(0);
  let criticalMs = 0;
  for (let number = steps.length - 1; number >= 0; number -= 1) {
    const { estimateMs = 0, after = [] } = steps[number] ?? {};
    // All later steps have been visited: the maximum of their chains is final.
    const lengthMs = estimateMs + (remainingMs[number] ?? 0);
    remainingMs[number] = lengthMs;
    criticalMs = Math.max(criticalMs, lengthMs);
    for (const earlier of after) {
      if (earlier >= number) continue;
      remainingMs[earlier] = Math.max(remainingMs[earlier] ?? 0, lengthMs);
    }
  }
  const lengths = { criticalMs, remainingMs };
  pathLengths.set(job, lengths);
  return lengths;
}
