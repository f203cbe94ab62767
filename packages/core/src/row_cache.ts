import type { Row } from "./table";

/** A row, or a tombstone: the value of a deleted row is empty. */
export type CachedRow = Row;

type Listener = (row: CachedRow) => void;

/**
 * Local cache of table rows, filled from this process's reads and commits and
 * from its peers. The value with the highest revision wins, in whatever order
 * the values arrive.
 */
export class RowCache {
  readonly #rows = new Map<string, CachedRow>();
  readonly #listeners: Listener[] = [];
  #highestRevision = 0;

  /** Stores the row if it is newer than the cached one; returns whether it was. */
  merge(row: CachedRow): boolean {
    const cached = this.#rows.get(row.key);
    if (cached !== undefined && cached.revision >= row.revision) return false;
    this.#rows.set(row.key, row);
    if (row.revision > this.#highestRevision)
      this.#highestRevision = row.revision;
    for (const listener of this.#listeners) listener(row);
    return true;
  }

  /**
   * Stores the result of a full scan of `prefix`. A cached row that the scan
   * lacks was deleted, unless its revision is above `asOf`, the cache's highest
   * revision when the scan was sent.
   */
  mergeScan(prefix: string, rows: readonly Row[], asOf: number): void {
    const present = new Set(rows.map((row) => row.key));
    for (const row of rows) this.merge(row);
    for (const key of [...this.#rows.keys()]) {
      if (!key.startsWith(prefix) || present.has(key)) continue;
      this.mergeAbsence(key, asOf);
    }
  }

  /** The highest revision among the cached rows. */
  get highestRevision(): number {
    return this.#highestRevision;
  }

  /** The cached row; undefined if it is unknown or deleted. */
  get(key: string): Row | undefined {
    const row = this.#rows.get(key);
    return row === undefined || row.value === "" ? undefined : row;
  }

  /** All cached rows, without deleted ones, whose keys start with `prefix`. */
  list(prefix: string): Row[] {
    const found: Row[] = [];
    for (const [key, row] of this.#rows) {
      if (row.value !== "" && key.startsWith(prefix)) found.push(row);
    }
    return found;
  }

  /**
   * Marks a row as deleted after a read did not find it, unless its revision
   * is above `asOf`, the cache's highest revision when the read was sent.
   */
  mergeAbsence(key: string, asOf: number): void {
    const row = this.#rows.get(key);
    if (row === undefined || row.value === "" || row.revision > asOf) return;
    // Above the cached revision, and below any that a later write can have.
    this.merge({ key, revision: row.revision + 0.5, value: "" });
  }

  /** Calls `listener` with each new or changed row. */
  onRow(listener: Listener): void {
    this.#listeners.push(listener);
  }
}
