import type { Clock } from "@laburnumtrack/core/clock";
import type { ChangedRow, FeedTable } from "@laburnumtrack/core/feed_table";
import type { Job } from "@laburnumtrack/jobs/job";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { objectiveMs } from "@laburnumtrack/jobs/job_order";
import { hasAttempts } from "@laburnumtrack/jobs/job_record";
import {
  jobIdOfKey,
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

/** Options of a job intake. */
export interface JobIntakeOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly closer: RowCloser;
  /** The queue configuration that this process uses. */
  readonly config: () => QueueConfig;
  /**
   * Revision of the leadership. Older reads are rejected because they may
   * lack what was stored before it.
   */
  readonly minRevision: number;
  /** Called when the board changed, so that starts are planned anew. */
  readonly onBoardChanged: () => void;
}

/** Adds jobs of the table to the board, and removes those that are finished. */
export class JobIntake {
  readonly follower: RowFollower;
  readonly #options: JobIntakeOptions;
  /** States that were stored before this term, of jobs not yet on the board. */
  readonly #formerStates = new Map<string, JobState>();
  /** Jobs whose stored state cannot be decoded. */
  readonly #unreadable = new Set<string>();
  /** Jobs whose final state is stored and that are still on the board. */
  readonly #removable = new Set<string>();
  /** Jobs that finished, in this term or before it. */
  readonly #finished = new Set<string>();
  #configVersion = 0;

  constructor(options: JobIntakeOptions) {
    this.#options = options;
    const { clock, table, journal, minRevision } = options;
    this.follower = new RowFollower({
      clock,
      table,
      journal,
      minRevision: minRevision,
      prefix: RowPrefix.Jobs,
      listener: { onRow: (row) => this.#onRow(row) },
    });
  }

  /** Reads the stored job states; false when the read failed or is outdated. */
  async loadStates(): Promise<boolean> {
    const { table, minRevision } = this.#options;
    const states = await table.snapshot(RowPrefix.States);
    // An outdated read may lack the last commits of the former leader.
    if (states.err || states.val.revision < minRevision) return false;
    for (const row of states.val.rows) {
      const state = readState(row);
      const id = jobIdOfKey(row.key);
      if (state.ok) this.#formerStates.set(id, state.val);
      else this.#onUnreadableState(id, state.val.message);
    }
    return true;
  }

  /** Marks a job, whose final state is stored, for removal. */
  onFinalStored(record: JobRecord): void {
    const { journal, metrics, closer } = this.#options;
    const { job, phase, sinceMs, revision } = record;
    journal.info("A job finished.", {
      job: job.id,
      queue: job.queue,
      phase,
      tookMs: Math.round(sinceMs - job.submittedMs),
      objectiveMs: Math.round(objectiveMs(record)),
    });
    metrics.count(`jobs_over{phase="${phase}"}`);
    this.#removable.add(job.id);
    this.#finished.add(job.id);
    closer.add(job.id, revision);
  }

  /**
   * Applies a new configuration to jobs on the board. A job whose queue was
   * removed keeps the last settings of that queue.
   */
  applyConfig(): void {
    const { board, config } = this.#options;
    const { version, queues } = config();
    if (version === this.#configVersion) return;
    this.#configVersion = version;
    const byName = new Map(queues.map((queue) => [queue.name, queue]));
    for (const record of board.jobs.values()) {
      record.queue = byName.get(record.job.queue) ?? record.queue;
    }
  }

  /** Removes finished jobs that have no attempts left from the board. */
  removeFinished(): void {
    const { board } = this.#options;
    for (const id of this.#removable) {
      const record = board.jobs.get(id);
      if (record !== undefined && hasAttempts(record)) continue;
      board.dropJob(id);
      this.#removable.delete(id);
    }
  }

  #onRow(row: ChangedRow): void {
    const { board } = this.#options;
    const id = jobIdOfKey(row.key);
    if (row.value === undefined) return;
    const read = readJobRow({ value: row.value });
    if (read.err) {
      this.#onMalformed(row.key, read.val.message);
      return;
    }
    const { job, isCancelled, refusal } = read.val;
    // No job is stored; a later submission may replace the row.
    if (refusal !== undefined) return;
    if (isCancelled) this.#onCancelled(id);
    if (job === undefined) board.onClosed(id);
    if (job === undefined || board.jobs.has(id)) return;
    // A row may be read again after its job finished.
    if (this.#finished.has(id) || this.#unreadable.has(id)) return;
    this.#addJob(job, row.revision);
  }

  #addJob(job: Job, revision: number): void {
    const { board, clock, closer, config, journal, onBoardChanged } =
      this.#options;
    const state = this.#formerStates.get(job.id);
    this.#formerStates.delete(job.id);
    if (state !== undefined && isFinal(state.phase)) {
      this.#finished.add(job.id);
      closer.add(job.id, revision);
      return;
    }
    const queue =
      config().queues.find(({ name }) => name === job.queue) ??
      job.queueSettings;
    const record = board.addJob(job, revision, {
      queue,
      state,
      nowMs: clock.nowMs(),
      wallMs: clock.wallMs(),
    });
    journal.info("A job was added to the leader's board.", {
      job: job.id,
      queue: job.queue,
      revision,
      phase: record.phase,
      steps: job.steps.length,
    });
    onBoardChanged();
  }

  #onCancelled(id: string): void {
    const { board, clock, journal, onBoardChanged } = this.#options;
    const record = board.cancelJob(id, clock.wallMs());
    if (record === undefined) return;
    journal.info("A caller cancelled a job; its tasks are stopped.", {
      job: id,
    });
    onBoardChanged();
  }

  /** Keeps a job from starting whose completed tasks are not known. */
  #onUnreadableState(job: string, cause: string): void {
    this.#unreadable.add(job);
    this.#options.journal.error(
      "The stored state of a job cannot be decoded; the job is not started, as its tasks could run twice.",
      { job, cause },
    );
  }

  #onMalformed(key: string, cause: string): void {
    this.#options.journal.warn(
      "Leader ignores a job row that cannot be decoded.",
      { key, cause },
    );
  }
}
