import type { Clock } from "@laburnumtrack/core/clock";
import { addResources, isWithin } from "@laburnumtrack/core/resources";
import {
  chunkKey,
  TASKS_PER_CHUNK,
  type Task,
  type TaskRow,
  TaskState,
  taskName,
  WorkerPhase,
  workerKey,
} from "@laburnumtrack/core/rows";
import { Action, type Assignment } from "@laburnumtrack/core/worker";
import {
  findWorkload,
  type Job,
  type Service,
  WorkloadKind,
} from "@laburnumtrack/core/workload";
import type {
  ChunkView,
  ClusterView,
  WorkerView,
} from "@laburnumtrack/policy/cluster_view";
import type { WorkerHealth } from "@laburnumtrack/policy/worker_health";
import type { Configuration } from "@laburnumtrack/process/config_watch";
import { setAction } from "./placement_edits";
import type { Edit, EditSink } from "./row_editor";
import {
  cancelTask,
  createChunkEdit,
  createChunkRemovalEdit,
  createFailEdit,
  createFinishEdit,
  createLeavingEdit,
  isTerminal,
} from "./workload_edits";

/** Dependencies of a {@linkcode WorkloadReconciler}. */
export interface WorkloadReconcilerOptions {
  readonly clock: Clock;
  readonly view: ClusterView;
  readonly editor: EditSink;
  readonly health: WorkerHealth;
  readonly configuration: () => Configuration;
}

// Time between marking a replica as leaving and its eviction: gateways stop
// sending it new requests, and requests in progress may end.
const DRAIN_MS = 3000;
// A batch task fails for good after this many failed runs on any workers.
const FAILED_RUNS_LIMIT = 20;
// Seconds that each earlier eviction adds to the cost of evicting a task.
const EVICTION_PENALTY_S = 120;
const EDITS_PER_ROUND = 200;

/**
 * Brings tasks in line with the configuration: creates tasks of new workloads,
 * cancels those of removed ones, moves tasks off leaving or shrunk workers, and
 * closes completed jobs.
 */
export class WorkloadReconciler {
  readonly #options: WorkloadReconcilerOptions;
  /** Monotonic ms at which each replica was marked as leaving, by run. */
  readonly #drainingSinceMs = new Map<string, number>();
  /** Placed tasks by name, as of the last round. */
  #placedTasks = new Map<string, Task>();

  constructor(options: WorkloadReconcilerOptions) {
    this.#options = options;
  }

  /** Commits the edits of one round, at most `EDITS_PER_ROUND` of them. */
  async reconcile(): Promise<void> {
    const edits: Edit[] = [
      ...this.#createMissingTasks(),
      ...this.#cancelRemoved(),
      ...this.#drainWorkers(),
      ...this.#finishJobs(),
    ];
    const { editor } = this.#options;
    const round = edits.slice(0, EDITS_PER_ROUND);
    await Promise.all(round.map((edit) => editor.edit(edit)));
    this.#indexPlacedTasks();
  }

  /** Cost of evicting a task now, as seconds of work lost. */
  evictionCostOf(task: string): number {
    const placed = this.#placedTasks.get(task);
    if (placed === undefined) return 0;
    const startMs = placed.events.at(-1)?.atMs ?? 0;
    const runS = (this.#options.clock.wallMs() - startMs) / 1000;
    // The penalty protects tasks that were evicted before.
    return runS + placed.evictions * EVICTION_PENALTY_S;
  }

  #indexPlacedTasks(): void {
    const placedTasks = new Map<string, Task>();
    for (const { row } of this.#options.view.chunks.values()) {
      for (const task of row.tasks) {
        if (task.state !== TaskState.Placed) continue;
        placedTasks.set(taskName(row.workload, task.index), task);
      }
    }
    this.#placedTasks = placedTasks;
  }

  *#createMissingTasks(): Generator<Edit> {
    const { version, files } = this.#options.configuration();
    const { view } = this.#options;
    for (const service of files.services.values()) {
      yield* this.#createChunks(service, service.replicas, version);
    }
    for (const job of files.jobs.values()) {
      if (view.finishedJobs.has(job.name)) continue;
      yield* this.#createChunks(job, job.tasks, version);
    }
  }

  *#createChunks(
    { name, kind }: Service | Job,
    count: number,
    version: number,
  ): Generator<Edit> {
    const { view } = this.#options;
    const chunks = Math.ceil(count / TASKS_PER_CHUNK);
    for (let chunk = 0; chunk < chunks; chunk += 1) {
      const key = chunkKey(name, chunk);
      const firstIndex = chunk * TASKS_PER_CHUNK;
      const taskCount = Math.min(TASKS_PER_CHUNK, count - firstIndex);
      const known = view.chunks.get(key);
      // When a service has more replicas again, cancelled tasks are recreated.
      const isComplete =
        known !== undefined &&
        known.row.tasks.length >= taskCount &&
        (kind === WorkloadKind.Job ||
          known.row.tasks.slice(0, taskCount).every(isActive));
      if (isComplete) continue;
      yield createChunkEdit(key, {
        name,
        chunk,
        firstIndex,
        taskCount,
        kind,
        version,
      });
    }
  }

  *#cancelRemoved(): Generator<Edit> {
    const { files } = this.#options.configuration();
    const { view } = this.#options;
    for (const chunk of view.chunks.values()) {
      const { workload, tasks } = chunk.row;
      const known = findWorkload(files, workload);
      const count = countTasks(known);
      const surplus = tasks.filter(
        (task) => task.index >= count && isActive(task),
      );
      if (surplus.length > 0) yield this.#createCancelEdit(chunk, surplus);
      else if (known === undefined && tasks.every(isTerminal)) {
        yield createChunkRemovalEdit(chunk);
      }
    }
  }

  /** The edit that cancels tasks of one chunk and stops those that run. */
  #createCancelEdit(chunk: ChunkView, surplus: readonly Task[]): Edit {
    const indexes = new Set(surplus.map(({ index }) => index));
    const workers = new Set<string>();
    for (const { worker } of surplus) {
      if (worker !== "") workers.add(workerKey(worker));
    }
    const atMs = this.#options.clock.wallMs();
    return {
      keys: [chunk.key, ...workers],
      apply: (draft) => {
        const row = draft.read<TaskRow>(chunk.key);
        if (row === undefined) return false;
        let isChanged = false;
        const tasks = row.tasks.map((task) => {
          if (!indexes.has(task.index)) return task;
          const next = cancelTask(draft, row.workload, { task, atMs });
          if (next !== task) isChanged = true;
          return next;
        });
        if (isChanged) draft.write(chunk.key, { ...row, tasks });
        return isChanged;
      },
    };
  }

  /** Moves tasks off workers that are leaving or whose capacity has shrunk. */
  *#drainWorkers(): Generator<Edit> {
    for (const worker of this.#options.view.workers.values()) {
      const { phase } = worker.row;
      const isLeaving = phase === WorkerPhase.Leaving;
      const surplus = isLeaving ? worker.row.assignments : listSurplus(worker);
      for (const assignment of surplus) {
        if (isEnding(assignment)) continue;
        yield* this.#drainTask(worker, assignment);
      }
    }
  }

  *#drainTask(
    { id, row }: WorkerView,
    assignment: Assignment,
  ): Generator<Edit> {
    const cause = row.phase === WorkerPhase.Leaving ? "leaving" : "capacity";
    const key = workerKey(id);
    const change = { task: assignment.task, action: Action.Evict, cause };
    const evict: Edit = {
      keys: [key],
      apply: (draft) => setAction(draft, key, change),
    };
    if (assignment.kind === WorkloadKind.Job) {
      yield evict;
      return;
    }
    const run = `${assignment.task}@${assignment.epoch}`;
    const nowMs = this.#options.clock.nowMs();
    const sinceMs = this.#drainingSinceMs.get(run);
    if (sinceMs === undefined) {
      this.#drainingSinceMs.set(run, nowMs);
      yield createLeavingEdit(assignment);
    } else if (nowMs - sinceMs >= DRAIN_MS) {
      // Gateways send nothing new to the replica any more.
      this.#drainingSinceMs.delete(run);
      yield evict;
    }
  }

  /** Fails tasks that have used up their retries; closes completed jobs. */
  *#finishJobs(): Generator<Edit> {
    const { view } = this.#options;
    const { files } = this.#options.configuration();
    for (const job of files.jobs.values()) {
      const chunks = view.chunksOf(job.name);
      if (chunks.length === 0) continue;
      for (const chunk of chunks) {
        const exhausted = chunk.row.tasks.filter((task) =>
          this.#isOutOfRetries(task, job),
        );
        if (exhausted.length > 0) yield createFailEdit(chunk, exhausted);
      }
      const isComplete =
        chunks.length === Math.ceil(job.tasks / TASKS_PER_CHUNK);
      const tasks = chunks.flatMap(({ row }) => row.tasks);
      if (!isComplete || !tasks.every(isTerminal)) continue;
      yield createFinishEdit(job.name, chunks, this.#options.clock.wallMs());
    }
  }

  /**
   * Whether a waiting task has used up its retries. Failures on workers that
   * are themselves to blame do not count, up to `FAILED_RUNS_LIMIT`.
   */
  #isOutOfRetries(task: Task, job: Job): boolean {
    if (task.state !== TaskState.Waiting || task.failures === 0) return false;
    if (task.failures >= FAILED_RUNS_LIMIT) return true;
    const { health } = this.#options;
    const uncounted = task.failedOn.filter((id) => health.isSuspect(id));
    return task.failures - uncounted.length > job.retries;
  }
}

/**
 * Lists assignments to remove until the rest fits a capacity that was reduced,
 * batch tasks first.
 */
function listSurplus({
  row,
  free,
  pendingFree: coming,
}: WorkerView): Assignment[] {
  const zero = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
  let remaining = addResources(free, coming);
  if (isWithin(zero, remaining)) return [];
  const surplus: Assignment[] = [];
  const byKind = [...row.assignments].sort(
    (a, b) => Number(a.kind === "service") - Number(b.kind === "service"),
  );
  for (const assignment of byKind) {
    if (isWithin(zero, remaining)) break;
    if (isEnding(assignment)) continue;
    surplus.push(assignment);
    remaining = addResources(remaining, assignment.resources);
  }
  return surplus;
}

function countTasks(workload: Service | Job | undefined): number {
  if (workload === undefined) return 0;
  return workload.kind === WorkloadKind.Service
    ? workload.replicas
    : workload.tasks;
}

function isEnding({ action }: Assignment): boolean {
  return action === Action.Evict || action === Action.Stop;
}

/** Whether a task waits or is placed, and was not ordered to stop. */
function isActive({ state, isLeaving }: Task): boolean {
  if (state === TaskState.Waiting) return true;
  return state === TaskState.Placed && !isLeaving;
}
