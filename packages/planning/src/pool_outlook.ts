import {
  addResources,
  isWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "@laburnumtrack/core/resources";
import type { Step } from "@laburnumtrack/jobs/job";
import type { Attempt, StepRun } from "@laburnumtrack/jobs/task";
import { countOnWorker } from "@laburnumtrack/jobs/worker_fit";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Timeline } from "./timeline";

/** A run on a worker and when it ends at the latest by itself. */
export interface OutlookRun {
  readonly attempt: Attempt;
  /** Monotonic ms; infinite if unknown. */
  readonly expectedMs: number;
  readonly latestMs: number;
}

/** What becomes free on a worker, as seen in one planning round. */
export class WorkerOutlook {
  readonly worker: WorkerRecord;
  /** Runs that were chosen to be stopped in this round. */
  readonly claimed = new Set<Attempt>();
  readonly #timeline: Timeline;
  readonly #nowMs: number;
  #runs: readonly OutlookRun[] | undefined;

  constructor(worker: WorkerRecord, timeline: Timeline, nowMs: number) {
    this.worker = worker;
    this.#timeline = timeline;
    this.#nowMs = nowMs;
  }

  /** In order of their latest ends; starts of this round may be missing. */
  get runs(): readonly OutlookRun[] {
    this.#runs ??= [...this.worker.attempts]
      .map((attempt) => {
        const end = this.#timeline.expectedEnd(attempt, this.#nowMs);
        const { expectedMs, latestMs } = end;
        return { attempt, expectedMs, latestMs };
      })
      .sort((a, b) => a.latestMs - b.latestMs);
    return this.#runs;
  }

  /** Free resources now; negative where reservations wait for runs to end. */
  get free(): Resources {
    const { worker } = this;
    let free = subtractResources(worker.info.capacity, {
      cpuMilli: worker.cpuMilli,
      memoryMb: worker.memoryMb,
      accelerators: worker.accelerators,
    });
    for (const { task } of this.claimed) {
      free = addResources(free, reservedBy(task.stepRun.step));
    }
    return free;
  }

  /** Resources that are free by the given time, without the claimed runs. */
  freeBy(atMs: number): Resources {
    let { free } = this;
    for (const { attempt, latestMs } of this.runs) {
      if (latestMs > atMs) break;
      if (this.claimed.has(attempt)) continue;
      free = addResources(free, reservedBy(attempt.task.stepRun.step));
    }
    return free;
  }

  /**
   * Monotonic ms from which there is room, when nothing is stopped and nothing
   * else starts; undefined if the ends of too many runs are unknown.
   */
  findRoomMs(needs: Resources): number | undefined {
    const { free } = this;
    // Plain numbers: this is computed for each worker and step in a round.
    let lackMilli = needs.cpuMilli - free.cpuMilli;
    let lackMb = needs.memoryMb - free.memoryMb;
    let lackCount = needs.accelerators - free.accelerators;
    if (lackMilli <= 0 && lackMb <= 0 && lackCount <= 0) return this.#nowMs;
    for (const { attempt, latestMs } of this.runs) {
      if (!Number.isFinite(latestMs)) return undefined;
      if (this.claimed.has(attempt)) continue;
      const { resources, isFiller } = attempt.task.stepRun.step;
      if (!isFiller) lackMilli -= resources.cpuMilli;
      lackMb -= resources.memoryMb;
      lackCount -= resources.accelerators;
      if (lackMilli <= 0 && lackMb <= 0 && lackCount <= 0) return latestMs;
    }
    return undefined;
  }
}

/** Resources that a task of the step reserves; fillers use spare CPU only. */
export function reservedBy({ resources, isFiller }: Step): Resources {
  return isFiller ? { ...resources, cpuMilli: 0 } : resources;
}

/** Whether a worker without other runs may run tasks of the step. */
export function isSuitable(stepRun: StepRun, worker: WorkerRecord): boolean {
  const { step } = stepRun;
  const { capacity, labels } = worker.info;
  const hasLabel =
    step.requiredLabel === "" || labels.includes(step.requiredLabel);
  const isBelowLimit =
    step.perWorkerLimit === 0 ||
    countOnWorker(stepRun, worker) < step.perWorkerLimit;
  return (
    hasLabel &&
    isBelowLimit &&
    !worker.isDedicated &&
    !worker.isSilent &&
    isWithin(reservedBy(step), capacity) &&
    isWithin(NO_RESOURCES, capacity)
  );
}

/** The outlooks of the workers of each pool, built once in a round if needed. */
export class RoundOutlook {
  readonly #timeline: Timeline;
  readonly #nowMs: number;
  readonly #pools = new Map<string, readonly WorkerOutlook[]>();

  constructor(timeline: Timeline, nowMs: number) {
    this.#timeline = timeline;
    this.#nowMs = nowMs;
  }

  /** Outlooks of the usable workers of a pool. */
  of(pool: string, workers: readonly WorkerRecord[]): readonly WorkerOutlook[] {
    const known = this.#pools.get(pool);
    if (known !== undefined) return known;
    const outlooks = workers.map(
      (worker) => new WorkerOutlook(worker, this.#timeline, this.#nowMs),
    );
    this.#pools.set(pool, outlooks);
    return outlooks;
  }
}
