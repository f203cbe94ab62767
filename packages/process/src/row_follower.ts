import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type {
  ChangedRow,
  FeedTable,
  Snapshot,
} from "@laburnumtrack/core/feed_table";
import { Err, type Result } from "ts-results";
import type { Journal } from "./journal";

/** Receives the rows under a prefix and their changes. */
export interface RowListener {
  /**
   * Called with a snapshot before its rows. Known rows that are missing were
   * deleted, or were written after the snapshot.
   */
  readonly onSnapshot?: (snapshot: Snapshot) => void;
  /** Called with each row of a snapshot and each change after it, in order. */
  readonly onRow: (row: ChangedRow) => void;
}

/** Options of {@linkcode RowFollower}. */
export interface RowFollowerOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly journal: Journal;
  readonly prefix: string;
  readonly listener: RowListener;
  /** Snapshots below this revision are ignored as stale; default 0. */
  readonly minRevision?: number;
  /**
   * Whether changes that are larger than the last snapshot are skipped by taking
   * a new one. Saves reading values that others have replaced since; default
   * false.
   */
  readonly preferSnapshots?: boolean;
  /**
   * Whether the rows of a snapshot are processed as they arrive, so that many of
   * them neither fill the memory nor stop the process for long. `onSnapshot` then
   * follows the rows, and has none. Default false.
   */
  readonly isPaged?: boolean;
}

/** Wait of a long poll; bounds how long a dead connection goes unnoticed. */
const POLL_WAIT_MS = 1000;
/** Wait of a long poll after a failure, short to notice recovery soon. */
const OUTAGE_POLL_WAIT_MS = 100;
/** Failures that last this long are an outage, not one failed call. */
const OUTAGE_THRESHOLD_MS = 300;
const RETRY_DELAY_MS = 150;
/** Changes of this size are always read. */
const MIN_CHANGES_BYTES = 32 * 1024;
/** Changes are read up to this multiple of the size of the last snapshot. */
const CHANGES_SIZE_FACTOR = 1.5;
/** Interval at which the cause of an outage that goes on is logged. */
const OUTAGE_LOG_INTERVAL_MS = 2000;

/** Failed calls in a row. */
interface Outage {
  /** Monotonic ms of the first failure. */
  readonly sinceMs: number;
  failures: number;
  lastCause: string;
  /** Monotonic ms at which a failure was last logged. */
  loggedMs: number;
}

/** Follows the rows under a prefix: a snapshot, then long polls for changes. */
export class RowFollower {
  readonly #options: RowFollowerOptions;
  #revision: number | undefined;
  /** Highest revision seen; snapshots below it are stale. */
  #minRevision: number;
  /** Highest revision up to which all changes were read. */
  #readRevision = 0;
  #snapshotBytes = 0;
  #confirmedMs = Number.NEGATIVE_INFINITY;
  /** Undefined while calls succeed. */
  #outage: Outage | undefined;

  constructor(options: RowFollowerOptions) {
    this.#options = options;
    this.#minRevision = options.minRevision ?? 0;
  }

  /** Whether all calls have failed for more than `OUTAGE_THRESHOLD_MS`. */
  get isTableUnavailable(): boolean {
    const { clock } = this.#options;
    return (
      this.#outage !== undefined &&
      clock.nowMs() - this.#outage.sinceMs > OUTAGE_THRESHOLD_MS
    );
  }

  /** Time in ms for which all calls have failed; 0 while they succeed. */
  get outageMs(): number {
    const { clock } = this.#options;
    return this.#outage === undefined
      ? 0
      : clock.nowMs() - this.#outage.sinceMs;
  }

  /** Monotonic ms up to which all changes are known. */
  get confirmedMs(): number {
    return this.#confirmedMs;
  }

  /** Highest revision up to which all changes were read; 0 before that. */
  get revision(): number {
    return this.#readRevision;
  }

  /** Whether a snapshot was taken. */
  get isLoaded(): boolean {
    return this.#revision !== undefined;
  }

  /** Reads a snapshot; false when the call fails or the snapshot is stale. */
  async load(): Promise<boolean> {
    const { clock, prefix, listener } = this.#options;
    const sentMs = clock.nowMs();
    const read = await catchErrors(() => this.#readSnapshot());
    if (read.err) {
      this.#onFailure(read.val.message);
      return false;
    }
    this.#onSuccess();
    // A stale read must not revert rows to earlier values.
    if (read.val.revision < this.#minRevision) return false;
    this.#revision = read.val.revision;
    this.#minRevision = read.val.revision;
    this.#readRevision = read.val.revision;
    this.#snapshotBytes = read.val.bytes;
    const { rows, revision } = read.val;
    this.#notify({ prefix, revision }, () => listener.onSnapshot?.(read.val));
    for (const row of rows) this.#notifyRow(row);
    this.#confirmedMs = sentMs;
    return true;
  }

  async #readSnapshot(): Promise<Result<Snapshot, Fault>> {
    const { table, prefix, isPaged = false } = this.#options;
    if (!isPaged) return await table.snapshot(prefix);
    const minRevision = this.#minRevision;
    return await table.readPages(prefix, ({ rows, revision }) => {
      // The result is then below the least revision, too, and is rejected.
      if (revision < minRevision) return false;
      for (const row of rows) this.#notifyRow(row);
      return true;
    });
  }

  /** Follows until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const succeeded = this.isLoaded
        ? await this.#poll(signal)
        : await this.load();
      if (!succeeded) await this.#options.clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  async #poll(signal: AbortSignal): Promise<boolean> {
    const { clock, table, prefix } = this.#options;
    const after = this.#revision ?? 0;
    const waitMs =
      this.#outage === undefined ? POLL_WAIT_MS : OUTAGE_POLL_WAIT_MS;
    const maxBytes = this.#maxChangesBytes;
    const sentMs = clock.nowMs();
    const read = await catchErrors(() =>
      table.changes(prefix, after, { waitMs, maxBytes }),
    );
    if (signal.aborted) return true;
    if (read.err) {
      if (read.val.code === FaultCode.HistoryLost) {
        this.#options.journal.info(
          "Change history no longer available; reading all rows again.",
          { prefix, after },
        );
        return await this.#reload();
      }
      if (read.val.code === FaultCode.TooLarge) return await this.load();
      this.#onFailure(read.val.message);
      return false;
    }
    this.#onSuccess();
    for (const row of read.val.rows) this.#notifyRow(row);
    this.#revision = Math.max(after, read.val.revision);
    this.#minRevision = this.#revision;
    this.#readRevision = this.#revision;
    // The table had no change at the end of a wait that was not cut short.
    const hasWaited =
      read.val.rows.length === 0 && clock.nowMs() >= sentMs + waitMs;
    this.#confirmedMs = hasWaited ? sentMs + waitMs : sentMs;
    return true;
  }

  get #maxChangesBytes(): number {
    if (!this.#options.preferSnapshots) return Number.POSITIVE_INFINITY;
    return Math.max(
      MIN_CHANGES_BYTES,
      CHANGES_SIZE_FACTOR * this.#snapshotBytes,
    );
  }

  #notifyRow(row: ChangedRow): void {
    const { key, revision } = row;
    this.#notify({ key, revision }, () => this.#options.listener.onRow(row));
  }

  /** Calls the listener; an error costs one notification, not the follower. */
  #notify(subject: object, notify: () => void): void {
    try {
      notify();
    } catch (error) {
      this.#options.journal.error(
        "A row that was read could not be processed and is skipped.",
        {
          ...subject,
          error: error instanceof Error ? error.stack : String(error),
        },
      );
    }
  }

  async #reload(): Promise<boolean> {
    this.#revision = undefined;
    return await this.load();
  }

  #onSuccess(): void {
    const outage = this.#outage;
    if (outage === undefined) return;
    this.#outage = undefined;
    const { clock, journal, prefix } = this.#options;
    journal.info("The table answers again; following row changes.", {
      prefix,
      outageMs: Math.round(clock.nowMs() - outage.sinceMs),
      failures: outage.failures,
      lastCause: outage.lastCause,
    });
  }

  #onFailure(cause: string): void {
    const { clock, journal, prefix } = this.#options;
    const nowMs = clock.nowMs();
    const isFirst = this.#outage === undefined;
    this.#outage ??= {
      sinceMs: nowMs,
      failures: 0,
      lastCause: cause,
      loggedMs: nowMs,
    };
    const outage = this.#outage;
    outage.failures += 1;
    outage.lastCause = cause;
    if (!isFirst && nowMs - outage.loggedMs < OUTAGE_LOG_INTERVAL_MS) return;
    outage.loggedMs = nowMs;
    journal.warn("The table does not answer; rows known here may be stale.", {
      prefix,
      cause,
      failures: outage.failures,
      outageMs: Math.round(nowMs - outage.sinceMs),
    });
  }
}

/** Carries out a read; an unexpected error is a failed read, which is retried. */
async function catchErrors<T>(
  read: () => Promise<Result<T, Fault>>,
): Promise<Result<T, Fault>> {
  try {
    return await read();
  } catch (error) {
    const text = error instanceof Error ? error.stack : String(error);
    return Err(new Fault(FaultCode.OutcomeUnknown, text));
  }
}
