import type { Row } from "./table";
import type { Vm } from "./vm_list";
import type { Assignment } from "./worker";

/** Key prefixes, and whole keys of single rows, in the table. */
export enum KeyPrefix {
  /** The configuration version in force. */
  Head = "config/head",
  /** One row for each apply, so that a repeated apply is recognised. */
  Apply = "config/apply/",
  /** One row for each process of the system. */
  Member = "member/",
  /** The scheduler elected to place tasks. */
  Placer = "placer",
  /** One row for each VM, with the tasks assigned to it. */
  Worker = "worker/",
  /** Rows of up to `TASKS_PER_CHUNK` tasks of a workload each. */
  Task = "task/",
  /** Jobs that have ended and must not run again. */
  Finished = "finished/",
  /** Non-idempotent requests that carry an `Idempotency-Key`. */
  Claim = "claim/",
  /** Tokens that show whether a transaction took effect. */
  Token = "token/",
}

/** Maximum number of tasks of a workload in one row. */
export const TASKS_PER_CHUNK = 32;

/** The configuration version in force. */
export interface HeadRow {
  readonly version: number;
  readonly applyId: string;
  /** Key of the file set in the object store. */
  readonly object: string;
  readonly appliedAtMs: number;
}

/** An apply that took effect. */
export interface ApplyRow {
  readonly version: number;
  readonly appliedAtMs: number;
}

/** What a member does. */
export enum Role {
  Gateway = "gateway",
  Scheduler = "scheduler",
}

/** State of a member. */
export enum MemberPhase {
  Live = "live",
  /** It has begun its graceful shutdown. */
  Leaving = "leaving",
  /** It has shut down and renews no leases. */
  Left = "left",
  /** Other members declared it dead; its heartbeats no longer take effect. */
  Evicted = "evicted",
}

/** A process of the system. */
export interface MemberRow {
  readonly name: string;
  /** Id of this run of the process; differs after a restart. */
  readonly instance: string;
  readonly role: Role;
  readonly failureDomain: string;
  /** `host:port` of its gRPC server. */
  readonly peerAddress: string;
  /** `host:port` of its admin interface for operators. */
  readonly adminAddress: string;
  readonly phase: MemberPhase;
  readonly configVersion: number;
  /** Heartbeat counter. */
  readonly beat: number;
}

/**
 * The scheduler elected to place tasks. Its transactions check this row, so
 * they fail once another scheduler has been elected.
 */
export interface PlacerRow {
  readonly instance: string;
}

/** State of a worker, which decides whether it can be assigned tasks. */
export enum WorkerPhase {
  Live = "live",
  /** The platform will remove the VM: its tasks move, and none is added. */
  Leaving = "leaving",
  /** Its lease expired, and it has not answered since. */
  Lost = "lost",
}

/** A VM and the tasks assigned to it. */
export interface WorkerRow {
  /** The latest entry of the platform's VM list. */
  readonly vm: Vm;
  /** Instance reported by the worker itself; empty before the first contact. */
  readonly instance: string;
  readonly phase: WorkerPhase;
  /**
   * The keeper: instance of the scheduler that renews the worker's lease;
   * empty until one is chosen.
   */
  readonly keeper: string;
  /** Incremented with each change of keeper. */
  readonly generation: number;
  /**
   * Earlier keepers that may still renew the lease without reading the table.
   * They are listed until the worker has answered a message of the current
   * generation.
   */
  readonly former: readonly string[];
  readonly assignments: readonly Assignment[];
}

/** State of a task. */
export enum TaskState {
  Waiting = "waiting",
  Placed = "placed",
  Done = "done",
  /** Its last allowed retry failed. */
  Failed = "failed",
  Cancelled = "cancelled",
}

/** Kind of a {@linkcode TaskEvent}. */
export enum TaskEventKind {
  Placed = "placed",
  Done = "done",
  Failed = "failed",
  Evicted = "evicted",
  /** The worker was removed, or the worker's lease expired. */
  Lost = "lost",
  Cancelled = "cancelled",
}

/** An entry in a task's history, shown to operators. */
export interface TaskEvent {
  readonly kind: TaskEventKind;
  readonly atMs: number;
  readonly worker: string;
  /** Workload that an eviction made room for; otherwise empty. */
  readonly cause: string;
}

/** Maximum number of events stored with a task; older ones are dropped. */
export const MAX_TASK_EVENTS = 6;

/** Endpoint of a service's replica. */
export interface TaskEndpoint {
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
}

/** A task of a workload. */
export interface Task {
  readonly index: number;
  readonly state: TaskState;
  /** Epoch of the latest run; 0 before the first. */
  readonly epoch: number;
  /** Id of the VM that the task is placed on; empty unless placed. */
  readonly worker: string;
  /** Checkpoint that the next run resumes from; empty for a fresh start. */
  readonly checkpoint: string;
  /** Number of failed runs. */
  readonly failures: number;
  /** Ids of VMs on which a run failed, newest last. */
  readonly failedOn: readonly string[];
  /** Number of evicted runs. */
  readonly evictions: number;
  /** Endpoint of a running replica of a service; otherwise null. */
  readonly endpoint: TaskEndpoint | null;
  /** True once the run was told to end; gateways send it no new requests. */
  readonly isLeaving: boolean;
  /** Wall time in ms before which the task is not started again. */
  readonly notBeforeMs: number;
  /** The latest events, oldest first. */
  readonly events: readonly TaskEvent[];
}

/** Creates a task that has not run yet. */
export function createTask(index: number): Task {
  return {
    index,
    state: TaskState.Waiting,
    epoch: 0,
    worker: "",
    checkpoint: "",
    failures: 0,
    failedOn: [],
    evictions: 0,
    endpoint: null,
    isLeaving: false,
    notBeforeMs: 0,
    events: [],
  };
}

/** Returns a copy of the task with `event` appended to its events. */
export function recordEvent(task: Task, event: TaskEvent): Task {
  const events = [...task.events, event].slice(-MAX_TASK_EVENTS);
  return { ...task, events };
}

/** A chunk of a workload's tasks. */
export interface TaskRow {
  readonly workload: string;
  /** Configuration version that started this run of the workload. */
  readonly since: number;
  readonly chunk: number;
  readonly tasks: readonly Task[];
}

/** State of a request with an idempotency key. */
export enum ClaimState {
  /** A gateway has taken the request and may have sent it to an endpoint. */
  Claimed = "claimed",
  /** The request was certainly not run; its key can be used again. */
  Released = "released",
  /** The endpoint's response was received. */
  Answered = "answered",
}

/** A non-idempotent request that carries an `Idempotency-Key`. */
export interface ClaimRow {
  readonly state: ClaimState;
  readonly requestId: string;
  /** Digest of method, path and body; rejects another request with this key. */
  readonly fingerprint: string;
  readonly claimedAtMs: number;
  /** HTTP status of the response; 0 until it is received. */
  readonly status: number;
  readonly contentType: string;
  /** Response body in base64; null if it was too large to store. */
  readonly body: string | null;
}

/** Outcome of an ended job: the number of its tasks in each final state. */
export interface FinishedRow {
  readonly workload: string;
  readonly done: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly endedAtMs: number;
}

/** Parses a row's value; the caller chooses the type that its key implies. */
export function readRow<T>(row: Row): T {
  return JSON.parse(row.value) as T;
}

/** Returns the key of a chunk of a workload's tasks. */
export function chunkKey(workload: string, chunk: number): string {
  return `${KeyPrefix.Task}${workload}/${String(chunk).padStart(5, "0")}`;
}

/** Returns the name of a task in messages to workers and operators. */
export function taskName(workload: string, index: number): string {
  return `${workload}/${index}`;
}

/** Returns the key of a worker's row. */
export function workerKey(id: string): string {
  return KeyPrefix.Worker + id;
}

/** Returns the keys of all chunks of a workload that has `tasks` tasks. */
export function chunkKeysOf(workload: string, tasks: number): string[] {
  const keys: string[] = [];
  for (let chunk = 0; chunk * TASKS_PER_CHUNK < tasks; chunk += 1) {
    keys.push(chunkKey(workload, chunk));
  }
  return keys;
}

/** Splits a task's name into workload and index. */
export function parseTaskName(name: string): {
  readonly workload: string;
  readonly index: number;
} {
  const slash = name.lastIndexOf("/");
  return {
    workload: name.slice(0, slash),
    index: Number(name.slice(slash + 1)),
  };
}

/** Returns the key of the chunk that holds the task of this name. */
export function chunkKeyOf(task: string): string {
  const { workload, index } = parseTaskName(task);
  return chunkKey(workload, Math.floor(index / TASKS_PER_CHUNK));
}
