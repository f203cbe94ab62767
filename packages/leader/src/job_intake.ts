import type { Clock } from "@laburnumtrack/core/clock";
import type { ChangedRow, FeedTable } from "@laburnumtrack/core/feed_table";
import type { Job } from "@laburnumtrack/jobs/job";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { objectiveMs } from "@laburnumtrack/jobs/job_order";
import { hasAttempts } from "@laburnumtrack/jobs/job_record";
import {
  idOfKey,
  RowPrefix,
  readJobRow,
  readState,
} from "@laburnumtrack/jobs/job_rows";
import { isFinal, type JobState } from "@laburnumtrack/jobs/job_state";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import type { JobRecord } from "@laburnumtrack/jobs/task";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { RowFollower } from "@laburnumtrack/process/row_follower";
import type { RowCloser } from "./row_closer";

/** How an intake is set up. */
export interface JobIntakeOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly closer: RowCloser;
  /** Queues and pools in force on this process. */
  readonly config: () => QueueConfig;
  /** Revision of the leadership: older reads may lack what came before it. */
  readonly floor: number;
  /** The board changed: plan again. */
  readonly onNews: () => void;
}

/** Brings jobs from the table to the board, and takes those off that are over. */
export class JobIntake {
  readonly follower: RowFollower;
  readonly #options: JobIntakeOptions;
  /** States of jobs that were stored before this term. */
  readonly #states = new Map<string, JobState>();
  /** Jobs whose end is stored and that still have attempts. */
  readonly #stored = new Set<string>();
  /** Jobs that ended in this term, or had before it. */
  readonly #finished = new Set<string>();
  #configVersion = 0;

  constructor(options: JobIntakeOptions) {
    this.#options = options;
    const { clock, table, journal, floor } = options;
    this.follower = new RowFollower({
      clock,
      table,
      journal,
      floor,
      prefix: RowPrefix.Jobs,
      listener: {
        onSnapshot: ({ rows }) => {
          for (const row of rows) this.#onRow(row);
        },
        onChange: (row) => this.#onRow(row),
      },
    });
  }

  /** Reads what is stored of jobs' progress; false: try again. */
  async loadStates(): Promise<boolean> {
    const { table, floor } = this.#options;
    const states = await table.snapshot(RowPrefix.States);
    // An older read may lack what the former leader stored last.
    if (states.err || states.val.revision < floor) return false;
    for (const row of states.val.rows) {
      const state = readState(row);
      if (state.ok) this.#states.set(idOfKey(row.key), state.val);
      else this.#onMalformed(row.key, state.val.message);
    }
    return true;
  }

  /** The end of a job is stored. */
  onFinalStored(record: JobRecord): void {
    const { journal, metrics, closer } = this.#options;
    const { job, phase, sinceMs, revision } = record;
    journal.info("A job is over.", {
      job: job.id,
      queue: job.queue,
      phase,
      tookMs: Math.round(sinceMs - job.submittedMs),
      objectiveMs: Math.round(objectiveMs(record)),
    });
    metrics.count(`jobs_over{phase="${phase}"}`);
    this.#stored.add(job.id);
    this.#finished.add(job.id);
    closer.add(job.id, revision);
  }

  /** Jobs take their queue's terms from the newest version that has it. */
  followConfig(): void {
    const { board, config } = this.#options;
    const { version, queues } = config();
    if (version === this.#configVersion) return;
    this.#configVersion = version;
    const byName = new Map(queues.map((queue) => [queue.name, queue]));
    for (const record of board.jobs.values()) {
      record.queue = byName.get(record.job.queue) ?? record.queue;
    }
  }

  /** Forgets jobs that are over and have nothing at work. */
  sweep(): void {
    const { board } = this.#options;
    for (const id of this.#stored) {
      const record = board.jobs.get(id);
      if (record !== undefined && hasAttempts(record)) continue;
      board.dropJob(id);
      this.#stored.delete(id);
    }
  }

  #onRow(row: ChangedRow): void {
    const { board } = this.#options;
    const id = idOfKey(row.key);
    if (row.value === undefined) return;
    const read = readJobRow({ value: row.value });
    if (read.err) {
      this.#onMalformed(row.key, read.val.message);
      return;
    }
    const { job, isCancelled } = read.val;
    if (isCancelled) this.#onCancelled(id);
    if (job === undefined || board.jobs.has(id)) return;
    // Rows may be read again after their job is over.
    if (this.#finished.has(id)) return;
    this.#addJob(job, row.revision);
  }

  #addJob(job: Job, revision: number): void {
    const { board, closer, config, journal, onNews } = this.#options;
    const state = this.#states.get(job.id);
    this.#states.delete(job.id);
    if (state !== undefined && isFinal(state.phase)) {
      this.#finished.add(job.id);
      closer.add(job.id, revision);
      return;
    }
    const queue = config().queues.find(({ name }) => name === job.queue);
    const record = board.addJob(job, revision, { queue, state });
    journal.info("A job is taken in.", {
      job: job.id,
      queue: job.queue,
      revision,
      phase: record.phase,
      steps: job.steps.length,
    });
    onNews();
  }

  #onCancelled(id: string): void {
    const { board, clock, journal, onNews } = this.#options;
    const record = board.cancelJob(id, clock.wallMs());
    if (record === undefined) return;
    journal.info("A job is cancelled.", { job: id });
    onNews();
  }

  #onMalformed(key: string, cause: string): void {
    this.#options.journal.warn("A row cannot be read.", { key, cause });
  }
}
