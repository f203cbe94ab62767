import {
  addResources,
  isWithin,
  type Resources,
  subtractResources,
} from "@laburnumtrack/core/resources";
import { type Task, TaskState } from "@laburnumtrack/core/rows";
import type { Assignment } from "@laburnumtrack/core/worker";
import {
  type FileSet,
  type Job,
  type Service,
  Urgency,
} from "@laburnumtrack/core/workload";
import type { ChunkView, ClusterView } from "./cluster_view";
import { chooseEviction, type EvictionCost } from "./eviction_choice";
import type { Interference } from "./interference";
import { orderJobs, type WaitingJob } from "./job_order";
import { findRefusal, REFUSAL_REASONS, WaitReason } from "./refusal";
import type { RunEstimates } from "./run_estimates";
import { TeamShares } from "./team_shares";
import {
  type Candidate,
  createCandidate,
  hasRoomFor,
  pickForJob,
  pickForService,
  ReplicaSpread,
} from "./worker_choice";
import type { WorkerHealth } from "./worker_health";

/** The decision to place a task on a worker. */
export interface Placement {
  readonly chunk: ChunkView;
  readonly task: Task;
  readonly workload: Service | Job;
  readonly resources: Resources;
  /** Id of the worker. */
  readonly worker: string;
}

/** The decision to evict a batch task from a worker. */
export interface Eviction {
  readonly assignment: Assignment;
  readonly worker: string;
  /** Name of the workload that needs the room. */
  readonly cause: string;
}

/** The decisions of one planning round. */
export interface Plan {
  readonly placements: readonly Placement[];
  readonly evictions: readonly Eviction[];
  /** Why tasks wait, by name of the workload. */
  readonly waitReasons: ReadonlyMap<string, WaitReason>;
}

/** Inputs of a planning round. */
export interface PlanContext {
  readonly files: FileSet;
  readonly view: ClusterView;
  readonly interference: Interference;
  readonly estimates: RunEstimates;
  readonly health: WorkerHealth;
  readonly evictionCostOf: EvictionCost;
  /** Workers with evictions under way: worker id to the workload they serve. */
  readonly reservations: ReadonlyMap<string, string>;
  /** Wall-clock time in ms; windows and retries depend on it. */
  readonly wallMs: number;
  /** Monotonic time in ms; the health of workers depends on it. */
  readonly nowMs: number;
  /** Largest number of placements in one round. */
  readonly maxPlacements: number;
}

/** Plans one round: first services, then jobs in the order of `orderJobs`. */
export function planPlacement(context: PlanContext): Plan {
  const planner = new Planner(context);
  for (const service of context.files.services.values()) {
    planner.placeService(service);
  }
  for (const { job } of planner.orderedJobs()) planner.placeJob(job);
  return planner.plan;
}

class Planner {
  readonly #context: PlanContext;
  readonly #candidates: Candidate[];
  readonly #shares: TeamShares;
  readonly #placements: Placement[] = [];
  readonly #evictions: Eviction[] = [];
  readonly #waits = new Map<string, WaitReason>();
  /** Resources that fit no worker in this round; larger ones are not tried. */
  readonly #sizesWithoutRoom: Resources[] = [];

  constructor(context: PlanContext) {
    this.#context = context;
    const { view, health, nowMs, reservations } = context;
    this.#candidates = [...view.workers.values()].map((worker) => {
      const taskAllowance = health.taskAllowanceOn(worker.id, nowMs);
      const candidate = createCandidate(worker, taskAllowance);
      candidate.reservedFor = reservations.get(worker.id) ?? "";
      return candidate;
    });
    this.#shares = new TeamShares(context.files, view.workers.values());
  }

  get plan(): Plan {
    return {
      placements: this.#placements,
      evictions: this.#evictions,
      waitReasons: this.#waits,
    };
  }

  /** Jobs that have waiting tasks, in the order to place them. */
  orderedJobs(): WaitingJob[] {
    const { files, view, wallMs, estimates } = this.#context;
    const waiting: WaitingJob[] = [];
    for (const workload of view.workloads) {
      const job = files.jobs.get(workload);
      if (job === undefined) continue;
      const chunks = view.chunksOf(workload);
      if (!chunks.some(({ hasWaiting }) => hasWaiting)) continue;
      const addedInVersion = chunks[0]?.row.since ?? 0;
      waiting.push({
        job,
        unfinishedTasks: countUnfinished(chunks),
        addedInVersion,
      });
    }
    const shares = this.#shares;
    return orderJobs(waiting, { wallMs, shares, estimates });
  }

  placeService(service: Service): void {
    const resources = service.resources;
    const { interference } = this.#context;
    let spread: ReplicaSpread | undefined;
    for (const { chunk, task } of this.#waitingTasks(service.name)) {
      if (this.#isRefused(service, resources)) return;
      spread ??= new ReplicaSpread(service.name, this.#candidates);
      const target = pickForService(service, this.#candidates, {
        resources,
        spread,
        interference,
      });
      if (target === undefined) {
        if (!this.#orderEvictions(service.name, resources)) return;
        continue;
      }
      spread.add(target);
      target.services.add(service.name);
      this.#place({ chunk, task, workload: service, resources }, target);
    }
  }

  placeJob(job: Job): void {
    const { files, interference, estimates, wallMs } = this.#context;
    if (job.startAfterMs > wallMs) {
      this.#waits.set(job.name, WaitReason.BeforeWindow);
      return;
    }
    const resources = estimates.resourcesFor(job.name, job.resources);
    for (const { chunk, task } of this.#waitingTasks(job.name)) {
      if (this.#isRefused(job, resources)) return;
      if (!this.#shares.isWithinQuota(job.team, resources)) {
        this.#waits.set(job.name, WaitReason.QuotaInUse);
        return;
      }
      const target = this.#hasNoRoomFor(resources)
        ? undefined
        : pickForJob(job, this.#candidates, {
            resources,
            files,
            interference,
            avoid: task.failedOn,
          });
      if (target === undefined) {
        this.#recordNoRoom(job, resources);
        if (job.urgency !== Urgency.Urgent) return;
        if (!this.#orderEvictions(job.name, resources)) return;
        continue;
      }
      target.jobs.add(job.name);
      this.#shares.add(job.team, resources);
      this.#place({ chunk, task, workload: job, resources }, target);
    }
  }

  *#waitingTasks(
    workload: string,
  ): Generator<{ readonly chunk: ChunkView; readonly task: Task }> {
    const { view, wallMs, maxPlacements } = this.#context;
    for (const chunk of view.chunksOf(workload)) {
      if (!chunk.hasWaiting) continue;
      for (const task of chunk.row.tasks) {
        if (task.state !== TaskState.Waiting) continue;
        if (this.#placements.length >= maxPlacements) return;
        if (task.notBeforeMs > wallMs) {
          this.#waits.set(workload, WaitReason.BackingOff);
          continue;
        }
        yield { chunk, task };
      }
    }
  }

  #place(placement: Omit<Placement, "worker">, target: Candidate): void {
    target.free = subtractResources(target.free, placement.resources);
    target.taskAllowance -= 1;
    this.#placements.push({ ...placement, worker: target.view.id });
  }

  #isRefused(workload: Service | Job, resources: Resources): boolean {
    const { files, view } = this.#context;
    const workers = view.workers.values();
    const refusal = findRefusal(workload, resources, { files, workers });
    if (refusal !== undefined) this.#waits.set(workload.name, refusal);
    return refusal !== undefined;
  }

  #hasNoRoomFor(resources: Resources): boolean {
    return this.#sizesWithoutRoom.some((size) => isWithin(size, resources));
  }

  #recordNoRoom(job: Job, resources: Resources): void {
    const hasRoom = this.#candidates.some((candidate) =>
      hasRoomFor(candidate, job.name, resources),
    );
    if (!hasRoom) this.#sizesWithoutRoom.push(resources);
    const reason = hasRoom ? WaitReason.Interference : WaitReason.NoRoom;
    this.#waits.set(job.name, reason);
  }

  /** Orders evictions for one task; false when they cannot make room. */
  #orderEvictions(workload: string, resources: Resources): boolean {
    const reserved = this.#candidates.find(
      (candidate) =>
        candidate.reservedFor === workload &&
        isWithin(
          resources,
          addResources(candidate.free, candidate.view.pendingFree),
        ),
    );
    if (reserved !== undefined) {
      // Earlier evictions already make this room: reserve it for the task.
      reserved.free = subtractResources(reserved.free, resources);
      this.#waits.set(workload, WaitReason.Evicting);
      return true;
    }
    const { files, evictionCostOf } = this.#context;
    const choice = chooseEviction(resources, this.#candidates, {
      files,
      costOf: evictionCostOf,
    });
    if (choice === undefined) {
      this.#waits.set(workload, WaitReason.NoRoom);
      return false;
    }
    const { candidate, victims } = choice;
    candidate.reservedFor = workload;
    candidate.free = subtractResources(candidate.free, resources);
    for (const assignment of victims) {
      const worker = candidate.view.id;
      this.#evictions.push({ assignment, worker, cause: workload });
    }
    this.#waits.set(workload, WaitReason.Evicting);
    return true;
  }
}

/** Whether the reason refuses the workload instead of delaying it. */
export function isRefusal(reason: WaitReason | undefined): boolean {
  return reason !== undefined && REFUSAL_REASONS.has(reason);
}

function countUnfinished(chunks: readonly ChunkView[]): number {
  let unfinished = 0;
  for (const { row } of chunks) {
    for (const { state } of row.tasks) {
      if (state === TaskState.Waiting || state === TaskState.Placed)
        unfinished += 1;
    }
  }
  return unfinished;
}
