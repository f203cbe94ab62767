import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type Commit,
  type ReadOptions,
  type Row,
  Table,
  type Transaction,
} from "@laburnumtrack/core/table";
import { Err, Ok, type Result } from "ts-results";

/** In-memory table with transactions. */
export class MemoryTable extends Table {
  readonly #rows = new Map<string, Row>();
  #revision = 0;
  /** Called after each committed transaction with its revision. */
  onCommit: (transaction: Transaction, revision: number) => void = () => {};

  override get(
    keys: readonly string[],
    options: ReadOptions = {},
  ): Promise<Result<Row[], Fault>> {
    return Promise.resolve(Ok(this.readNow(keys, options)));
  }

  override scan(
    prefix: string,
    options: ReadOptions = {},
  ): Promise<Result<Row[], Fault>> {
    return Promise.resolve(Ok(this.scanNow(prefix, options)));
  }

  override commit(transaction: Transaction): Promise<Result<Commit, Fault>> {
    return Promise.resolve(this.commitNow(transaction));
  }

  /** Reads rows synchronously. */
  readNow(keys: readonly string[], { above = 0 }: ReadOptions = {}): Row[] {
    const rows: Row[] = [];
    for (const key of keys) {
      const row = this.#rows.get(key);
      if (row !== undefined && row.revision > above) rows.push(row);
    }
    return rows;
  }

  /** Scans rows synchronously; the result is sorted by key. */
  scanNow(prefix: string, { above = 0 }: ReadOptions = {}): Row[] {
    const rows: Row[] = [];
    for (const [key, row] of this.#rows) {
      if (key.startsWith(prefix) && row.revision > above) rows.push(row);
    }
    return rows.sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Commits synchronously; `Conflict` if a checked row has another revision. */
  commitNow(transaction: Transaction): Result<Commit, Fault> {
    for (const { key, revision } of transaction.checks) {
      const current = this.#rows.get(key)?.revision ?? 0;
      if (current !== revision) return Err(new Fault(FaultCode.Conflict, key));
    }
    this.#revision += 1;
    const revision = this.#revision;
    for (const { key, value } of transaction.writes) {
      if (value === null) this.#rows.delete(key);
      else this.#rows.set(key, { key, revision, value });
    }
    this.onCommit(transaction, revision);
    return Ok({ revision });
  }
}
