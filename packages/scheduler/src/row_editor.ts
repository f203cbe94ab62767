import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { RowCache } from "@laburnumtrack/core/row_cache";
import type { Row, Table } from "@laburnumtrack/core/table";
import type { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { Err, Ok, type Result } from "ts-results";

/** A working copy of the rows that an edit reads and changes, by key. */
export class Draft {
  readonly #values: Map<string, string>;
  readonly #changed = new Map<string, string>();

  constructor(values: Map<string, string>) {
    this.#values = values;
  }

  /** A row's value; undefined when the row is absent. */
  read<T>(key: string): T | undefined {
    const text = this.#changed.get(key) ?? this.#values.get(key) ?? "";
    return text === "" ? undefined : (JSON.parse(text) as T);
  }

  /** Sets a row's value. */
  write(key: string, value: unknown): void {
    this.#changed.set(key, JSON.stringify(value));
  }

  /** Deletes a row. */
  remove(key: string): void {
    this.#changed.set(key, "");
  }

  /** New values by key; an empty one deletes the row. */
  get changes(): ReadonlyMap<string, string> {
    return this.#changed;
  }
}

/** A change of rows that is computed again when one of them has changed. */
export interface Edit {
  /** Keys of all rows that `apply` reads or changes. */
  readonly keys: readonly string[];
  /**
   * Changes the draft; returns false when the edit no longer applies. It may be
   * called more than once and must not rely on earlier calls.
   */
  readonly apply: (draft: Draft) => boolean;
}

/** Commits edits to the table. */
export abstract class EditSink {
  /** Commits an edit; false when it no longer applied. */
  abstract edit(edit: Edit): Promise<Result<boolean, Fault>>;
}

/** Dependencies of a {@linkcode RowEditor}. */
export interface RowEditorOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly ring: TokenCommitter;
  readonly cache: RowCache;
  /** Called with the rows of each commit. */
  readonly onCommitted: (rows: readonly Row[]) => void;
}

interface PendingEdit {
  readonly edit: Edit;
  readonly resolve: (result: Result<boolean, Fault>) => void;
}

// The first edit waits this long for others to share its transaction.
const BATCH_DELAY_MS = 40;
const MAX_ROWS_PER_TRANSACTION = 48;
// A commit without an answer by then is reported as `OutcomeUnknown`.
const COMMIT_TIMEOUT_MS = 10_000;
// Attempts at one edit alone, after the conflict of its batch.
const ATTEMPTS_LIMIT = 4;

/**
 * Commits edits in batches. Edits that arrive close together share a
 * transaction and the rows they change, which saves writes, for example when
 * tasks start. After a conflict the rows are read again and each edit is
 * computed and committed alone.
 */
export class RowEditor extends EditSink {
  readonly #options: RowEditorOptions;
  readonly #pending: PendingEdit[] = [];
  #isCommitting = false;

  constructor(options: RowEditorOptions) {
    super();
    this.#options = options;
  }

  override edit(edit: Edit): Promise<Result<boolean, Fault>> {
    return new Promise((resolve) => {
      this.#pending.push({ edit, resolve });
      if (!this.#isCommitting) void this.#commitAll();
    });
  }

  async #commitAll(): Promise<void> {
    this.#isCommitting = true;
    await this.#options.clock.sleep(BATCH_DELAY_MS);
    while (this.#pending.length > 0) {
      await this.#commitBatch(this.#takeBatch());
    }
    this.#isCommitting = false;
  }

  #takeBatch(): PendingEdit[] {
    const keys = new Set<string>();
    const batch: PendingEdit[] = [];
    while (this.#pending.length > 0) {
      const [next] = this.#pending;
      if (next === undefined) break;
      for (const key of next.edit.keys) keys.add(key);
      if (batch.length > 0 && keys.size > MAX_ROWS_PER_TRANSACTION) break;
      batch.push(next);
      this.#pending.shift();
    }
    return batch;
  }

  async #commitBatch(batch: readonly PendingEdit[]): Promise<void> {
    const result = await this.#commit(batch);
    if (result.ok) return;
    const { code } = result.val;
    if (code !== FaultCode.Conflict) {
      await this.#refresh(batch);
      for (const { resolve } of batch) resolve(result);
      return;
    }
    if (!(await this.#refresh(batch))) {
      const fault = new Fault(FaultCode.StoreUnavailable);
      for (const { resolve } of batch) resolve(Err(fault));
      return;
    }
    for (const pending of batch) await this.#retryAlone(pending);
  }

  async #retryAlone(pending: PendingEdit): Promise<void> {
    let result = await this.#commit([pending]);
    for (let attempts = 1; attempts < ATTEMPTS_LIMIT; attempts += 1) {
      if (result.ok || result.val.code !== FaultCode.Conflict) break;
      if (!(await this.#refresh([pending]))) break;
      result = await this.#commit([pending]);
    }
    if (result.err) pending.resolve(result);
  }

  /** Commits a batch; resolves its edits if the commit took effect. */
  async #commit(batch: readonly PendingEdit[]): Promise<Result<void, Fault>> {
    const { cache, ring, onCommitted } = this.#options;
    const revisions = new Map<string, number>();
    const values = new Map<string, string>();
    const applied: PendingEdit[] = [];
    for (const pending of batch) {
      const draftValues = new Map(values);
      for (const key of pending.edit.keys) {
        if (!draftValues.has(key))
          draftValues.set(key, cache.get(key)?.value ?? "");
      }
      const draft = new Draft(draftValues);
      if (!pending.edit.apply(draft)) {
        pending.resolve(Ok(false));
        continue;
      }
      applied.push(pending);
      for (const key of pending.edit.keys) {
        revisions.set(key, cache.get(key)?.revision ?? 0);
      }
      for (const [key, value] of draft.changes) values.set(key, value);
    }
    if (applied.length === 0) return Ok(undefined);
    if (values.size > 0) {
      const result = await ring.commit(
        {
          checks: [...revisions].map(([key, revision]) => ({ key, revision })),
          writes: [...values].map(([key, value]) => ({
            key,
            value: value === "" ? null : value,
          })),
        },
        { timeoutMs: COMMIT_TIMEOUT_MS },
      );
      if (result.err) return result;
      const { revision } = result.val;
      const rows = [...values].map(([key, value]) => ({
        key,
        revision,
        value,
      }));
      for (const row of rows) cache.merge(row);
      onCommitted(rows);
    }
    for (const { resolve } of applied) resolve(Ok(true));
    return Ok(undefined);
  }

  /** Reads the rows of a batch into the cache; false if that failed. */
  async #refresh(batch: readonly PendingEdit[]): Promise<boolean> {
    const { cache, table } = this.#options;
    const keys = new Set(batch.flatMap(({ edit }) => edit.keys));
    const asOf = cache.highestRevision;
    const read = await table.get([...keys]);
    if (read.err) return false;
    for (const row of read.val) {
      cache.merge(row);
      keys.delete(row.key);
    }
    for (const key of keys) cache.mergeAbsence(key, asOf);
    return true;
  }
}
