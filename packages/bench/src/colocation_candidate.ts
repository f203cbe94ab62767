import {
  isWithin,
  type Resources,
  subtractResources,
} from "@laburnumtrack/core/resources";
import { TaskState } from "@laburnumtrack/core/rows";
import { Action } from "@laburnumtrack/core/worker";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import { Interference } from "@laburnumtrack/policy/interference";
import {
  type Placement,
  planPlacement,
} from "@laburnumtrack/policy/placement_plan";
import { RunEstimates } from "@laburnumtrack/policy/run_estimates";
import { WorkerHealth } from "@laburnumtrack/policy/worker_health";
import {
  createActionEdit,
  createEvictionEdits,
  createPlacementEdits,
} from "@laburnumtrack/scheduler/placement_edits";
import type { ColocationStage, StageReport } from "./colocation_stage";

const LIMIT = 64;

/** A way to place tasks and to react to reports. */
export abstract class ColocationCandidate {
  abstract readonly name: string;
  /** Places what waits. */
  abstract place(stage: ColocationStage): void;
  /** Reacts to a report. */
  abstract onReport(stage: ColocationStage, report: StageReport): void;
}

/** Placement as it ships; what it does about interference varies. */
abstract class Planned extends ColocationCandidate {
  protected readonly interference = new Interference();
  readonly #estimates = new RunEstimates();
  readonly #health = new WorkerHealth();

  override place(stage: ColocationStage): void {
    const plan = planPlacement({
      files: stage.files,
      view: stage.view,
      interference: this.interference,
      estimates: this.#estimates,
      health: this.#health,
      evictionCostOf: () => 1,
      reservations: new Map(),
      wallMs: stage.nowS * 1000,
      nowMs: stage.nowS * 1000,
      maxPlacements: LIMIT,
    });
    const edits = [
      ...createEvictionEdits(plan.evictions),
      ...createPlacementEdits(plan.placements, stage.nowS * 1000),
    ];
    for (const edit of edits) stage.apply(edit);
  }
}

/** Learns who harms whom; throttles, then evicts, with hysteresis. */
export class ShippedColocation extends Planned {
  override readonly name = "shipped";

  override onReport(stage: ColocationStage, report: StageReport): void {
    for (const remedy of this.interference.onReport(report, stage.files)) {
      stage.apply(createActionEdit(report.worker, remedy));
    }
  }
}

/** Places as it ships and lets interference be. */
export class NoThrottling extends Planned {
  override readonly name = "no_throttling";

  override onReport(): void {}
}

/** Evicts the largest batch task whenever a report is over the target. */
export class Threshold extends Planned {
  override readonly name = "threshold";

  override onReport(stage: ColocationStage, report: StageReport): void {
    const isOver = report.runs.some(({ task, latencyMs }) => {
      const [name = ""] = task.split("/");
      const target = stage.files.services.get(name)?.latencyTargetMs;
      return target !== undefined && latencyMs > target;
    });
    if (!isOver) return;
    const [largest] = report.assignments
      .filter(({ kind }) => kind === WorkloadKind.Job)
      .sort((a, b) => b.resources.cpuMilli - a.resources.cpuMilli);
    if (largest === undefined) return;
    const { task } = largest;
    const change = { task, action: Action.Evict, cause: "threshold" };
    stage.apply(createActionEdit(report.worker, change));
  }
}

/** Takes the first worker with room, in the order of names. */
export class FirstFit extends ColocationCandidate {
  override readonly name = "first_fit";

  override place(stage: ColocationStage): void {
    const free = new Map<string, Resources>();
    for (const { id, free: room } of stage.view.workers.values()) {
      free.set(id, room);
    }
    const placements: Placement[] = [];
    const { services, jobs } = stage.files;
    for (const workload of [...services.values(), ...jobs.values()]) {
      const { resources, name } = workload;
      for (const chunk of stage.view.chunksOf(name)) {
        for (const task of chunk.row.tasks) {
          if (task.state !== TaskState.Waiting) continue;
          if (placements.length >= LIMIT) break;
          const worker = findFirst(free, resources);
          if (worker === undefined) break;
          const room = free.get(worker);
          if (room === undefined) break;
          free.set(worker, subtractResources(room, resources));
          placements.push({ chunk, task, workload, resources, worker });
        }
      }
    }
    for (const edit of createPlacementEdits(placements, stage.nowS * 1000)) {
      stage.apply(edit);
    }
  }

  override onReport(): void {}
}

function findFirst(
  free: ReadonlyMap<string, Resources>,
  resources: Resources,
): string | undefined {
  for (const [worker, room] of free) {
    if (isWithin(resources, room)) return worker;
  }
  return undefined;
}
