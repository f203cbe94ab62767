import {
  NO_RESOURCES,
  type Resources,
  subtractResources,
  sumResources,
} from "@laburnumtrack/core/resources";
import type { RowCache } from "@laburnumtrack/core/row_cache";
import {
  KeyPrefix,
  readRow,
  type TaskRow,
  TaskState,
  type WorkerRow,
} from "@laburnumtrack/core/rows";
import type { Row } from "@laburnumtrack/core/table";
import { Action } from "@laburnumtrack/core/worker";

/** A worker's row and the resources computed from it. */
export interface WorkerView {
  readonly id: string;
  readonly revision: number;
  readonly row: WorkerRow;
  /** Capacity minus the resources of all assignments. */
  readonly free: Resources;
  /** Resources that become free when ordered evictions and stops finish. */
  readonly pendingFree: Resources;
}

/** A row that holds a chunk of a workload's tasks. */
export interface ChunkView {
  readonly key: string;
  readonly revision: number;
  readonly row: TaskRow;
  /** Whether a task of the chunk waits for a worker. */
  readonly hasWaiting: boolean;
}

/** Workers and tasks of the table; each row is parsed once per change. */
export class ClusterView {
  /** Workers by id. */
  readonly workers = new Map<string, WorkerView>();
  /** Chunks of tasks by row key. */
  readonly chunks = new Map<string, ChunkView>();
  /** Names of the jobs that have finished. */
  readonly finishedJobs = new Set<string>();
  /** Number of rows seen; it grows with every change. */
  changeCount = 0;
  /** Row keys of the chunks by workload. */
  readonly #chunkKeys = new Map<string, Set<string>>();

  /** Loads the rows of a cache and subscribes to its changes. */
  follow(cache: RowCache): void {
    for (const prefix of [
      KeyPrefix.Worker,
      KeyPrefix.Task,
      KeyPrefix.Finished,
    ]) {
      for (const row of cache.list(prefix)) this.onRow(row);
    }
    cache.onRow((row) => this.onRow(row));
  }

  /** Applies a changed row; rows of other kinds only count as a change. */
  onRow(row: Row): void {
    this.changeCount += 1;
    if (row.key.startsWith(KeyPrefix.Worker)) this.#onWorker(row);
    else if (row.key.startsWith(KeyPrefix.Task)) this.#onChunk(row);
    else if (row.key.startsWith(KeyPrefix.Finished)) this.#onFinished(row);
  }

  /** The chunks of a workload in the order of their keys. */
  chunksOf(workload: string): ChunkView[] {
    const keys = [...(this.#chunkKeys.get(workload) ?? [])].sort();
    const chunks: ChunkView[] = [];
    for (const key of keys) {
      const chunk = this.chunks.get(key);
      if (chunk !== undefined) chunks.push(chunk);
    }
    return chunks;
  }

  /** Names of all workloads that have tasks. */
  get workloads(): IterableIterator<string> {
    return this.#chunkKeys.keys();
  }

  #onWorker(row: Row): void {
    const id = row.key.slice(KeyPrefix.Worker.length);
    if (row.value === "") {
      this.workers.delete(id);
      return;
    }
    this.workers.set(id, viewWorker(id, row));
  }

  #onChunk(row: Row): void {
    const workload = row.key.slice(
      KeyPrefix.Task.length,
      row.key.lastIndexOf("/"),
    );
    const keys = this.#chunkKeys.get(workload) ?? new Set<string>();
    this.#chunkKeys.set(workload, keys);
    if (row.value === "") {
      this.chunks.delete(row.key);
      keys.delete(row.key);
      if (keys.size === 0) this.#chunkKeys.delete(workload);
      return;
    }
    keys.add(row.key);
    const parsed = readRow<TaskRow>(row);
    const hasWaiting = parsed.tasks.some(
      (task) => task.state === TaskState.Waiting,
    );
    this.chunks.set(row.key, {
      key: row.key,
      revision: row.revision,
      row: parsed,
      hasWaiting,
    });
  }

  #onFinished(row: Row): void {
    const name = row.key.slice(KeyPrefix.Finished.length);
    if (row.value === "") this.finishedJobs.delete(name);
    else this.finishedJobs.add(name);
  }
}

function viewWorker(id: string, row: Row): WorkerView {
  const parsed = readRow<WorkerRow>(row);
  const used = sumResources(parsed.assignments);
  const releasing = parsed.assignments.filter(
    ({ action }) => action === Action.Evict || action === Action.Stop,
  );
  return {
    id,
    revision: row.revision,
    row: parsed,
    free: subtractResources(parsed.vm.capacity ?? NO_RESOURCES, used),
    pendingFree: sumResources(releasing),
  };
}
