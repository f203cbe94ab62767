import type { Resources } from "@laburnumtrack/core/resources";
import type { Job } from "@laburnumtrack/core/workload";

/** Weight of the newest run time in the moving average. */
const NEWEST_RUN_WEIGHT = 0.3;
/** Factor on the highest measured use when it exceeds the declared size. */
const USAGE_MARGIN = 1.1;

interface Estimate {
  runS: number;
  cpuMilli: number;
  memoryMb: number;
}

/**
 * Run times and resource use of each job's tasks, learnt from their runs:
 * declared sizes and run times are often far off.
 */
export class RunEstimates {
  readonly #byWorkload = new Map<string, Estimate>();

  /** Records the run time of a completed task, in s. */
  onDone(workload: string, runS: number): void {
    const estimate = this.#estimateOf(workload);
    estimate.runS =
      estimate.runS === 0
        ? runS
        : estimate.runS * (1 - NEWEST_RUN_WEIGHT) + runS * NEWEST_RUN_WEIGHT;
  }

  /** Records the resources that a running task uses; the maximum is kept. */
  onUsage(workload: string, usage: Resources): void {
    const estimate = this.#estimateOf(workload);
    estimate.cpuMilli = Math.max(estimate.cpuMilli, usage.cpuMilli);
    estimate.memoryMb = Math.max(estimate.memoryMb, usage.memoryMb);
  }

  /** Expected run time of a task, in s; as declared until one has run. */
  runSecondsOf(job: Job): number {
    const runS = this.#byWorkload.get(job.name)?.runS ?? 0;
    return runS === 0 ? job.declaredRunS : runS;
  }

  /**
   * Resources to commit for a task: as declared, or the highest measured use
   * plus a margin where that use exceeds the declaration.
   */
  resourcesFor(workload: string, declared: Resources): Resources {
    const estimate = this.#byWorkload.get(workload);
    if (estimate === undefined) return declared;
    return {
      cpuMilli: withMargin(declared.cpuMilli, estimate.cpuMilli),
      memoryMb: withMargin(declared.memoryMb, estimate.memoryMb),
      accelerators: declared.accelerators,
    };
  }

  /** Drops the estimates of workloads that are no longer declared. */
  retain(isDeclared: (workload: string) => boolean): void {
    for (const workload of this.#byWorkload.keys()) {
      if (!isDeclared(workload)) this.#byWorkload.delete(workload);
    }
  }

  #estimateOf(workload: string): Estimate {
    let estimate = this.#byWorkload.get(workload);
    if (estimate === undefined) {
      estimate = { runS: 0, cpuMilli: 0, memoryMb: 0 };
      this.#byWorkload.set(workload, estimate);
    }
    return estimate;
  }
}

function withMargin(declared: number, used: number): number {
  return used <= declared ? declared : Math.ceil(used * USAGE_MARGIN);
}
