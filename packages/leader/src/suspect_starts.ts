import type { Clock } from "@laburnumtrack/core/clock";
import {
  type Loss,
  LossChange,
  LossEvidence,
} from "@laburnumtrack/jobs/crash_losses";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import {
  type Attempt,
  AttemptPhase,
  type JobRecord,
  type Task,
} from "@laburnumtrack/jobs/task";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** Options of {@linkcode SuspectStarts}. */
export interface SuspectStartsOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  /** Whether the last change of a job is stored. */
  readonly isStored: (record: JobRecord) => boolean;
  /** Sends the start of an attempt. */
  readonly sendStart: (attempt: Attempt) => void;
}

/** Interval at which it is checked whether a start is stored, in ms. */
const STORE_POLL_INTERVAL_MS = 10;
/**
 * Longest time that a start waits to be stored, in ms. Reports are expected to
 * list a run soon after the start was planned.
 */
const MAX_STORE_WAIT_MS = 1000;

/**
 * Sends starts once it is stored that the tasks are started: the next leader must
 * know of a run that may crash its worker and leave no trace, and on which worker
 * a long-running task may run.
 */
export class SuspectStarts {
  readonly #options: SuspectStartsOptions;

  constructor(options: SuspectStartsOptions) {
    this.#options = options;
  }

  /**
   * Sends the start once the state of its job is stored, with the start as a
   * possible loss if the task had any.
   */
  async send(attempt: Attempt): Promise<void> {
    const { clock, board, isStored, sendStart } = this.#options;
    const { task } = attempt;
    if (task.losses.length > 0) this.#recordPossibleLoss(attempt);
    const { record } = task.stepRun;
    const untilMs = clock.nowMs() + MAX_STORE_WAIT_MS;
    while (!isStored(record) && clock.nowMs() < untilMs) {
      await clock.sleep(STORE_POLL_INTERVAL_MS);
    }
    if (attempt.phase !== AttemptPhase.Starting) return;
    if (isStored(record)) sendStart(attempt);
    else board.onRefused(attempt, clock.nowMs());
  }

  #recordPossibleLoss(attempt: Attempt): void {
    const { board, journal, metrics } = this.#options;
    const { task, worker, run } = attempt;
    journal.info("A task under which workers were lost is started.", {
      ...describe(task),
      run,
      worker: worker.id,
      isIsolated: attempt.isIsolated,
      losses: task.losses.length,
    });
    metrics.count("suspect_starts");
    board.losses.recordAttempt(attempt, LossEvidence.Open);
  }

  /** Gives up jobs with a task under which workers keep crashing. */
  giveUpCrashLoops(): void {
    const { clock, board, journal, metrics } = this.#options;
    const tasks = board.giveUpCrashLoops(clock.nowMs(), clock.wallMs());
    for (const task of tasks) {
      metrics.count("crash_loops");
      journal.warn("A job is given up: workers crash under a task of it.", {
        ...describe(task),
        runs: task.losses.map(
          ({ run, workerId, evidence }) =>
            `run ${run} on ${workerId}: ${evidence}`,
        ),
      });
    }
  }

  /** Logs a loss; open ones are only possible losses. */
  onLoss(task: Task, loss: Loss, change: LossChange): void {
    const { journal, metrics } = this.#options;
    if (loss.evidence === LossEvidence.Open) return;
    const fields = {
      ...describe(task),
      run: loss.run,
      worker: loss.workerId,
      evidence: loss.evidence,
      losses: task.losses.length,
    };
    if (change === LossChange.Withdrawn) {
      metrics.count("losses_withdrawn");
      journal.info("A run is no longer held against its task.", fields);
      return;
    }
    metrics.count(`losses{evidence="${loss.evidence}"}`);
    journal.info("A run was lost with its worker.", fields);
  }
}

function describe({ stepRun, index }: Task): {
  job: string;
  step: number;
  task: number;
} {
  return { job: stepRun.record.job.id, step: stepRun.number, task: index };
}
