import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { generateRandomId } from "@laburnumtrack/core/ids";
import type { Table } from "@laburnumtrack/core/table";
import type { Job } from "@laburnumtrack/jobs/job";
import {
  encodeClosedJobRow,
  type JobRow,
  jobKey,
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
import { Submission, type SubmitOutcome } from "./submission";
import { UnresolvedJobs } from "./unresolved_jobs";
import { waitAtMost } from "./wait_at_most";

/** Options of a job service. */
export interface JobServiceOptions {
  readonly clock: Clock;
  readonly table: Table;
  /** Whether the table was reachable from this process when last tried. */
  readonly isTableReachable: () => boolean;
}

/** Pause before the first retry, in ms; it doubles with each one. */
const FIRST_RETRY_PAUSE_MS = 40;
/** Longest pause before a retry, in ms. */
const MAX_RETRY_PAUSE_MS = 300;
/** Time for which a call that the table rejects is retried, in ms. */
const MAX_REJECTED_RETRY_MS = 1200;

/**
 * Submits and cancels jobs for callers, and reads their phases. It needs only
 * the table and no leader, so every entry VM can serve callers.
 */
export class JobService {
  readonly #options: JobServiceOptions;
  readonly #unresolved: UnresolvedJobs;

  constructor(options: JobServiceOptions) {
    this.#options = options;
    this.#unresolved = new UnresolvedJobs(options.clock);
  }

  /**
   * Stores a job exactly once; `deadlineMs` is monotonic. `StoreUnavailable`,
   * `RateLimited` and `NotStored` mean that it is not stored and never will be
   * by this submission, `OutcomeUnknown` that it may be stored now or later.
   */
  async submit(
    job: Job,
    deadlineMs: number,
  ): Promise<Result<SubmitOutcome, Fault>> {
    const { clock, table, isTableReachable } = this.#options;
    const mayBeStored = this.#unresolved.has(job.id);
    // Nothing is sent, so the caller can try another entry VM immediately.
    if (!mayBeStored && !isTableReachable()) {
      return Err(new Fault(FaultCode.StoreUnavailable));
    }
    this.#unresolved.add(job.id);
    const submission = new Submission({
      clock,
      table,
      job,
      submission: generateRandomId(),
      deadlineMs,
      maxRejectedMs: MAX_REJECTED_RETRY_MS,
      mayBeStored,
    });
    const result = await submission.run();
    const isUnknown =
      result.err && result.val.code === FaultCode.OutcomeUnknown;
    if (!isUnknown) this.#unresolved.delete(job.id);
    return result;
  }

  /** Phase of a job; `NotFound` when no job has this id. */
  async readPhase(
    id: string,
    deadlineMs: number,
  ): Promise<Result<JobPhase, Fault>> {
    return await this.#retry(deadlineMs, async () => {
      const state = await this.#readState(id);
      if (state.err) return state;
      const phase = state.val?.phase;
      if (phase !== undefined && isFinal(phase)) return Ok(phase);
      // A cancellation is in the job's row before a leader has stored the
      // state.
      const row = await this.#readRow(id);
      if (row.ok && row.val.value.isCancelled) return Ok(JobPhase.Cancelled);
      if (phase !== undefined) return Ok(phase);
      return row.map(() => JobPhase.Queued);
    });
  }

  /**
   * Cancels a job; has no effect when its row is closed already. `NotFound` when
   * no job has this id.
   */
  async cancel(id: string, deadlineMs: number): Promise<Result<void, Fault>> {
    return await this.#retry(deadlineMs, async () => {
      const row = await this.#readRow(id);
      if (row.err) return row;
      const { value, revision } = row.val;
      if (value.job === undefined) return Ok(undefined);
      const key = jobKey(id);
      const done = await this.#options.table.commit({
        checks: [{ key, revision }],
        writes: [{ key, value: encodeClosedJobRow({ isCancelled: true }) }],
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
    const value = readJobRow(row);
    if (value.err) return value;
    // A tombstone stands for submissions that were refused, not for a job.
    return value.val.refusal === undefined
      ? Ok({ value: value.val, revision })
      : Err(new Fault(FaultCode.NotFound, id));
  }

  /**
   * Retries an operation until its outcome is certain or the deadline is near.
   */
  async #retry<T>(
    deadlineMs: number,
    operation: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    const { clock, isTableReachable } = this.#options;
    // Nothing was sent, so the caller can try another entry VM immediately.
    if (!isTableReachable()) return Err(new Fault(FaultCode.StoreUnavailable));
    const startMs = clock.nowMs();
    let pauseMs = FIRST_RETRY_PAUSE_MS;
    for (;;) {
      const outcome = await this.#withDeadline(deadlineMs, operation);
      if (outcome.ok || !isRetryable(outcome.val)) return outcome;
      const limitMs = isRejection(outcome.val)
        ? Math.min(deadlineMs, startMs + MAX_REJECTED_RETRY_MS)
        : deadlineMs;
      if (clock.nowMs() + pauseMs >= limitMs) return outcome;
      await clock.sleep(pauseMs);
      pauseMs = Math.min(2 * pauseMs, MAX_RETRY_PAUSE_MS);
    }
  }

  /** Gives an operation up at the deadline; its outcome is then unknown. */
  async #withDeadline<T>(
    deadlineMs: number,
    operation: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    const { clock } = this.#options;
    const leftMs = deadlineMs - clock.nowMs();
    const outcome = await waitAtMost(clock, operation(), leftMs);
    return outcome ?? Err(new Fault(FaultCode.OutcomeUnknown));
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

/** Whether the table surely did not carry out the call. */
function isRejection({ code }: Fault): boolean {
  return code === FaultCode.StoreUnavailable || code === FaultCode.RateLimited;
}
