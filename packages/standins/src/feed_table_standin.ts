import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type ChangedRow,
  type Changes,
  FeedTable,
  type Snapshot,
} from "@laburnumtrack/core/feed_table";
import type { Commit, Row, Transaction } from "@laburnumtrack/core/table";
import { Err, Ok, type Result } from "ts-results";
import { MemoryTable } from "./memory_table";

/** How a call to the table goes wrong. */
export enum TableTrouble {
  None = "none",
  /** Calls are turned away and have no effect. */
  Down = "down",
  /** Calls get no answer and have no effect. */
  Silent = "silent",
  /** Commits take effect at once, their answers are lost. */
  AnswerLost = "answer_lost",
  /** Commits get no answer and take effect later, if they still can. */
  Late = "late",
  /** Snapshots show an old moment, and changes are no longer kept. */
  Stale = "stale",
}

interface Logged extends ChangedRow {
  readonly key: string;
}

/** Time that a call takes, in ms. */
const CALL_MS = 5;
/** Time after which a call without an answer is given up, in ms. */
const TIMEOUT_MS = 1000;
/** Delay of a late commit, in ms. */
const LATE_MS = 3000;
/** Pause between two looks for changes, in ms. */
const POLL_MS = 10;

/** A table whose changes can be followed and that can be made to misbehave. */
export class FeedTableStandin extends FeedTable {
  readonly #clock: Clock;
  readonly #table = new MemoryTable();
  #log: Logged[] = [];
  #revision = 0;
  #oldRows: Snapshot | undefined;
  /** What goes wrong now, for all callers. */
  trouble = TableTrouble.None;
  /** Callers that are turned away while others are served. */
  readonly refused = new Set<string>();
  /** Callers whose commits alone are turned away: they still read. */
  readonly refusedCommits = new Set<string>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
    this.#table.onCommit = ({ writes }, revision) => {
      this.#revision = revision;
      for (const { key, value } of writes) {
        this.#log.push({ key, revision, value: value ?? undefined });
      }
    };
  }

  /** The table as one process sees it. */
  viewOf(name: string): FeedTable {
    return new TableView(this, name);
  }

  /** Remembers the rows as they are, for reads that are old. */
  remember(): void {
    const rows = this.#table.scanNow("");
    this.#oldRows = { rows, revision: this.#revision };
  }

  /** Drops the history of changes. */
  dropHistory(): void {
    this.#log = [];
  }

  override async get(keys: readonly string[]): Promise<Result<Row[], Fault>> {
    const fault = await this.#pass();
    return fault === undefined ? Ok(this.#table.readNow(keys)) : Err(fault);
  }

  override async scan(prefix: string): Promise<Result<Row[], Fault>> {
    const fault = await this.#pass();
    return fault === undefined ? Ok(this.#table.scanNow(prefix)) : Err(fault);
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, Fault>> {
    const fault = await this.#pass();
    if (fault !== undefined) return Err(fault);
    if (this.trouble === TableTrouble.Stale && this.#oldRows !== undefined) {
      const { rows, revision } = this.#oldRows;
      const listed = rows.filter(({ key }) => key.startsWith(prefix));
      return Ok({ rows: listed, revision });
    }
    const rows = this.#table.scanNow(prefix);
    return Ok({ rows, revision: this.#revision });
  }

  override async changes(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Result<Changes, Fault>> {
    const fault = await this.#pass();
    if (fault !== undefined) return Err(fault);
    if (this.trouble === TableTrouble.Stale) {
      return Err(new Fault(FaultCode.HistoryLost));
    }
    const untilMs = this.#clock.nowMs() + waitMs;
    for (;;) {
      const oldest = this.#log[0]?.revision ?? this.#revision + 1;
      if (after + 1 < oldest && after < this.#revision) {
        return Err(new Fault(FaultCode.HistoryLost));
      }
      const rows = this.#log.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      );
      if (rows.length > 0 || this.#clock.nowMs() >= untilMs) {
        return Ok({ rows, revision: this.#revision });
      }
      await this.#clock.sleep(POLL_MS);
    }
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    const fault = await this.#pass();
    if (fault !== undefined) return Err(fault);
    if (this.trouble === TableTrouble.Late) {
      void this.#commitLate(transaction);
      await this.#clock.sleep(TIMEOUT_MS);
      return Err(new Fault(FaultCode.OutcomeUnknown));
    }
    const done = this.#table.commitNow(transaction);
    if (this.trouble === TableTrouble.AnswerLost) {
      await this.#clock.sleep(TIMEOUT_MS);
      return Err(new Fault(FaultCode.OutcomeUnknown));
    }
    return done;
  }

  async #commitLate(transaction: Transaction): Promise<void> {
    await this.#clock.sleep(LATE_MS);
    this.#table.commitNow(transaction);
  }

  async #pass(): Promise<Fault | undefined> {
    await this.#clock.sleep(CALL_MS);
    if (this.trouble === TableTrouble.Down) {
      return new Fault(FaultCode.StoreUnavailable);
    }
    if (this.trouble !== TableTrouble.Silent) return undefined;
    await this.#clock.sleep(TIMEOUT_MS);
    return new Fault(FaultCode.OutcomeUnknown);
  }
}

/** The table as one process sees it: it may be turned away alone. */
class TableView extends FeedTable {
  readonly #table: FeedTableStandin;
  readonly #name: string;

  constructor(table: FeedTableStandin, name: string) {
    super();
    this.#table = table;
    this.#name = name;
  }

  override async get(keys: readonly string[]): Promise<Result<Row[], Fault>> {
    return await this.#pass(() => this.#table.get(keys));
  }

  override async scan(prefix: string): Promise<Result<Row[], Fault>> {
    return await this.#pass(() => this.#table.scan(prefix));
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, Fault>> {
    return await this.#pass(() => this.#table.snapshot(prefix));
  }

  override async changes(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Result<Changes, Fault>> {
    return await this.#pass(() => this.#table.changes(prefix, after, waitMs));
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    if (this.#table.refusedCommits.has(this.#name)) {
      return Err(new Fault(FaultCode.StoreUnavailable, this.#name));
    }
    return await this.#pass(() => this.#table.commit(transaction));
  }

  async #pass<T>(
    call: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    if (this.#table.refused.has(this.#name)) {
      return Err(new Fault(FaultCode.StoreUnavailable, this.#name));
    }
    return await call();
  }
}
