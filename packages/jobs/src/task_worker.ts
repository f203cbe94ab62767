import type { Fault } from "@laburnumtrack/core/fault";
import type { Resources } from "@laburnumtrack/core/resources";
import type { Result } from "ts-results";

/** Names a task of a job. */
export interface TaskName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** A worker as the platform's registry shows it. */
export interface RegisteredWorker {
  readonly id: string;
  readonly pool: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rack that it stands in; empty when its labels name none. */
  readonly rack: string;
  /** Unix ms of its start; tells apart two lives under one id. 0: unknown. */
  readonly bornMs: number;
}

/** Where an order goes. */
export interface WorkerTarget {
  readonly id: string;
  readonly address: string;
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: TaskName;
  readonly run: number;
  readonly spec: string;
  readonly epoch: number;
  /** On the worker's clock: end of the lease, and the latest start. */
  readonly leaseUntilMs: number;
  readonly checkpoint: string;
  /** Empty: the queue needs none. */
  readonly ticket: string;
}

/** What a worker says to a start. */
export enum StartVerdict {
  /** The run is there. */
  Started = "started",
  /** This run or a later one has ended there. */
  Over = "over",
  /** The order arrived after its lease's end. */
  Late = "late",
  NoRoom = "no_room",
  /** The ticket is not valid. */
  BadTicket = "bad_ticket",
  /** The worker is not well and did nothing. */
  Unwell = "unwell",
  /** The worker cannot read the order. */
  Invalid = "invalid",
}

/** Answer to a start. */
export interface StartReply {
  readonly verdict: StartVerdict;
  /** Worker's clock; undefined when the answer had none. */
  readonly clockMs: number | undefined;
}

/** A run that is at work. */
export interface RunningRun {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  /** Share of full speed, or progress, in percent. */
  readonly percent: number;
  /** Tail latency in ms of a serving task, else thousandths of a core in use. */
  readonly figure: number;
}

/** How a run ended. */
export enum RunEnd {
  Done = "done",
  Failed = "failed",
  Stopped = "stopped",
  /** The lease ran out. */
  Lapsed = "lapsed",
  /** Another member of the gang ended. */
  Broken = "broken",
  /** The other members of the gang did not come. */
  Alone = "alone",
}

/** A run that ended. */
export interface EndedRun {
  /** Counts the ends of one life of the worker. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** A renewal of a worker's lease. */
export interface RenewOrder {
  readonly epoch: number;
  /** Ends up to this number need not be reported again. */
  readonly acknowledged: number;
  /** On the worker's clock; undefined: the lease stays as it is. */
  readonly leaseUntilMs: number | undefined;
  /** Longest wait for an end, in whole ms. */
  readonly waitMs: number;
}

/** What a worker runs and what ended there. */
export interface WorkerReport {
  readonly clockMs: number;
  /** Unix ms of the worker's start; 0 when it did not say. */
  readonly bornMs: number;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
  /** More ends follow once these are acknowledged. */
  readonly hasMore: boolean;
}

/** An order about a run that was started. */
export interface RunOrder {
  readonly task: TaskName;
  readonly run: number;
  readonly epoch: number;
}

/**
 * A worker as the leading scheduler calls it.
 *
 * Faults: `Fenced` when the worker has seen a higher epoch, `OtherInstance`
 * when another life answers, `WorkerUnreachable` when the order was never
 * sent, `OutcomeUnknown` when it may be carried out, now or later.
 */
export abstract class TaskWorker {
  abstract start(
    target: WorkerTarget,
    order: StartOrder,
  ): Promise<Result<StartReply, Fault>>;
  abstract stop(
    target: WorkerTarget,
    order: RunOrder,
  ): Promise<Result<void, Fault>>;
  abstract renew(
    target: WorkerTarget,
    order: RenewOrder,
  ): Promise<Result<WorkerReport, Fault>>;
  /** Lets a run work at a share of its speed, 0 to 100. */
  abstract pace(
    target: WorkerTarget,
    order: RunOrder,
    percent: number,
  ): Promise<Result<void, Fault>>;
}
