import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Table } from "@laburnumtrack/core/table";
import type { Job } from "@laburnumtrack/jobs/job";
import {
  encodeOpenJobRow,
  encodeRefusedJobRow,
  jobKey,
  readJobRow,
} from "@laburnumtrack/jobs/job_rows";
import { Err, Ok, type Result } from "ts-results";
import { ForwardPath } from "./desk_peer";
import type { Forwarder } from "./forwarder";
import { Route, RouteChoice } from "./route_choice";
import type { TableAccess } from "./table_access";
import { waitAtMost } from "./wait_at_most";

/** Outcome of a successful submission. */
export enum SubmitOutcome {
  /** The job was stored. */
  Stored = "stored",
  /** A job with this id had been stored before, or by an earlier try. */
  Known = "known",
}

/** Options of {@linkcode Submission}. */
export interface SubmissionOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly access: TableAccess;
  /** Undefined if the submission is not forwarded. */
  readonly forwarder: Forwarder | undefined;
  readonly job: Job;
  /** Identifies this submission of the job; others have the same job id. */
  readonly submission: string;
  /** Monotonic ms by which an outcome is needed. */
  readonly deadlineMs: number;
  /** Time for which a submission is retried that was surely rejected, in ms. */
  readonly maxRejectedMs: number;
  /** Whether an earlier submission of this job may have stored it. */
  readonly mayBeStored: boolean;
}

/** A commit that would store the job, without a definite answer so far. */
interface OpenCommit {
  /**
   * Revision of the job's row that the commit requires; infinity if another entry
   * sends commits for this submission.
   */
  readonly base: number;
}

/** How a call ended that did not settle the submission. */
enum Progress {
  /** The job's row was read, which allows the next call to succeed. */
  RowRead,
  /** The table rejected the call or did not answer. */
  Failed,
}

/** Pause before the first retry, in ms; it doubles with each one. */
const FIRST_RETRY_PAUSE_MS = 40;
/** Longest pause before a retry, in ms. */
const MAX_RETRY_PAUSE_MS = 300;
/**
 * Time after which the next call is sent while one is not answered, in ms. The
 * table usually answers in 4 ms; callers wait 3000 ms, which leaves room for
 * several calls.
 */
const ANSWER_WAIT_MS = 400;
/**
 * Time before the deadline from which a job that may be stored is refused for
 * good instead of stored, in ms; enough for several calls without an answer.
 */
const REFUSE_WINDOW_MS = 1000;
/** The same as `ANSWER_WAIT_MS` in that window, where few calls are left, in ms. */
const REFUSE_ANSWER_WAIT_MS = 200;
/** Most refused submissions that a tombstone lists; callers try four times. */
const MAX_LISTED_SUBMISSIONS = 8;

/**
 * One submission of a job. A commit without an answer may take effect seconds
 * later if its condition still holds. So the job counts as not stored only once
 * the row it requires has changed: then no commit of this submission can store it.
 */
export class Submission {
  readonly #options: SubmissionOptions;
  readonly #key: string;
  /** Revision of the row that the next commit requires; 0 if there is none. */
  #base = 0;
  /** Highest revision of the row that was read: lower conditions cannot hold. */
  #highest = 0;
  /** Submissions that the tombstone lists which was read last. */
  #refused: readonly string[] = [];
  /** A row was found by a conflict, or may exist, that was not read. */
  #isRowUnread: boolean;
  readonly #open = new Set<OpenCommit>();
  readonly #routes: RouteChoice;
  #result: Result<SubmitOutcome, Fault> | undefined;
  /** Resolves when the result is set, also by an answer that came late. */
  readonly #settled: Promise<void>;
  #onSettled: () => void = () => {};

  constructor(options: SubmissionOptions) {
    this.#options = options;
    this.#key = jobKey(options.job.id);
    this.#isRowUnread = options.mayBeStored;
    this.#routes = new RouteChoice(options);
    this.#settled = new Promise((resolve) => {
      this.#onSettled = resolve;
    });
  }

  /**
   * Stores the job. `StoreUnavailable`, `RateLimited` and `NotStored` mean that
   * it is not stored and never will be by this submission, `OutcomeUnknown` that
   * it may be stored now or later.
   */
  async run(): Promise<Result<SubmitOutcome, Fault>> {
    const { clock, deadlineMs, maxRejectedMs } = this.#options;
    const startMs = clock.nowMs();
    let pauseMs = FIRST_RETRY_PAUSE_MS;
    let fault = new Fault(FaultCode.StoreUnavailable);
    while (clock.nowMs() < deadlineMs) {
      const route = this.#routes.next({ isTableNeeded: this.#isUncertain });
      if (route === undefined) break;
      const send = route === Route.Peer ? this.#forward() : this.#commit();
      const call = send.then((done) => {
        if (done instanceof Fault) fault = done;
        return done === Progress.RowRead ? Progress.RowRead : Progress.Failed;
      });
      const waitMs = this.#mustRefuse ? REFUSE_ANSWER_WAIT_MS : ANSWER_WAIT_MS;
      const progress = await this.#wait(call, waitMs);
      if (this.#result !== undefined) return this.#result;
      if (progress === undefined && route === Route.Table) {
        this.#options.access.onFailed();
        // Only the answer may be lost; an absent row proves nothing, however.
        void this.#readRow();
      }
      // Without an answer, or with a new row, nothing is gained by a pause.
      if (progress !== Progress.Failed) continue;
      const limitMs = this.#isUncertain
        ? deadlineMs
        : Math.min(deadlineMs, startMs + maxRejectedMs);
      if (clock.nowMs() + pauseMs >= limitMs) break;
      await this.#wait(clock.sleep(pauseMs), pauseMs);
      if (this.#result !== undefined) return this.#result;
      pauseMs = Math.min(2 * pauseMs, MAX_RETRY_PAUSE_MS);
    }
    if (this.#result !== undefined) return this.#result;
    if (!this.#isUncertain) return Err(fault);
    return Err(new Fault(FaultCode.OutcomeUnknown, this.#options.job.id));
  }

  /** Whether the job may be stored now or by a commit that takes effect late. */
  get #isUncertain(): boolean {
    if (this.#isRowUnread) return true;
    return [...this.#open].some(({ base }) => base >= this.#highest);
  }

  /** Whether the job is refused for good, as no time is left to store it. */
  get #mustRefuse(): boolean {
    const { clock, deadlineMs } = this.#options;
    return this.#isUncertain && deadlineMs - clock.nowMs() < REFUSE_WINDOW_MS;
  }

  /** Waits for a call, the result or the time limit; undefined without the call. */
  async #wait<T>(call: Promise<T>, limitMs: number): Promise<T | undefined> {
    const { clock, deadlineMs } = this.#options;
    const waitMs = Math.min(limitMs, deadlineMs - clock.nowMs());
    const settled = this.#settled.then(() => undefined);
    return await waitAtMost(clock, Promise.race([call, settled]), waitMs);
  }

  /** Sends one commit: of the job, or of the tombstone when time runs out. */
  async #commit(): Promise<Progress | Fault> {
    const { table, access, job } = this.#options;
    const isRefusal = this.#mustRefuse;
    const commit = { base: this.#base };
    if (!isRefusal) this.#open.add(commit);
    const done = await table.commit({
      checks: [{ key: this.#key, revision: commit.base }],
      writes: [
        {
          key: this.#key,
          value: isRefusal ? this.#encodeRefusal() : encodeOpenJobRow(job),
        },
      ],
    });
    if (done.ok) {
      access.onServed();
      this.#settle(
        isRefusal
          ? Err(new Fault(FaultCode.NotStored, job.id))
          : Ok(SubmitOutcome.Stored),
      );
      return Progress.RowRead;
    }
    switch (done.val.code) {
      case FaultCode.Conflict:
        access.onServed();
        this.#routes.onTableServed();
        this.#open.delete(commit);
        this.#isRowUnread = true;
        return await this.#readRow();
      case FaultCode.StoreUnavailable:
      case FaultCode.RateLimited:
        access.onFailed();
        this.#open.delete(commit);
        return done.val;
      default:
        access.onFailed();
        void this.#readRow();
        return new Fault(FaultCode.OutcomeUnknown, done.val.detail);
    }
  }

  /** Has another entry run this submission for the time that is left. */
  async #forward(): Promise<Progress | Fault> {
    const { clock, forwarder, deadlineMs, job, submission } = this.#options;
    if (forwarder === undefined) return new Fault(FaultCode.PeerUnreachable);
    const mayBeStored = this.#isUncertain;
    const commit = { base: Number.POSITIVE_INFINITY };
    this.#open.add(commit);
    const answer = await forwarder.forward(
      { path: ForwardPath.Submit, job, submission, mayBeStored },
      deadlineMs - clock.nowMs(),
      this.#routes.tried,
    );
    if (answer.ok) {
      const isStored = answer.val === SubmitOutcome.Stored;
      this.#settle(Ok(isStored ? SubmitOutcome.Stored : SubmitOutcome.Known));
      return Progress.RowRead;
    }
    switch (answer.val.code) {
      case FaultCode.NotStored:
        this.#settle(answer);
        return Progress.RowRead;
      case FaultCode.PeerUnreachable:
      case FaultCode.StoreUnavailable:
      case FaultCode.RateLimited:
        this.#open.delete(commit);
        return new Fault(FaultCode.StoreUnavailable, answer.val.detail);
      default:
        return new Fault(FaultCode.OutcomeUnknown, answer.val.detail);
    }
  }

  #encodeRefusal(): string {
    const { clock, submission } = this.#options;
    const listed = this.#refused.slice(1 - MAX_LISTED_SUBMISSIONS);
    return encodeRefusedJobRow({
      atMs: clock.wallMs(),
      submissions: [...listed, submission],
    });
  }

  /** Reads the row, which settles the submission or is what it can replace. */
  async #readRow(): Promise<Progress | Fault> {
    const { table, submission, job } = this.#options;
    const read = await table.get([this.#key]);
    if (read.err) return read.val;
    const [row] = read.val;
    if (row === undefined) {
      // The row was removed, or the read is outdated: only a commit can tell.
      this.#base = 0;
      return Progress.Failed;
    }
    const found = readJobRow(row);
    if (found.err) return found.val;
    const { refusal } = found.val;
    if (refusal === undefined) {
      this.#settle(Ok(SubmitOutcome.Known));
      return Progress.RowRead;
    }
    // Listed in any tombstone, this submission cannot have stored the job.
    if (refusal.submissions.includes(submission)) {
      this.#settle(Err(new Fault(FaultCode.NotStored, job.id)));
      return Progress.RowRead;
    }
    if (row.revision <= this.#base) return Progress.Failed;
    this.#base = row.revision;
    this.#highest = row.revision;
    this.#refused = refusal.submissions;
    this.#isRowUnread = false;
    return Progress.RowRead;
  }

  #settle(result: Result<SubmitOutcome, Fault>): void {
    this.#result ??= result;
    this.#onSettled();
  }
}
