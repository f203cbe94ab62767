import type { Clock } from "@laburnumtrack/core/clock";
import { addResources, isWithin } from "@laburnumtrack/core/resources";
import {
  TASKS_PER_CHUNK,
  type Task,
  type TaskRow,
  TaskState,
  taskKey,
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
  createChunk,
  finishJob,
  giveUp,
  isOver,
  markLeaving,
  removeChunk,
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
const RUNS_LIMIT = 20;
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
  #runs = new Map<string, Task>();

  constructor(options: WorkloadReconcilerOptions) {
    this.#options = options;
  }

  /** Commits the edits of one round, at most `EDITS_PER_ROUND` of them. */
  async reconcile(): Promise<void> {
    const edits: Edit[] = [
      ...this.#createMissing(),
      ...this.#endRemoved(),
      ...this.#emptyLeaving(),
      ...this.#closeJobs(),
    ];
    const { editor } = this.#options;
    const round = edits.slice(0, EDITS_PER_ROUND);
    await Promise.all(round.map((edit) => editor.edit(edit)));
    this.#indexRuns();
  }

  /** Cost of evicting a task now, as seconds of work lost. */
  evictionCostOf(task: string): number {
    const run = this.#runs.get(task);
    if (run === undefined) return 0;
    const startMs = run.events.at(-1)?.atMs ?? 0;
    const runS = (this.#options.clock.wallMs() - startMs) / 1000;
    // Each earlier eviction adds a penalty, so that others are evicted first.
    return runS + run.evictions * EVICTION_PENALTY_S;
  }

  #indexRuns(): void {
    const runs = new Map<string, Task>();
    for (const { row } of this.#options.view.chunks.values()) {
      for (const task of row.tasks) {
        if (task.state !== TaskState.Placed) continue;
        runs.set(taskName(row.workload, task.index), task);
      }
    }
    this.#runs = runs;
  }

  *#createMissing(): Generator<Edit> {
    const { version, files } = this.#options.configuration();
    const { view } = this.#options;
    for (const service of files.services.values()) {
      yield* this.#createChunks(service, service.replicas, version);
    }
    for (const job of files.jobs.values()) {
      if (view.finished.has(job.name)) continue;
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
      const key = taskKey(name, chunk);
      const first = chunk * TASKS_PER_CHUNK;
      const wanted = Math.min(TASKS_PER_CHUNK, count - first);
      const known = view.chunks.get(key);
      // When a service has more replicas again, cancelled tasks are recreated.
      const isComplete =
        known !== undefined &&
        known.row.tasks.length >= wanted &&
        (kind === WorkloadKind.Job ||
          known.row.tasks.slice(0, wanted).every(isWanted));
      if (isComplete) continue;
      yield createChunk(key, { name, chunk, first, wanted, kind, version });
    }
  }

  *#endRemoved(): Generator<Edit> {
    const { files } = this.#options.configuration();
    const { view } = this.#options;
    for (const chunk of view.chunks.values()) {
      const { workload, tasks } = chunk.row;
      const known = findWorkload(files, workload);
      const count = countTasks(known);
      const surplus = tasks.filter(
        (task) => task.index >= count && isWanted(task),
      );
      if (surplus.length > 0) yield this.#cancel(chunk, surplus);
      else if (known === undefined && tasks.every(isOver)) {
        yield removeChunk(chunk);
      }
    }
  }

  /** The edit that cancels tasks of one chunk and stops those that run. */
  #cancel(chunk: ChunkView, surplus: readonly Task[]): Edit {
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
  *#emptyLeaving(): Generator<Edit> {
    for (const worker of this.#options.view.workers.values()) {
      const { phase } = worker.row;
      const isLeaving = phase === WorkerPhase.Leaving;
      const surplus = isLeaving ? worker.row.assignments : listSurplus(worker);
      for (const assignment of surplus) {
        if (isEnding(assignment)) continue;
        yield* this.#moveAway(worker, assignment);
      }
    }
  }

  *#moveAway({ id, row }: WorkerView, assignment: Assignment): Generator<Edit> {
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
      yield markLeaving(assignment);
    } else if (nowMs - sinceMs >= DRAIN_MS) {
      // Gateways send nothing new to the replica any more.
      this.#drainingSinceMs.delete(run);
      yield evict;
    }
  }

  /** Fails tasks that have used up their retries; closes completed jobs. */
  *#closeJobs(): Generator<Edit> {
    const { view } = this.#options;
    const { files } = this.#options.configuration();
    for (const job of files.jobs.values()) {
      const chunks = view.chunksOf(job.name);
      if (chunks.length === 0) continue;
      for (const chunk of chunks) {
        const hopeless = chunk.row.tasks.filter((task) =>
          this.#isHopeless(task, job),
        );
        if (hopeless.length > 0) yield giveUp(chunk, hopeless);
      }
      const isComplete =
        chunks.length === Math.ceil(job.tasks / TASKS_PER_CHUNK);
      const tasks = chunks.flatMap(({ row }) => row.tasks);
      if (!isComplete || !tasks.every(isOver)) continue;
      yield finishJob(job.name, chunks, this.#options.clock.wallMs());
    }
  }

  /**
   * Whether a waiting task has used up its retries. Failures on workers that
   * are themselves to blame do not count, up to `RUNS_LIMIT`.
   */
  #isHopeless(task: Task, job: Job): boolean {
    if (task.state !== TaskState.Waiting || task.failures === 0) return false;
    if (task.failures >= RUNS_LIMIT) return true;
    const { health } = this.#options;
    const blameless = task.failedOn.filter((id) => health.isToBlame(id));
    return task.failures - blameless.length > job.retries;
  }
}

/**
 * Lists assignments to remove until the rest fits a capacity that was reduced,
 * batch tasks first.
 */
function listSurplus({ row, free, coming }: WorkerView): Assignment[] {
  const zero = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
  let room = addResources(free, coming);
  if (isWithin(zero, room)) return [];
  const surplus: Assignment[] = [];
  const byKind = [...row.assignments].sort(
    (a, b) => Number(a.kind === "service") - Number(b.kind === "service"),
  );
  for (const assignment of byKind) {
    if (isWithin(zero, room)) break;
    if (isEnding(assignment)) continue;
    surplus.push(assignment);
    room = addResources(room, assignment.resources);
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
function isWanted({ state, isLeaving }: Task): boolean {
  if (state === TaskState.Waiting) return true;
  return state === TaskState.Placed && !isLeaving;
}
