import type { Clock } from "@laburnumtrack/core/clock";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { rankJob } from "@laburnumtrack/jobs/job_order";
import {
  type DelayReason,
  listStartDelays,
  listUsablePools,
  type StartDelay,
} from "@laburnumtrack/jobs/start_delay";
import {
  type PlanningState,
  rankJobs,
} from "@laburnumtrack/jobs/start_planner";
import type { JobRecord, Task } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** Options of a start delay log. */
export interface StartDelayLogOptions {
  readonly clock: Clock;
  readonly board: JobBoard;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** State of the planner, on which the reasons depend. */
  readonly planning: () => PlanningState;
  /** Number of workers that get no new task, by the reason. */
  readonly exclusions: () => Readonly<Record<string, number>>;
}

/** Interval between two looks at the waiting tasks, in ms. */
const INTERVAL_MS = 1000;
/** Delays shorter than this are not logged, in ms. */
const MIN_LOGGED_MS = 1500;
/** Most tasks that one line names. */
const MAX_NAMED = 5;

/** A delay and how long it has lasted, in ms. */
interface LongDelay {
  readonly delay: StartDelay;
  readonly delayedMs: number;
}

/**
 * Logs why tasks are not started: one line per reason, with the tasks that have waited
 * longest. Records how long tasks waited.
 */
export class StartDelayLog {
  readonly #options: StartDelayLogOptions;
  /** Monotonic ms at which a task was first seen to wait. */
  #sinceMs = new Map<Task, number>();

  constructor(options: StartDelayLogOptions) {
    this.#options = options;
  }

  /** Logs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(INTERVAL_MS, signal);
      if (!signal.aborted) this.#logOnce();
    }
  }

  #logOnce(): void {
    const { board, planning, clock } = this.#options;
    const options = planning();
    const nowMs = clock.nowMs();
    const sinceMs = new Map<Task, number>();
    const byReason = new Map<DelayReason, LongDelay[]>();
    const pools = listUsablePools(board.workers.values(), options);
    const ranked = rankJobs(board, { wallMs: clock.wallMs() });
    for (const record of ranked) {
      for (const delay of listStartDelays(record, pools, options)) {
        const startMs = this.#sinceMs.get(delay.task) ?? nowMs;
        sinceMs.set(delay.task, startMs);
        const delayedMs = nowMs - startMs;
        if (delayedMs < MIN_LOGGED_MS) continue;
        const delays = byReason.get(delay.reason);
        if (delays === undefined)
          byReason.set(delay.reason, [{ delay, delayedMs }]);
        else delays.push({ delay, delayedMs });
      }
    }
    this.#recordEnded(sinceMs, nowMs);
    this.#sinceMs = sinceMs;
    if (byReason.size === 0) return;
    const shared = {
      excludedWorkers: this.#options.exclusions(),
      room: describeRoom(board.workers.values(), options),
    };
    const places = new Map(ranked.map((record, index) => [record, index + 1]));
    for (const [reason, delays] of byReason) {
      this.#logReason(reason, delays, shared, places);
    }
  }

  #recordEnded(waiting: ReadonlyMap<Task, number>, nowMs: number): void {
    for (const [task, startMs] of this.#sinceMs) {
      if (waiting.has(task)) continue;
      this.#options.metrics.recordMs("task_start_delay", nowMs - startMs);
    }
  }

  #logReason(
    reason: DelayReason,
    delays: LongDelay[],
    shared: object,
    places: ReadonlyMap<JobRecord, number>,
  ): void {
    const { journal, clock } = this.#options;
    const wallMs = clock.wallMs();
    delays.sort((a, b) => b.delayedMs - a.delayedMs);
    journal.info("Tasks are not started yet.", {
      reason,
      count: delays.length,
      ...shared,
      longest: delays.slice(0, MAX_NAMED).map(({ delay, delayedMs }) => {
        const { stepRun, index } = delay.task;
        const { record, occurrence, number, step } = stepRun;
        return {
          job: record.job.id,
          task: `${occurrence}.${number}.${index}`,
          delayedMs: Math.round(delayedMs),
          worker: delay.worker?.id,
          cpuMilli: step.resources.cpuMilli,
          memoryMb: step.resources.memoryMb,
          place: places.get(record),
          rank: rankJob(record, wallMs),
          passes: record.passes,
          stoppedRuns: record.stoppedRuns,
        };
      }),
    });
  }
}

/** Free CPU of the workers that take tasks, in thousandths of a core. */
interface PoolRoom {
  /** Of all workers. */
  freeMilli: number;
  /** Of the worker that has most. */
  mostFreeMilli: number;
}

function describeRoom(
  workers: Iterable<WorkerRecord>,
  { isUsable }: PlanningState,
): Record<string, PoolRoom> {
  const rooms = new Map<string, PoolRoom>();
  for (const worker of workers) {
    if (!isUsable(worker)) continue;
    const { pool, capacity } = worker.info;
    const freeMilli = Math.max(0, capacity.cpuMilli - worker.cpuMilli);
    const room = rooms.get(pool) ?? { freeMilli: 0, mostFreeMilli: 0 };
    room.freeMilli += freeMilli;
    room.mostFreeMilli = Math.max(room.mostFreeMilli, freeMilli);
    rooms.set(pool, room);
  }
  return Object.fromEntries(rooms);
}
