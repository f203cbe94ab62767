import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type ChangedRow,
  type Changes,
  type ChangesOptions,
  FeedTable,
  type Snapshot,
} from "@laburnumtrack/core/feed_table";
import type { Commit, Row, Transaction } from "@laburnumtrack/core/table";
import { Err, Ok, type Result } from "ts-results";
import { MemoryTable } from "./memory_table";

/** Injected fault of calls to the table. */
export enum TableFault {
  None = "none",
  /** Calls are refused and have no effect. */
  Down = "down",
  /** Calls time out and have no effect. */
  Silent = "silent",
  /** Commits take effect at once, but their answers are lost. */
  AnswerLost = "answer_lost",
  /** Commits time out and take effect later unless a check fails by then. */
  Late = "late",
  /** Snapshots return old rows, and reads of changes fail with lost history. */
  Stale = "stale",
}

interface LoggedChange extends ChangedRow {
  readonly key: string;
}

/** Duration of a call, in ms. */
const CALL_DURATION_MS = 5;
/** Time after which a call without an answer fails, in ms. */
const TIMEOUT_MS = 1000;
/** Delay after which a late commit takes effect, in ms. */
const LATE_COMMIT_DELAY_MS = 3000;
/** Interval at which a waiting read polls for changes, in ms. */
const POLL_INTERVAL_MS = 10;

/** In-memory table with a change feed, into which faults can be injected. */
export class FeedTableStandin extends FeedTable {
  readonly #clock: Clock;
  readonly #table = new MemoryTable();
  #changeLog: LoggedChange[] = [];
  #revision = 0;
  #staleSnapshot: Snapshot | undefined;
  /** Injected fault of all callers. */
  fault = TableFault.None;
  /** Names of processes all of whose calls are refused. */
  readonly refused = new Set<string>();
  /** Names of processes whose commits are refused; they can still read. */
  readonly refusedCommits = new Set<string>();
  /** Key prefixes of which no snapshots can be read. */
  readonly refusedPrefixes = new Set<string>();
  /** Keys of rows because of which commits are rejected. */
  readonly rejectedKeys = new Set<string>();
  /** Size of a row, in bytes, above which commits are rejected. */
  rowLimitBytes = Number.POSITIVE_INFINITY;
  /** Size of all writes, in bytes, above which a commit is rejected. */
  commitLimitBytes = Number.POSITIVE_INFINITY;
  /** Additional duration of all calls of a process, in ms, by its name. */
  readonly delaysMs = new Map<string, number>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
    this.#table.onCommit = ({ writes }, revision) => {
      this.#revision = revision;
      for (const { key, value } of writes) {
        this.#changeLog.push({ key, revision, value: value ?? undefined });
      }
    };
  }

  /** The table as the process of that name accesses it. */
  viewOf(name: string): FeedTable {
    return new TableView(this, name);
  }

  /** Saves the current rows, which snapshots return under `Stale`. */
  saveStaleSnapshot(): void {
    const rows = this.#table.scanNow("");
    this.#staleSnapshot = {
      rows,
      revision: this.#revision,
      bytes: sizeOf(rows),
    };
  }

  /** Writes a row at once, whatever the injected fault, as operators do. */
  writeAsOperator(key: string, value: string): void {
    this.#table.commitNow({ checks: [], writes: [{ key, value }] });
  }

  /** Deletes the change history: readers behind the current revision lose it. */
  dropHistory(): void {
    this.#changeLog = [];
  }

  /** Carries out a call of the process, half of its delay before and after. */
  async delay<T>(process: string, call: () => Promise<T>): Promise<T> {
    const delayMs = this.delaysMs.get(process) ?? 0;
    if (delayMs === 0) return await call();
    await this.#clock.sleep(delayMs / 2);
    const result = await call();
    await this.#clock.sleep(delayMs / 2);
    return result;
  }

  override async get(keys: readonly string[]): Promise<Result<Row[], Fault>> {
    const fault = await this.#admit();
    return fault === undefined ? Ok(this.#table.readNow(keys)) : Err(fault);
  }

  override async scan(prefix: string): Promise<Result<Row[], Fault>> {
    const fault = await this.#admit();
    return fault === undefined ? Ok(this.#table.scanNow(prefix)) : Err(fault);
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, Fault>> {
    const fault = await this.#admit();
    if (fault !== undefined) return Err(fault);
    if (this.refusedPrefixes.has(prefix)) {
      return Err(new Fault(FaultCode.StoreUnavailable, prefix));
    }
    if (this.fault === TableFault.Stale && this.#staleSnapshot !== undefined) {
      const { rows, revision } = this.#staleSnapshot;
      const listed = rows.filter(({ key }) => key.startsWith(prefix));
      return Ok({ rows: listed, revision, bytes: sizeOf(listed) });
    }
    const rows = this.#table.scanNow(prefix);
    return Ok({ rows, revision: this.#revision, bytes: sizeOf(rows) });
  }

  override async changes(
    prefix: string,
    after: number,
    { waitMs, maxBytes = Number.POSITIVE_INFINITY }: ChangesOptions,
  ): Promise<Result<Changes, Fault>> {
    const fault = await this.#admit();
    if (fault !== undefined) return Err(fault);
    if (this.fault === TableFault.Stale) {
      return Err(new Fault(FaultCode.HistoryLost));
    }
    const deadlineMs = this.#clock.nowMs() + waitMs;
    for (;;) {
      const oldest = this.#changeLog[0]?.revision ?? this.#revision + 1;
      if (after + 1 < oldest && after < this.#revision) {
        return Err(new Fault(FaultCode.HistoryLost));
      }
      const rows = this.#changeLog.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      );
      if (sizeOf(rows) > maxBytes) return Err(new Fault(FaultCode.TooLarge));
      if (rows.length > 0 || this.#clock.nowMs() >= deadlineMs) {
        return Ok({ rows, revision: this.#revision });
      }
      await this.#clock.sleep(POLL_INTERVAL_MS);
    }
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    const fault = await this.#admit();
    if (fault !== undefined) return Err(fault);
    if (this.#isRejected(transaction))
      return Err(new Fault(FaultCode.Malformed));
    if (this.fault === TableFault.Late) {
      void this.#commitLate(transaction);
      await this.#clock.sleep(TIMEOUT_MS);
      return Err(new Fault(FaultCode.OutcomeUnknown));
    }
    const done = this.#table.commitNow(transaction);
    if (this.fault === TableFault.AnswerLost) {
      await this.#clock.sleep(TIMEOUT_MS);
      return Err(new Fault(FaultCode.OutcomeUnknown));
    }
    return done;
  }

  #isRejected({ writes }: Transaction): boolean {
    if (writes.some(({ key }) => this.rejectedKeys.has(key))) return true;
    const sizes = writes.map(({ value }) => Buffer.byteLength(value ?? ""));
    const sum = sizes.reduce((total, size) => total + size, 0);
    return (
      sum > this.commitLimitBytes ||
      sizes.some((size) => size > this.rowLimitBytes)
    );
  }

  async #commitLate(transaction: Transaction): Promise<void> {
    await this.#clock.sleep(LATE_COMMIT_DELAY_MS);
    this.#table.commitNow(transaction);
  }

  async #admit(): Promise<Fault | undefined> {
    await this.#clock.sleep(CALL_DURATION_MS);
    if (this.fault === TableFault.Down) {
      return new Fault(FaultCode.StoreUnavailable);
    }
    if (this.fault !== TableFault.Silent) return undefined;
    await this.#clock.sleep(TIMEOUT_MS);
    return new Fault(FaultCode.OutcomeUnknown);
  }
}

function sizeOf(rows: readonly { value: string | undefined }[]): number {
  return rows.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

/** The table as one process accesses it; its calls can be refused on their own. */
class TableView extends FeedTable {
  readonly #table: FeedTableStandin;
  readonly #name: string;

  constructor(table: FeedTableStandin, name: string) {
    super();
    this.#table = table;
    this.#name = name;
  }

  override async get(keys: readonly string[]): Promise<Result<Row[], Fault>> {
    return await this.#unlessRefused(() => this.#table.get(keys));
  }

  override async scan(prefix: string): Promise<Result<Row[], Fault>> {
    return await this.#unlessRefused(() => this.#table.scan(prefix));
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, Fault>> {
    return await this.#unlessRefused(() => this.#table.snapshot(prefix));
  }

  override async changes(
    prefix: string,
    after: number,
    options: ChangesOptions,
  ): Promise<Result<Changes, Fault>> {
    return await this.#unlessRefused(() =>
      this.#table.changes(prefix, after, options),
    );
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    if (this.#table.refusedCommits.has(this.#name)) {
      return Err(new Fault(FaultCode.StoreUnavailable, this.#name));
    }
    return await this.#unlessRefused(() => this.#table.commit(transaction));
  }

  async #unlessRefused<T>(
    call: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    if (this.#table.refused.has(this.#name)) {
      return Err(new Fault(FaultCode.StoreUnavailable, this.#name));
    }
    return await this.#table.delay(this.#name, call);
  }
}
