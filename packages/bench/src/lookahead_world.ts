import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import type { Job } from "@laburnumtrack/jobs/job";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { objectiveMs } from "@laburnumtrack/jobs/job_order";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import { type Attempt, taskNameOf } from "@laburnumtrack/jobs/task";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "@laburnumtrack/jobs/test_samples";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import {
  type PlanningFeatures,
  RoundPlanner,
} from "@laburnumtrack/planning/round_planner";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import type { JobKind, LookaheadPattern } from "./lookahead_patterns";

/** How a pool is planned. */
export interface LookaheadPolicy {
  readonly name: string;
  readonly features: PlanningFeatures;
  /** Workers are merged to a single one, which never is in pieces. */
  readonly isMerged: boolean;
}

/** What became of the jobs of one kind. */
export interface KindResult {
  /** Waits of tasks from submission to start, in ms; unfinished ones count. */
  readonly waitsMs: number[];
  met: number;
  jobs: number;
}

/** Result of one run. */
export interface LookaheadResult {
  readonly utilization: number;
  readonly kinds: ReadonlyMap<string, KindResult>;
  /** Time of the planning rounds of the run, in ms. */
  readonly planMs: number;
}

const WORKERS = 24;
const WORKER_CORES = 16;
const TICK_MS = 20;
const END_MS = 30_000;
/** Jobs that are submitted later do not count. */
const COUNTED_MS = 25_000;
const REPORT_TICKS = 20;
const QUEUE = createQueue({ stretch: 2, targetMs: 1000 });

/** Plays a pattern once under a policy. */
export function runLookahead(
  pattern: LookaheadPattern,
  policy: LookaheadPolicy,
  seed: number,
): LookaheadResult {
  return new LookaheadWorld(pattern, policy, seed).run();
}

class LookaheadWorld {
  readonly #pattern: LookaheadPattern;
  readonly #random: SeededRandom;
  readonly #board: JobBoard;
  readonly #planner: RoundPlanner;
  readonly #model = new InterferenceModel();
  readonly #kindOf = new Map<string, JobKind>();
  readonly #results = new Map<string, KindResult>();
  readonly #workMs = new Map<string, number[]>();
  readonly #endsMs = new Map<Attempt, number>();
  readonly #isMerged: boolean;
  #usedMs = 0;
  #planMs = 0;
  #nowMs = 0;

  constructor(
    pattern: LookaheadPattern,
    { features, isMerged }: LookaheadPolicy,
    seed: number,
  ) {
    this.#pattern = pattern;
    this.#isMerged = isMerged;
    this.#random = new SeededRandom(seed);
    this.#board = new JobBoard(
      {
        onChanged: (record) => {
          if (isFinal(record.phase)) this.#onDone(record.job);
        },
        onStop() {},
        onEnd() {},
      },
      { runFloor: 0, allJobsKnownMs: 0 },
    );
    this.#planner = new RoundPlanner({
      board: this.#board,
      features,
      restoreMs: 100,
      origin: { startMs: 0, revision: 0 },
    });
    for (const { name } of pattern.kinds) {
      this.#results.set(name, { waitsMs: [], met: 0, jobs: 0 });
    }
  }

  run(): LookaheadResult {
    const count = this.#isMerged ? 1 : WORKERS;
    const cores = (WORKERS * WORKER_CORES) / count;
    for (let index = 0; index < count; index += 1) {
      const capacity = {
        cpuMilli: cores * 1000,
        memoryMb: 9e6,
        accelerators: 0,
      };
      const info = createWorkerInfo(`w${index}`, { capacity });
      this.#board.addWorker({ ...info, address: `w${index}:1` });
    }
    const arrivals = this.#drawJobs();
    for (let tick = 0; tick * TICK_MS < END_MS; tick += 1) {
      this.#nowMs = tick * TICK_MS;
      while ((arrivals[0]?.submittedMs ?? END_MS) <= this.#nowMs) {
        const job = arrivals.shift();
        if (job !== undefined) this.#submit(job);
      }
      let index = 0;
      for (const worker of this.#board.workers.values()) {
        index += 1;
        this.#report(worker, (tick + index) % REPORT_TICKS === 0);
      }
      this.#plan();
    }
    this.#countWaiting();
    const cpuMs = WORKERS * WORKER_CORES * END_MS;
    return {
      utilization: this.#usedMs / cpuMs,
      kinds: this.#results,
      planMs: this.#planMs,
    };
  }

  /** Draws all jobs in advance, so that each policy gets the same. */
  #drawJobs(): Job[] {
    const jobs: Job[] = [];
    for (const kind of this.#pattern.kinds) {
      const coreMs = WORKERS * WORKER_CORES * END_MS * this.#pattern.load;
      let left = coreMs * kind.share;
      while (left > 0) {
        const job = this.#drawJob(kind, jobs.length);
        const [step] = job.steps;
        const workMs = this.#workMs.get(job.id) ?? [];
        const cores = (step?.resources.cpuMilli ?? 1000) / 1000;
        left -= workMs.reduce((sum, ms) => sum + ms * cores, 0);
        jobs.push(job);
      }
    }
    return jobs.sort((a, b) => a.submittedMs - b.submittedMs);
  }

  #drawJob(kind: JobKind, number: number): Job {
    const random = this.#random;
    const { longFraction, estimates } = this.#pattern;
    const count = random.between(...kind.tasks);
    const usualMs = random.between(...kind.workMs);
    const works = Array.from({ length: count }, () =>
      random.chance(longFraction) ? usualMs * 7 : usualMs,
    );
    const [least, most] = estimates;
    const factor = least + random.fraction() * (most - least);
    const step = createStep({
      count,
      resources: {
        cpuMilli: random.between(...kind.cores) * 1000,
        memoryMb: 1,
        accelerators: 0,
      },
      estimateMs: Math.round(usualMs * factor),
      isGang: kind.isGang ?? false,
      image: kind.name,
    });
    const id = `j${number}`;
    this.#kindOf.set(id, kind);
    this.#workMs.set(id, works);
    const submittedMs = random.between(0, END_MS - 1);
    return { ...createJob(id, [step]), submittedMs };
  }

  #submit(job: Job): void {
    const times = { nowMs: this.#nowMs, wallMs: this.#nowMs };
    this.#board.addJob(job, 1, { queue: QUEUE, ...times });
    const result = this.#resultOf(job);
    if (result !== undefined) result.jobs += 1;
  }

  #plan(): void {
    const startedMs = performance.now();
    const { starts } = this.#planner.plan({
      nowMs: this.#nowMs,
      wallMs: this.#nowMs,
      limit: 100,
      model: this.#model,
      isUsable: () => true,
      areRunsKnown: () => true,
    });
    this.#planMs += performance.now() - startedMs;
    for (const attempt of starts) {
      this.#board.onStarted(attempt, this.#nowMs);
      const { stepRun, index } = attempt.task;
      const { job } = stepRun.record;
      const workMs = this.#workMs.get(job.id)?.[index] ?? 0;
      this.#endsMs.set(attempt, this.#nowMs + workMs);
      this.#resultOf(job)?.waitsMs.push(this.#nowMs - job.submittedMs);
      const cores = stepRun.step.resources.cpuMilli / 1000;
      this.#usedMs += cores * Math.min(workMs, END_MS - this.#nowMs);
    }
  }

  /** Reports ends at once, and the progress of runs now and then. */
  #report(worker: WorkerRecord, isDue: boolean): void {
    const nowMs = this.#nowMs;
    const attempts = [...worker.attempts];
    const isOver = (attempt: Attempt) =>
      (this.#endsMs.get(attempt) ?? 0) <= nowMs;
    const over = attempts.filter(isOver);
    if (over.length === 0 && !isDue) return;
    let number = worker.lastEndNumber;
    const ended = over.map(({ task, run }) => {
      number += 1;
      const name = taskNameOf(task);
      return { number, task: name, run, end: RunEnd.Done, checkpoint: "" };
    });
    const running = attempts
      .filter((attempt) => !isOver(attempt))
      .map((attempt) => ({
        task: taskNameOf(attempt.task),
        run: attempt.run,
        checkpoint: "",
        percent: this.#percentOf(attempt),
        measurement: 0,
      }));
    this.#board.onReport(
      worker,
      { clockMs: nowMs, bornMs: 1, running, ended, hasMore: false },
      { sentMs: nowMs, nowMs, wallMs: nowMs },
    );
    this.#planner.onReport(worker, nowMs);
  }

  #percentOf(attempt: Attempt): number {
    const endMs = this.#endsMs.get(attempt) ?? 0;
    const workedMs = this.#nowMs - attempt.sentMs;
    return Math.floor((100 * workedMs) / (endMs - attempt.sentMs));
  }

  #onDone(job: Job): void {
    const record = this.#board.jobs.get(job.id);
    const result = this.#resultOf(job);
    if (record === undefined || result === undefined) return;
    const tookMs = this.#nowMs - job.submittedMs;
    if (tookMs <= objectiveMs(record)) result.met += 1;
  }

  #countWaiting(): void {
    for (const { job, occurrences } of this.#board.jobs.values()) {
      for (const { tasks } of occurrences.flat()) {
        for (const { isDone, attempts } of tasks) {
          if (isDone || attempts.length > 0) continue;
          this.#resultOf(job)?.waitsMs.push(END_MS - job.submittedMs);
        }
      }
    }
  }

  #resultOf(job: Job): KindResult | undefined {
    if (job.submittedMs > COUNTED_MS) return undefined;
    return this.#results.get(this.#kindOf.get(job.id)?.name ?? "");
  }
}
