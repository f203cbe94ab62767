import type { Clock } from "@laburnumtrack/core/clock";

/** Time for which a submission without an outcome is remembered, in ms. */
const RETENTION_MS = 15_000;
/** Most remembered jobs; the oldest are forgotten first. */
const MAX_JOBS = 10_000;

/**
 * Jobs of which a submission to this process is open or ended without a known
 * outcome. A further submission of one of them must not be refused just because
 * the table rejects it.
 */
export class UnresolvedJobs {
  readonly #clock: Clock;
  /** Monotonic ms at which a job was last added, by id; the oldest is first. */
  readonly #addedMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether a submission of the job may have stored it, or may still do so. */
  has(id: string): boolean {
    const addedMs = this.#addedMs.get(id);
    return (
      addedMs !== undefined && addedMs + RETENTION_MS > this.#clock.nowMs()
    );
  }

  /** Adds a job before a commit of it is sent. */
  add(id: string): void {
    const nowMs = this.#clock.nowMs();
    this.#addedMs.delete(id);
    this.#addedMs.set(id, nowMs);
    for (const [oldest, addedMs] of this.#addedMs) {
      const isKept = addedMs + RETENTION_MS > nowMs;
      if (isKept && this.#addedMs.size <= MAX_JOBS) break;
      this.#addedMs.delete(oldest);
    }
  }

  /** Removes a job whose submission has a certain outcome. */
  delete(id: string): void {
    this.#addedMs.delete(id);
  }
}
