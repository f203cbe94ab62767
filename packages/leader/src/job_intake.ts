import type { Clock } from "@laburnumtrack/core/clock";
import type {
  ChangedRow,
  FeedTable,
  Snapshot,
} from "@laburnumtrack/core/feed_table";
import type { Row } from "@laburnumtrack/core/table";
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
import { coreSecondsOf, countTasks } from "@laburnumtrack/jobs/job_size";
import {
  isFinal,
  JobPhase,
  type JobState,
} from "@laburnumtrack/jobs/job_state";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { StateParts } from "@laburnumtrack/jobs/state_rows";
import type { JobRecord } from "@laburnumtrack/jobs/task";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { RowFollower } from "@laburnumtrack/process/row_follower";
import type { JobHistory } from "./job_history";
import type { RowCloser } from "./row_closer";
import { ServiceBySize } from "./service_by_size";

/** Options of a job intake. */
export interface JobIntakeOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly closer: RowCloser;
  readonly history: JobHistory;
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

/** A stored state of a job that is not over, with the revision of its row. */
interface FormerState {
  readonly state: JobState;
  readonly revision: number;
}

/** Adds jobs of the table to the board, and removes those that are finished. */
export class JobIntake {
  readonly follower: RowFollower;
  readonly #options: JobIntakeOptions;
  /** States that were stored before this term, of jobs not yet on the board. */
  readonly #formerStates = new Map<string, FormerState>();
  /** Jobs of former leaders that are over, beyond those of the history. */
  readonly #formerFinals = new Map<string, number>();
  /** Finished jobs whose rows the reading under way has found. */
  readonly #readIds = new Set<string>();
  /** Jobs whose stored state cannot be decoded. */
  readonly #unreadable = new Set<string>();
  /** Jobs whose final state is stored and that are still on the board. */
  readonly #removable = new Set<string>();
  readonly #serviceBySize: ServiceBySize;
  #configVersion = 0;

  constructor(options: JobIntakeOptions) {
    this.#options = options;
    this.#serviceBySize = new ServiceBySize(options.metrics);
    const { clock, table, journal, minRevision } = options;
    this.follower = new RowFollower({
      clock,
      table,
      journal,
      minRevision: minRevision,
      prefix: RowPrefix.Jobs,
      isPaged: true,
      listener: {
        onSnapshot: (snapshot) => this.#onSnapshot(snapshot),
        onRow: (row) => this.#onRow(row),
      },
    });
  }

  /** Reads the stored job states; false when the read failed or is outdated. */
  async loadStates(): Promise<boolean> {
    const { table, minRevision } = this.#options;
    const parts = new StateParts();
    const read = await table.readPages(
      RowPrefix.States,
      ({ rows, revision }) => {
        // An outdated read may lack the last commits of the former leader.
        if (revision < minRevision) return false;
        for (const row of rows) if (!parts.take(row)) this.#onState(row);
        return true;
      },
    );
    if (read.err || read.val.revision < minRevision) return false;
    this.#joinParts(parts);
    return true;
  }

  /** Completes the states that are stored in several rows. */
  #joinParts(parts: StateParts): void {
    for (const [id, former] of this.#formerStates) {
      const state = parts.join(id, former.state);
      if (state !== undefined) this.#formerStates.set(id, { ...former, state });
      else {
        this.#formerStates.delete(id);
        this.#onUnreadableState(id, "a row of the state is missing");
      }
    }
  }

  #onState(row: Row): void {
    const { history } = this.#options;
    const id = jobIdOfKey(row.key);
    const read = readState(row);
    const { revision } = row;
    if (read.err) this.#onUnreadableState(id, read.val.message);
    else if (!isFinal(read.val.phase)) {
      this.#formerStates.set(id, { state: read.val, revision });
    } else if (history.hasRoom) {
      history.onFinalState(id, { ...read.val, revision });
    } else this.#formerFinals.set(id, revision);
  }

  /** Marks a job, whose final state is stored, for removal. */
  onFinalStored(record: JobRecord): void {
    const { journal, metrics, closer, history } = this.#options;
    const { job, phase, sinceMs, revision } = record;
    journal.info("A job finished.", {
      job: job.id,
      queue: job.queue,
      phase,
      tookMs: Math.round(sinceMs - job.submittedMs),
      objectiveMs: Math.round(objectiveMs(record)),
      coreSeconds: Math.round(coreSecondsOf(job)),
      passes: record.passes,
      stoppedRuns: record.stoppedRuns,
    });
    this.#serviceBySize.onFinished(record);
    metrics.count(`jobs_over{phase="${phase}"}`);
    this.#removable.add(job.id);
    history.onFinalState(job.id, { phase, sinceMs, revision });
    if (!history.isClosed(job.id)) closer.add(job.id, revision);
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

  /** Notes the rows that were removed while the changes were not followed. */
  #onSnapshot({ revision }: Snapshot): void {
    this.#options.history.onRowsRead(this.#readIds, revision);
    this.#readIds.clear();
    this.#formerFinals.clear();
  }

  #onRow(row: ChangedRow): void {
    const { board, history } = this.#options;
    const id = jobIdOfKey(row.key);
    if (row.value === undefined) {
      history.onRowRemoved(id);
      this.#readIds.delete(id);
      board.onReopened(id);
      return;
    }
    const read = readJobRow({ value: row.value });
    if (read.err) {
      this.#onMalformed(row.key, read.val.message);
      return;
    }
    const { job, isCancelled, refusal, closedMs } = read.val;
    const { revision } = row;
    if (isCancelled) this.#onCancelled(id);
    if (refusal !== undefined) {
      // No job is stored. The tombstone goes once no late commit can arrive any
      // more, unless a later submission replaces it.
      history.onRowClosed(id, { revision, finishedMs: refusal.atMs });
    } else if (job === undefined) this.#onClosed(id, revision, closedMs);
    else this.#onOpen(id, job, revision);
    // An open job may finish before the snapshot that shows its row is complete.
    if (job !== undefined || history.has(id)) this.#readIds.add(id);
  }

  /** Handles the row of a job whose tasks may start. */
  #onOpen(id: string, job: Job, revision: number): void {
    const { board, closer, history } = this.#options;
    if (board.jobs.has(id) || this.#unreadable.has(id)) return;
    const finalRevision = this.#formerFinals.get(id);
    if (finalRevision !== undefined) history.onFormerFinal(id, finalRevision);
    if (history.isOver(id, revision)) {
      // Its final state is stored, but a former leader did not close its row; or
      // the row is read again.
      if (!history.isClosed(id)) closer.add(id, revision);
      return;
    }
    history.forget(id);
    board.onReopened(id);
    this.#addJob(job, revision);
  }

  /** Handles the row of a job none of whose tasks may start any more. */
  #onClosed(id: string, revision: number, closedMs: number | undefined): void {
    const { board, clock, history } = this.#options;
    board.onClosed(id);
    this.#formerFinals.delete(id);
    history.onRowClosed(id, { revision, finishedMs: closedMs });
    const former = this.#formerStates.get(id);
    this.#formerStates.delete(id);
    if (former === undefined && !this.#unreadable.has(id)) return;
    // It was cancelled, and the leader of then did not store that any more.
    const sinceMs = closedMs ?? clock.wallMs();
    history.onFinalState(id, {
      phase: JobPhase.Cancelled,
      sinceMs,
      revision,
      parts: former?.state.parts,
    });
  }

  #addJob(job: Job, revision: number): void {
    const { board, clock, config, journal, onBoardChanged } = this.#options;
    const state = this.#formerStates.get(job.id)?.state;
    this.#formerStates.delete(job.id);
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
      tasks: countTasks(job),
      coreSeconds: Math.round(coreSecondsOf(job)),
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
