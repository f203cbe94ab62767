import { type Job, Urgency } from "@laburnumtrack/core/workload";
import type { RunEstimates } from "./run_estimates";
import type { TeamShares } from "./team_shares";

/** A job that has waiting tasks. */
export interface WaitingJob {
  readonly job: Job;
  /** Number of tasks that wait or run. */
  readonly unfinishedTasks: number;
  /** Configuration version that added the job; earlier ones come first. */
  readonly addedInVersion: number;
}

/** Inputs of {@linkcode orderJobs} besides the jobs. */
export interface OrderContext {
  /** Wall-clock time in ms. */
  readonly wallMs: number;
  readonly shares: TeamShares;
  readonly estimates: RunEstimates;
}

/**
 * A job with less slack than this many expected run times is at risk of
 * missing its window.
 */
const MIN_SLACK_RUNS = 2;
const MS_PER_S = 1000;

/**
 * Sorts waiting jobs: first urgent ones, then those at risk of missing their
 * window, by slack. Within a class the team that uses the smallest share of
 * its quota comes first, then the job that was added first.
 */
export function orderJobs(
  jobs: readonly WaitingJob[],
  context: OrderContext,
): WaitingJob[] {
  const ranked = jobs.map((waiting) => ({
    waiting,
    priorityClass: priorityClassOf(waiting, context),
    slackMs: slackMsOf(waiting, context),
    share: context.shares.shareOf(waiting.job.team),
  }));
  ranked.sort(
    (a, b) =>
      a.priorityClass - b.priorityClass ||
      (a.priorityClass === PriorityClass.Window ? a.slackMs - b.slackMs : 0) ||
      a.share - b.share ||
      a.waiting.addedInVersion - b.waiting.addedInVersion ||
      (a.waiting.job.name < b.waiting.job.name ? -1 : 1),
  );
  return ranked.map(({ waiting }) => waiting);
}

enum PriorityClass {
  /** Declared as urgent. */
  Urgent = 0,
  /** At risk of missing the end of its window. */
  Window = 1,
  Normal = 2,
}

function priorityClassOf(
  waiting: WaitingJob,
  context: OrderContext,
): PriorityClass {
  if (waiting.job.urgency === Urgency.Urgent) return PriorityClass.Urgent;
  const runMs = context.estimates.runSecondsOf(waiting.job) * MS_PER_S;
  const isAtRisk = slackMsOf(waiting, context) < MIN_SLACK_RUNS * runMs;
  return isAtRisk ? PriorityClass.Window : PriorityClass.Normal;
}

/**
 * Time left in the window after a task that starts now has run, in ms;
 * infinite for a job without an end of its window.
 */
function slackMsOf({ job }: WaitingJob, context: OrderContext): number {
  if (job.finishByMs === 0) return Number.POSITIVE_INFINITY;
  const runMs = context.estimates.runSecondsOf(job) * MS_PER_S;
  return job.finishByMs - context.wallMs - runMs;
}
