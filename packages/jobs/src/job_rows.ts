import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Row } from "@laburnumtrack/core/table";
import { Err, Ok, type Result } from "ts-results";
import type { LearntModel } from "./interference_model";
import type { Job } from "./job";
import type { JobPhase, JobState } from "./job_state";
import type { Bid, Leadership, RunsRow } from "./leadership_row";

/** Key prefixes of the stored rows. */
export enum RowPrefix {
  /**
   * Jobs as submitted. These rows may be spread over partitions, so a
   * transaction that writes one of them writes no other row.
   */
  Jobs = "jobs/",
  /** Progress of jobs, written by the leader only, and read by the next one. */
  States = "states/",
  /**
   * Outcomes of jobs that are over, written by the leader only. They are read
   * one by one: a new leader does not need them.
   */
  Ended = "ended/",
  /** Rows about the leading scheduler. */
  Leader = "leader/",
}

/** Size of a row above which the table rejects it, in bytes. */
export const TABLE_ROW_LIMIT_BYTES = 65_536;

/** Largest row that the leader writes, in bytes; below the table's limit. */
export const MAX_ROW_BYTES = 48_000;

/** Key of the {@linkcode Leadership} row. */
export const LEADER_KEY = `${RowPrefix.Leader}current`;

/** Key of the learnt interference; the row may be missing or outdated. */
export const LEARNT_KEY = `${RowPrefix.Leader}learnt`;

/** Key of the latest {@linkcode Bid}. */
export const BID_KEY = `${RowPrefix.Leader}bid`;

/** Key of the {@linkcode Roster}. */
export const ROSTER_KEY = `${RowPrefix.Leader}roster`;

/** Key prefix of the {@linkcode RunsRow} rows. */
export const RUNS_PREFIX = `${RowPrefix.Leader}runs/`;

/** Key of the {@linkcode JobRow} of a job. */
export function jobKey(id: string): string {
  return `${RowPrefix.Jobs}${id}`;
}

/** Key of the {@linkcode JobState} of a job. */
export function stateKey(id: string): string {
  return `${RowPrefix.States}${id}`;
}

/** Key of the {@linkcode EndedJob} of a job. */
export function endedKey(id: string): string {
  return `${RowPrefix.Ended}${id}`;
}

/** Returns the id of the job in a key with a {@linkcode RowPrefix}. */
export function jobIdOfKey(key: string): string {
  return key.slice(key.indexOf("/") + 1);
}

/** Stored row of a job. */
export interface JobRow {
  /** The job; undefined once none of its tasks will start any more. */
  readonly job: Job | undefined;
  /** Whether a caller cancelled it. */
  readonly isCancelled: boolean;
  /** Defined if no job is stored: the row is a tombstone. */
  readonly refusal?: Refusal | undefined;
  /**
   * Unix ms of the cancellation; missing in rows that the leader closed, and in
   * rows of earlier releases.
   */
  readonly closedMs?: number;
}

/**
 * Tombstone of submissions that were refused after a commit without an answer:
 * that commit fails as long as the row exists. A later submission of the job
 * replaces it.
 */
export interface Refusal {
  /** Unix ms at which it was written. */
  readonly atMs: number;
  /** Submissions that must not store the job any more, the latest last. */
  readonly submissions: readonly string[];
}

/** Outcome of a job that is over. */
export interface EndedJob {
  readonly phase: JobPhase;
  /** Unix ms at which it finished, by the clock of the leader then. */
  readonly sinceMs: number;
}

/** Encodes the row of a submitted job. */
export function encodeOpenJobRow(job: Job): string {
  return encode({ job, isCancelled: false });
}

/** Encodes the row of a job that is over; it keeps the id from being reused. */
export function encodeClosedJobRow(
  closed: Pick<JobRow, "isCancelled" | "closedMs">,
): string {
  return encode({ job: undefined, ...closed });
}

/** Encodes the outcome of a job. */
export function encodeEndedJob({ phase, sinceMs }: EndedJob): string {
  return JSON.stringify({ phase, sinceMs });
}

/** Parses the outcome of a job. Fault: `Malformed`. */
export function readEndedJob(row: Pick<Row, "value">): Result<EndedJob, Fault> {
  return parse<EndedJob>(row.value, { phase: isText, sinceMs: isNumber });
}

/** Encodes the tombstone of refused submissions. */
export function encodeRefusedJobRow(refusal: Refusal): string {
  return encode({ job: undefined, isCancelled: false, refusal });
}

function encode(row: JobRow): string {
  return JSON.stringify(row);
}

/** Parses a job's row. Fault: `Malformed`. */
export function readJobRow(row: Pick<Row, "value">): Result<JobRow, Fault> {
  return parse<JobRow>(row.value, {
    isCancelled: isBoolean,
    refusal: (value) => value === undefined || isRefusal(value),
    closedMs: (value) => value === undefined || isNumber(value),
  });
}

/** Parses the row of a job's state. Fault: `Malformed`. */
export function readState(row: Pick<Row, "value">): Result<JobState, Fault> {
  return parse<JobState>(row.value, {
    phase: isText,
    parts: (value) => value === undefined || isNumber(value),
  });
}

/** Parses the leadership row. Fault: `Malformed`. */
export function readLeadership(
  row: Pick<Row, "value">,
): Result<Leadership, Fault> {
  return parse<Leadership>(row.value, {
    holder: isText,
    instance: isText,
    epoch: isNumber,
    sequence: isNumber,
    silent: isRecordOf(isNumber),
    silentRuns: (value) =>
      value === undefined || isRecordOf(isWorkerRuns)(value),
    formerRightMs: (value) => value === undefined || isNumber(value),
    leaseMs: (value) => value === undefined || isNumber(value),
    placementsSince: (value) => value === undefined || isNumber(value),
    pending: isRecordOf(isNumber),
    pendingAgeMs: (value) => value === undefined || isNumber(value),
  });
}

/** Parses a bid for leadership. Fault: `Malformed`. */
export function readBid(row: Pick<Row, "value">): Result<Bid, Fault> {
  return parse<Bid>(row.value, {
    instance: isText,
    epoch: isNumber,
    capacity: isNumber,
  });
}

/** Addresses of the workers that may hold a lease, by worker id. */
export type Roster = Readonly<Record<string, string>>;

/** Parses a row of the roster. Fault: `Malformed`. */
export function readRoster(row: Pick<Row, "value">): Result<Roster, Fault> {
  const shape = { roster: isRecordOf(isText) };
  return parse<{ roster: Roster }>(row.value, shape).map(
    ({ roster }) => roster,
  );
}

/** Number of further rows of a roster; undefined if the first one has it all. */
export function readRosterParts(row: Pick<Row, "value">): number | undefined {
  const read = parse<{ parts: number }>(row.value, { parts: isNumber });
  return read.ok ? read.val.parts : undefined;
}

/** Parses a row with the runs of a released leadership. Fault: `Malformed`. */
export function readRuns(row: Pick<Row, "value">): Result<RunsRow, Fault> {
  return parse<RunsRow>(row.value, {
    epoch: isNumber,
    workers: isRecordOf(isWorkerRuns),
  });
}

/** Parses the learnt interference. Fault: `Malformed`. */
export function readLearnt(
  row: Pick<Row, "value">,
): Result<LearntModel, Fault> {
  return parse<LearntModel>(row.value, {
    pressures: isRecordOf(isObject),
    loadPeriodMs: (value) => value === undefined || isNumber(value),
  });
}

/** Whether a field has the expected type. */
type Check = (value: unknown) => boolean;

/** Parses a JSON object and checks the types of the fields of `shape`. */
export function parse<T extends object>(
  text: string,
  shape: { readonly [Field in keyof T]?: Check },
): Result<T, Fault> {
  const fields = Object.entries(shape) as [keyof T, Check][];
  try {
    const value = JSON.parse(text) as T;
    const isValid =
      isObject(value) && fields.every(([field, check]) => check(value[field]));
    if (isValid) return Ok(value);
  } catch {
    // Not JSON: reported below.
  }
  const names = fields.map(([field]) => String(field)).join(", ");
  const detail = `stored row is not a JSON object with fields ${names}: ${text.slice(0, 80)}`;
  return Err(new Fault(FaultCode.Malformed, detail));
}

function isObject(value: unknown): boolean {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isText(value: unknown): boolean {
  return typeof value === "string";
}

function isNumber(value: unknown): boolean {
  return Number.isFinite(value);
}

function isRefusal(value: unknown): boolean {
  if (!isObject(value)) return false;
  const { atMs, submissions } = value as Record<string, unknown>;
  return (
    isNumber(atMs) && Array.isArray(submissions) && submissions.every(isText)
  );
}

function isWorkerRuns(value: unknown): boolean {
  if (!isObject(value)) return false;
  const { bornMs, runs, leaseLeftMs } = value as Record<string, unknown>;
  return (
    isNumber(bornMs) &&
    Array.isArray(runs) &&
    runs.every(isStoredRun) &&
    (leaseLeftMs === undefined || isNumber(leaseLeftMs))
  );
}

function isStoredRun(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [jobId, ...numbers] = value;
  return isText(jobId) && numbers.length === 5 && numbers.every(isNumber);
}

function isBoolean(value: unknown): boolean {
  return typeof value === "boolean";
}

/** Checks an object whose values all pass `check`. */
function isRecordOf(check: Check): Check {
  return (value) =>
    isObject(value) && Object.values(value as object).every(check);
}
