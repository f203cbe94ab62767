import type { Clock } from "@laburnumtrack/core/clock";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import type { PlanOptions } from "@laburnumtrack/jobs/start_planner";
import type { Attempt, Task } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Preempting } from "@laburnumtrack/planning/preemption";
import {
  NO_FEATURES,
  type PlanningFeatures,
  RoundPlanner,
} from "@laburnumtrack/planning/round_planner";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** Options of {@linkcode PlannedRounds}. */
export interface PlannedRoundsOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly planning?: PlanningFeatures | undefined;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
  /** Monotonic ms at which the leadership was acquired. */
  readonly acquiredMs: number;
  /** Revision above which no former leader stopped runs of a job. */
  readonly newJobsAbove: number;
}

/** Plans rounds of starts and carries out the stops that they need. */
export class PlannedRounds {
  readonly #options: PlannedRoundsOptions;
  readonly #planner: RoundPlanner;

  constructor(options: PlannedRoundsOptions) {
    this.#options = options;
    this.#planner = new RoundPlanner({
      ...options,
      features: options.planning ?? NO_FEATURES,
      origin: { startMs: options.acquiredMs, revision: options.newJobsAbove },
    });
    options.metrics.gauge("held_rooms", () => this.#planner.holds.size);
  }

  /** Plans a round, requests its stops, and returns the starts to be sent. */
  plan(options: PlanOptions): readonly Attempt[] {
    const { starts, preempting, stragglers } = this.#planner.plan(options);
    for (const one of preempting) this.#preempt(one);
    for (const copy of stragglers.copies) this.#logCopy(copy);
    for (const move of stragglers.moves) this.#move(move);
    return starts;
  }

  /** Whether jobs of the most urgent queues are also planned between the rounds. */
  get hasUrgentRounds(): boolean {
    return this.#options.planning?.hasUrgentRounds ?? false;
  }

  /** Plans only jobs of queues with at most this priority, in free room. */
  planUrgent(options: PlanOptions, priorityLimit: number): readonly Attempt[] {
    return this.#planner.planUrgent(options, priorityLimit);
  }

  /** Learns from a report of the worker that was applied to the board. */
  onReport(worker: WorkerRecord): void {
    this.#planner.onReport(worker, this.#options.clock.nowMs());
  }

  #preempt({ stepRun, places, victims, slackMs }: Preempting): void {
    const { journal, metrics, board } = this.#options;
    metrics.count("preemptions");
    metrics.count("preempted_runs", victims.length);
    journal.info("Room is held for a step, for which less urgent runs stop.", {
      job: stepRun.record.job.id,
      step: stepRun.number,
      places,
      slackMs: Math.round(slackMs),
      victims: victims.map(describeVictim),
    });
    for (const victim of victims) board.stop(victim, "preempted");
  }

  #logCopy({ task, run, worker }: Attempt): void {
    const { journal, metrics } = this.#options;
    metrics.count("straggler_copies");
    journal.info("A second run of a task starts, as its first one is slow.", {
      ...describe(task),
      run,
      worker: worker.id,
      slow: task.attempts.filter((one) => one.run !== run).map(describeVictim),
    });
  }

  #move(attempt: Attempt): void {
    const { journal, metrics, board } = this.#options;
    metrics.count("straggler_moves");
    journal.info("A run on a slow worker stops, to resume on another one.", {
      ...describe(attempt.task),
      run: attempt.run,
      worker: attempt.worker.id,
      percent: attempt.percent,
    });
    board.stop(attempt, "much slower than others");
  }
}

function describe({ stepRun, index }: Task) {
  return { job: stepRun.record.job.id, step: stepRun.number, task: index };
}

function describeVictim({ task, run, worker, percent }: Attempt): string {
  const { record, occurrence, number } = task.stepRun;
  const name = `${record.job.id}.${occurrence}.${number}.${task.index}`;
  return `${name} run ${run} on ${worker.id} at ${percent}%`;
}
