import type { Result } from "ts-results";
import type { Fault } from "./fault";

/** A row as read from the table. */
export interface Row {
  readonly key: string;
  /** Grows with every commit that writes the row; never used twice. */
  readonly revision: number;
  /** JSON text. */
  readonly value: string;
}

/** Requires that a row still has this revision; 0 requires that it is absent. */
export interface Check {
  readonly key: string;
  readonly revision: number;
}

/** A new value of a row; null deletes it. */
export interface Write {
  readonly key: string;
  readonly value: string | null;
}

/** Writes that take effect together if all checks hold, otherwise not at all. */
export interface Transaction {
  readonly checks: readonly Check[];
  readonly writes: readonly Write[];
}

/** Options of {@linkcode Table.get} and {@linkcode Table.scan}. */
export interface ReadOptions {
  /** Returns only rows with a revision above this. */
  readonly above?: number;
}

/** Result of a transaction that took effect. */
export interface Commit {
  /** The new revision of every written row. */
  readonly revision: number;
}

/**
 * The platform's transactional table.
 *
 * Assumptions: transactions are serializable; revisions only grow, and a read
 * that sees a revision sees all lower ones; a transaction whose checks fail has
 * no effect, not even later.
 */
export abstract class Table {
  /** Reads rows; absent ones are left out of the result. */
  abstract get(
    keys: readonly string[],
    options?: ReadOptions,
  ): Promise<Result<Row[], Fault>>;
  /** Reads all rows whose keys start with `prefix`, in key order. */
  abstract scan(
    prefix: string,
    options?: ReadOptions,
  ): Promise<Result<Row[], Fault>>;
  /**
   * Commits a transaction. Fails with `Conflict` or `StoreUnavailable` if it
   * had no effect, and with `OutcomeUnknown` if it may have taken effect or may
   * still do so.
   */
  abstract commit(transaction: Transaction): Promise<Result<Commit, Fault>>;
}
