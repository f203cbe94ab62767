import { parseTaskName } from "@laburnumtrack/core/rows";
import {
  Action,
  type Assignment,
  type RunReport,
  RunState,
} from "@laburnumtrack/core/worker";
import {
  Favour,
  type FileSet,
  WorkloadKind,
} from "@laburnumtrack/core/workload";

/** An action on a batch task that runs beside a slow service. */
export interface Remedy {
  readonly task: string;
  readonly action: Action.Run | Action.Throttle | Action.Evict;
  /** Name of the service whose latency called for the action. */
  readonly cause: string;
}

/** The run reports of one worker and its assignments at that time. */
export interface WorkerReport {
  readonly worker: string;
  readonly assignments: readonly Assignment[];
  readonly runs: readonly RunReport[];
}

interface LatencyTrend {
  /** Consecutive reports with the latency above the target. */
  reportsOver: number;
  /** Consecutive reports with the latency well below the target. */
  reportsUnder: number;
  /** Reports to ignore until the last action shows in the latency. */
  reportsToSkip: number;
}

/** Consecutive reports above the target after which a task is throttled. */
const REPORTS_OVER_TO_THROTTLE = 2;
/** Consecutive reports above the target after which a task is evicted. */
const REPORTS_OVER_TO_EVICT = 4;
/** Consecutive reports well below the target that end throttling. */
const REPORTS_UNDER_TO_RELEASE = 5;
/** Reports after an action that lead to no other action. */
const REPORTS_TO_SETTLE = 3;
/** Weight of a new observation that raises the learnt harm. */
const LEARNING_RATE = 0.2;
/** Learnt harm above which placement separates a job and a service. */
const HARM_THRESHOLD = 0.25;
/** Ratio of latency to target above which all running tasks are throttled. */
const SEVERE_LATENCY_RATIO = 1.4;

/**
 * Learns which jobs slow down which services, and protects the services: it
 * first throttles a task, then evicts it, and waits after each action until
 * the latency can show its effect. Throttling ends only when the latency is
 * well below the target.
 */
export class Interference {
  readonly #trends = new Map<string, LatencyTrend>();
  /** Learnt harm by job and service, from 0 to 1; see `pairKey`. */
  readonly #harm = new Map<string, number>();

  /** Processes the reports of a worker and returns the actions to take. */
  onReport(report: WorkerReport, files: FileSet): Remedy[] {
    const batch = report.assignments.filter(
      ({ kind }) => kind === WorkloadKind.Job,
    );
    const worst = findWorstService(report, files);
    if (worst === undefined) return [];
    this.#learn(batch, worst);
    const trend = this.#trendOf(report.worker);
    // Where latency is favoured, throttling ends further below the target.
    const releaseRatio = files.favour === Favour.Latency ? 0.7 : 0.85;
    if (worst.ratio > 1) {
      trend.reportsOver += 1;
      trend.reportsUnder = 0;
    } else {
      trend.reportsOver = 0;
      trend.reportsUnder =
        worst.ratio < releaseRatio ? trend.reportsUnder + 1 : 0;
    }
    if (trend.reportsToSkip > 0) {
      trend.reportsToSkip -= 1;
      return [];
    }
    const remedies = this.#decide(trend, batch, worst);
    if (remedies.length > 0) trend.reportsToSkip = REPORTS_TO_SETTLE;
    return remedies;
  }

  /**
   * Learnt harm of a job to a service: the share of the latency target by
   * which the job raises the latency above it, from 0 to 1.
   */
  harmOf(job: string, service: string): number {
    return this.#harm.get(pairKey(job, service)) ?? 0;
  }

  /** Whether placement keeps the job off workers that run the service. */
  isHarmful(job: string, service: string): boolean {
    return this.harmOf(job, service) > HARM_THRESHOLD;
  }

  /** Drops the latency trend of a worker that no longer exists. */
  forget(worker: string): void {
    this.#trends.delete(worker);
  }

  #decide(
    trend: LatencyTrend,
    batch: readonly Assignment[],
    { service: cause, ratio }: WorstService,
  ): Remedy[] {
    const running = batch.filter(({ action }) => action === Action.Run);
    const throttled = batch.filter(({ action }) => isThrottled(action));
    if (trend.reportsOver >= REPORTS_OVER_TO_EVICT) {
      const target = this.#pickMostHarmful(throttled, cause);
      if (target !== undefined) {
        trend.reportsOver = 0;
        return [{ task: target.task, action: Action.Evict, cause }];
      }
    }
    if (trend.reportsOver >= REPORTS_OVER_TO_THROTTLE) {
      const target = this.#pickMostHarmful(running, cause);
      const targets = ratio > SEVERE_LATENCY_RATIO ? running : [target];
      return targets.flatMap((assignment) =>
        assignment === undefined
          ? []
          : [{ task: assignment.task, action: Action.Throttle, cause }],
      );
    }
    if (trend.reportsUnder < REPORTS_UNDER_TO_RELEASE) return [];
    const target = this.#pickLeastHarmful(throttled, cause);
    if (target === undefined) return [];
    trend.reportsUnder = 0;
    return [{ task: target.task, action: Action.Run, cause }];
  }

  #learn(batch: readonly Assignment[], worst: WorstService): void {
    // A throttled task does not show its harm: only unthrottled ones count.
    const excess = Math.max(0, Math.min(2, worst.ratio) - 1);
    const workloads = new Set<string>();
    for (const { task, action } of batch) {
      if (action === Action.Run) workloads.add(parseTaskName(task).workload);
    }
    for (const name of workloads) {
      const key = pairKey(name, worst.service);
      const learnt = this.#harm.get(key) ?? 0;
      // All jobs that ran share the excess: over many reports, the share of a
      // job that was there by chance averages out.
      const harm = excess / workloads.size;
      const rate = harm > learnt ? LEARNING_RATE : LEARNING_RATE / 4;
      this.#harm.set(key, learnt + (harm - learnt) * rate);
    }
  }

  #pickMostHarmful(
    batch: readonly Assignment[],
    service: string,
  ): Assignment | undefined {
    return maxBy(batch, (assignment) => this.#harmScoreOf(assignment, service));
  }

  #pickLeastHarmful(
    batch: readonly Assignment[],
    service: string,
  ): Assignment | undefined {
    return maxBy(
      batch,
      (assignment) => -this.#harmScoreOf(assignment, service),
    );
  }

  #harmScoreOf(assignment: Assignment, service: string): number {
    const { workload } = parseTaskName(assignment.task);
    // CPU size breaks the tie between jobs without learnt harm.
    const size = assignment.resources.cpuMilli / 1_000_000;
    return this.harmOf(workload, service) + size;
  }

  #trendOf(worker: string): LatencyTrend {
    let trend = this.#trends.get(worker);
    if (trend === undefined) {
      trend = { reportsOver: 0, reportsUnder: 0, reportsToSkip: 0 };
      this.#trends.set(worker, trend);
    }
    return trend;
  }
}

interface WorstService {
  readonly service: string;
  /** Measured latency divided by the target. */
  readonly ratio: number;
}

function findWorstService(
  { runs }: WorkerReport,
  files: FileSet,
): WorstService | undefined {
  let worst: WorstService | undefined;
  for (const run of runs) {
    if (run.state !== RunState.Running || run.latencyMs <= 0) continue;
    const { workload } = parseTaskName(run.task);
    const service = files.services.get(workload);
    if (service === undefined) continue;
    const ratio = run.latencyMs / service.latencyTargetMs;
    if (worst === undefined || ratio > worst.ratio) {
      worst = { service: workload, ratio };
    }
  }
  return worst;
}

function isThrottled(action: Action): boolean {
  return action === Action.Throttle;
}

function pairKey(job: string, service: string): string {
  return `${job}\n${service}`;
}

function maxBy<T>(
  items: readonly T[],
  scoreOf: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const item of items) {
    const score = scoreOf(item);
    if (score <= bestScore) continue;
    best = item;
    bestScore = score;
  }
  return best;
}
