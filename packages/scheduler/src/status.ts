import type { Resources } from "@laburnumtrack/core/resources";
import type { RowCache } from "@laburnumtrack/core/row_cache";
import {
  type FinishedRow,
  KeyPrefix,
  type MemberRow,
  readRow,
  type Task,
  TaskState,
  type WorkerPhase,
} from "@laburnumtrack/core/rows";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import type { ClusterView } from "@laburnumtrack/policy/cluster_view";
import { isRefusal, type Plan } from "@laburnumtrack/policy/placement_plan";
import type { WaitReason } from "@laburnumtrack/policy/refusal";
import type { Configuration } from "@laburnumtrack/process/config_watch";

/** State of a service in `/status`. */
export interface ServiceStatus {
  readonly name: string;
  readonly replicas: number;
  readonly running: number;
  readonly waiting: number;
  readonly reason: WaitReason | null;
}

/** State of a job in `/status`. */
export interface JobStatus {
  readonly name: string;
  readonly state: "waiting" | "running" | "finished" | "refused" | "cancelling";
  readonly tasks: number;
  readonly waiting: number;
  readonly running: number;
  readonly done: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly reason: WaitReason | null;
}

/** State of a worker in `/status`. */
export interface WorkerStatus {
  readonly id: string;
  readonly phase: WorkerPhase;
  readonly rack: string;
  readonly failureDomain: string;
  readonly tasks: number;
  readonly free: Resources;
  readonly keeper: string;
}

/** Answer of `/status`: the state of the whole system. */
export interface SystemStatus {
  readonly version: number;
  readonly services: readonly ServiceStatus[];
  readonly jobs: readonly JobStatus[];
  readonly workers: readonly WorkerStatus[];
  readonly members: readonly MemberRow[];
  /** Reasons by name of the workloads that are refused. */
  readonly refused: Readonly<Record<string, WaitReason>>;
}

/** The data from which answers to operators are made. */
export interface StatusSources {
  readonly configuration: Configuration;
  readonly view: ClusterView;
  readonly cache: RowCache;
  readonly plan: Plan;
  readonly members: readonly MemberRow[];
}

/** Summarizes what runs, what waits and what was refused. */
export function summarizeStatus(sources: StatusSources): SystemStatus {
  const { configuration, plan, members } = sources;
  const refused: Record<string, WaitReason> = {};
  for (const [name, reason] of plan.waitReasons) {
    if (isRefusal(reason)) refused[name] = reason;
  }
  return {
    version: configuration.version,
    services: listServices(sources),
    jobs: listJobs(sources),
    workers: listWorkers(sources),
    members,
    refused,
  };
}

/**
 * Answer of `/explain/NAME`: the declaration, the tasks and their events of one
 * workload; undefined when the workload is unknown.
 */
export function explainWorkload(name: string, sources: StatusSources) {
  const { configuration, view, plan, cache } = sources;
  const { files } = configuration;
  const workload = files.services.get(name) ?? files.jobs.get(name);
  const finished = cache.get(KeyPrefix.Finished + name);
  const tasks = tasksOf(view, name);
  if (workload === undefined && finished === undefined && tasks.length === 0) {
    return undefined;
  }
  return {
    name,
    kind: workload?.kind ?? WorkloadKind.Job,
    declared: workload ?? null,
    waitsBecause: plan.waitReasons.get(name) ?? null,
    finished: finished === undefined ? null : readRow<FinishedRow>(finished),
    tasks: tasks.map((task) => ({
      index: task.index,
      state: task.state,
      worker: task.worker,
      runs: task.epoch,
      failures: task.failures,
      evictions: task.evictions,
      checkpoint: task.checkpoint,
      notBefore:
        task.notBeforeMs === 0 ? null : new Date(task.notBeforeMs).toJSON(),
      events: task.events.map((event) => ({
        at: new Date(event.atMs).toJSON(),
        kind: event.kind,
        worker: event.worker,
        for: event.cause,
      })),
    })),
  };
}

function listServices(sources: StatusSources): ServiceStatus[] {
  const { configuration, view, plan } = sources;
  return [...configuration.files.services.values()].map((service) => {
    const tasks = tasksOf(view, service.name);
    const count = (isCounted: (task: Task) => boolean) =>
      tasks.filter(isCounted).length;
    return {
      name: service.name,
      replicas: service.replicas,
      running: count(({ endpoint }) => endpoint !== null),
      waiting: count(({ state }) => state === TaskState.Waiting),
      reason: plan.waitReasons.get(service.name) ?? null,
    };
  });
}

function listJobs(sources: StatusSources): JobStatus[] {
  const { configuration, view, cache } = sources;
  const names = new Set(configuration.files.jobs.keys());
  for (const name of view.workloads) {
    if (!configuration.files.services.has(name)) names.add(name);
  }
  for (const { key } of cache.list(KeyPrefix.Finished)) {
    names.add(key.slice(KeyPrefix.Finished.length));
  }
  return [...names].sort().map((name) => summarizeJob(name, sources));
}

function summarizeJob(name: string, sources: StatusSources): JobStatus {
  const { view, cache, plan, configuration } = sources;
  const finished = cache.get(KeyPrefix.Finished + name);
  if (finished !== undefined) {
    const { done, failed, cancelled } = readRow<FinishedRow>(finished);
    const tasks = done + failed + cancelled;
    const none = { waiting: 0, running: 0, reason: null };
    return { name, state: "finished", tasks, done, failed, cancelled, ...none };
  }
  const tasks = tasksOf(view, name);
  const count = (state: TaskState) =>
    tasks.filter((task) => task.state === state).length;
  const running = count(TaskState.Placed);
  const reason = plan.waitReasons.get(name) ?? null;
  const isDeclared = configuration.files.jobs.has(name);
  const isRefused = running === 0 && isRefusal(reason ?? undefined);
  const state = running > 0 ? "running" : isRefused ? "refused" : "waiting";
  return {
    name,
    state: isDeclared ? state : "cancelling",
    tasks: configuration.files.jobs.get(name)?.tasks ?? tasks.length,
    waiting: count(TaskState.Waiting),
    running,
    done: count(TaskState.Done),
    failed: count(TaskState.Failed),
    cancelled: count(TaskState.Cancelled),
    reason,
  };
}

function listWorkers({ view, members }: StatusSources): WorkerStatus[] {
  const names = new Map(members.map((row) => [row.instance, row.name]));
  return [...view.workers.values()].map(({ id, row, free }) => ({
    id,
    phase: row.phase,
    rack: row.vm.rack,
    failureDomain: row.vm.failureDomain,
    tasks: row.assignments.length,
    free,
    keeper: names.get(row.keeper) ?? "",
  }));
}

function tasksOf(view: ClusterView, workload: string): Task[] {
  return view.chunksOf(workload).flatMap(({ row }) => row.tasks);
}
