import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { generateRandomId } from "@laburnumtrack/core/ids";
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
  TABLE_ROW_LIMIT_BYTES,
} from "@laburnumtrack/jobs/job_rows";
import { isFinal, JobPhase } from "@laburnumtrack/jobs/job_state";
import { Err, Ok, type Result } from "ts-results";
import { ForwardPath } from "./desk_peer";
import type { Forwarder } from "./forwarder";
import { Route, RouteChoice } from "./route_choice";
import { Submission, type SubmitOutcome } from "./submission";
import { TableAccess } from "./table_access";
import { UnresolvedJobs } from "./unresolved_jobs";
import { waitAtMost } from "./wait_at_most";

/** Options of a job service. */
export interface JobServiceOptions {
  readonly clock: Clock;
  readonly table: Table;
  /** Whether the table was reachable from this process when last tried. */
  readonly isTableReachable: () => boolean;
  /** Undefined if calls are not forwarded to other entries. */
  readonly forwarder?: Forwarder | undefined;
  /** Shared by all services of a process; by default its own. */
  readonly unresolved?: UnresolvedJobs;
}

/** Options of {@linkcode JobService.submit} for a submission of another entry. */
export interface ForwardedSubmission {
  /** Identifies the submission, which the other entry may also run itself. */
  readonly submission: string;
  /** Whether the other entry may have stored the job. */
  readonly mayBeStored: boolean;
}

/** A call that can be repeated, here and at other entries. */
interface Operation<T> {
  /** Carries it out by calls to the table. */
  readonly call: () => Promise<Result<T, Fault>>;
  readonly path: ForwardPath.Cancel | ForwardPath.Phase;
  /** Id of the job that it concerns. */
  readonly id: string;
  /** Decodes the value that another entry returned. */
  readonly decode: (value: string) => Result<T, Fault>;
}

/** Pause before the first retry, in ms; it doubles with each one. */
const FIRST_RETRY_PAUSE_MS = 40;
/** Longest pause before a retry, in ms. */
const MAX_RETRY_PAUSE_MS = 300;
/** Time for which a call that the table rejects is retried, in ms. */
const MAX_REJECTED_RETRY_MS = 1200;

/** Wait for the table before another entry is asked, in ms. */
const TABLE_ANSWER_WAIT_MS = 600;
/** Wait for another entry before the next one is asked, in ms. */
const PEER_ANSWER_WAIT_MS = 800;

/**
 * Submits and cancels jobs for callers, and reads their phases. It needs only
 * the table and no leader, so every entry VM can serve callers.
 */
export class JobService {
  readonly #options: JobServiceOptions;
  readonly #unresolved: UnresolvedJobs;
  readonly #access: TableAccess;

  constructor(options: JobServiceOptions) {
    this.#options = options;
    this.#access = new TableAccess(options.clock, options.isTableReachable);
    this.#unresolved = options.unresolved ?? new UnresolvedJobs(options.clock);
  }

  /**
   * Stores a job exactly once; `deadlineMs` is monotonic. `StoreUnavailable`,
   * `RateLimited` and `NotStored` mean that it is not stored and never will be
   * by this submission, `OutcomeUnknown` that it may be stored now or later.
   * `TooLarge` means that no row can hold the job.
   */
  async submit(
    job: Job,
    deadlineMs: number,
    forwarded?: ForwardedSubmission,
  ): Promise<Result<SubmitOutcome, Fault>> {
    const { clock, table, forwarder } = this.#options;
    const bytes = Buffer.byteLength(encodeOpenJobRow(job));
    const isTooLarge = bytes > TABLE_ROW_LIMIT_BYTES;
    // A repeated submission of a stored job must not be refused.
    if (isTooLarge && !(await this.mayBeStored(job.id, deadlineMs))) {
      const detail = `${bytes} bytes to store, at most ${TABLE_ROW_LIMIT_BYTES}`;
      return Err(new Fault(FaultCode.TooLarge, detail));
    }
    const mayBeStored =
      forwarded?.mayBeStored === true || this.#unresolved.has(job.id);
    this.#unresolved.add(job.id);
    const submission = new Submission({
      clock,
      table,
      access: this.#access,
      forwarder,
      job,
      submission: forwarded?.submission ?? generateRandomId(),
      deadlineMs,
      // The other entry tries the next one sooner than the table recovers.
      maxRejectedMs: forwarded === undefined ? MAX_REJECTED_RETRY_MS : 0,
      mayBeStored,
    });
    const result = await submission.run();
    const isUnknown =
      result.err && result.val.code === FaultCode.OutcomeUnknown;
    if (!isUnknown) this.#unresolved.delete(job.id);
    return result;
  }

  /**
   * Whether a job with this id is stored or may be, also by a submission to this
   * process that is open or ended without a known outcome.
   */
  async mayBeStored(id: string, deadlineMs: number): Promise<boolean> {
    if (this.#unresolved.has(id)) return true;
    const row = await this.#withDeadline(deadlineMs, () => this.#readRow(id));
    return row.ok || row.val.code !== FaultCode.NotFound;
  }

  /** Phase of a job; `NotFound` when no job has this id. */
  async readPhase(
    id: string,
    deadlineMs: number,
  ): Promise<Result<JobPhase, Fault>> {
    const call = async (): Promise<Result<JobPhase, Fault>> => {
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
    };
    const path = ForwardPath.Phase;
    return await this.#retry(deadlineMs, { path, id, call, decode: readPhase });
  }

  /**
   * Cancels a job; has no effect when its row is closed already. `NotFound` when
   * no job has this id; it is closed then, too, so that a submission which is
   * still under way, here or elsewhere, cannot store the job any more.
   */
  async cancel(id: string, deadlineMs: number): Promise<Result<void, Fault>> {
    const { clock, table } = this.#options;
    const call = async (): Promise<Result<void, Fault>> => {
      const row = await this.#readAnyRow(id);
      if (row.err) return row;
      const { value, revision } = row.val;
      const isStored = value !== undefined && value.refusal === undefined;
      if (isStored && value.job === undefined) return Ok(undefined);
      const key = jobKey(id);
      // Without a job, the leader's own clock tells how long the row is kept.
      const time = isStored ? { closedMs: clock.wallMs() } : {};
      const closed = encodeClosedJobRow({ isCancelled: true, ...time });
      const done = await table.commit({
        checks: [{ key, revision }],
        writes: [{ key, value: closed }],
      });
      if (done.err) return done;
      return isStored ? Ok(undefined) : Err(new Fault(FaultCode.NotFound, id));
    };
    const path = ForwardPath.Cancel;
    const decode = () => Ok(undefined);
    return await this.#retry(deadlineMs, { path, id, call, decode });
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

  /** The row of a stored job; `NotFound` if there is none. */
  async #readRow(
    id: string,
  ): Promise<Result<{ value: JobRow; revision: number }, Fault>> {
    const read = await this.#readAnyRow(id);
    if (read.err) return read;
    const { value, revision } = read.val;
    // A tombstone stands for submissions that were refused, not for a job.
    return value !== undefined && value.refusal === undefined
      ? Ok({ value, revision })
      : Err(new Fault(FaultCode.NotFound, id));
  }

  /** The row of a job or a tombstone; revision 0 and no value without either. */
  async #readAnyRow(
    id: string,
  ): Promise<Result<{ value: JobRow | undefined; revision: number }, Fault>> {
    const read = await this.#options.table.get([jobKey(id)]);
    if (read.err) return read;
    const [row] = read.val;
    if (row === undefined) return Ok({ value: undefined, revision: 0 });
    const { revision } = row;
    return readJobRow(row).map((value) => ({ value, revision }));
  }

  /**
   * Retries an operation, here or at other entries, until its outcome is certain
   * or the deadline is near.
   */
  async #retry<T>(
    deadlineMs: number,
    operation: Operation<T>,
  ): Promise<Result<T, Fault>> {
    const { clock, forwarder } = this.#options;
    const routes = new RouteChoice({ access: this.#access, forwarder });
    const startMs = clock.nowMs();
    let pauseMs = FIRST_RETRY_PAUSE_MS;
    let outcome: Result<T, Fault> = Err(new Fault(FaultCode.StoreUnavailable));
    for (;;) {
      const route = routes.next({ isTableNeeded: false });
      // Nothing is sent, so the caller can try another entry VM immediately.
      if (route === undefined) return outcome;
      const isForwarded = route === Route.Peer;
      outcome = isForwarded
        ? await this.#forward(deadlineMs, operation, routes)
        : await this.#callTable(deadlineMs, operation, routes);
      if (outcome.ok || !isRetryable(outcome.val)) return outcome;
      const limitMs = isRejection(outcome.val)
        ? Math.min(deadlineMs, startMs + MAX_REJECTED_RETRY_MS)
        : deadlineMs;
      if (clock.nowMs() + pauseMs >= limitMs) return outcome;
      await clock.sleep(pauseMs);
      pauseMs = Math.min(2 * pauseMs, MAX_RETRY_PAUSE_MS);
    }
  }

  async #callTable<T>(
    deadlineMs: number,
    { call }: Operation<T>,
    routes: RouteChoice,
  ): Promise<Result<T, Fault>> {
    const { clock, forwarder } = this.#options;
    const canForward = forwarder?.canForward(routes.tried) ?? false;
    // A read or cancel that is carried out twice does no harm.
    const limitMs = canForward
      ? Math.min(deadlineMs, clock.nowMs() + TABLE_ANSWER_WAIT_MS)
      : deadlineMs;
    const outcome = await this.#withDeadline(limitMs, call);
    const isFailed =
      outcome.err &&
      (isRejection(outcome.val) ||
        outcome.val.code === FaultCode.OutcomeUnknown);
    if (isFailed) this.#access.onFailed();
    else {
      this.#access.onServed();
      routes.onTableServed();
    }
    return outcome;
  }

  async #forward<T>(
    deadlineMs: number,
    { path, id, decode }: Operation<T>,
    routes: RouteChoice,
  ): Promise<Result<T, Fault>> {
    const { clock, forwarder } = this.#options;
    const limitMs = Math.min(deadlineMs, clock.nowMs() + PEER_ANSWER_WAIT_MS);
    const timeoutMs = limitMs - clock.nowMs();
    const answer =
      (await forwarder?.forward({ path, id }, timeoutMs, routes.tried)) ??
      Err(new Fault(FaultCode.StoreUnavailable));
    if (answer.ok) return decode(answer.val);
    const { code, detail } = answer.val;
    if (code === FaultCode.PeerUnreachable) {
      return Err(new Fault(FaultCode.StoreUnavailable, detail));
    }
    if (code !== FaultCode.AnswerLost) return answer;
    return Err(new Fault(FaultCode.OutcomeUnknown, detail));
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

function readPhase(value: string): Result<JobPhase, Fault> {
  const phase = Object.values(JobPhase).find((known) => known === value);
  return phase === undefined
    ? Err(new Fault(FaultCode.OutcomeUnknown, value.slice(0, 80)))
    : Ok(phase);
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
