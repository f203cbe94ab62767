import { type TaskRow, TaskState, taskName } from "@laburnumtrack/core/rows";
import { EventKind, type HistoryEvent } from "@laburnumtrack/standins/history";

/** Result of checking the task history of a run. */
export interface TaskCheck {
  readonly tasksDone: number;
  /** Tasks that ran in two places at once, or again after they were done. */
  readonly tasksRunTwice: number;
  /** Expected tasks that are not done at the end. */
  readonly tasksLost: number;
  /**
   * Tasks that ran again because the worker that had done them was lost or cut
   * off before it could report them as done. This is not a violation.
   */
  readonly tasksRedone: number;
  /** One text for each violation. */
  readonly violations: readonly string[];
}

/** Histories of the workers and of the table, which are checked together. */
export interface TaskHistories {
  readonly workers: readonly HistoryEvent[];
  readonly platform: readonly HistoryEvent[];
  /** Names of the tasks that must be done at the end. */
  readonly expected: readonly string[];
}

/**
 * Checks that each task runs in one place at a time and completes once, from
 * what the worker and table stand-ins recorded.
 */
export function checkTasks(histories: TaskHistories): TaskCheck {
  const check = new TaskChecker();
  for (const event of mergeByTime(histories)) check.onEvent(event);
  return check.summarize(histories.expected);
}

class TaskChecker {
  readonly #violations: string[] = [];
  readonly #running = new Map<string, HistoryEvent>();
  /** Last `TaskDone` event by task. */
  readonly #done = new Map<string, HistoryEvent>();
  /** Tasks that a row of the table records as done. */
  readonly #recordedDone = new Set<string>();
  readonly #runTwice = new Set<string>();
  readonly #redone = new Set<string>();
  /** Wall time until which a worker was unreachable; infinite while it still is. */
  readonly #unreachableUntilMs = new Map<string, number>();

  onEvent(event: HistoryEvent): void {
    switch (event.kind) {
      case EventKind.RunStarted:
        this.#onStarted(event);
        break;
      case EventKind.RunEnded:
        this.#onEnded(event);
        break;
      case EventKind.TaskDone:
        this.#done.set(event.subject, event);
        break;
      case EventKind.TaskRow:
        this.#onTaskRow(event);
        break;
      case EventKind.WorkerUnreachable:
        this.#unreachableUntilMs.set(event.place, Number.POSITIVE_INFINITY);
        break;
      case EventKind.WorkerRestarted:
      case EventKind.WorkerReachable:
        this.#unreachableUntilMs.set(event.place, event.atMs);
        break;
    }
  }

  summarize(expected: readonly string[]): TaskCheck {
    const lost = expected.filter((task) => !this.#recordedDone.has(task));
    if (lost.length > 0) this.#violations.push(`not done: ${lost.join(" ")}`);
    return {
      tasksDone: this.#recordedDone.size,
      tasksRunTwice: this.#runTwice.size,
      tasksLost: lost.length,
      tasksRedone: this.#redone.size,
      violations: this.#violations,
    };
  }

  #onStarted(event: HistoryEvent): void {
    const { subject, place, epoch } = event;
    const other = this.#running.get(subject);
    if (other !== undefined) {
      this.#addDuplicate(
        subject,
        `started on ${place} (epoch ${epoch}) while it ran on ` +
          `${other.place} (epoch ${other.epoch})`,
      );
    }
    const done = this.#done.get(subject);
    if (this.#recordedDone.has(subject)) {
      this.#addDuplicate(
        subject,
        "started again after the table recorded it as done",
      );
    } else if (done !== undefined) {
      if (this.#couldNotReport(done)) this.#redone.add(subject);
      else
        this.#addDuplicate(
          subject,
          `started again after ${done.place} completed it`,
        );
    }
    this.#running.set(subject, event);
  }

  #onEnded({ subject, place, epoch }: HistoryEvent): void {
    const current = this.#running.get(subject);
    if (current?.place === place && current.epoch === epoch) {
      this.#running.delete(subject);
    }
  }

  #onTaskRow({ detail }: HistoryEvent): void {
    if (detail === "") return;
    const { workload, tasks } = JSON.parse(detail) as TaskRow;
    for (const { index, state } of tasks) {
      const task = taskName(workload, index);
      if (state === TaskState.Done) this.#recordedDone.add(task);
      else if (this.#recordedDone.has(task)) {
        this.#addDuplicate(
          task,
          `is ${state} after the table recorded it as done`,
        );
      }
    }
  }

  /** Whether the worker was unreachable at some time after the task was done. */
  #couldNotReport({ place, atMs }: HistoryEvent): boolean {
    return (this.#unreachableUntilMs.get(place) ?? 0) >= atMs;
  }

  #addDuplicate(task: string, what: string): void {
    this.#runTwice.add(task);
    this.#violations.push(`${task} ${what}`);
  }
}

/** All events in order of time; at equal times the workers' come first. */
function mergeByTime({ workers, platform }: TaskHistories): HistoryEvent[] {
  return [...workers, ...platform].sort((a, b) => a.atMs - b.atMs);
}
