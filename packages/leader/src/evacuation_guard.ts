import type { Clock } from "@laburnumtrack/core/clock";
import type {
  DomainEvacuations,
  Evacuation,
} from "@laburnumtrack/evacuation/domain_evacuations";
import { cool, updateColdWorkers } from "@laburnumtrack/jobs/cold_ramp";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { type Attempt, AttemptPhase } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** Options of an evacuation guard. */
export interface EvacuationGuardOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  /** The queue configuration that this process uses. */
  readonly config: () => QueueConfig;
  /** Undefined if requests for evacuations are ignored. */
  readonly evacuations?: DomainEvacuations | undefined;
}

/**
 * Part of the time limit of an evacuation that is left for errors of the
 * estimates of workers' clocks, in ms.
 */
const CLOCK_MARGIN_MS = 300;
/**
 * Longest time that a start order has to reach its worker, in ms. The leader has
 * given up on a later one, and the rest of the limit is left for reads of the
 * table that lag.
 */
const MAX_START_WINDOW_MS = 2000;
/**
 * Shortest time that a start order has to reach its worker, in ms, however old
 * the known evacuations are: work must not wait for a table that is slow.
 */
const MIN_START_WINDOW_MS = 1000;

/** Keeps tasks from starting in failure domains that are evacuated. */
export class EvacuationGuard {
  readonly #options: EvacuationGuardOptions;
  #isOutdated = false;
  /** Starts that were sent and are not confirmed yet. */
  readonly #unconfirmed = new Set<Attempt>();
  /** Monotonic ms of the last confirmed start, by failure domain. */
  readonly #lastStartsMs = new Map<string, number>();

  constructor(options: EvacuationGuardOptions) {
    this.#options = options;
  }

  /** Whether the evacuations that are known allow a start on the worker. */
  mayStartOn(worker: WorkerRecord): boolean {
    const { evacuations } = this.#options;
    return !evacuations?.isEvacuated(worker.info.failureDomain);
  }

  /**
   * Time in ms within which a start order that is sent now must take effect. A
   * request that is not known here was stored after the last confirmation, so a
   * start within the limit of that one is in time for it.
   */
  get startWindowMs(): number {
    const { evacuations } = this.#options;
    if (evacuations === undefined) return Number.POSITIVE_INFINITY;
    const { limitMs, ageMs } = evacuations;
    const leftMs = limitMs - ageMs - CLOCK_MARGIN_MS;
    return Math.min(MAX_START_WINDOW_MS, Math.max(MIN_START_WINDOW_MS, leftMs));
  }

  /** Notes that a start order is being sent. */
  onSending(attempt: Attempt): void {
    if (this.#options.evacuations !== undefined) this.#unconfirmed.add(attempt);
  }

  /**
   * Time in ms from the request to the last start in the domain; undefined if
   * there was none since.
   */
  lastStartMsIn({ domain, sinceMs }: Evacuation): number | undefined {
    this.noteStarts();
    const lastMs = this.#lastStartsMs.get(domain);
    if (lastMs === undefined || lastMs <= sinceMs) return undefined;
    return lastMs - sinceMs;
  }

  /** Notes the starts that were confirmed since the last call. */
  noteStarts(): void {
    for (const attempt of this.#unconfirmed) {
      const { confirmedMs, task, worker } = attempt;
      if (confirmedMs !== undefined) {
        const { failureDomain } = worker.info;
        const lastMs = this.#lastStartsMs.get(failureDomain) ?? confirmedMs;
        this.#lastStartsMs.set(failureDomain, Math.max(lastMs, confirmedMs));
      } else if (task.attempts.includes(attempt)) continue;
      this.#unconfirmed.delete(attempt);
    }
  }

  /**
   * Marks the workers whose failure domains are evacuated, and those that are
   * cold, also after an evacuation.
   */
  markWorkers(): void {
    const { board, clock, evacuations, config } = this.#options;
    // Without evacuations, workers are used as they always were.
    if (evacuations === undefined) return;
    const nowMs = clock.nowMs();
    const { pools } = config();
    for (const worker of board.workers.values()) {
      const evacuation = evacuations.get(worker.info.failureDomain);
      const isInEvacuation = evacuation !== undefined;
      if (isInEvacuation) worker.evacuatedSinceMs = evacuation.sinceMs;
      else if (worker.isInEvacuation) {
        const idleMs = nowMs - worker.evacuatedSinceMs;
        const pool = pools.find(({ name }) => name === worker.info.pool);
        cool(worker, pool, { nowMs, idleMs });
      }
      worker.isInEvacuation = isInEvacuation;
    }
    updateColdWorkers(board, { nowMs, wallMs: clock.wallMs(), pools });
  }

  /** Stops starts in evacuated domains that are not confirmed. */
  stopOpenStarts(): void {
    const { board, evacuations, metrics, journal } = this.#options;
    if (evacuations === undefined || evacuations.list().length === 0) return;
    const stopped: Attempt[] = [];
    for (const worker of board.workers.values()) {
      if (this.mayStartOn(worker)) continue;
      for (const attempt of worker.attempts) {
        if (attempt.phase !== AttemptPhase.Starting) continue;
        stopped.push(...listTogether(attempt));
      }
    }
    if (stopped.length === 0) return;
    for (const attempt of new Set(stopped)) {
      board.stop(attempt, "its failure domain is evacuated");
    }
    metrics.count("evacuation_stopped_starts", stopped.length);
    journal.info("Starts in evacuated failure domains are stopped.", {
      starts: stopped.length,
    });
  }

  /** Logs when requests cannot be confirmed within the time limit. */
  checkAge(): void {
    const { evacuations, journal } = this.#options;
    if (evacuations === undefined) return;
    const { ageMs, limitMs } = evacuations;
    const isOutdated = ageMs > limitMs;
    if (isOutdated === this.#isOutdated) return;
    this.#isOutdated = isOutdated;
    const fields = {
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      limitMs,
    };
    if (isOutdated) {
      journal.warn(
        "Requests for evacuations could not be read within their time limit; those that are known stay in force.",
        fields,
      );
    } else journal.info("Requests for evacuations are read again.", fields);
  }
}

/** The attempt, or all of its gang: without it, the others would wait in vain. */
function listTogether(attempt: Attempt): Attempt[] {
  const { stepRun } = attempt.task;
  if (!stepRun.step.isGang) return [attempt];
  return stepRun.tasks
    .flatMap(({ attempts }) => attempts)
    .filter(
      ({ run, phase }) =>
        run === attempt.run && phase !== AttemptPhase.Stopping,
    );
}
