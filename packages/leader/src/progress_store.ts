import type { Clock } from "@laburnumtrack/core/clock";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Signal } from "@laburnumtrack/core/signal";
import type { Table, Write } from "@laburnumtrack/core/table";
import {
  LEADER_KEY,
  LEARNT_KEY,
  MAX_ROW_BYTES,
  readLeadership,
} from "@laburnumtrack/jobs/job_rows";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import { jsonBytes } from "@laburnumtrack/jobs/json_bytes";
import type { Leadership } from "@laburnumtrack/jobs/leadership_row";
import {
  createRunRows,
  listSilentRuns,
  type StoredEnds,
} from "@laburnumtrack/jobs/stored_runs";
import type { JobRecord } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import type { FormerLeases } from "./former_leases";
import { type JobHistory, MAX_MOVES_PER_COMMIT } from "./job_history";
import { RowGroup, RowGroups } from "./row_groups";
import {
  MAX_ROWS_PER_COMMIT,
  type StateBatch,
  StateBatches,
} from "./state_batches";
import {
  createRosterRows,
  isRosterOf,
  rosterOf,
  type StoredRoster,
  updateRostered,
} from "./stored_roster";

/** The leadership row that this process wrote, with its revision. */
export interface HeldLeadership {
  readonly row: Leadership;
  readonly revision: number;
}

/** Options of a progress store. */
export interface ProgressStoreOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly held: HeldLeadership;
  /** Monotonic ms at which the commit that acquired leadership was sent. */
  readonly acquireSentMs: number;
  /** All workers that this leader knows. */
  readonly workers: () => Iterable<WorkerRecord>;
  readonly formerLeases: FormerLeases;
  /** Number of jobs of which nothing has started, by queue. */
  readonly pending: () => Record<string, number>;
  /** Monotonic ms up to which all stored jobs are known. */
  readonly jobsKnownMs: () => number;
  /** Load that entries admit jobs by; absent if they do not. */
  readonly load?: (() => object) | undefined;
  /** Exports the pressure model for the next leader. */
  readonly exportModel: () => object;
  /** Called once the final state of a job is stored. */
  readonly onFinalStored: (record: JobRecord) => void;
  /** Finished jobs, whose rows are moved and removed with the commits. */
  readonly history?: JobHistory;
}

/** What a commit writes about the leadership. */
export interface CommitOptions {
  /** Whether the commit ends the leadership. */
  readonly isReleased: boolean;
  /** Instance that should take over; empty for any. */
  readonly successor: string;
}

/** What the groups of rows of a commit depend on. */
interface CommitContents extends StoredEnds {
  /** Monotonic ms at which the commit is sent. */
  readonly sentMs: number;
  readonly row: Leadership;
  readonly batch: StateBatch;
  readonly workers: readonly WorkerRecord[];
  /** Workers that the roster should list. */
  readonly rostered: readonly WorkerRecord[];
}

/** Pause after a commit during which changes are batched, in ms. */
const BATCH_PAUSE_MS = 30;
/**
 * Longest time without a commit, in ms. Followers replace a leader after about
 * three missed commits.
 */
const MAX_COMMIT_INTERVAL_MS = 400;
/** Pause after a failed commit, in ms. */
const RETRY_PAUSE_MS = 100;
/** Interval between two writes of the pressure model, in ms. */
const MODEL_WRITE_INTERVAL_MS = 2000;
/** Most jobs that a log line lists. */
const MAX_LOGGED_JOBS = 5;
/** Most rows of a rejected commit that a log line lists. */
const MAX_LOGGED_ROWS = 3;

/**
 * Stores the progress of jobs in batches. Each commit also writes the
 * leadership row on the condition that it is unchanged since this leader's last
 * commit. A delayed commit of a former leader, or a delayed one of this leader
 * that a later commit has overtaken, therefore has no effect.
 */
export class ProgressStore {
  readonly #options: ProgressStoreOptions;
  readonly #wake: Signal;
  readonly #batches = new StateBatches();
  readonly #groups = new RowGroups();
  #held: HeldLeadership;
  /** Sequence number of the last commit sent; unique to each commit. */
  #sequence: number;
  #lastCommitSentMs: number;
  /** Whether the stored state was read; until then it is not overwritten. */
  #isStateLoaded = false;
  /** Addresses of workers by id, as last stored by this leader. */
  #storedRoster: StoredRoster | undefined;
  #modelWrittenMs = Number.NEGATIVE_INFINITY;
  #isLost = false;
  #isFailing = false;

  constructor(options: ProgressStoreOptions) {
    this.#options = options;
    this.#wake = new Signal(options.clock);
    this.#held = options.held;
    this.#sequence = options.held.row.sequence;
    this.#lastCommitSentMs = options.acquireSentMs;
    this.#modelWrittenMs = options.acquireSentMs;
  }

  /** Monotonic ms at which the last successful commit was sent. */
  get lastCommitSentMs(): number {
    return this.#lastCommitSentMs;
  }

  /** Whether another process holds the leadership. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** The leadership row as last written. */
  get row(): Leadership {
    return this.#held.row;
  }

  /** Revision of the last successful commit. */
  get revision(): number {
    return this.#held.revision;
  }

  /** Number of jobs whose state is not stored yet. */
  get backlog(): number {
    return this.#batches.size;
  }

  /** Whether the last change of a job is stored. */
  isStored(jobId: string): boolean {
    return this.#batches.isStored(jobId);
  }

  /** Schedules the state of a job to be stored. */
  markDirty(record: JobRecord): void {
    this.#batches.add(record);
    this.#wake.set();
  }

  /**
   * Allows the stored state of former leaders to be overwritten, once it was
   * read.
   */
  onStateLoaded(): void {
    this.#isStateLoaded = true;
    this.#wake.set();
  }

  /**
   * Ends the wait for the next commit, for instance after a worker reported
   * ends of runs, which it keeps until they are stored and acknowledged.
   */
  wake(): void {
    this.#wake.set();
  }

  /** Commits until `signal` is aborted or the leadership is lost. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted && !this.#isLost) {
      const isStored = await this.commit({ isReleased: false, successor: "" });
      const { hasMore, isSearching } = this.#batches;
      const isPauseShort = isStored || isSearching;
      await clock.sleep(isPauseShort ? BATCH_PAUSE_MS : RETRY_PAUSE_MS, signal);
      if (isStored && !hasMore && this.#batches.size === 0) {
        await this.#wake.wait(MAX_COMMIT_INTERVAL_MS);
      }
    }
  }

  /** Jobs that have not started, as this process knows them now. */
  describePending(): Required<Pick<Leadership, "pending" | "pendingAgeMs">> {
    // Until the jobs are read, the counts of the former leader are kept.
    const pending = this.#isStateLoaded
      ? this.#options.pending()
      : this.#options.held.row.pending;
    return { pending, pendingAgeMs: this.#pendingAgeMs() };
  }

  #pendingAgeMs(): number {
    const { clock, jobsKnownMs, held, acquireSentMs } = this.#options;
    const ageMs = this.#isStateLoaded
      ? clock.nowMs() - jobsKnownMs()
      : clock.nowMs() - acquireSentMs + (held.row.pendingAgeMs ?? 0);
    return Math.round(ageMs);
  }

  /** Commits once; false when the commit failed or its outcome is unknown. */
  async commit({ isReleased, successor }: CommitOptions): Promise<boolean> {
    const { clock, table, metrics } = this.#options;
    const sentMs = clock.nowMs();
    const canTry = !isReleased && !this.#batches.isSearching;
    const tried = canTry ? this.#groups.nextTry(sentMs) : undefined;
    const batch =
      tried === undefined
        ? this.#batches.take(sentMs)
        : this.#batches.takeNone();
    const storedEndOf = (worker: WorkerRecord) =>
      batch.isWhole
        ? worker.storableEndNumber(batch.setAside)
        : worker.storedEndNumber;
    const ends = batch.isWhole ? this.#snapshotEnds(storedEndOf) : [];
    this.#sequence += 1;
    const row = this.#createRow({ isReleased, successor }, storedEndOf);
    const finals = batch.records.filter(({ phase }) => isFinal(phase));
    const workers = this.#isStateLoaded ? [...this.#options.workers()] : [];
    const rostered = updateRostered(workers);
    const groups = this.#createGroups(tried, {
      sentMs,
      row,
      batch,
      workers,
      rostered,
      storedEndOf,
    });
    const isRosterSent = groups.has(RowGroup.Roster);
    const sentRoster = isRosterSent ? rosterOf(rostered) : this.#storedRoster;
    const isRosterKnown = isRosterOf(sentRoster, rostered);
    // Until this commit is known to have succeeded, it is not known which roster
    // is stored: it may still take effect.
    const formerRoster = this.#storedRoster;
    if (isRosterSent) this.#storedRoster = undefined;
    const writes = [
      leadershipWrite(row),
      ...batch.writes,
      ...[...groups.values()].flat(),
    ];
    const done = await table.commit({
      checks: [{ key: LEADER_KEY, revision: this.#held.revision }],
      writes,
    });
    metrics.recordMs("progress_commit", clock.nowMs() - sentMs);
    const revision = done.ok
      ? done.val.revision
      : await this.#resolveOutcome(row, done.val);
    if (revision === undefined) {
      if (done.err && isRejection(done.val)) {
        // A rejected commit has no effect, also not later.
        this.#storedRoster = formerRoster;
        this.#logRejection(done.val, writes);
        this.#onRejected(batch, [...groups.keys()], tried);
      } else this.#batches.onFailed(batch);
      return false;
    }
    this.#batches.onStored(batch);
    this.#groups.onStored(groups.keys());
    this.#held = { row, revision };
    this.#lastCommitSentMs = sentMs;
    this.#storedRoster = sentRoster;
    if (isRosterKnown) {
      for (const worker of rostered) worker.isRostered = true;
    }
    for (const worker of workers) {
      worker.isListedSilent = Object.hasOwn(row.silent, worker.id);
    }
    for (const { worker, end, bornMs } of ends) {
      if (worker.bornMs !== bornMs) continue;
      const unstored = worker.onEndsStored(end, batch.setAside);
      if (unstored > 0) metrics.count("unstored_ends_acknowledged", unstored);
    }
    for (const record of finals) this.#options.onFinalStored(record);
    this.#options.history?.onWritten(groups.get(RowGroup.History) ?? []);
    this.#onCommitted();
    return true;
  }

  #createRow(
    { isReleased, successor }: CommitOptions,
    storedEndOf: StoredEnds["storedEndOf"],
  ): Leadership {
    const { formerLeases, held, load, workers } = this.#options;
    const row: Leadership = {
      ...this.#held.row,
      sequence: this.#sequence,
      isReleased,
      successor,
      formerRightMs: formerLeases.rightMs,
      leaseMs: formerLeases.longestMs,
      silent: this.#isStateLoaded
        ? this.#listSilent()
        : formerLeases.listSilent(),
      silentRuns: {},
      ...this.describePending(),
      // The load that a former leader saw is outdated.
      load: this.#isStateLoaded ? load?.() : undefined,
    };
    // Until the workers are read, the former leader's word is kept.
    if (!this.#isStateLoaded) {
      return { ...row, silentRuns: held.row.silentRuns ?? {} };
    }
    const maxBytes = MAX_ROW_BYTES - jsonBytes(row);
    const silentRuns = listSilentRuns(workers(), { storedEndOf, maxBytes });
    return { ...row, silentRuns };
  }

  /** Groups of rows that a commit contains besides states of jobs. */
  #createGroups(
    tried: RowGroup | undefined,
    { sentMs, row, batch, workers, rostered, storedEndOf }: CommitContents,
  ): Map<RowGroup, readonly Write[]> {
    const groups = new Map<RowGroup, readonly Write[]>();
    if (!this.#isStateLoaded || this.#batches.isSearching) return groups;
    const add = (group: RowGroup, create: () => readonly Write[]) => {
      const isWanted =
        tried === undefined ? this.#groups.isAllowed(group) : group === tried;
      const writes = isWanted ? create() : [];
      if (writes.length > 0) groups.set(group, writes);
    };
    const { epoch, isReleased } = row;
    const isForced = isReleased || tried === RowGroup.Model;
    add(RowGroup.Model, () => this.#createModelWrite(sentMs, isForced));
    if (!isReleased) {
      const room = MAX_ROWS_PER_COMMIT - batch.writes.length;
      add(RowGroup.History, () => this.#listHistoryWrites(room));
    } else if (batch.isWhole) {
      add(RowGroup.Runs, () =>
        createRunRows(workers, { epoch, nowMs: sentMs, storedEndOf }),
      );
    }
    add(RowGroup.Roster, () =>
      isRosterOf(this.#storedRoster, rostered)
        ? []
        : createRosterRows(rosterOf(rostered)),
    );
    // There is nothing left of the group that was to be tried.
    if (tried !== undefined && groups.size === 0)
      this.#groups.onStored([tried]);
    return groups;
  }

  /** Writes about finished jobs, at most as many as a commit has room for. */
  #listHistoryWrites(room: number): readonly Write[] {
    const { history } = this.#options;
    return history?.listWrites(MAX_MOVES_PER_COMMIT, room) ?? [];
  }

  /**
   * Remaining lease of each silent worker in ms. Listed workers get no lease
   * until a commit has removed them from the list.
   */
  #listSilent(): Record<string, number> {
    const nowMs = this.#options.clock.nowMs();
    const silent = new Map<string, number>();
    for (const worker of this.#options.workers()) {
      if (!worker.isSilent) continue;
      worker.isListedSilent = true;
      const leftMs = Math.max(0, Math.ceil(worker.leaseExpiryMs - nowMs));
      silent.set(worker.id, leftMs);
    }
    // Unlike an assignment, this also defines a property named `__proto__`.
    return Object.fromEntries(silent);
  }

  /** Write of the pressure model, if one is due. */
  #createModelWrite(nowMs: number, isForced: boolean): Write[] {
    if (nowMs - this.#modelWrittenMs < MODEL_WRITE_INTERVAL_MS && !isForced)
      return [];
    this.#modelWrittenMs = nowMs;
    const value = JSON.stringify(this.#options.exportModel());
    return [{ key: LEARNT_KEY, value }];
  }

  /**
   * Finds out whether a commit that did not succeed took effect; returns its
   * revision if it did.
   */
  async #resolveOutcome(
    row: Leadership,
    fault: Fault,
  ): Promise<number | undefined> {
    const { table, journal } = this.#options;
    if (!this.#isFailing) {
      this.#isFailing = true;
      journal.warn("Leader could not store job progress; retrying.", {
        cause: fault.message,
      });
    }
    const isCertain =
      fault.code === FaultCode.StoreUnavailable ||
      fault.code === FaultCode.RateLimited ||
      isRejection(fault);
    if (isCertain) return undefined;
    const read = await table.get([LEADER_KEY]);
    if (read.err) return undefined;
    const [current] = read.val;
    if (current === undefined) return undefined;
    const found = readLeadership(current);
    if (found.err) return undefined;
    const { instance, epoch, sequence } = found.val;
    const isOwn =
      instance === this.#held.row.instance && epoch === this.#held.row.epoch;
    if (!isOwn) {
      this.#isLost = true;
      journal.warn(
        "Another scheduler holds the leadership; this one stops leading.",
        {
          holder: found.val.holder,
          epoch,
          ownEpoch: this.#held.row.epoch,
        },
      );
      return undefined;
    }
    // The commit took effect and only its answer was lost.
    if (sequence === row.sequence) return current.revision;
    // An earlier commit took effect late. Its contents are outdated, so the
    // caller stores the batch again on top of it.
    this.#held = { row: found.val, revision: current.revision };
    return undefined;
  }

  /** Logs which rows a rejected commit had, the largest first. */
  #logRejection({ message }: Fault, writes: readonly Write[]): void {
    const { journal, metrics } = this.#options;
    metrics.count("rejected_commits");
    const rows = writes
      .map(({ key, value }) => ({ key, bytes: Buffer.byteLength(value ?? "") }))
      .sort((a, b) => b.bytes - a.bytes);
    journal.error(
      "The table rejects a commit of the leader for its contents.",
      {
        cause: message,
        rows: rows.length,
        bytes: rows.reduce((sum, { bytes }) => sum + bytes, 0),
        largest: rows.slice(0, MAX_LOGGED_ROWS),
      },
    );
  }

  /** Looks for the group of rows or the job that the table rejects. */
  #onRejected(
    batch: StateBatch,
    groups: readonly RowGroup[],
    tried: RowGroup | undefined,
  ): void {
    const { clock, journal } = this.#options;
    const nowMs = clock.nowMs();
    if (groups.length > 0) {
      const isAlone = tried !== undefined;
      this.#batches.onFailed(batch);
      this.#groups.onRejected(groups, { isAlone, nowMs });
      journal.error(
        isAlone
          ? "The table rejects a group of rows of the leader, which is left out for a while."
          : "The leader looks for the group of rows that the table rejects.",
        { groups },
      );
      return;
    }
    this.#batches.onRejected(batch, nowMs);
    journal.error(
      "The leader looks for the job whose state the table rejects; it is set aside.",
      {
        jobs: batch.records.slice(0, MAX_LOGGED_JOBS).map(({ job }) => job.id),
        rows: batch.writes.length,
        setAside: this.#batches.listRejected().slice(0, MAX_LOGGED_JOBS),
      },
    );
  }

  #snapshotEnds(storedEndOf: StoredEnds["storedEndOf"]) {
    return [...this.#options.workers()].map((worker) => ({
      worker,
      end: storedEndOf(worker),
      bornMs: worker.bornMs,
    }));
  }

  #onCommitted(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#options.journal.info("Leader can store job progress again.", {
      revision: this.#held.revision,
    });
  }
}

/** Write of the leadership row. */
export function leadershipWrite(row: Leadership): Write {
  return { key: LEADER_KEY, value: JSON.stringify(row) };
}

/** Whether the table rejected a commit for what it contains. */
function isRejection({ code }: Fault): boolean {
  return code === FaultCode.Malformed || code === FaultCode.TooLarge;
}
