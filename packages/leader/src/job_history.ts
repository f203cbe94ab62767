import type { Clock } from "@laburnumtrack/core/clock";
import { FaultCode } from "@laburnumtrack/core/fault";
import type { FeedTable } from "@laburnumtrack/core/feed_table";
import type { Write } from "@laburnumtrack/core/table";
import {
  encodeEndedJob,
  endedKey,
  jobIdOfKey,
  jobKey,
  RowPrefix,
  readEndedJob,
  readJobRow,
  readState,
  stateKey,
} from "@laburnumtrack/jobs/job_rows";
import { isFinal, JobPhase } from "@laburnumtrack/jobs/job_state";
import { partKey } from "@laburnumtrack/jobs/state_rows";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** Options of a job history. */
export interface JobHistoryOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly metrics: Metrics;
  /** Time for which a finished job stays known to callers, in ms. */
  readonly retentionMs: number;
  /** Whether the board still has the job. */
  readonly isOnBoard: (id: string) => boolean;
}

/** Where the state of a finished job is stored. */
enum StatePlace {
  /** Not known to this leader; it is read before the history is removed. */
  Unknown = "unknown",
  /** Among the rows that the next leader reads. */
  States = "states",
  /** Among the outcomes, which no leader reads at its start. */
  Ended = "ended",
  /** Nowhere: removed, or never stored. */
  None = "none",
}

/** What is known of a job that is over. */
interface FinishedJob {
  /** Undefined while its state is not known. */
  phase: JobPhase | undefined;
  /** Unix ms by the clock of the VM that finished it; undefined if unknown. */
  finishedMs: number | undefined;
  /** Highest known revision of its row or of its state. */
  revision: number;
  /** Revision of its closed row; 0 if unknown. */
  rowRevision: number;
  /** Number of further rows of its state. */
  parts: number;
  /** Monotonic ms at which this leader knew that its row is closed. */
  closedMs: number | undefined;
  /** Whether its row is known to be removed. */
  isRowGone: boolean;
  place: StatePlace;
}

/**
 * Largest difference of the clocks of two VMs that removals allow for, in ms.
 */
const CLOCK_SKEW_MS = 10_000;
/** Interval between two searches for outcomes to remove, in ms. */
const SEARCH_INTERVAL_MS = 1000;
/** Most outcomes that one search finds. */
const MAX_EXPIRED_JOBS = 100;
/** Interval between two rounds of removals, in ms. */
const SWEEP_INTERVAL_MS = 250;
/**
 * Most job rows removed per round: 80 writes per second, under a tenth of what
 * the table accepts from all processes together.
 */
const MAX_REMOVALS_PER_ROUND = 20;
/** Removals at a time. */
const CONCURRENT_REMOVALS = 4;
/** Most jobs whose stored state is looked up per round. */
const MAX_LOOKUPS_PER_ROUND = 20;
/**
 * Most finished jobs of former leaders that are kept, some 6 MB. The rows of
 * others are searched for once these are removed.
 */
const MAX_FORMER_JOBS = 20_000;
/** Number of kept jobs below which others are searched for. */
const MIN_FORMER_JOBS = 10_000;
/** Interval between two such searches, in ms: each reads all job rows. */
const RESCAN_INTERVAL_MS = 60_000;
/**
 * Time from the closing of a job's row to the move of its state, in ms; the moves
 * share the leader's commits.
 */
const MOVE_DELAY_MS = 1000;
/** Rows that a commit writes to move a state without further rows. */
const ROWS_PER_MOVE = 2;
/** Most finished jobs whose rows one commit moves or removes. */
export const MAX_MOVES_PER_COMMIT = 20;

/**
 * Finished jobs of the retention period. Once the row of a job is closed, its
 * state moves from the rows that the next leader reads to a row of its own. When
 * the period is over, that row is removed, and then the row of the job: in this
 * order, a job that is submitted again never meets an outcome of its former life.
 */
export class JobHistory {
  readonly #options: JobHistoryOptions;
  readonly #jobs = new Map<string, FinishedJob>();
  /** Ids of the jobs by the place of their state. */
  readonly #byPlace = new Map(
    Object.values(StatePlace).map((place) => [place, new Set<string>()]),
  );
  /** Jobs whose outcome is past the retention period. */
  #expired: string[] = [];
  /** Monotonic ms of the next search for such jobs. */
  #nextSearchMs = 0;
  /** Whether jobs of former leaders were left out. */
  #isIncomplete = false;
  /** Monotonic ms of the last search for those. */
  #rescannedMs = Number.NEGATIVE_INFINITY;

  constructor(options: JobHistoryOptions) {
    this.#options = options;
  }

  /** Number of finished jobs that are kept. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Whether finished jobs of former leaders are still taken. */
  get hasRoom(): boolean {
    return this.#jobs.size < MAX_FORMER_JOBS;
  }

  /** Whether the job is among those that are kept. */
  has(id: string): boolean {
    return this.#jobs.has(id);
  }

  /**
   * Whether the job of a row with this revision is over. A row with a higher one
   * than known was stored after the removal of the former.
   */
  isOver(id: string, revision: number): boolean {
    const job = this.#jobs.get(id);
    return job !== undefined && revision <= job.revision;
  }

  /** Whether the row of the job is known to be closed. */
  isClosed(id: string): boolean {
    return this.#jobs.get(id)?.closedMs !== undefined;
  }

  /** Notes that the final state of a job is stored among the states. */
  onFinalState(
    id: string,
    state: {
      phase: JobPhase;
      sinceMs: number;
      revision: number;
      /** Number of further rows of the state; none by default. */
      parts?: number | undefined;
    },
  ): void {
    const job = this.#jobOf(id);
    if (job.rowRevision < state.revision) {
      // That row was of a former job with this id.
      job.rowRevision = 0;
      job.closedMs = undefined;
    }
    job.phase = state.phase;
    job.finishedMs = state.sinceMs;
    job.parts = state.parts ?? 0;
    job.revision = Math.max(job.revision, state.revision);
    this.#setPlace(id, job, StatePlace.States);
  }

  /** Notes that a final state with this revision is stored, to be looked up. */
  onFormerFinal(id: string, revision: number): void {
    const job = this.#jobOf(id);
    job.revision = Math.max(job.revision, revision);
  }

  /** Notes that the row of a job is closed. */
  onRowClosed(
    id: string,
    { revision, finishedMs }: { revision: number; finishedMs?: number },
  ): void {
    if (!this.hasRoom && !this.has(id)) {
      this.#isIncomplete = true;
      return;
    }
    const job = this.#jobOf(id);
    job.closedMs ??= this.#options.clock.nowMs();
    job.finishedMs ??= finishedMs;
    job.revision = Math.max(job.revision, revision);
    job.rowRevision = Math.max(job.rowRevision, revision);
  }

  /** Notes that a job has no row any more. */
  onRowRemoved(id: string): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    job.isRowGone = true;
    job.closedMs ??= this.#options.clock.nowMs();
    if (job.place !== StatePlace.States) this.forget(id);
  }

  /**
   * Notes which jobs have rows; closed rows that are missing were removed. A job
   * that finished while the rows were read is missing, too, but its row is open.
   */
  onRowsRead(ids: ReadonlySet<string>, revision: number): void {
    for (const [id, job] of this.#jobs) {
      const isMissing = job.closedMs !== undefined && !ids.has(id);
      if (isMissing && job.revision <= revision) this.onRowRemoved(id);
    }
  }

  /** Forgets a job; for one that was submitted again, too. */
  forget(id: string): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    this.#byPlace.get(job.place)?.delete(id);
    this.#jobs.delete(id);
  }

  /**
   * Writes that are due and that the leader's next commit should contain, for at
   * most that many jobs and rows.
   */
  listWrites(maxJobs: number, maxRows = Number.POSITIVE_INFINITY): Write[] {
    const writes: Write[] = [];
    let count = 0;
    for (const id of this.#expired) {
      if (count >= maxJobs || writes.length >= maxRows) return writes;
      if (this.#jobs.get(id)?.place !== StatePlace.Ended) continue;
      writes.push({ key: endedKey(id), value: null });
      count += 1;
    }
    for (const id of this.#listIn(StatePlace.States)) {
      if (count >= maxJobs) return writes;
      const job = this.#jobs.get(id);
      if (job === undefined || !this.#isMoveDue(job)) continue;
      if (writes.length + ROWS_PER_MOVE + job.parts > maxRows) continue;
      const { phase = JobPhase.Cancelled, finishedMs = 0, isRowGone } = job;
      const value = encodeEndedJob({ phase, sinceMs: finishedMs });
      writes.push(
        { key: stateKey(id), value: null },
        { key: endedKey(id), value: isRowGone ? null : value },
      );
      for (let part = 1; part <= job.parts; part += 1) {
        writes.push({ key: partKey(id, part), value: null });
      }
      count += 1 + job.parts;
    }
    return writes;
  }

  /** Notes that a commit with these writes took effect. */
  onWritten(writes: readonly Write[]): void {
    for (const { key, value } of writes) {
      const id = jobIdOfKey(key);
      const job = this.#jobs.get(id);
      if (job === undefined || key !== endedKey(id)) continue;
      if (job.isRowGone) this.forget(id);
      else {
        const isRemoved = value === null;
        const place = isRemoved ? StatePlace.None : StatePlace.Ended;
        if (!isRemoved) this.#options.metrics.count("states_moved");
        this.#setPlace(id, job, place);
      }
    }
  }

  /** Removes what is past the retention period until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MS, signal);
      if (signal.aborted) return;
      this.#findExpired();
      await this.#lookUpStates(signal);
      await this.#removeRows(signal);
      await this.#rescan();
    }
  }

  /** Searches for the rows of finished jobs that were left out. */
  async #rescan(): Promise<void> {
    const { clock, table, isOnBoard } = this.#options;
    const nowMs = clock.nowMs();
    if (!this.#isIncomplete || this.#jobs.size >= MIN_FORMER_JOBS) return;
    if (nowMs - this.#rescannedMs < RESCAN_INTERVAL_MS) return;
    this.#rescannedMs = nowMs;
    this.#isIncomplete = false;
    const read = await table.readPages(RowPrefix.Jobs, ({ rows }) => {
      for (const row of rows) {
        const id = jobIdOfKey(row.key);
        const found = readJobRow(row);
        if (found.err || found.val.job !== undefined) continue;
        if (!isOnBoard(id)) this.onRowClosed(id, row);
      }
      return this.hasRoom;
    });
    if (read.err || !this.hasRoom) this.#isIncomplete = true;
  }

  #isMoveDue({ closedMs }: FinishedJob): boolean {
    const nowMs = this.#options.clock.nowMs();
    return closedMs !== undefined && nowMs - closedMs >= MOVE_DELAY_MS;
  }

  /** Searches for outcomes that are past the retention period. */
  #findExpired(): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#nextSearchMs) return;
    this.#expired = [];
    for (const id of this.#listIn(StatePlace.Ended)) {
      const job = this.#jobs.get(id);
      if (job !== undefined && this.#isExpired(job)) this.#expired.push(id);
      if (this.#expired.length >= MAX_EXPIRED_JOBS) return;
    }
    this.#nextSearchMs = nowMs + SEARCH_INTERVAL_MS;
  }

  /**
   * Whether the retention period is over, by the time that the job finished or
   * by the time for which this leader has known that it is over: the clock of the
   * VM that finished it may be ahead.
   */
  #isExpired({ finishedMs, closedMs }: FinishedJob): boolean {
    if (closedMs === undefined) return false;
    const { clock, retentionMs } = this.#options;
    const keptMs = retentionMs + CLOCK_SKEW_MS;
    const isOld =
      finishedMs !== undefined && clock.wallMs() - finishedMs >= keptMs;
    return isOld || clock.nowMs() - closedMs >= keptMs;
  }

  /** Reads the states of jobs that former leaders closed. */
  async #lookUpStates(signal: AbortSignal): Promise<void> {
    const { isOnBoard } = this.#options;
    const found: string[] = [];
    for (const id of this.#listIn(StatePlace.Unknown)) {
      if (isOnBoard(id)) continue;
      found.push(id);
      if (found.length >= MAX_LOOKUPS_PER_ROUND) break;
    }
    for (const id of found) {
      if (signal.aborted || !(await this.#lookUp(id))) return;
    }
  }

  /** Reads the state of one job; false when the table does not answer. */
  async #lookUp(id: string): Promise<boolean> {
    const read = await this.#options.table.get([stateKey(id), endedKey(id)]);
    if (read.err) return false;
    const job = this.#jobs.get(id);
    if (job === undefined || job.place !== StatePlace.Unknown) return true;
    const stateRow = read.val.find(({ key }) => key === stateKey(id));
    const endedRow = read.val.find(({ key }) => key === endedKey(id));
    if (stateRow !== undefined) {
      const state = readState(stateRow);
      const isOver = state.ok && isFinal(state.val.phase);
      job.phase = isOver ? state.val.phase : JobPhase.Cancelled;
      job.parts = state.ok ? (state.val.parts ?? 0) : 0;
      job.finishedMs ??= isOver
        ? state.val.sinceMs
        : this.#options.clock.wallMs();
      this.#setPlace(id, job, StatePlace.States);
    } else if (endedRow !== undefined) {
      const ended = readEndedJob(endedRow);
      job.phase = ended.ok ? ended.val.phase : JobPhase.Cancelled;
      if (ended.ok) job.finishedMs = ended.val.sinceMs;
      this.#setPlace(id, job, StatePlace.Ended);
    } else this.#setPlace(id, job, StatePlace.None);
    return true;
  }

  /** Removes the rows of jobs that have no stored state any more. */
  async #removeRows(signal: AbortSignal): Promise<void> {
    const { isOnBoard } = this.#options;
    const due: [string, FinishedJob][] = [];
    for (const id of this.#listIn(StatePlace.None)) {
      const job = this.#jobs.get(id);
      if (job === undefined || isOnBoard(id)) continue;
      if (this.#isExpired(job)) due.push([id, job]);
      if (due.length >= MAX_REMOVALS_PER_ROUND) break;
    }
    const remove = async () => {
      for (let next = due.shift(); next; next = due.shift()) {
        if (signal.aborted) return;
        await this.#removeRow(...next);
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT_REMOVALS }, remove));
  }

  /**
   * Removes the row of a job unless it has changed: then another leader removed
   * it, and the id may have been submitted again.
   */
  async #removeRow(id: string, { rowRevision }: FinishedJob): Promise<void> {
    const key = jobKey(id);
    const done = await this.#options.table.commit({
      checks: [{ key, revision: rowRevision }],
      writes: [{ key, value: null }],
    });
    const isOver = done.ok || done.val.code === FaultCode.Conflict;
    if (done.ok) this.#options.metrics.count("job_rows_removed");
    const isSame = this.#jobs.get(id)?.rowRevision === rowRevision;
    if (isOver && isSame) this.forget(id);
  }

  #listIn(place: StatePlace): ReadonlySet<string> {
    return this.#byPlace.get(place) ?? new Set();
  }

  #setPlace(id: string, job: FinishedJob, place: StatePlace): void {
    this.#byPlace.get(job.place)?.delete(id);
    job.place = place;
    this.#byPlace.get(place)?.add(id);
  }

  #jobOf(id: string): FinishedJob {
    let job = this.#jobs.get(id);
    if (job === undefined) {
      job = {
        phase: undefined,
        finishedMs: undefined,
        revision: 0,
        rowRevision: 0,
        parts: 0,
        closedMs: undefined,
        isRowGone: false,
        place: StatePlace.Unknown,
      };
      this.#jobs.set(id, job);
      this.#byPlace.get(job.place)?.add(id);
    }
    return job;
  }
}
