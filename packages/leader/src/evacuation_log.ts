import type { Clock } from "@laburnumtrack/core/clock";
import type {
  DomainEvacuations,
  Evacuation,
} from "@laburnumtrack/evacuation/domain_evacuations";
import {
  type EvacuationProgress,
  summarizeEvacuation,
} from "@laburnumtrack/jobs/evacuation_progress";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import type { PlanningState } from "@laburnumtrack/jobs/start_planner";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import type { EvacuationGuard } from "./evacuation_guard";

/** Options of an evacuation log. */
export interface EvacuationLogOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly guard: EvacuationGuard;
  /** State of the planner, on which the reasons depend. */
  readonly planning: () => PlanningState;
  /** Undefined if requests for evacuations are ignored. */
  readonly evacuations?: DomainEvacuations | undefined;
}

/** An evacuation, as operators see it. */
export interface EvacuationStatus extends Partial<EvacuationProgress> {
  readonly domain: string;
  /** Revision of the request. */
  readonly revision: number;
  /** Unix ms at which this process learnt of the request. */
  readonly sinceMs: number;
  /**
   * Time in ms from then to the last start in the domain that is known; absent
   * if there was none.
   */
  readonly lastStartMs?: number | undefined;
}

/** Interval between two looks at the evacuations, in ms. */
const INTERVAL_MS = 1000;
/** Interval between two log lines on the progress of an evacuation, in ms. */
const LOG_INTERVAL_MS = 5000;
/** Time after the limit at which the last start is taken as known, in ms. */
const SETTLE_MS = 2000;

/** What was logged of an evacuation. */
interface LogState {
  loggedMs: number;
  isEmptyLogged: boolean;
  isLastStartRecorded: boolean;
}

/** Logs what evacuations have left to do, and records their last starts. */
export class EvacuationLog {
  readonly #options: EvacuationLogOptions;
  /** By domain and the time at which its evacuation became known. */
  #states = new Map<string, LogState>();

  constructor(options: EvacuationLogOptions) {
    this.#options = options;
  }

  /** Logs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, evacuations } = this.#options;
    if (evacuations === undefined) return;
    while (!signal.aborted) {
      await clock.sleep(INTERVAL_MS, signal);
      if (!signal.aborted) this.#logOnce(evacuations);
    }
  }

  /** All evacuations, with what is left in their domains. */
  describe(): EvacuationStatus[] {
    const { evacuations, board, planning, guard, clock } = this.#options;
    if (evacuations === undefined) return [];
    const state = planning();
    return evacuations.list().map((evacuation) => ({
      ...describeEvacuation(evacuation, clock),
      lastStartMs: guard.lastStartMsIn(evacuation),
      ...summarizeEvacuation(board, evacuation.domain, state),
    }));
  }

  #logOnce(evacuations: DomainEvacuations): void {
    const { clock } = this.#options;
    const nowMs = clock.nowMs();
    const states = new Map<string, LogState>();
    for (const evacuation of evacuations.list()) {
      const key = `${evacuation.domain}/${evacuation.sinceMs}`;
      const state = this.#states.get(key) ?? {
        loggedMs: Number.NEGATIVE_INFINITY,
        isEmptyLogged: false,
        isLastStartRecorded: false,
      };
      states.set(key, state);
      this.#recordLastStart(evacuation, state, evacuations.limitMs);
      if (nowMs - state.loggedMs >= LOG_INTERVAL_MS) {
        this.#logProgress(evacuation, state, nowMs);
      }
    }
    this.#states = states;
  }

  #recordLastStart(
    evacuation: Evacuation,
    state: LogState,
    limitMs: number,
  ): void {
    const { clock, metrics, guard, journal } = this.#options;
    const passedMs = clock.nowMs() - evacuation.sinceMs;
    if (state.isLastStartRecorded || passedMs < limitMs + SETTLE_MS) return;
    state.isLastStartRecorded = true;
    const lastStartMs = guard.lastStartMsIn(evacuation) ?? 0;
    metrics.recordMs("evacuation_last_start", lastStartMs);
    if (lastStartMs <= limitMs) return;
    metrics.count("evacuation_late_starts");
    journal.warn("A task started in an evacuated domain after the limit.", {
      domain: evacuation.domain,
      lastStartMs: Math.round(lastStartMs),
      limitMs,
    });
  }

  #logProgress(evacuation: Evacuation, state: LogState, nowMs: number): void {
    const { board, planning, journal } = this.#options;
    const { domain, sinceMs } = evacuation;
    const progress = summarizeEvacuation(board, domain, planning());
    const isEmpty = progress.runs === 0;
    if (isEmpty && state.isEmptyLogged) return;
    state.loggedMs = nowMs;
    state.isEmptyLogged = isEmpty;
    journal.info(
      isEmpty
        ? "An evacuated failure domain has no runs left."
        : "An evacuated failure domain still has runs.",
      { domain, lastsMs: Math.round(nowMs - sinceMs), ...progress },
    );
  }
}

/** An evacuation as a process sees it that does not lead. */
export function describeEvacuation(
  { domain, revision, sinceMs }: Evacuation,
  clock: Clock,
): EvacuationStatus {
  const passedMs = clock.nowMs() - sinceMs;
  return {
    domain,
    revision,
    sinceMs: Math.round(clock.wallMs() - passedMs),
  };
}
