import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { RowCache } from "@laburnumtrack/core/row_cache";
import type { Row, Table } from "@laburnumtrack/core/table";
import type { TokenRing } from "@laburnumtrack/core/token_ring";
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
  readonly ring: TokenRing;
  readonly cache: RowCache;
  /** Called with the rows of each commit. */
  readonly onCommitted: (rows: readonly Row[]) => void;
}

interface Pending {
  readonly edit: Edit;
  readonly resolve: (result: Result<boolean, Fault>) => void;
}

// The first edit waits this long for others to share its transaction.
const GATHER_MS = 40;
const ROWS_PER_TRANSACTION = 48;
// A commit without an answer by then is reported as `OutcomeUnknown`.
const TIMEOUT_MS = 10_000;
// Attempts at one edit alone, after the conflict of its batch.
const RETRY_LIMIT = 4;

/**
 * Commits edits in batches. Edits that arrive close together share a
 * transaction and the rows they change, which saves writes, for example when
 * tasks start. After a conflict the rows are read again and each edit is
 * computed and committed alone.
 */
export class RowEditor extends EditSink {
  readonly #options: RowEditorOptions;
  readonly #pending: Pending[] = [];
  #isFlushing = false;

  constructor(options: RowEditorOptions) {
    super();
    this.#options = options;
  }

  override edit(edit: Edit): Promise<Result<boolean, Fault>> {
    return new Promise((resolve) => {
      this.#pending.push({ edit, resolve });
      if (!this.#isFlushing) void this.#flushAll();
    });
  }

  async #flushAll(): Promise<void> {
    this.#isFlushing = true;
    await this.#options.clock.sleep(GATHER_MS);
    while (this.#pending.length > 0) {
      await this.#flush(this.#takeGroup());
    }
    this.#isFlushing = false;
  }

  #takeGroup(): Pending[] {
    const keys = new Set<string>();
    const group: Pending[] = [];
    while (this.#pending.length > 0) {
      const [next] = this.#pending;
      if (next === undefined) break;
      for (const key of next.edit.keys) keys.add(key);
      if (group.length > 0 && keys.size > ROWS_PER_TRANSACTION) break;
      group.push(next);
      this.#pending.shift();
    }
    return group;
  }

  async #flush(group: readonly Pending[]): Promise<void> {
    const result = await this.#commit(group);
    if (result.ok) return;
    const { code } = result.val;
    if (code !== FaultCode.Conflict) {
      await this.#refresh(group);
      for (const { resolve } of group) resolve(result);
      return;
    }
    if (!(await this.#refresh(group))) {
      const fault = new Fault(FaultCode.StoreUnavailable);
      for (const { resolve } of group) resolve(Err(fault));
      return;
    }
    for (const pending of group) await this.#retryAlone(pending);
  }

  async #retryAlone(pending: Pending): Promise<void> {
    let result = await this.#commit([pending]);
    for (let tries = 1; tries < RETRY_LIMIT; tries += 1) {
      if (result.ok || result.val.code !== FaultCode.Conflict) break;
      if (!(await this.#refresh([pending]))) break;
      result = await this.#commit([pending]);
    }
    if (result.err) pending.resolve(result);
  }

  /** Commits a batch; resolves its edits if the commit took effect. */
  async #commit(group: readonly Pending[]): Promise<Result<void, Fault>> {
    const { cache, ring, onCommitted } = this.#options;
    const revisions = new Map<string, number>();
    const values = new Map<string, string>();
    const applied: Pending[] = [];
    for (const pending of group) {
      const own = new Map(values);
      for (const key of pending.edit.keys) {
        if (!own.has(key)) own.set(key, cache.get(key)?.value ?? "");
      }
      const draft = new Draft(own);
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
        { timeoutMs: TIMEOUT_MS },
      );
      if (result.err) return result;
      const { revision } = result.val;
      const rows = [...values].map(([key, value]) => ({
        key,
        revision,
        value,
      }));
      for (const row of rows) cache.offer(row);
      onCommitted(rows);
    }
    for (const { resolve } of applied) resolve(Ok(true));
    return Ok(undefined);
  }

  /** Reads the rows of a batch into the cache; false if that failed. */
  async #refresh(group: readonly Pending[]): Promise<boolean> {
    const { cache, table } = this.#options;
    const keys = new Set(group.flatMap(({ edit }) => edit.keys));
    const asOf = cache.highestRevision;
    const read = await table.get([...keys]);
    if (read.err) return false;
    for (const row of read.val) {
      cache.offer(row);
      keys.delete(row.key);
    }
    for (const key of keys) cache.offerAbsence(key, asOf);
    return true;
  }
}
