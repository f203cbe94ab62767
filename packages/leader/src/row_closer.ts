import type { Clock } from "@laburnumtrack/core/clock";
import { FaultCode } from "@laburnumtrack/core/fault";
import type { Table } from "@laburnumtrack/core/table";
import { closedRow, jobKey } from "@laburnumtrack/jobs/job_rows";

/** How a closer is set up. */
export interface RowCloserOptions {
  readonly clock: Clock;
  readonly table: Table;
}

/** Pause between two rows, in ms: closing is never urgent. */
const PAUSE_MS = 30;
/** Pause when there is nothing to close, or the table turns calls away, in ms. */
const IDLE_MS = 500;

/** Empties the rows of jobs that are over, one by one. */
export class RowCloser {
  readonly #options: RowCloserOptions;
  /** Revisions of the rows to close, by job. */
  readonly #open = new Map<string, number>();

  constructor(options: RowCloserOptions) {
    this.#options = options;
  }

  /** The job is over, and that is stored. */
  add(id: string, revision: number): void {
    this.#open.set(id, revision);
  }

  /** Closes rows until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const [next] = this.#open;
      const isClosed = next !== undefined && (await this.#close(next));
      await clock.sleep(isClosed ? PAUSE_MS : IDLE_MS, signal);
    }
  }

  async #close([id, revision]: [string, number]): Promise<boolean> {
    const key = jobKey(id);
    const done = await this.#options.table.commit({
      checks: [{ key, revision }],
      writes: [{ key, value: closedRow({ isCancelled: false }) }],
    });
    // After a conflict the row was closed by a caller, or by a late answer.
    const isOver = done.ok || done.val.code === FaultCode.Conflict;
    if (isOver) this.#open.delete(id);
    return isOver;
  }
}
