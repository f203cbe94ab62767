import type { Journal } from "@laburnumtrack/process/journal";

/**
 * Asynchronous tasks that run concurrently; a failed one is logged and ends no
 * other.
 */
export class BackgroundTasks {
  readonly #journal: Journal;
  readonly #tasks = new Set<Promise<void>>();

  constructor(journal: Journal) {
    this.#journal = journal;
  }

  /** Tracks a task until it settles. */
  add(work: Promise<void>): void {
    const task = work.catch((error: unknown) => this.logFailure(error));
    this.#tasks.add(task);
    task.finally(() => this.#tasks.delete(task));
  }

  /** Resolves when all tasks that run now have settled. */
  async drain(): Promise<void> {
    await Promise.allSettled(this.#tasks);
  }

  /** Logs an unexpected error. */
  logFailure(error: unknown): void {
    this.#journal.error(
      "A task of the leader failed unexpectedly; its other tasks go on.",
      {
        error: error instanceof Error ? error.stack : String(error),
      },
    );
  }
}
