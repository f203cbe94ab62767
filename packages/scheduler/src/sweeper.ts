import type { Clock } from "@laburnumtrack/core/clock";
import {
  type ApplyRow,
  type ClaimRow,
  type FinishedRow,
  KeyPrefix,
  readRow,
} from "@laburnumtrack/core/rows";
import type { Row, Table } from "@laburnumtrack/core/table";
import type {
  TokenCommitter,
  TokenRow,
} from "@laburnumtrack/core/token_committer";

/** Dependencies of a {@linkcode Sweeper}. */
export interface SweeperOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly ring: TokenCommitter;
  /** Whether a job is declared; its finished row then prevents another run. */
  readonly isDeclared: (job: string) => boolean;
}

const DAY_MS = 86_400_000;
const MAX_ROWS_PER_TRANSACTION = 40;
const COMMIT_TIMEOUT_MS = 10_000;

interface RetentionRule {
  readonly prefix: KeyPrefix;
  readonly retentionMs: number;
  /** Wall time in ms from which the age of a row is counted. */
  readonly sinceMs: (row: Row) => number;
}

const RETENTION_RULES: readonly RetentionRule[] = [
  {
    prefix: KeyPrefix.Claim,
    retentionMs: 7 * DAY_MS,
    sinceMs: (row) => readRow<ClaimRow>(row).claimedAtMs,
  },
  {
    prefix: KeyPrefix.Apply,
    retentionMs: 30 * DAY_MS,
    sinceMs: (row) => readRow<ApplyRow>(row).appliedAtMs,
  },
  {
    // Schedulers scan all of these regularly, so they must stay few.
    prefix: KeyPrefix.Finished,
    retentionMs: 3 * DAY_MS,
    sinceMs: (row) => readRow<FinishedRow>(row).endedAtMs,
  },
  {
    // Nothing depends on old tokens: a TokenCommitter whose row was deleted uses
    // another one.
    prefix: KeyPrefix.Token,
    retentionMs: DAY_MS,
    sinceMs: (row) => readRow<TokenRow>(row).atMs,
  },
];

/** Deletes old rows of the kinds that would otherwise accumulate. */
export class Sweeper {
  readonly #options: SweeperOptions;

  constructor(options: SweeperOptions) {
    this.#options = options;
  }

  /** Scans all kinds once; returns the number of deleted rows. */
  async sweepOnce(): Promise<number> {
    let deleted = 0;
    for (const rule of RETENTION_RULES) deleted += await this.#applyRule(rule);
    return deleted;
  }

  async #applyRule({
    prefix,
    retentionMs,
    sinceMs,
  }: RetentionRule): Promise<number> {
    const { clock, table, isDeclared } = this.#options;
    const read = await table.scan(prefix);
    if (read.err) return 0;
    const beforeMs = clock.wallMs() - retentionMs;
    const old = read.val.filter((row) => {
      const name = row.key.slice(prefix.length);
      if (prefix === KeyPrefix.Finished && isDeclared(name)) return false;
      return sinceMs(row) < beforeMs;
    });
    let deleted = 0;
    for (let start = 0; start < old.length; start += MAX_ROWS_PER_TRANSACTION) {
      deleted += await this.#delete(
        old.slice(start, start + MAX_ROWS_PER_TRANSACTION),
      );
    }
    return deleted;
  }

  async #delete(rows: readonly Row[]): Promise<number> {
    const result = await this.#options.ring.commit(
      {
        checks: rows.map(({ key, revision }) => ({ key, revision })),
        writes: rows.map(({ key }) => ({ key, value: null })),
      },
      { timeoutMs: COMMIT_TIMEOUT_MS },
    );
    return result.ok ? rows.length : 0;
  }
}
