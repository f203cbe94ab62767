import { planDepartures } from "@laburnumtrack/jobs/departures";
import { planEvacuation } from "@laburnumtrack/jobs/evacuation";
import type { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import type { PlanningState } from "@laburnumtrack/jobs/start_planner";
import type { Attempt } from "@laburnumtrack/jobs/task";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { describeAttempt } from "./attempt_text";

/** Options of a worker clearance. */
export interface WorkerClearanceOptions {
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly model: InterferenceModel;
}

/**
 * Stops runs on workers that leave, or whose failure domain is evacuated, to
 * start their tasks elsewhere.
 */
export class WorkerClearance {
  readonly #options: WorkerClearanceOptions;

  constructor(options: WorkerClearanceOptions) {
    this.#options = options;
  }

  /** Plans and requests the stops of a planning round. */
  run(state: PlanningState): void {
    const { board, model, metrics, journal } = this.#options;
    const departures = planDepartures(board, { ...state, model });
    if (departures.length > 0) {
      metrics.count("evacuations", departures.length);
      journal.info("Runs on leaving workers are stopped, to start elsewhere.", {
        runs: departures.map(describeRun),
      });
    }
    for (const attempt of departures) {
      board.stop(attempt, "its worker is leaving");
    }
    const moves = planEvacuation(board, { ...state, model });
    if (moves.length > 0) {
      metrics.count("evacuation_moves", moves.length);
      journal.info(
        "Runs in evacuated failure domains are stopped, to start elsewhere.",
        { runs: moves.map(describeRun) },
      );
    }
    for (const attempt of moves) {
      board.stop(attempt, "its failure domain is evacuated");
    }
  }
}

function describeRun(attempt: Attempt): string {
  const { id } = attempt.task.stepRun.record.job;
  return `${id}.${describeAttempt(attempt)}`;
}
