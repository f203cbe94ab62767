import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import type { Job, Step } from "@laburnumtrack/jobs/job";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { EXPIRY_FACTOR, objectiveMs } from "@laburnumtrack/jobs/job_order";
import { hasAttempts, stateOf } from "@laburnumtrack/jobs/job_record";
import { coreSecondsOf } from "@laburnumtrack/jobs/job_size";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import type { Queue } from "@laburnumtrack/jobs/queue_config";
import {
  type Attempt,
  AttemptPhase,
  taskNameOf,
} from "@laburnumtrack/jobs/task";
import {
  type EndedRun,
  RunEnd,
  type RunningRun,
} from "@laburnumtrack/jobs/task_worker";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "@laburnumtrack/jobs/test_samples";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import {
  NO_FEATURES,
  type PlanningFeatures,
  RoundPlanner,
} from "./round_planner";

/** A distribution whose logarithm is normal, cut off at `most`. */
export interface Spread {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly deviation: number;
  readonly most: number;
}

/** Jobs of one queue. */
export interface JobKind {
  readonly queue: Partial<Queue> & { readonly name: string };
  /** Jobs per second while the load lasts. */
  readonly perS: number;
  /** Steps of a job, each after the one before. */
  readonly steps: readonly [least: number, most: number];
  /** Tasks of a step. */
  readonly width: Spread;
  /** CPU of a task, in thousandths of a core. */
  readonly cpuMilli: Spread;
  /** Duration of a task, in ms. */
  readonly workMs: Spread;
  /** What all its steps have in common. */
  readonly step?: Partial<Step>;
}

/** Options of {@linkcode QueueModel}. */
export interface QueueModelOptions {
  readonly seed: number;
  readonly workers: number;
  /** CPU of each worker, in thousandths of a core. */
  readonly cpuMilli: number;
  readonly kinds: readonly JobKind[];
  /** Jobs are submitted until then, in ms; they may complete later. */
  readonly loadMs: number;
  readonly features?: PlanningFeatures;
  /** Share of the runs that are stopped in each second, to start again. */
  readonly stopsPerS?: number;
  /** Times at which the leader is lost, in ms. */
  readonly takeoversMs?: readonly number[];
  /** Smallest and largest ratio of a caller's estimate to the duration. */
  readonly estimates?: readonly [least: number, most: number];
}

/** What became of one job. */
export interface JobOutcome {
  /** In core-seconds. */
  readonly size: number;
  /** Time until it was done over its objective; infinite if it was not. */
  readonly ratio: number;
}

/** Shares of the jobs of a queue that were served before they expired. */
export interface ServedShares {
  readonly all: number;
  readonly largestTenth: number;
  readonly nextFifth: number;
  /** Share of all that met their objective. */
  readonly inTime: number;
  /** Share of the work, in core-seconds, whose jobs met their objective. */
  readonly workInTime: number;
}

interface Run {
  readonly attempt: Attempt;
  readonly worker: WorkerRecord;
  readonly startMs: number;
  readonly endMs: number;
  stopMs: number | undefined;
}

const TICK_MS = 20;
/** Time after the load in which jobs may still complete, in ms. */
const SETTLE_MS = 10_000;
/** Time from the order to stop a run until its end is reported, in ms. */
const STOP_MS = 300;
/** Each worker reports at least this often, in ticks. */
const REPORT_TICKS = 20;
const STARTS_PER_ROUND = 60;
/** Time without a leader before another one takes over, in ms. */
const LEADERLESS_MS = 1000;

/** Plays queues of jobs on a pool of workers in virtual time. */
export class QueueModel {
  readonly #options: QueueModelOptions;
  readonly #random: SeededRandom;
  readonly #kindOf = new Map<string, JobKind>();
  readonly #outcomes = new Map<string, Map<string, JobOutcome>>();
  /** Duration of the tasks of each step of a job, in ms. */
  readonly #workMs = new Map<string, readonly number[]>();
  readonly #model = new InterferenceModel();
  #board: JobBoard;
  #planner: RoundPlanner;
  #term = 0;
  /** From then on there is a leader, in ms. */
  #ledFromMs = 0;
  /** By name of the task and number of the run. */
  readonly #runs = new Map<string, Run>();
  #nowMs = 0;

  constructor(options: QueueModelOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#board = this.#createBoard();
    this.#planner = this.#createPlanner();
  }

  /** Plays until the load is over and jobs have had time to complete. */
  run(): void {
    const { loadMs, takeoversMs = [] } = this.#options;
    const arrivals = this.#drawArrivals();
    const takeovers = [...takeoversMs];
    for (let tick = 0; tick * TICK_MS < loadMs + SETTLE_MS; tick += 1) {
      this.#nowMs = tick * TICK_MS;
      while (
        (arrivals[0]?.submittedMs ?? Number.POSITIVE_INFINITY) <= this.#nowMs
      ) {
        const job = arrivals.shift();
        if (job !== undefined) this.#submit(job);
      }
      if ((takeovers[0] ?? Number.POSITIVE_INFINITY) <= this.#nowMs) {
        takeovers.shift();
        this.#ledFromMs = this.#nowMs + LEADERLESS_MS;
      }
      if (this.#nowMs < this.#ledFromMs) continue;
      if (this.#nowMs === this.#ledFromMs && tick > 0) this.#takeOver();
      if (tick % 50 === 0) this.#stopSome();
      let index = 0;
      for (const worker of this.#board.workers.values()) {
        index += 1;
        this.#report(worker, (tick + index) % REPORT_TICKS === 0);
      }
      this.#dropFinished();
      this.#plan();
    }
  }

  /** Shares of the jobs of a queue that were served, by size. */
  sharesOf(queue: string): ServedShares {
    const outcomes = [...(this.#outcomes.get(queue)?.values() ?? [])];
    outcomes.sort((a, b) => b.size - a.size);
    const tenth = Math.ceil(outcomes.length / 10);
    const inTime = outcomes.filter(({ ratio }) => ratio <= 1);
    return {
      all: servedShare(outcomes),
      largestTenth: servedShare(outcomes.slice(0, tenth)),
      nextFifth: servedShare(outcomes.slice(tenth, 3 * tenth)),
      inTime: inTime.length / outcomes.length,
      workInTime: sumOfSizes(inTime) / sumOfSizes(outcomes),
    };
  }

  #createBoard(): JobBoard {
    const { workers, cpuMilli } = this.#options;
    const board = new JobBoard(
      {
        onChanged: (record) => {
          if (!isFinal(record.phase)) return;
          const { job } = record;
          const tookMs = this.#nowMs - job.submittedMs;
          this.#recordOutcome(job, tookMs / objectiveMs(record));
        },
        onStop() {},
        onEnd() {},
      },
      { runFloor: 256 * this.#term, allJobsKnownMs: 0 },
    );
    const capacity = { cpuMilli, memoryMb: 1e6, accelerators: 0 };
    for (let index = 0; index < workers; index += 1) {
      const address = `w${index}:1`;
      board.addWorker(createWorkerInfo(`w${index}`, { capacity, address }));
    }
    return board;
  }

  #createPlanner(): RoundPlanner {
    return new RoundPlanner({
      board: this.#board,
      features: this.#options.features ?? NO_FEATURES,
      restoreMs: 0,
      origin: { startMs: this.#nowMs, revision: 0 },
    });
  }

  #drawArrivals(): Job[] {
    const { kinds, loadMs } = this.#options;
    const jobs: Job[] = [];
    for (const kind of kinds) {
      const count = Math.round((kind.perS * loadMs) / 1000);
      for (let index = 0; index < count; index += 1) {
        const job = this.#drawJob(kind, `${kind.queue.name}${index}`);
        const submittedMs = this.#random.between(0, loadMs - 1);
        jobs.push({ ...job, submittedMs });
        this.#kindOf.set(job.id, kind);
      }
    }
    return jobs.sort((a, b) => a.submittedMs - b.submittedMs);
  }

  #drawJob(kind: JobKind, id: string): Job {
    const [least, most] = this.#options.estimates ?? [1, 1];
    const count = this.#random.between(...kind.steps);
    const workMs: number[] = [];
    const steps: Step[] = [];
    for (let number = 0; number < count; number += 1) {
      const ms = this.#draw(kind.workMs);
      const factor = least + this.#random.fraction() * (most - least);
      workMs.push(ms);
      steps.push(
        createStep({
          count: this.#draw(kind.width),
          resources: {
            cpuMilli: this.#draw(kind.cpuMilli),
            memoryMb: 1,
            accelerators: 0,
          },
          estimateMs: Math.round(ms * factor),
          after: number > 0 ? [number - 1] : [],
          ...kind.step,
        }),
      );
    }
    this.#workMs.set(id, workMs);
    return { ...createJob(id, steps), queue: kind.queue.name };
  }

  #draw({ mean, deviation, most }: Spread): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random.fraction());
    // The mean of such a distribution is above its median.
    const value = mean * Math.exp(deviation * normal - deviation ** 2 / 2);
    return Math.max(1, Math.round(Math.min(most, value)));
  }

  #submit(job: Job): void {
    this.#recordOutcome(job, Number.POSITIVE_INFINITY);
    this.#board.addJob(job, 1, {
      queue: createQueue(this.#kindOf.get(job.id)?.queue),
      nowMs: this.#nowMs,
      wallMs: this.#nowMs,
    });
  }

  #recordOutcome(job: Job, ratio: number): void {
    const outcomes = this.#outcomes.get(job.queue) ?? new Map();
    outcomes.set(job.id, { size: coreSecondsOf(job), ratio });
    this.#outcomes.set(job.queue, outcomes);
  }

  /** Another leader reads the stored states, and the workers report to it. */
  #takeOver(): void {
    const former = this.#board;
    this.#term += 1;
    this.#board = this.#createBoard();
    this.#planner = this.#createPlanner();
    for (const record of former.jobs.values()) {
      this.#board.addJob(record.job, 1, {
        queue: record.queue,
        state: JSON.parse(JSON.stringify(stateOf(record))),
        nowMs: this.#nowMs,
        wallMs: this.#nowMs,
      });
    }
    for (const run of this.#runs.values()) {
      const worker = this.#board.workers.get(run.worker.id);
      if (worker !== undefined) Object.assign(run, { worker });
    }
    for (const worker of this.#board.workers.values()) {
      this.#report(worker, true);
    }
  }

  #dropFinished(): void {
    for (const record of this.#board.jobs.values()) {
      if (!isFinal(record.phase) || hasAttempts(record)) continue;
      this.#board.dropJob(record.job.id);
    }
  }

  #stopSome(): void {
    const { stopsPerS = 0 } = this.#options;
    for (const attempt of this.#listAttempts()) {
      const run = this.#runs.get(keyOf(attempt));
      const isStopped = run !== undefined && this.#random.chance(stopsPerS);
      if (!isStopped || attempt.phase !== AttemptPhase.Running) continue;
      run.stopMs = this.#nowMs + STOP_MS;
      this.#board.stop(attempt, "evacuated");
    }
  }

  #listAttempts(): Attempt[] {
    return [...this.#board.workers.values()].flatMap(({ attempts }) => [
      ...attempts,
    ]);
  }

  #plan(): void {
    const { starts } = this.#planner.plan({
      nowMs: this.#nowMs,
      wallMs: this.#nowMs,
      limit: STARTS_PER_ROUND,
      model: this.#model,
      isUsable: () => true,
      areRunsKnown: () => true,
    });
    for (const attempt of starts) {
      this.#board.onStarted(attempt, this.#nowMs);
      const { number, record } = attempt.task.stepRun;
      const workMs = this.#workMs.get(record.job.id)?.[number] ?? 0;
      this.#runs.set(keyOf(attempt), {
        attempt,
        worker: attempt.worker,
        startMs: this.#nowMs,
        endMs: this.#nowMs + workMs,
        stopMs: undefined,
      });
    }
  }

  /** Reports ends at once, and the progress of runs now and then. */
  #report(worker: WorkerRecord, isDue: boolean): void {
    const nowMs = this.#nowMs;
    const ended: EndedRun[] = [];
    const running: RunningRun[] = [];
    for (const [key, run] of this.#runs) {
      if (run.worker !== worker) continue;
      const { attempt, startMs, endMs, stopMs } = run;
      const task = taskNameOf(attempt.task);
      const isDone = endMs <= nowMs;
      if (isDone || (stopMs !== undefined && stopMs <= nowMs)) {
        const number = worker.lastEndNumber + ended.length + 1;
        const end = isDone ? RunEnd.Done : RunEnd.Stopped;
        ended.push({ number, task, run: attempt.run, end, checkpoint: "" });
        this.#runs.delete(key);
        continue;
      }
      const percent = Math.floor((100 * (nowMs - startMs)) / (endMs - startMs));
      running.push({
        task,
        run: attempt.run,
        checkpoint: "",
        percent,
        measurement: 0,
      });
    }
    if (ended.length === 0 && !isDue) return;
    this.#board.onReport(
      worker,
      { clockMs: nowMs, bornMs: 1, running, ended, hasMore: false },
      { sentMs: nowMs, nowMs, wallMs: nowMs },
    );
    this.#planner.onReport(worker, nowMs);
  }
}

function keyOf({ task, run }: Attempt): string {
  const { jobId, occurrence, step, index } = taskNameOf(task);
  return `${jobId}.${occurrence}.${step}.${index}/${run}`;
}

function servedShare(outcomes: readonly JobOutcome[]): number {
  const served = outcomes.filter(({ ratio }) => ratio <= EXPIRY_FACTOR);
  return served.length / outcomes.length;
}

function sumOfSizes(outcomes: readonly JobOutcome[]): number {
  return outcomes.reduce((sum, { size }) => sum + size, 0);
}
