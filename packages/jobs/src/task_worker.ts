import type { Fault } from "@laburnumtrack/core/fault";
import type { Resources } from "@laburnumtrack/core/resources";
import type { Result } from "ts-results";

/** Identifies a task of a job. */
export interface TaskName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** A worker as listed in the platform's registry. */
export interface RegisteredWorker {
  readonly id: string;
  readonly pool: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /**
   * Minimum time that a draining worker stays, in ms, when it registered that;
   * 0 if unknown.
   */
  readonly remainingMs: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rack of the worker; empty if its labels name none. */
  readonly rack: string;
  /** Unix ms of its start, which identifies its incarnation; 0 if unknown. */
  readonly bornMs: number;
  /**
   * Time for which it is slow after its start, in ms; undefined if its pool's
   * time applies.
   */
  readonly coldRemainingMs?: number | undefined;
}

/** The worker that an order is sent to. */
export interface WorkerTarget {
  readonly id: string;
  readonly address: string;
  /** Failure domain of its VM, if known; a hint for the path to it. */
  readonly failureDomain?: string;
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: TaskName;
  readonly run: number;
  readonly spec: string;
  readonly epoch: number;
  /** End of the lease, and latest start, in ms of the worker's clock. */
  readonly leaseUntilMs: number;
  /** Checkpoint to resume from; empty to start from the beginning. */
  readonly checkpoint: string;
  /** Ticket from the queue's advisor; empty if the queue has no advisor. */
  readonly ticket: string;
}

/** Answer of a worker to a start order. */
export enum StartVerdict {
  /** The run was started, or was running already. */
  Started = "started",
  /** This run or a later one has already ended on the worker. */
  Over = "over",
  /** The order arrived after the end of the lease. */
  Late = "late",
  /** The worker has not enough free resources. */
  NoRoom = "no_room",
  /** The ticket is not valid. */
  BadTicket = "bad_ticket",
  /** The worker has an internal problem and did not start the run. */
  Unwell = "unwell",
  /** The worker cannot parse the order. */
  Invalid = "invalid",
}

/** Reply to a start order. */
export interface StartReply {
  readonly verdict: StartVerdict;
  /** Time on the worker's clock in ms; undefined if the reply had none. */
  readonly clockMs: number | undefined;
}

/** An active run as reported by its worker. */
export interface RunningRun {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  /** Speed of a long-running task, or progress of another one, in percent. */
  readonly percent: number;
  /** Tail latency of a serving task in ms, else CPU use in 1/1000 of a core. */
  readonly measurement: number;
}

/** How a run ended. */
export enum RunEnd {
  Done = "done",
  Failed = "failed",
  Stopped = "stopped",
  /** The lease expired. */
  Lapsed = "lapsed",
  /** Another task of the gang ended. */
  Broken = "broken",
  /** The other tasks of the gang did not start in time. */
  Alone = "alone",
}

/** A finished run as reported by its worker. */
export interface EndedRun {
  /** Sequence number among the ends of one incarnation of the worker. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Order to renew a worker's lease; its reply is a report. */
export interface RenewOrder {
  readonly epoch: number;
  /** Highest end number that need not be reported again. */
  readonly acknowledged: number;
  /** End of the lease on the worker's clock; undefined to leave it as it is. */
  readonly leaseUntilMs: number | undefined;
  /** Maximum time that the worker waits for an end, in whole ms. */
  readonly waitMs: number;
}

/** Active and finished runs of a worker. */
export interface WorkerReport {
  /** Time on the worker's clock in ms. */
  readonly clockMs: number;
  /** Unix ms of the worker's start; 0 if the report had none. */
  readonly bornMs: number;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
  /** More ends follow after these are acknowledged. */
  readonly hasMore: boolean;
}

/** Whether a report lists the run as running or ended. */
export function isReported(
  { task, run }: { readonly task: TaskName; readonly run: number },
  { running, ended }: WorkerReport,
): boolean {
  return [...running, ...ended].some(
    (other) => other.run === run && isSameTask(other.task, task),
  );
}

/** Whether two names are those of the same task. */
export function isSameTask(a: TaskName, b: TaskName): boolean {
  return (
    a.jobId === b.jobId &&
    a.occurrence === b.occurrence &&
    a.step === b.step &&
    a.index === b.index
  );
}

/** Addresses an order to a run that was started. */
export interface RunOrder {
  readonly task: TaskName;
  readonly run: number;
  readonly epoch: number;
}

/**
 * Client through which the leading scheduler calls workers.
 *
 * Faults: `Fenced` if the worker has seen a higher epoch, `OtherInstance` if
 * another incarnation answers, `WorkerUnreachable` if the order was not sent,
 * `OutcomeUnknown` if the worker may carry out the order now or later.
 */
export abstract class TaskWorker {
  /** Starts a run. */
  abstract start(
    target: WorkerTarget,
    order: StartOrder,
  ): Promise<Result<StartReply, Fault>>;
  /** Stops a run. */
  abstract stop(
    target: WorkerTarget,
    order: RunOrder,
  ): Promise<Result<void, Fault>>;
  /** Renews the lease and fetches a report. */
  abstract renew(
    target: WorkerTarget,
    order: RenewOrder,
  ): Promise<Result<WorkerReport, Fault>>;
  /** Limits a run to a percentage of its full speed, 0 to 100. */
  abstract pace(
    target: WorkerTarget,
    order: RunOrder,
    percent: number,
  ): Promise<Result<void, Fault>>;
}
