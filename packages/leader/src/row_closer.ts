import type { Clock } from "@laburnumtrack/core/clock";
import { FaultCode } from "@laburnumtrack/core/fault";
import type { Table } from "@laburnumtrack/core/table";
import { encodeClosedJobRow, jobKey } from "@laburnumtrack/jobs/job_rows";

/** Options of a row closer. */
export interface RowCloserOptions {
  readonly clock: Clock;
  readonly table: Table;
}

/** Pause between two rows, in ms; closing rows is not urgent. */
const PAUSE_MS = 30;
/**
 * Number of waiting rows above which the pause shrinks: open rows of finished
 * jobs cost the next leader time.
 */
const BACKLOG_LIMIT = 100;
/** Pause when there is no row to close or the table fails, in ms. */
const IDLE_MS = 500;

/**
 * Closes the rows of finished jobs one by one: a closed row no longer holds the
 * job's description.
 */
export class RowCloser {
  readonly #options: RowCloserOptions;
  /** Revisions of the rows to close, by job id. */
  readonly #pending = new Map<string, number>();

  constructor(options: RowCloserOptions) {
    this.#options = options;
  }

  /** Queues the row of a job whose final state is stored. */
  add(id: string, revision: number): void {
    this.#pending.set(id, revision);
  }

  /** Closes rows until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const [next] = this.#pending;
      const isClosed = next !== undefined && (await this.#close(next));
      const backlog = Math.max(BACKLOG_LIMIT, this.#pending.size);
      const pauseMs = (PAUSE_MS * BACKLOG_LIMIT) / backlog;
      await clock.sleep(isClosed ? pauseMs : IDLE_MS, signal);
    }
  }

  async #close([id, revision]: [string, number]): Promise<boolean> {
    const key = jobKey(id);
    const done = await this.#options.table.commit({
      checks: [{ key, revision }],
      writes: [{ key, value: encodeClosedJobRow({ isCancelled: false }) }],
    });
    // A conflict means that the row was closed already: by a cancellation, or
    // by an earlier try whose answer was lost.
    const isOver = done.ok || done.val.code === FaultCode.Conflict;
    if (isOver) this.#pending.delete(id);
    return isOver;
  }
}
