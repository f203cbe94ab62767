import {
  addResources,
  isWithin,
  NO_RESOURCES,
  type Resources,
} from "@laburnumtrack/core/resources";
import { parseTaskName } from "@laburnumtrack/core/rows";
import { type FileSet, WorkloadKind } from "@laburnumtrack/core/workload";
import type { WorkerView } from "./cluster_view";

/** Resources that the batch tasks of each team use, and its quota. */
export class TeamShares {
  readonly #files: FileSet;
  readonly #used = new Map<string, Resources>();

  constructor(files: FileSet, workers: Iterable<WorkerView>) {
    this.#files = files;
    for (const { row } of workers) {
      for (const assignment of row.assignments) {
        if (assignment.kind !== WorkloadKind.Job) continue;
        const { workload } = parseTaskName(assignment.task);
        const team = files.jobs.get(workload)?.team;
        if (team !== undefined) this.add(team, assignment.resources);
      }
    }
  }

  /** Adds resources to what a team uses. */
  add(team: string, resources: Resources): void {
    this.#used.set(team, addResources(this.usedBy(team), resources));
  }

  /** Resources that a team's batch tasks use. */
  usedBy(team: string): Resources {
    return this.#used.get(team) ?? NO_RESOURCES;
  }

  /** Whether a team stays within its quota with these resources added. */
  isWithinQuota(team: string, resources: Resources): boolean {
    const quota = this.#files.teams.get(team)?.quota ?? NO_RESOURCES;
    return isWithin(addResources(this.usedBy(team), resources), quota);
  }

  /**
   * Dominant share of a team: the largest used fraction of its quota over all
   * kinds of resource; 1 for a team without a quota.
   */
  shareOf(team: string): number {
    const quota = this.#files.teams.get(team)?.quota;
    if (quota === undefined) return 1;
    const used = this.usedBy(team);
    return Math.max(
      fractionOf(used.cpuMilli, quota.cpuMilli),
      fractionOf(used.memoryMb, quota.memoryMb),
      fractionOf(used.accelerators, quota.accelerators),
    );
  }
}

function fractionOf(used: number, quota: number): number {
  if (used === 0) return 0;
  return quota === 0 ? 1 : used / quota;
}
