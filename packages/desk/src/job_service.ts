import { type Clock, WAIT_OVER } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Table } from "@laburnumtrack/core/table";
import type { Job } from "@laburnumtrack/jobs/job";
import {
  encodeClosedJobRow,
  encodeOpenJobRow,
  endedKey,
  type JobRow,
  jobKey,
  readEndedJob,
  readJobRow,
  readState,
  stateKey,
} from "@laburnumtrack/jobs/job_rows";
import { isFinal, JobPhase } from "@laburnumtrack/jobs/job_state";
import { Err, Ok, type Result } from "ts-results";

/** Options of a job service. */
export interface JobServiceOptions {
  readonly clock: Clock;
  readonly table: Table;
  /** Whether the table was reachable from this process when last tried. */
  readonly isTableReachable: () => boolean;
}

/** Outcome of a successful submission. */
export enum SubmitOutcome {
  /** The job was stored. */
  Stored = "stored",
  /** A job with this id had been stored before, or by an earlier try. */
  Known = "known",
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

  constructor(options: JobServiceOptions) {
    this.#options = options;
  }

  /**
   * Stores a job exactly once; `deadlineMs` is monotonic. `StoreUnavailable`
   * and `RateLimited` mean that it is not stored and never will be,
   * `OutcomeUnknown` that it may be stored now or later.
   */
  async submit(
    job: Job,
    deadlineMs: number,
  ): Promise<Result<SubmitOutcome, Fault>> {
    const transaction = {
      checks: [{ key: jobKey(job.id), revision: 0 }],
      writes: [{ key: jobKey(job.id), value: encodeOpenJobRow(job) }],
    };
    let isUncertain = false;
    const outcome = await this.#retry(deadlineMs, async () => {
      const done = await this.#options.table.commit(transaction);
      if (done.ok) return Ok(SubmitOutcome.Stored);
      // The row exists: from an earlier try, or from an earlier request.
      if (done.val.code === FaultCode.Conflict) return Ok(SubmitOutcome.Known);
      if (done.val.code === FaultCode.OutcomeUnknown) isUncertain = true;
      return done;
    });
    if (outcome.ok || !isUncertain) return outcome;
    return Err(new Fault(FaultCode.OutcomeUnknown, job.id));
  }

  /** Phase of a job; `NotFound` when no job has this id. */
  async readPhase(
    id: string,
    deadlineMs: number,
  ): Promise<Result<JobPhase, Fault>> {
    return await this.#retry(deadlineMs, async () => {
      const stored = await this.#readStored(id);
      if (stored.err) return stored;
      const phase = stored.val;
      if (phase !== undefined && isFinal(phase)) return Ok(phase);
      // A cancellation is in the job's row before a leader has stored the
      // state.
      const row = await this.#readRow(id);
      if (row.err) return phase === undefined ? row : Ok(phase);
      const { job, isCancelled } = row.val.value;
      if (job !== undefined) return Ok(phase ?? JobPhase.Queued);
      if (isCancelled) return Ok(JobPhase.Cancelled);
      // The job finished between the reads, or its outcome is removed already.
      const again = await this.#readStored(id);
      return again.andThen((found) =>
        found === undefined
          ? Err(new Fault(FaultCode.NotFound, id))
          : Ok(found),
      );
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
      const closedMs = this.#options.clock.wallMs();
      const closed = { isCancelled: true, closedMs };
      const done = await this.#options.table.commit({
        checks: [{ key, revision }],
        writes: [{ key, value: encodeClosedJobRow(closed) }],
      });
      return done.ok ? Ok(undefined) : done;
    });
  }

  /**
   * Phase by the job's state, or by its outcome once that has moved there;
   * undefined if neither is stored.
   */
  async #readStored(id: string): Promise<Result<JobPhase | undefined, Fault>> {
    const states = await this.#options.table.get([stateKey(id)]);
    if (states.err) return states;
    const [state] = states.val;
    if (state !== undefined) return readState(state).map(({ phase }) => phase);
    const outcomes = await this.#options.table.get([endedKey(id)]);
    if (outcomes.err) return outcomes;
    const [outcome] = outcomes.val;
    if (outcome === undefined) return Ok(undefined);
    return readEndedJob(outcome).map(({ phase }) => phase);
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
    const settled = new AbortController();
    const timeout = clock
      .sleep(deadlineMs - clock.nowMs(), settled.signal)
      .then(() => Err(new Fault(FaultCode.OutcomeUnknown)));
    const outcome = await Promise.race([operation(), timeout]);
    settled.abort(WAIT_OVER);
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

/** Whether the table surely did not carry out the call. */
function isRejection({ code }: Fault): boolean {
  return code === FaultCode.StoreUnavailable || code === FaultCode.RateLimited;
}
