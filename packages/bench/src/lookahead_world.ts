import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import type { Job } from "@laburnumtrack/jobs/job";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { objectiveMs } from "@laburnumtrack/jobs/job_order";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import { type Attempt, type Task, taskNameOf } from "@laburnumtrack/jobs/task";
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
  /** Number of runs that were stopped. */
  readonly stopped: number;
}

const WORKERS = 24;
const WORKER_CORES = 16;
/** The same with the larger tasks of the burst. */
const BURST_WORKER_CORES = 64;
const TICK_MS = 20;
const END_MS = 30_000;
/** Time of the burst, in ms. */
const BURST_MS = { from: 8000, to: 14_000 };
/** Time from the order to stop a run until its end is reported, in ms. */
const STOP_MS = 300;
/** Time that a task takes to resume from its checkpoint, in ms. */
const RESTORE_MS = 100;
/** Jobs that are submitted later do not count. */
const COUNTED_MS = 25_000;
const REPORT_TICKS = 20;
const QUEUE = { priority: 0, stretch: 2, targetMs: 1000 };

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
  /** Work that is left of each task of a job, in ms. */
  readonly #workMs = new Map<string, number[]>();
  readonly #endsMs = new Map<Attempt, number>();
  /** Ends of runs that are being stopped, in ms. */
  readonly #stopsMs = new Map<Attempt, number>();
  readonly #cores: number;
  readonly #isMerged: boolean;
  /** Tasks that were started; runs of gangs do not begin with number 1. */
  readonly #started = new Set<Task>();
  #stopped = 0;
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
    const hasBurst = pattern.kinds.some(({ burst }) => burst !== undefined);
    const workerCores = hasBurst ? BURST_WORKER_CORES : WORKER_CORES;
    this.#cores = WORKERS * workerCores;
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
    const cores = this.#cores / count;
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
    const cpuMs = this.#cores * END_MS;
    return {
      utilization: this.#usedMs / cpuMs,
      kinds: this.#results,
      planMs: this.#planMs,
      stopped: this.#stopped,
    };
  }

  /** Draws all jobs in advance, so that each policy gets the same. */
  #drawJobs(): Job[] {
    const jobs: Job[] = [];
    for (const kind of this.#pattern.kinds) {
      const perMs = this.#cores * this.#pattern.load * kind.share;
      this.#draw(kind, { from: 0, to: END_MS, coreMs: perMs * END_MS }, jobs);
      const { from, to } = BURST_MS;
      const more = (kind.burst ?? 1) - 1;
      const coreMs = perMs * more * (to - from);
      this.#draw(kind, { ...BURST_MS, coreMs }, jobs);
    }
    return jobs.sort((a, b) => a.submittedMs - b.submittedMs);
  }

  /** Draws jobs of a kind that come in a period and need so many core-ms. */
  #draw(
    kind: JobKind,
    { from, to, coreMs }: { from: number; to: number; coreMs: number },
    jobs: Job[],
  ): void {
    let left = coreMs;
    while (left > 0) {
      const job = this.#drawJob(kind, jobs.length);
      const workMs = this.#workMs.get(job.id) ?? [];
      const cores = (job.steps[0]?.resources.cpuMilli ?? 1000) / 1000;
      left -= workMs.reduce((sum, ms) => sum + ms * cores, 0);
      const submittedMs = this.#random.between(from, to - 1);
      jobs.push({ ...job, submittedMs });
    }
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
      isCheckpointing: random.chance(kind.checkpointing ?? 0),
      image: kind.name,
    });
    const id = `j${number}`;
    this.#kindOf.set(id, kind);
    this.#workMs.set(id, works);
    return createJob(id, [step]);
  }

  #submit(job: Job): void {
    const times = { nowMs: this.#nowMs, wallMs: this.#nowMs };
    const settings = this.#kindOf.get(job.id)?.queue ?? QUEUE;
    this.#board.addJob(job, 1, { queue: createQueue(settings), ...times });
    const result = this.#resultOf(job);
    if (result !== undefined) result.jobs += 1;
  }

  #plan(): void {
    const startedMs = performance.now();
    const { starts, preempting } = this.#planner.plan({
      nowMs: this.#nowMs,
      wallMs: this.#nowMs,
      limit: 100,
      model: this.#model,
      isUsable: () => true,
      areRunsKnown: () => true,
    });
    this.#planMs += performance.now() - startedMs;
    for (const { victims } of preempting) {
      for (const victim of victims) {
        this.#stopsMs.set(victim, this.#nowMs + STOP_MS);
        this.#board.stop(victim, "preempted");
        this.#stopped += 1;
      }
    }
    for (const attempt of starts) {
      this.#board.onStarted(attempt, this.#nowMs);
      const { stepRun, index } = attempt.task;
      const { job } = stepRun.record;
      const isResumed = this.#started.has(attempt.task);
      this.#started.add(attempt.task);
      const restoreMs = isResumed ? RESTORE_MS : 0;
      const workMs = (this.#workMs.get(job.id)?.[index] ?? 0) + restoreMs;
      this.#endsMs.set(attempt, this.#nowMs + workMs);
      if (isResumed) continue;
      this.#resultOf(job)?.waitsMs.push(this.#nowMs - job.submittedMs);
      const cores = stepRun.step.resources.cpuMilli / 1000;
      this.#usedMs += cores * Math.min(workMs, END_MS - this.#nowMs);
    }
  }

  /** Reports ends at once, and the progress of runs now and then. */
  #report(worker: WorkerRecord, isDue: boolean): void {
    const nowMs = this.#nowMs;
    const attempts = [...worker.attempts];
    const isDone = (attempt: Attempt) =>
      (this.#endsMs.get(attempt) ?? 0) <= nowMs;
    const isOver = (attempt: Attempt) =>
      isDone(attempt) || (this.#stopsMs.get(attempt) ?? END_MS) <= nowMs;
    const over = attempts.filter(isOver);
    if (over.length === 0 && !isDue) return;
    let number = worker.lastEndNumber;
    const ended = over.map((attempt) => {
      const { task, run } = attempt;
      number += 1;
      const name = taskNameOf(task);
      const end = isDone(attempt) ? RunEnd.Done : RunEnd.Stopped;
      if (end === RunEnd.Stopped) this.#saveWork(attempt);
      return { number, task: name, run, end, checkpoint: "c" };
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

  /** A stopped run leaves a checkpoint of what it has done. */
  #saveWork({ task, sentMs }: Attempt): void {
    const { record } = task.stepRun;
    const works = this.#workMs.get(record.job.id);
    const leftMs = works?.[task.index];
    if (works === undefined || leftMs === undefined) return;
    const workedMs = this.#nowMs - sentMs - RESTORE_MS;
    works[task.index] = Math.max(1, leftMs - Math.max(0, workedMs));
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
          const [attempt] = attempts;
          if (isDone || attempt !== undefined) continue;
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
