import type { Clock } from "@laburnumtrack/core/clock";
import { earliestStartMsOf, type Job } from "@laburnumtrack/jobs/job";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { estimateJobBytes } from "@laburnumtrack/jobs/job_size";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import { listStepRuns } from "@laburnumtrack/jobs/occurrences";
import type { JobRecord, StepRun, Task } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { rankOfPriority, workOfTask } from "./job_work";
import {
  END_WINDOWS_MS,
  type LoadDigest,
  MAX_DIGEST_QUEUES,
  type PoolLoad,
  type QueueLoad,
} from "./load_digest";

/** Options of {@linkcode LoadMeter}. */
export interface LoadMeterOptions {
  readonly clock: Clock;
  readonly board: Pick<JobBoard, "jobs" | "workers">;
  /** Memory that jobs may occupy in this process. */
  readonly limitBytes: number;
}

/**
 * Age from which a digest is computed anew, in ms. It walks through all tasks, so
 * it is not computed with each commit.
 */
const REFRESH_MS = 500;
/** Time over which completion rates are averaged, in ms. */
const RATE_WINDOW_MS = 8000;
/** Time after the start of the measurement from which rates are known, in ms. */
const MIN_RATE_MS = 4000;
/** Occurrences that start later than this do not count as waiting, in ms. */
const DUE_HORIZON_MS = 10_000;

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };
type MutableQueue = Mutable<Omit<QueueLoad, "endingMilli">> & {
  endingMilli: number[];
};

/** Measures the load that the leader's board shows. */
export class LoadMeter {
  readonly #options: LoadMeterOptions;
  readonly #startMs: number;
  /** Work done, as an average over time, by pool and priority. */
  readonly #rates = new Map<string, { value: number; atMs: number }>();
  readonly #jobBytes = new WeakMap<Job, number>();
  #digest: Omit<LoadDigest, "ageMs"> | undefined;
  #measuredMs = Number.NEGATIVE_INFINITY;

  constructor(options: LoadMeterOptions) {
    this.#options = options;
    this.#startMs = options.clock.nowMs();
  }

  /** The load as last measured, at most about `REFRESH_MS` ago. */
  get current(): LoadDigest {
    const nowMs = this.#options.clock.nowMs();
    if (this.#digest === undefined || nowMs - this.#measuredMs >= REFRESH_MS) {
      this.#digest = this.#measure(nowMs);
      this.#measuredMs = nowMs;
    }
    return { ...this.#digest, ageMs: Math.round(nowMs - this.#measuredMs) };
  }

  /** Records a task that was completed. */
  onDone({ stepRun }: Task): void {
    const { pool, priority } = placeOf(stepRun.record);
    const work = workOfTask(stepRun.step);
    const nowMs = this.#options.clock.nowMs();
    for (const key of [pool, keyOf(pool, priority)]) {
      const value = this.#decayed(key, nowMs) + work;
      this.#rates.set(key, { value, atMs: nowMs });
    }
  }

  #measure(nowMs: number): Omit<LoadDigest, "ageMs"> {
    const { board, limitBytes } = this.#options;
    const pools = this.#measurePools(nowMs);
    const queues = new Map<string, MutableQueue>();
    let bytes = 0;
    for (const record of board.jobs.values()) {
      const queue = this.#queueOf(queues, record, nowMs);
      const jobBytes = this.#bytesOf(record.job);
      bytes += jobBytes;
      queue.bytes += jobBytes;
      if (!isFinal(record.phase)) this.#addJob(queue, record, nowMs);
    }
    const busiest = [...queues.values()]
      .sort((a, b) => weightOf(b) - weightOf(a))
      .slice(0, MAX_DIGEST_QUEUES);
    return {
      bytes,
      limitBytes,
      pools: [...pools.values()]
        .sort((a, b) => b.capacityMilli - a.capacityMilli)
        .slice(0, MAX_DIGEST_QUEUES),
      queues: busiest.map((queue) => ({
        ...queue,
        runningMilliS: Math.round(queue.runningMilliS),
        backlogMilliS: Math.round(queue.backlogMilliS),
      })),
    };
  }

  #measurePools(nowMs: number): Map<string, Mutable<PoolLoad>> {
    const pools = new Map<string, Mutable<PoolLoad>>();
    for (const worker of this.#options.board.workers.values()) {
      if (!worker.isRegistered || worker.isLeaving) continue;
      const { pool, capacity } = worker.info;
      const load = pools.get(pool) ?? this.#emptyPool(pool, nowMs);
      pools.set(pool, load);
      load.capacityMilli += capacity.cpuMilli;
      load.lastingMilli += lastingMilliOf(worker);
      load.freeMilli += Math.max(0, capacity.cpuMilli - worker.cpuMilli);
      load.largestMilli = Math.max(load.largestMilli, capacity.cpuMilli);
      load.largestMemoryMb = Math.max(load.largestMemoryMb, capacity.memoryMb);
      load.largestAccelerators = Math.max(
        load.largestAccelerators,
        capacity.accelerators,
      );
    }
    return pools;
  }

  #emptyPool(pool: string, nowMs: number): Mutable<PoolLoad> {
    return {
      pool,
      capacityMilli: 0,
      lastingMilli: 0,
      freeMilli: 0,
      rateMilli: this.#rateOf(pool, nowMs),
      largestMilli: 0,
      largestMemoryMb: 0,
      largestAccelerators: 0,
    };
  }

  #queueOf(
    queues: Map<string, MutableQueue>,
    record: JobRecord,
    nowMs: number,
  ): MutableQueue {
    const { pool, priority } = placeOf(record);
    const key = keyOf(pool, priority);
    const queue = queues.get(key) ?? {
      pool,
      priority,
      runningMilliS: 0,
      endingMilli: END_WINDOWS_MS.map(() => 0),
      backlogMilliS: 0,
      rateMilli: this.#rateOf(key, nowMs),
      bytes: 0,
    };
    queues.set(key, queue);
    return queue;
  }

  #addJob(queue: MutableQueue, record: JobRecord, nowMs: number): void {
    const dueMs = this.#options.clock.wallMs() + DUE_HORIZON_MS;
    for (const stepRun of listStepRuns(record)) {
      if (earliestStartMsOf(record.job, stepRun.occurrence) > dueMs) continue;
      addStep(queue, stepRun, nowMs);
    }
  }

  #bytesOf(job: Job): number {
    const known = this.#jobBytes.get(job);
    if (known !== undefined) return known;
    const bytes = estimateJobBytes(job);
    this.#jobBytes.set(job, bytes);
    return bytes;
  }

  #rateOf(key: string, nowMs: number): number {
    // A new leader has seen too little.
    const seenMs = nowMs - this.#startMs;
    if (seenMs < MIN_RATE_MS) return 0;
    const part = 1 - Math.exp(-seenMs / RATE_WINDOW_MS);
    const perS = this.#decayed(key, nowMs) / (RATE_WINDOW_MS / 1000);
    return Math.round(perS / part);
  }

  #decayed(key: string, nowMs: number): number {
    const rate = this.#rates.get(key);
    if (rate === undefined) return 0;
    return rate.value * Math.exp((rate.atMs - nowMs) / RATE_WINDOW_MS);
  }
}

function addStep(queue: MutableQueue, stepRun: StepRun, nowMs: number): void {
  const { step } = stepRun;
  const work = workOfTask(step);
  if (work === 0) return;
  if (!stepRun.hasTasks) {
    queue.backlogMilliS += work * (step.count - stepRun.doneCount);
    return;
  }
  for (const { isDone, attempts } of stepRun.tasks) {
    if (isDone) continue;
    const [attempt] = attempts;
    if (attempt === undefined) {
      queue.backlogMilliS += work;
      continue;
    }
    const sinceMs = nowMs - (attempt.confirmedMs ?? attempt.sentMs);
    const doneShare = Math.max(
      attempt.percent / 100,
      Math.min(1, sinceMs / step.estimateMs),
    );
    const leftShare = Math.max(0, 1 - doneShare);
    queue.runningMilliS += work * leftShare;
    const leftMs = leftShare * step.estimateMs;
    for (const [index, windowMs] of END_WINDOWS_MS.entries()) {
      if (leftMs > windowMs) continue;
      queue.endingMilli[index] =
        (queue.endingMilli[index] ?? 0) + step.resources.cpuMilli;
    }
  }
}

function lastingMilliOf(worker: WorkerRecord): number {
  let sum = 0;
  for (const { task } of worker.attempts) {
    const { isLongRunning, isFiller, resources } = task.stepRun.step;
    if (isLongRunning && !isFiller) sum += resources.cpuMilli;
  }
  return sum;
}

function placeOf({ queue }: JobRecord): { pool: string; priority: number } {
  return {
    pool: queue?.pool ?? "",
    priority: rankOfPriority(queue?.priority),
  };
}

function keyOf(pool: string, priority: number): string {
  return `${priority}/${pool}`;
}

function weightOf({ runningMilliS, backlogMilliS }: MutableQueue): number {
  return runningMilliS + backlogMilliS;
}
