import type { Result } from "ts-results";
import type { Fault } from "./fault";
import { type Row, Table } from "./table";

/** All rows under a prefix, and the revision to follow their changes from. */
export interface Snapshot {
  readonly rows: Row[];
  /** `rows` may lack changes above this revision. */
  readonly revision: number;
  /** Size of the answers that held the rows. */
  readonly bytes: number;
}

/** Receives a part of a snapshot; false ends the reading. */
export type PageListener = (page: Snapshot) => boolean;

/** Changed rows in order, and the revision to continue from. */
export interface Changes {
  readonly rows: readonly ChangedRow[];
  readonly revision: number;
}

/** A row after a change; `value` is undefined if the row was deleted. */
export interface ChangedRow {
  readonly key: string;
  readonly revision: number;
  readonly value: string | undefined;
}

/** Options of {@linkcode FeedTable.changes}. */
export interface ChangesOptions {
  /** Longest wait for a change, in ms. */
  readonly waitMs: number;
  /** A larger answer is not received; default: any size is. */
  readonly maxBytes?: number;
}

/** A table with a change feed. */
export abstract class FeedTable extends Table {
  /**
   * Reads all rows under `prefix`. A change may appear both here and in the
   * {@linkcode changes} that follow, but is never missing from both.
   */
  abstract snapshot(prefix: string): Promise<Result<Snapshot, Fault>>;
  /**
   * Reads all rows under `prefix` like {@linkcode snapshot}, and passes them on
   * part by part, so that they need not all be held. The result has no rows; its
   * revision is the lowest of all parts.
   */
  async readPages(
    prefix: string,
    onPage: PageListener,
  ): Promise<Result<Snapshot, Fault>> {
    const read = await this.snapshot(prefix);
    if (read.ok) onPage(read.val);
    return read.map((snapshot) => ({ ...snapshot, rows: [] }));
  }
  /**
   * Waits for changes above the revision `after`. Fails with `HistoryLost` when
   * they are no longer retained, and with `TooLarge` when there are more than
   * `maxBytes` of them; the caller then takes a new snapshot.
   */
  abstract changes(
    prefix: string,
    after: number,
    options: ChangesOptions,
  ): Promise<Result<Changes, Fault>>;
}
