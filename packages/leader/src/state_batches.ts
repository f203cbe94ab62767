import type { Write } from "@laburnumtrack/core/table";
import { stateOf } from "@laburnumtrack/jobs/job_record";
import { encodeState } from "@laburnumtrack/jobs/state_rows";
import type { JobRecord } from "@laburnumtrack/jobs/task";

/** Most rows with states in one commit; the platform accepts 100 entries. */
export const MAX_ROWS_PER_COMMIT = 90;
/** Largest states of one commit, in bytes; the platform accepts 1 MB. */
const MAX_BYTES_PER_COMMIT = 700_000;
/** Time after which the state of a job that was rejected is tried again, in ms. */
const REJECTED_RETRY_MS = 10_000;

/** Jobs whose states one commit stores. */
export interface StateBatch {
  readonly records: readonly JobRecord[];
  readonly writes: readonly Write[];
  /** Number of further rows that the state of each job has. */
  readonly parts: readonly number[];
  /**
   * Whether no other job waits to be stored, except for rejected ones that are
   * set aside.
   */
  readonly isWhole: boolean;
  /** Jobs that are set aside and not in the batch. */
  readonly setAside: ReadonlySet<string>;
}

/** A job that may be the cause of a rejected commit. */
interface Suspect {
  readonly record: JobRecord;
  /** Whether the table has accepted a commit without jobs since its rejection. */
  isLikely: boolean;
}

/**
 * The jobs whose states are to be stored, in batches that a commit has room for.
 * When the table rejects a commit for what it contains, the batches are halved
 * until one job is left. It is set aside if the table accepts a commit without
 * jobs and rejects that job again; it is then tried alone from time to time, so
 * that the others are stored.
 */
export class StateBatches {
  readonly #dirty = new Map<string, JobRecord>();
  /** Ids of the jobs in the commit under way. */
  readonly #committing = new Set<string>();
  /** Rejected jobs, with the monotonic ms of the next try. */
  readonly #setAside = new Map<
    string,
    { record: JobRecord; retryMs: number }
  >();
  /** Most jobs in a batch; 0 to find out whether anything else is rejected. */
  #limit = MAX_ROWS_PER_COMMIT;
  /** The job of a rejected batch that had no other. */
  #suspect: Suspect | undefined;

  /** Number of jobs whose state is not stored yet, without those set aside. */
  get size(): number {
    return this.#dirty.size;
  }

  /** Whether another batch should follow at once. */
  get hasMore(): boolean {
    return this.#dirty.size >= Math.max(1, this.#limit);
  }

  /** Whether the last commit was rejected for what it contained. */
  get isSearching(): boolean {
    return this.#limit < MAX_ROWS_PER_COMMIT;
  }

  /** Whether the last change of a job is stored. */
  isStored(id: string): boolean {
    return !(
      this.#dirty.has(id) ||
      this.#committing.has(id) ||
      this.#setAside.has(id)
    );
  }

  /** Schedules the state of a job to be stored. */
  add(record: JobRecord): void {
    const { id } = record.job;
    // The commit under way may lack the change.
    const isRetried = this.#committing.has(id);
    if (isRetried || !this.#setAside.has(id)) this.#dirty.set(id, record);
  }

  /** The jobs that the next commit should store. */
  take(nowMs: number): StateBatch {
    const records = this.#choose(nowMs);
    const writes: Write[] = [];
    const taken: JobRecord[] = [];
    const parts: number[] = [];
    let bytes = 0;
    for (const record of records) {
      const { id } = record.job;
      const rows = encodeState(id, stateOf(record), record.storedParts);
      const isFull =
        writes.length + rows.writes.length > MAX_ROWS_PER_COMMIT ||
        bytes + rows.bytes > MAX_BYTES_PER_COMMIT;
      if (isFull && taken.length > 0) break;
      bytes += rows.bytes;
      taken.push(record);
      parts.push(rows.parts);
      for (const write of rows.writes) writes.push(write);
      // Until the commit is known to have failed for good, its rows may exist.
      record.storedParts = Math.max(record.storedParts, rows.parts);
      this.#dirty.delete(id);
      this.#committing.add(id);
    }
    const setAside = new Set(this.#setAside.keys());
    for (const { job } of taken) setAside.delete(job.id);
    return { ...this.takeNone(), records: taken, writes, parts, setAside };
  }

  /** A batch without jobs. */
  takeNone(): StateBatch {
    const isWhole = this.#dirty.size === 0;
    const setAside = new Set(this.#setAside.keys());
    return { records: [], writes: [], parts: [], isWhole, setAside };
  }

  /** Notes that a commit with the batch took effect. */
  onStored({ records, parts }: StateBatch): void {
    this.#committing.clear();
    for (const [index, record] of records.entries()) {
      this.#setAside.delete(record.job.id);
      record.storedParts = parts[index] ?? 0;
    }
    if (this.#suspect !== undefined && records.length === 0) {
      this.#suspect.isLikely = true;
      this.#limit = 1;
      return;
    }
    this.#suspect = undefined;
    this.#limit = Math.min(MAX_ROWS_PER_COMMIT, Math.max(1, 2 * this.#limit));
  }

  /** Notes that a commit with the batch may not have taken effect. */
  onFailed({ records }: StateBatch): void {
    this.#committing.clear();
    for (const record of records) {
      const { id } = record.job;
      if (this.#setAside.has(id)) this.#dirty.delete(id);
      else this.#dirty.set(id, record);
    }
  }

  /** Notes that the table rejected a commit with the batch for its contents. */
  onRejected(batch: StateBatch, nowMs: number): void {
    const { records } = batch;
    const [first] = records;
    this.onFailed(batch);
    if (first !== undefined && this.#setAside.has(first.job.id)) {
      this.#putAside(first, nowMs);
      return;
    }
    if (this.#suspect?.isLikely && this.#suspect.record === first) {
      this.#putAside(first, nowMs);
      this.#suspect = undefined;
      return;
    }
    this.#suspect =
      first !== undefined && records.length === 1
        ? { record: first, isLikely: false }
        : undefined;
    this.#limit = Math.floor(records.length / 2);
    // Something else is the cause; the search begins anew.
    if (records.length === 0) this.#limit = 1;
  }

  /** Jobs whose states the table rejects. */
  listRejected(): string[] {
    return [...this.#setAside.keys()];
  }

  #choose(nowMs: number): JobRecord[] {
    if (!this.isSearching) {
      for (const { record, retryMs } of this.#setAside.values()) {
        if (retryMs <= nowMs) return [record];
      }
    }
    if (this.#suspect?.isLikely) return [this.#suspect.record];
    return [...this.#dirty.values()].slice(0, this.#limit);
  }

  #putAside(record: JobRecord, nowMs: number): void {
    const { id } = record.job;
    this.#dirty.delete(id);
    this.#setAside.set(id, { record, retryMs: nowMs + REJECTED_RETRY_MS });
  }
}
