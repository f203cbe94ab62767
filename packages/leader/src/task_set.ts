import type { Journal } from "@laburnumtrack/process/journal";

/** Tasks that run beside each other; a fault of one ends no other. */
export class TaskSet {
  readonly #journal: Journal;
  readonly #tasks = new Set<Promise<void>>();

  constructor(journal: Journal) {
    this.#journal = journal;
  }

  /** Keeps a task until it ends. */
  add(work: Promise<void>): void {
    const task = work.catch((error: unknown) => this.onFailure(error));
    this.#tasks.add(task);
    task.finally(() => this.#tasks.delete(task));
  }

  /** Resolves when all tasks have ended. */
  async drain(): Promise<void> {
    await Promise.allSettled(this.#tasks);
  }

  /** Writes down a fault of this program. */
  onFailure(error: unknown): void {
    this.#journal.error("A task of the leader failed.", {
      error: error instanceof Error ? error.stack : String(error),
    });
  }
}
