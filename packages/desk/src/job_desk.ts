import { type Clock, WAIT_OVER } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Table } from "@laburnumtrack/core/table";
import type { Job } from "@laburnumtrack/jobs/job";
import {
  closedRow,
  type JobRow,
  jobKey,
  openRow,
  readJobRow,
  readState,
  stateKey,
} from "@laburnumtrack/jobs/job_rows";
import {
  isFinal,
  JobPhase,
  type JobState,
} from "@laburnumtrack/jobs/job_state";
import { Err, Ok, type Result } from "ts-results";

/** How a desk is set up. */
export interface JobDeskOptions {
  readonly clock: Clock;
  readonly table: Table;
  /** Whether the table answers this process, as far as is known. */
  readonly isInTouch: () => boolean;
}

/** What became of a submission. */
export enum Submission {
  Stored = "stored",
  /** A job of this id was stored before. */
  Known = "known",
}

/** First pause before a call is tried again, in ms; it doubles. */
const FIRST_PAUSE_MS = 40;
const LONGEST_PAUSE_MS = 300;
/** A table that turns calls away is given this long, in ms. */
const TURNED_AWAY_MS = 1200;

/**
 * Takes jobs from callers, says how they stand, cancels them. Any entry VM
 * does this, with the table alone: no leader is needed.
 */
export class JobDesk {
  readonly #options: JobDeskOptions;

  constructor(options: JobDeskOptions) {
    this.#options = options;
  }

  /**
   * Stores a job, once. `StoreUnavailable` and `RateLimited` mean that it is
   * not stored and never will be, `OutcomeUnknown` that it may be.
   */
  async submit(
    job: Job,
    deadlineMs: number,
  ): Promise<Result<Submission, Fault>> {
    const transaction = {
      checks: [{ key: jobKey(job.id), revision: 0 }],
      writes: [{ key: jobKey(job.id), value: openRow(job) }],
    };
    let isUncertain = false;
    const outcome = await this.#retry(deadlineMs, async () => {
      const done = await this.#options.table.commit(transaction);
      if (done.ok) return Ok(Submission.Stored);
      // The row is there: of an earlier try, or of an earlier request.
      if (done.val.code === FaultCode.Conflict) return Ok(Submission.Known);
      if (done.val.code === FaultCode.OutcomeUnknown) isUncertain = true;
      return done;
    });
    if (outcome.ok || !isUncertain) return outcome;
    return Err(new Fault(FaultCode.OutcomeUnknown, job.id));
  }

  /** Phase of a job; `NotFound` when there is none. */
  async readPhase(
    id: string,
    deadlineMs: number,
  ): Promise<Result<JobPhase, Fault>> {
    return await this.#retry(deadlineMs, async () => {
      const state = await this.#readState(id);
      if (state.err) return state;
      const phase = state.val?.phase;
      if (phase !== undefined && isFinal(phase)) return Ok(phase);
      // A cancellation stands in the job's own row before a leader sees it.
      const row = await this.#readRow(id);
      if (row.ok && row.val.value.isCancelled) return Ok(JobPhase.Cancelled);
      if (phase !== undefined) return Ok(phase);
      return row.map(() => JobPhase.Queued);
    });
  }

  /** Cancels a job; `NotFound` when there is none. */
  async cancel(id: string, deadlineMs: number): Promise<Result<void, Fault>> {
    return await this.#retry(deadlineMs, async () => {
      const row = await this.#readRow(id);
      if (row.err) return row;
      const { value, revision } = row.val;
      if (value.job === undefined) return Ok(undefined);
      const key = jobKey(id);
      const done = await this.#options.table.commit({
        checks: [{ key, revision }],
        writes: [{ key, value: closedRow({ isCancelled: true }) }],
      });
      return done.ok ? Ok(undefined) : done;
    });
  }

  async #readState(id: string): Promise<Result<JobState | undefined, Fault>> {
    const read = await this.#options.table.get([stateKey(id)]);
    if (read.err) return read;
    const [row] = read.val;
    return row === undefined ? Ok(undefined) : readState(row);
  }

  async #readRow(
    id: string,
  ): Promise<Result<{ value: JobRow; revision: number }, Fault>> {
    const read = await this.#options.table.get([jobKey(id)]);
    if (read.err) return read;
    const [row] = read.val;
    if (row === undefined) return Err(new Fault(FaultCode.NotFound, id));
    const { revision } = row;
    return readJobRow(row).map((value) => ({ value, revision }));
  }

  /** Tries until an outcome is certain or time is up. */
  async #retry<T>(
    deadlineMs: number,
    attempt: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    const { clock, isInTouch } = this.#options;
    // Nothing was sent: the caller had better go elsewhere at once.
    if (!isInTouch()) return Err(new Fault(FaultCode.StoreUnavailable));
    const startMs = clock.nowMs();
    let pauseMs = FIRST_PAUSE_MS;
    for (;;) {
      const outcome = await this.#bound(deadlineMs, attempt);
      if (outcome.ok || !isRetryable(outcome.val)) return outcome;
      const limitMs = isTurnedAway(outcome.val)
        ? Math.min(deadlineMs, startMs + TURNED_AWAY_MS)
        : deadlineMs;
      if (clock.nowMs() + pauseMs >= limitMs) return outcome;
      await clock.sleep(pauseMs);
      pauseMs = Math.min(2 * pauseMs, LONGEST_PAUSE_MS);
    }
  }

  /** Gives an attempt up at the deadline: what became of it is unknown. */
  async #bound<T>(
    deadlineMs: number,
    attempt: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    const { clock } = this.#options;
    const over = new AbortController();
    const late = clock
      .sleep(deadlineMs - clock.nowMs(), over.signal)
      .then(() => Err(new Fault(FaultCode.OutcomeUnknown)));
    const outcome = await Promise.race([attempt(), late]);
    over.abort(WAIT_OVER);
    return outcome;
  }
}

function isRetryable({ code }: Fault): boolean {
  return (
    code === FaultCode.Conflict ||
    code === FaultCode.StoreUnavailable ||
    code === FaultCode.RateLimited ||
    code === FaultCode.OutcomeUnknown
  );
}

function isTurnedAway({ code }: Fault): boolean {
  return code === FaultCode.StoreUnavailable || code === FaultCode.RateLimited;
}
