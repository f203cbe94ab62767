import type { Result } from "ts-results";
import type { Fault } from "./fault";
import { type Row, Table } from "./table";

/** All rows under a prefix, and where to follow their changes from. */
export interface Snapshot {
  readonly rows: Row[];
  /** Changes above this revision are not in `rows`. */
  readonly revision: number;
}

/** Rows that changed, in order, and where to go on. */
export interface Changes {
  readonly rows: readonly ChangedRow[];
  readonly revision: number;
}

/** A row after a change; `value` is undefined when the row was deleted. */
export interface ChangedRow {
  readonly key: string;
  readonly revision: number;
  readonly value: string | undefined;
}

/** A table whose changes can be followed. */
export abstract class FeedTable extends Table {
  /** Reads all rows under `prefix`; a change may show twice, never not. */
  abstract snapshot(prefix: string): Promise<Result<Snapshot, Fault>>;
  /**
   * Waits up to `waitMs` for changes above `after`. `HistoryLost` means that
   * they are not kept any more: take a new snapshot.
   */
  abstract changes(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Result<Changes, Fault>>;
}
