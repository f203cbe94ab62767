import type { Result } from "ts-results";
import type { Fault } from "./fault";
import type { Resources } from "./resources";
import type { WorkloadKind } from "./workload";

/** What a worker should do with an assigned task. */
export enum Action {
  Run = "run",
  /** Run with less CPU time, because it slows down a service on the same VM. */
  Throttle = "throttle",
  /** Take a checkpoint of the task, then stop it. */
  Evict = "evict",
  /** Stop the task; its state is no longer needed. */
  Stop = "stop",
}

/** A task assigned to a worker. */
export interface Assignment {
  /** `workload/index`. */
  readonly task: string;
  /** Number of this run of the task; grows with each run. */
  readonly epoch: number;
  readonly kind: WorkloadKind;
  readonly work: string;
  readonly resources: Resources;
  readonly action: Action;
  /** Checkpoint to resume from; empty for a fresh start. */
  readonly checkpoint: string;
  /** Concurrent requests that the task runs; 0 for batch tasks. */
  readonly slots: number;
  /** Connections that the task accepts; 0 for batch tasks. */
  readonly connections: number;
  /** Workload that an eviction makes room for; otherwise empty. */
  readonly cause: string;
}

/** State of a task's run at the worker. */
export enum RunState {
  Running = "running",
  Done = "done",
  Failed = "failed",
  /** Stopped on request or because the worker's lease expired. */
  Stopped = "stopped",
}

/** A worker's report on a run. */
export interface RunReport {
  readonly task: string;
  readonly epoch: number;
  readonly state: RunState;
  /** `host:port` that serves requests; empty for batch tasks. */
  readonly endpoint: string;
  /** Reference to the latest complete checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** CPU use over the last seconds, in thousandths of a core. */
  readonly cpuMilli: number;
  /** Memory in use, in MiB. */
  readonly memoryMb: number;
  /** 99th percentile of a service's response times in ms; 0 if unknown. */
  readonly latencyMs: number;
}

/**
 * Message from a worker's keeper, the scheduler that renews its lease: a lease
 * renewal and the tasks to run.
 */
export interface SyncRequest {
  /** VM instance that the message is meant for. */
  readonly instance: string;
  /** Generation of the keeper; a worker rejects any below the highest seen. */
  readonly generation: number;
  /** `stampMs` of the worker's last reply to this keeper; 0 at first. */
  readonly stampMs: number;
  /** The lease ends at `stampMs + leaseMs` on the worker's clock. */
  readonly leaseMs: number;
  /** Revision of the worker's row; a worker rejects any below the highest seen. */
  readonly revision: number;
  /** All tasks of the worker; undefined if unchanged since `revision`. */
  readonly assignments: readonly Assignment[] | undefined;
}

/** A worker's reply to a {@linkcode SyncRequest}. */
export interface SyncReply {
  /** Time in ms on the worker's clock when it replied. */
  readonly stampMs: number;
  readonly instance: string;
  /** Highest generation that the worker has seen. */
  readonly generation: number;
  /** Highest revision of its row that the worker has acted on. */
  readonly revision: number;
  /** False if the renewal was rejected: old `stampMs` or lower generation. */
  readonly isRenewed: boolean;
  /**
   * Runs whose report changed at or after the request's `stampMs`, and runs
   * that the request no longer lists; all runs if the renewal was rejected.
   */
  readonly runs: readonly RunReport[];
}

/**
 * Connection of a keeper to the workers.
 *
 * Assumptions: the lease runs on the worker's clock from the request's
 * `stampMs`, and all tasks stop when it expires; an epoch that has ended is not
 * started again.
 */
export abstract class Worker {
  /** Renews the lease of the worker at `address` and sends its tasks. */
  abstract sync(
    address: string,
    request: SyncRequest,
  ): Promise<Result<SyncReply, Fault>>;
}
