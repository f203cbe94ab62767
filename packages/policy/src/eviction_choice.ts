import {
  addResources,
  isWithin,
  type Resources,
} from "@laburnumtrack/core/resources";
import { parseTaskName, WorkerPhase } from "@laburnumtrack/core/rows";
import { Action, type Assignment } from "@laburnumtrack/core/worker";
import {
  type FileSet,
  Urgency,
  WorkloadKind,
} from "@laburnumtrack/core/workload";
import type { Candidate } from "./worker_choice";

/** A worker and the batch tasks to evict from it to make room. */
export interface EvictionChoice {
  readonly candidate: Candidate;
  readonly victims: readonly Assignment[];
}

/** Estimates the work lost if the task stops now. */
export type EvictionCost = (assignment: Assignment) => number;

/**
 * Finds the worker on which making room for `resources` loses the least work.
 * Only tasks of jobs that are not urgent are evicted; returns undefined when
 * evicting all of them would not make enough room on any worker.
 */
export function chooseEviction(
  resources: Resources,
  candidates: readonly Candidate[],
  context: { readonly files: FileSet; readonly costOf: EvictionCost },
): EvictionChoice | undefined {
  let best: EvictionChoice | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    if (candidate.view.row.phase !== WorkerPhase.Live) continue;
    if (candidate.reservedFor !== "" || candidate.taskAllowance === 0) continue;
    const victims = chooseVictims(resources, candidate, context);
    if (victims === undefined) continue;
    let cost = 0;
    for (const victim of victims) cost += context.costOf(victim);
    if (cost >= bestCost) continue;
    best = { candidate, victims };
    bestCost = cost;
  }
  return best;
}

function chooseVictims(
  resources: Resources,
  { view, free }: Candidate,
  context: { readonly files: FileSet; readonly costOf: EvictionCost },
): Assignment[] | undefined {
  const evictable = view.row.assignments
    .filter((assignment) => isEvictable(assignment, context.files))
    .map((assignment) => ({ assignment, cost: context.costOf(assignment) }))
    .sort((a, b) => a.cost - b.cost);
  const victims: Assignment[] = [];
  let available = addResources(free, view.pendingFree);
  for (const { assignment } of evictable) {
    if (isWithin(resources, available)) break;
    victims.push(assignment);
    available = addResources(available, assignment.resources);
  }
  return isWithin(resources, available) ? victims : undefined;
}

function isEvictable(assignment: Assignment, files: FileSet): boolean {
  if (assignment.kind !== WorkloadKind.Job) return false;
  const { action, task } = assignment;
  if (action === Action.Evict || action === Action.Stop) return false;
  const job = files.jobs.get(parseTaskName(task).workload);
  return job?.urgency !== Urgency.Urgent;
}
