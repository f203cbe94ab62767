import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Row } from "@laburnumtrack/core/table";
import { Err, Ok, type Result } from "ts-results";
import type { Job } from "./job";
import type { JobState } from "./job_state";
import type { Bid, Leadership } from "./leadership_row";
import type { LearntPressures } from "./pressure_model";

/** Prefixes of the rows that the system keeps. */
export enum RowPrefix {
  /**
   * Jobs as they were handed in. They may be spread over partitions: no
   * transaction writes two of them, or one of them and another row.
   */
  Jobs = "jobs/",
  /** Progress of jobs, written by leaders only. */
  States = "states/",
  /** The leading scheduler: a single row. */
  Leader = "leader/",
}

/** Key of the row of the leading scheduler. */
export const LEADER_KEY = `${RowPrefix.Leader}current`;

/** Key of what leaders have learnt; it may be missing or old. */
export const LEARNT_KEY = `${RowPrefix.Leader}learnt`;

/** Key of the last bid for leadership. */
export const BID_KEY = `${RowPrefix.Leader}bid`;

/** Key of the workers that may hold a lease of a leader. */
export const ROSTER_KEY = `${RowPrefix.Leader}roster`;

/** Key of a job's own row. */
export function jobKey(id: string): string {
  return `${RowPrefix.Jobs}${id}`;
}

/** Key of a job's state. */
export function stateKey(id: string): string {
  return `${RowPrefix.States}${id}`;
}

/** Id of the job that a key under {@linkcode RowPrefix} belongs to. */
export function idOfKey(key: string): string {
  return key.slice(key.indexOf("/") + 1);
}

/** What the row of a job holds. */
export interface JobRow {
  /** The job; undefined once nothing of it will be started. */
  readonly job: Job | undefined;
  /** A caller cancelled it. */
  readonly isCancelled: boolean;
}

/** Row of a job that is handed in. */
export function openRow(job: Job): string {
  return encode({ job, isCancelled: false });
}

/** What is left of a job's row: its id stays taken. */
export function closedRow({ isCancelled }: { isCancelled: boolean }): string {
  return encode({ job: undefined, isCancelled });
}

function encode(row: JobRow): string {
  return JSON.stringify(row);
}

/** Reads a job's row; `Malformed` when it is none. */
export function readJobRow(row: Pick<Row, "value">): Result<JobRow, Fault> {
  return parse<JobRow>(row.value, "isCancelled");
}

/** Reads a state's row; `Malformed` when it is none. */
export function readState(row: Pick<Row, "value">): Result<JobState, Fault> {
  return parse<JobState>(row.value, "phase");
}

/** Reads the leader's row; `Malformed` when it is none. */
export function readLeadership(
  row: Pick<Row, "value">,
): Result<Leadership, Fault> {
  return parse<Leadership>(row.value, "epoch");
}

/** Reads a bid for leadership; `Malformed` when it is none. */
export function readBid(row: Pick<Row, "value">): Result<Bid, Fault> {
  return parse<Bid>(row.value, "capacity");
}

/** Addresses of the workers that may hold a lease, by id. */
export type Roster = Readonly<Record<string, string>>;

/** Reads the roster; `Malformed` when it is none. */
export function readRoster(row: Pick<Row, "value">): Result<Roster, Fault> {
  return parse<{ roster: Roster }>(row.value, "roster").map(
    ({ roster }) => roster,
  );
}

/** Reads what leaders have learnt; `Malformed` when it is nothing of that. */
export function readLearnt(
  row: Pick<Row, "value">,
): Result<LearntPressures, Fault> {
  return parse<{ pressures: LearntPressures }>(row.value, "pressures").map(
    ({ pressures }) => pressures,
  );
}

function parse<T extends object>(
  text: string,
  member: keyof T,
): Result<T, Fault> {
  try {
    const value = JSON.parse(text) as T | null;
    if (typeof value === "object" && value !== null && member in value) {
      return Ok(value);
    }
  } catch {
    // Falls through: the row was not written by this system.
  }
  return Err(new Fault(FaultCode.Malformed, text.slice(0, 80)));
}
