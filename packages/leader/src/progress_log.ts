import type { Clock } from "@laburnumtrack/core/clock";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Signal } from "@laburnumtrack/core/signal";
import type { Table, Write } from "@laburnumtrack/core/table";
import { stateOf } from "@laburnumtrack/jobs/job_record";
import {
  LEADER_KEY,
  LEARNT_KEY,
  ROSTER_KEY,
  readLeadership,
  stateKey,
} from "@laburnumtrack/jobs/job_rows";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import type { Leadership } from "@laburnumtrack/jobs/leadership_row";
import type { JobRecord } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** The leader's row as this process wrote it. */
export interface HeldLeadership {
  readonly row: Leadership;
  readonly revision: number;
}

/** How a log is set up. */
export interface ProgressLogOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly held: HeldLeadership;
  /** Monotonic ms at which the leadership was written. */
  readonly heldMs: number;
  readonly workers: () => Iterable<WorkerRecord>;
  readonly pending: () => Record<string, number>;
  /** What was learnt, for the next leader. */
  readonly learnt: () => object;
  /** The job's end is stored. */
  readonly onFinalStored: (record: JobRecord) => void;
}

/** What a commit says of the leadership. */
export interface CommitEnd {
  readonly isReleased: boolean;
  /** Instance that takes over; empty: any may. */
  readonly successor: string;
}

/** Pause between two commits in which changes are gathered, in ms. */
const GATHER_MS = 30;
/** Longest time without a commit, in ms: followers wait for three. */
const RENEW_MS = 400;
/** Pause after a commit that the table turned away, in ms. */
const RETRY_MS = 100;
/** Time between two writes of what was learnt, in ms. */
const LEARNT_MS = 2000;
/** Jobs in one commit; the platform takes at most 100 entries. */
const JOBS_PER_COMMIT = 90;

/**
 * Stores the progress of jobs. Each commit also writes the leader's row and
 * demands that nobody else did, so a late commit of a former leader, or one of
 * this leader that was overtaken, has no effect.
 */
export class ProgressLog {
  readonly #options: ProgressLogOptions;
  readonly #wake: Signal;
  readonly #dirty = new Map<string, JobRecord>();
  #held: HeldLeadership;
  /** Of the last commit that was sent: no two commits share one. */
  #sequence: number;
  #confirmedMs: number;
  /** Whether what former leaders left was read: until then it stays. */
  #isLoaded = false;
  /** The roster as it is stored. */
  #roster = "";
  #learntMs = Number.NEGATIVE_INFINITY;
  #isLost = false;
  #isFailing = false;

  constructor(options: ProgressLogOptions) {
    this.#options = options;
    this.#wake = new Signal(options.clock);
    this.#held = options.held;
    this.#sequence = options.held.row.sequence;
    this.#confirmedMs = options.heldMs;
    this.#learntMs = options.heldMs;
  }

  /** Monotonic ms at which the last commit that took effect was sent. */
  get confirmedMs(): number {
    return this.#confirmedMs;
  }

  /** Whether another leader was seen. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Row as last written. */
  get row(): Leadership {
    return this.#held.row;
  }

  /** Revision of the last commit that took effect. */
  get revision(): number {
    return this.#held.revision;
  }

  /** Changes that wait for a commit. */
  get backlog(): number {
    return this.#dirty.size;
  }

  /** The job's state is to be stored. */
  mark(record: JobRecord): void {
    this.#dirty.set(record.job.id, record);
    this.#wake.set();
  }

  /** What former leaders left was read; it may be written over. */
  onLoaded(): void {
    this.#isLoaded = true;
    this.#wake.set();
  }

  /** Ends were taken in; workers may forget them after the next commit. */
  wake(): void {
    this.#wake.set();
  }

  /** Commits until `signal` is aborted or the leadership is lost. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted && !this.#isLost) {
      const isStored = await this.commit({ isReleased: false, successor: "" });
      const hasMore = this.#dirty.size >= JOBS_PER_COMMIT;
      await clock.sleep(isStored ? GATHER_MS : RETRY_MS, signal);
      if (isStored && !hasMore && this.#dirty.size === 0) {
        await this.#wake.wait(RENEW_MS);
      }
    }
  }

  /** Commits once; `isReleased` ends the leadership, for `successor` if any. */
  async commit({ isReleased, successor }: CommitEnd): Promise<boolean> {
    const { clock, table, metrics } = this.#options;
    const batch = [...this.#dirty.values()].slice(0, JOBS_PER_COMMIT);
    const isWhole = batch.length === this.#dirty.size;
    const ends = isWhole ? this.#readEnds() : [];
    for (const record of batch) this.#dirty.delete(record.job.id);
    this.#sequence += 1;
    const row: Leadership = {
      ...this.#held.row,
      sequence: this.#sequence,
      isReleased,
      successor,
      silent: this.#listSilent(),
      // Before the jobs are read, the former leader's word counts.
      pending: this.#isLoaded
        ? this.#options.pending()
        : this.#held.row.pending,
    };
    const finals = batch.filter(({ phase }) => isFinal(phase));
    const workers = this.#isLoaded ? [...this.#options.workers()] : [];
    const roster = encodeRoster(workers);
    const isRosterNew = this.#isLoaded && roster !== this.#roster;
    const sentMs = clock.nowMs();
    const done = await table.commit({
      checks: [{ key: LEADER_KEY, revision: this.#held.revision }],
      writes: [
        toWrite(row),
        ...batch.map(toStateWrite),
        ...this.#writeLearnt(sentMs, isReleased),
        ...(isRosterNew ? [{ key: ROSTER_KEY, value: roster }] : []),
      ],
    });
    metrics.recordMs("progress_commit", clock.nowMs() - sentMs);
    const revision = done.ok
      ? done.val.revision
      : await this.#resolve(row, done.val);
    if (revision === undefined) {
      for (const record of batch) this.#dirty.set(record.job.id, record);
      return false;
    }
    this.#held = { row, revision };
    this.#confirmedMs = sentMs;
    if (isRosterNew) this.#roster = roster;
    for (const worker of workers) {
      worker.isRostered = true;
      worker.isListedSilent = worker.id in row.silent;
    }
    for (const { worker, end, bornMs } of ends) {
      if (worker.bornMs === bornMs) worker.storedEnd = end;
    }
    for (const record of finals) this.#options.onFinalStored(record);
    this.#onStored();
    return true;
  }

  /** Lists silent workers; they get no lease until that is taken back. */
  #listSilent(): Record<string, number> {
    const nowMs = this.#options.clock.nowMs();
    const silent: Record<string, number> = {};
    for (const worker of this.#options.workers()) {
      if (!worker.isSilent) continue;
      worker.isListedSilent = true;
      silent[worker.id] = Math.max(0, Math.ceil(worker.lapseMs - nowMs));
    }
    return silent;
  }

  /** What was learnt goes with a commit now and then. */
  #writeLearnt(nowMs: number, isReleased: boolean): Write[] {
    if (!this.#isLoaded) return [];
    if (nowMs - this.#learntMs < LEARNT_MS && !isReleased) return [];
    this.#learntMs = nowMs;
    const value = JSON.stringify({ pressures: this.#options.learnt() });
    return [{ key: LEARNT_KEY, value }];
  }

  /** Finds out what became of a commit that was not answered with success. */
  async #resolve(row: Leadership, fault: Fault): Promise<number | undefined> {
    const { table, journal } = this.#options;
    if (!this.#isFailing) {
      this.#isFailing = true;
      journal.warn("Progress cannot be stored.", { cause: fault.message });
    }
    const isCertain =
      fault.code === FaultCode.StoreUnavailable ||
      fault.code === FaultCode.RateLimited;
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
      journal.warn("Another scheduler leads.", {
        holder: found.val.holder,
        epoch,
        ownEpoch: this.#held.row.epoch,
      });
      return undefined;
    }
    // Its own commit took effect, only the answer was lost.
    if (sequence === row.sequence) return current.revision;
    // An earlier one did, late: what it held is old, so all is stored again.
    this.#held = { row: found.val, revision: current.revision };
    return undefined;
  }

  #readEnds() {
    return [...this.#options.workers()].map((worker) => ({
      worker,
      end: worker.knownEnd,
      bornMs: worker.bornMs,
    }));
  }

  #onStored(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#options.journal.info("Progress is stored again.", {
      revision: this.#held.revision,
    });
  }
}

function encodeRoster(workers: readonly WorkerRecord[]): string {
  const entries = workers
    .map(({ id, info }) => [id, info.address] as const)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify({ roster: Object.fromEntries(entries) });
}

/** Write of the leader's row. */
export function toWrite(row: Leadership): Write {
  return { key: LEADER_KEY, value: JSON.stringify(row) };
}

function toStateWrite(record: JobRecord): Write {
  const value = JSON.stringify(stateOf(record));
  return { key: stateKey(record.job.id), value };
}
