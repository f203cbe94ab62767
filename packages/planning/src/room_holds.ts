import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import { releaseRoom, reserveRoom } from "@laburnumtrack/jobs/reservations";
import {
  isWaiting,
  type PlanningState,
} from "@laburnumtrack/jobs/start_planner";
import type { Attempt, Task } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";

/** Room that is reserved for a task until it is free, or until a time. */
interface RoomHold {
  readonly worker: WorkerRecord;
  /** Monotonic ms. */
  readonly untilMs: number;
  /** Monotonic ms at which the room is expected to be free, if looked ahead. */
  readonly startMs: number;
}

/** Input of {@linkcode RoomHolds.startReady} besides the board. */
export interface ReadyOptions extends PlanningState {
  /** Most starts. */
  readonly limit: number;
}

/**
 * Room on workers that is held for waiting tasks until what runs there has
 * ended. Stops in progress count as taken, as the worker counts them too.
 */
export class RoomHolds {
  readonly #holds = new Map<Task, RoomHold>();

  /** Number of tasks for which room is held. */
  get size(): number {
    return this.#holds.size;
  }

  /** Whether room is held for the task. */
  isHeld(task: Task): boolean {
    const hold = this.#holds.get(task);
    return hold !== undefined && hold.worker === task.reservedOn;
  }

  /** Holds room for a task on a worker; what it held elsewhere is released. */
  hold(
    task: Task,
    worker: WorkerRecord,
    untilMs: number,
    startMs = Number.NEGATIVE_INFINITY,
  ): void {
    releaseRoom(task);
    reserveRoom(task, [], worker);
    this.#holds.set(task, { worker, untilMs, startMs });
  }

  /**
   * Monotonic ms at which the room held for the task is expected to be free;
   * minus infinity if others may not use it until then.
   */
  startMsOf(task: Task): number {
    const hold = this.isHeld(task) ? this.#holds.get(task) : undefined;
    return hold?.startMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Releases the room that is held for a task. */
  release(task: Task): void {
    if (this.isHeld(task)) releaseRoom(task);
    this.#holds.delete(task);
  }

  /** Releases what is of no use any more; returns the tasks that waited in vain. */
  sweep(nowMs: number): Task[] {
    const expired: Task[] = [];
    for (const [task, { worker, untilMs }] of this.#holds) {
      const isOver = task.isDone || isFinal(task.stepRun.record.phase);
      const isUsable = worker.isRegistered && !worker.info.isDraining;
      const isNeeded = !isOver && isUsable && task.attempts.length === 0;
      if (isNeeded && this.isHeld(task) && nowMs < untilMs) continue;
      if (isNeeded && nowMs >= untilMs) expired.push(task);
      this.release(task);
    }
    return expired;
  }

  /** Starts the tasks whose held room is free now, most urgent first. */
  startReady(board: JobBoard, options: ReadyOptions): Attempt[] {
    if (this.#holds.size === 0) return [];
    const { nowMs, isUsable, areRunsKnown, limit } = options;
    const starts: Attempt[] = [];
    const tasks = [...this.#holds.keys()].sort(compareUrgency);
    for (const task of tasks) {
      if (starts.length >= limit) break;
      const worker = this.#holds.get(task)?.worker;
      const isReady =
        worker !== undefined &&
        this.isHeld(task) &&
        isWaiting(task, nowMs) &&
        // What may crash its worker is placed by other rules.
        task.losses.length === 0 &&
        // The tasks of a gang start together, which the planner does.
        !task.stepRun.step.isGang &&
        areRunsKnown(task.stepRun.record) &&
        isUsable(worker) &&
        !worker.isDedicated &&
        this.#isFree(task, worker);
      if (!isReady) continue;
      this.release(task);
      starts.push(board.onSent(task, task.lastRun + 1, worker, nowMs));
      task.stepRun.idleSinceMs = undefined;
    }
    return starts;
  }

  /**
   * Whether the worker has room for the task besides its runs, and besides what
   * is reserved there for others. Room held for equally urgent tasks counts as
   * free: the first one to fit takes it.
   */
  #isFree(task: Task, worker: WorkerRecord): boolean {
    let { cpuMilli, memoryMb, accelerators } = worker;
    for (const other of worker.reservations) {
      if (other === task || !this.isHeld(other)) continue;
      if (priorityOf(other) < priorityOf(task)) continue;
      const { resources } = other.stepRun.step;
      cpuMilli -= resources.cpuMilli;
      memoryMb -= resources.memoryMb;
      accelerators -= resources.accelerators;
    }
    const { capacity } = worker.info;
    return (
      cpuMilli <= capacity.cpuMilli &&
      memoryMb <= capacity.memoryMb &&
      accelerators <= capacity.accelerators
    );
  }
}

/** Priority of a task's queue; lower values are more urgent. */
export function priorityOf({ stepRun }: Task): number {
  return stepRun.record.queue?.priority ?? Number.MAX_SAFE_INTEGER;
}

function compareUrgency(a: Task, b: Task): number {
  return priorityOf(a) - priorityOf(b);
}
