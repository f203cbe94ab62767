import type { Clock } from "@laburnumtrack/core/clock";
import { FaultCode } from "@laburnumtrack/core/fault";
import type {
  ChangedRow,
  FeedTable,
  Snapshot,
} from "@laburnumtrack/core/feed_table";
import type { Journal } from "./journal";

/** What is told of the rows under a prefix. */
export interface RowListener {
  /** All rows; those that are missing were deleted, or are newer. */
  readonly onSnapshot: (snapshot: Snapshot) => void;
  readonly onChange: (row: ChangedRow) => void;
}

/** How a follower is set up. */
export interface RowFollowerOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly journal: Journal;
  readonly prefix: string;
  readonly listener: RowListener;
  /** A snapshot below this revision is too old to be used; 0: none is. */
  readonly floor?: number;
}

/** Longest wait of a call for changes: bounds how long a dead channel hides. */
const FEED_WAIT_MS = 1000;
/** The same while the table is lost: its return is to show soon. */
const LOST_WAIT_MS = 100;
/** A table that is lost for this long is no slip of one call, in ms. */
const LOST_MS = 300;
/** Pause after a failed call. */
const RETRY_MS = 150;

/** Follows the rows under a prefix: a snapshot, then changes. */
export class RowFollower {
  readonly #options: RowFollowerOptions;
  #revision: number | undefined;
  /** Highest revision that was seen. */
  #floor: number;
  /** Monotonic ms of the first failure since the last answer. */
  #lostMs: number | undefined;

  constructor(options: RowFollowerOptions) {
    this.#options = options;
    this.#floor = options.floor ?? 0;
  }

  /** Whether calls have not been answered, or turned away, for a while. */
  get isLost(): boolean {
    const { clock } = this.#options;
    return this.#lostMs !== undefined && clock.nowMs() - this.#lostMs > LOST_MS;
  }

  /** Whether a snapshot was taken. */
  get isLoaded(): boolean {
    return this.#revision !== undefined;
  }

  /** Takes a snapshot now; false when the table does not answer. */
  async load(): Promise<boolean> {
    const { table, prefix, listener } = this.#options;
    const read = await table.snapshot(prefix);
    if (read.err) {
      this.#onLost(read.val.message);
      return false;
    }
    this.#onContact();
    // An old read must not take the follower back.
    if (read.val.revision < this.#floor) return false;
    this.#revision = read.val.revision;
    this.#floor = read.val.revision;
    listener.onSnapshot(read.val);
    return true;
  }

  /** Follows until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isWell = this.isLoaded
        ? await this.#poll(signal)
        : await this.load();
      if (!isWell) await this.#options.clock.sleep(RETRY_MS, signal);
    }
  }

  async #poll(signal: AbortSignal): Promise<boolean> {
    const { table, prefix, listener } = this.#options;
    const after = this.#revision ?? 0;
    const waitMs = this.#lostMs === undefined ? FEED_WAIT_MS : LOST_WAIT_MS;
    const read = await table.changes(prefix, after, waitMs);
    if (signal.aborted) return true;
    if (read.err) {
      if (read.val.code === FaultCode.HistoryLost) {
        this.#options.journal.info("The history is gone; reading all rows.", {
          prefix,
          after,
        });
        return await this.#reload();
      }
      this.#onLost(read.val.message);
      return false;
    }
    this.#onContact();
    for (const row of read.val.rows) listener.onChange(row);
    this.#revision = Math.max(after, read.val.revision);
    this.#floor = this.#revision;
    return true;
  }

  async #reload(): Promise<boolean> {
    this.#revision = undefined;
    return await this.load();
  }

  #onContact(): void {
    if (this.#lostMs === undefined) return;
    this.#lostMs = undefined;
    const { journal, prefix } = this.#options;
    journal.info("The table answers again.", { prefix });
  }

  #onLost(cause: string): void {
    if (this.#lostMs !== undefined) return;
    const { clock, journal, prefix } = this.#options;
    this.#lostMs = clock.nowMs();
    journal.warn("The table does not answer.", { prefix, cause });
  }
}
