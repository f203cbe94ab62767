import {
  addResources,
  NO_RESOURCES,
  type Resources,
} from "@laburnumtrack/core/resources";
import type { UnplacedStep } from "@laburnumtrack/jobs/planning_aid";
import type { StepRun, Task } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import {
  isSuitable,
  type RoundOutlook,
  reservedBy,
  type WorkerOutlook,
} from "./pool_outlook";
import type { RoomHolds } from "./room_holds";
import type { Timeline } from "./timeline";

/** Options of {@linkcode Lookahead}. */
export interface LookaheadOptions {
  readonly holds: RoomHolds;
  readonly timeline: Timeline;
}

/** A planning round in which room may be reserved ahead. */
export interface LookaheadRound {
  /** Monotonic ms. */
  readonly nowMs: number;
  readonly outlook: RoundOutlook;
  /** Tasks whose held room did not become free in time. */
  readonly expired: readonly Task[];
}

/** Room is reserved at most this far ahead, in ms. */
const HORIZON_MS = 5000;
/** Held room is released this long after it was to be free, in ms. */
const MIN_MARGIN_MS = 300;
/** The same as a fraction of the expected wait. */
const MARGIN_FRACTION = 0.5;
/** A step whose reservation was wrong gets no other one for this time, in ms. */
const RETRY_PAUSE_MS = 1000;
/** Most tasks of a step for which room is reserved; a gang needs all. */
const MAX_TASKS = 16;
const MAX_GANG_TASKS = 64;
/** Most steps in a pool that have reservations: one, and a more urgent one. */
const MAX_HEADS = 2;
/** By how much longer than expected backfilled tasks may take. */
const BACKFILL_FACTOR = 1.5;
/** Time from the decision to start a run until it works, in ms. */
const START_MS = 100;

/** A place that becomes free for one task. */
interface FuturePlace {
  readonly outlook: WorkerOutlook;
  readonly roomMs: number;
}

/**
 * Reserves room for the most urgent step of a pool that does not fit, where and
 * when it will fit, so that smaller work does not delay it again and again.
 * Other work may use the room until then if it ends in time.
 */
export class Lookahead {
  readonly #options: LookaheadOptions;
  /** Steps with reservations, by pool. */
  readonly #heads = new Map<string, Set<StepRun>>();
  /** Monotonic ms until which a step gets no reservation. */
  readonly #pauses = new WeakMap<StepRun, number>();
  #round: LookaheadRound | undefined;

  constructor(options: LookaheadOptions) {
    this.#options = options;
  }

  /** Begins a planning round. */
  begin(round: LookaheadRound): void {
    this.#round = round;
    for (const { stepRun } of round.expired) {
      this.#pauses.set(stepRun, round.nowMs + RETRY_PAUSE_MS);
    }
    for (const [pool, heads] of this.#heads) {
      for (const head of heads) {
        const isPaused = (this.#pauses.get(head) ?? 0) > round.nowMs;
        // What is left of a wrong reservation holds back others for nothing.
        if (isPaused) this.#release(head);
        if (isPaused || !this.#hasHolds(head)) heads.delete(head);
      }
      if (heads.size === 0) this.#heads.delete(pool);
    }
  }

  /** Reserves room for a step that found none, if it is the first in its pool. */
  onUnplaced({ stepRun, tasks, workers }: UnplacedStep): void {
    const round = this.#round;
    if (round === undefined || !isEligible(stepRun, tasks)) return;
    const { nowMs, outlook } = round;
    if ((this.#pauses.get(stepRun) ?? 0) > nowMs) return;
    const pool = stepRun.record.queue?.pool ?? "";
    const heads = this.#heads.get(pool) ?? new Set<StepRun>();
    if (!isHead(stepRun, heads)) return;
    const { isGang } = stepRun.step;
    const held = stepRun.tasks.filter((task) => this.#isHeld(task)).length;
    const wanted = isGang ? tasks : tasks.slice(0, MAX_TASKS - held);
    const places = this.#findPlaces(stepRun, outlook.of(pool, workers), nowMs);
    const chosen: Task[] = [];
    for (const task of wanted) {
      const place = soonestOf(places.values(), task);
      if (place === undefined) break;
      const { outlook: at, roomMs } = place;
      const waitMs = roomMs - nowMs;
      const marginMs = Math.max(MIN_MARGIN_MS, waitMs * MARGIN_FRACTION);
      this.#options.holds.hold(task, at.worker, roomMs + marginMs, roomMs);
      chosen.push(task);
      const next = findPlace(stepRun, at, nowMs);
      if (next === undefined) places.delete(at);
      else places.set(at, next);
    }
    if (isGang && chosen.length < tasks.length) {
      for (const task of chosen) this.#options.holds.release(task);
      return;
    }
    if (chosen.length === 0) return;
    heads.add(stepRun);
    this.#heads.set(pool, heads);
  }

  /** Resources of a worker that are held for later than the step takes. */
  backfillOf(stepRun: StepRun, worker: WorkerRecord): Resources {
    const endMs = this.#latestEndMs(stepRun);
    if (endMs === undefined) return NO_RESOURCES;
    let sum = NO_RESOURCES;
    for (const task of worker.reservations) {
      if (this.#options.holds.startMsOf(task) < endMs) continue;
      sum = addResources(sum, reservedBy(task.stepRun.step));
    }
    return sum;
  }

  /** Whether any room in the pool of the step is held for later than it takes. */
  canBackfill(stepRun: StepRun): boolean {
    const heads = this.#heads.get(stepRun.record.queue?.pool ?? "");
    const endMs = heads && this.#latestEndMs(stepRun);
    if (heads === undefined || endMs === undefined) return false;
    return [...heads].some(({ tasks }) =>
      tasks.some((task) => this.#options.holds.startMsOf(task) >= endMs),
    );
  }

  #latestEndMs(stepRun: StepRun): number | undefined {
    const { step } = stepRun;
    const durationMs = this.#options.timeline.durationMs(stepRun);
    const hasEnd = durationMs > 0 && !step.isLongRunning && !step.isGang;
    if (this.#round === undefined || !hasEnd) return undefined;
    return this.#round.nowMs + START_MS + durationMs * BACKFILL_FACTOR;
  }

  #findPlaces(
    stepRun: StepRun,
    outlooks: readonly WorkerOutlook[],
    nowMs: number,
  ): Map<WorkerOutlook, FuturePlace> {
    const places = new Map<WorkerOutlook, FuturePlace>();
    for (const outlook of outlooks) {
      const place = findPlace(stepRun, outlook, nowMs);
      if (place !== undefined) places.set(outlook, place);
    }
    return places;
  }

  #release({ tasks }: StepRun): void {
    for (const task of tasks) {
      if (this.#isHeld(task)) this.#options.holds.release(task);
    }
  }

  #hasHolds({ tasks }: StepRun): boolean {
    return tasks.some((task) => this.#isHeld(task));
  }

  #isHeld(task: Task): boolean {
    return this.#options.holds.startMsOf(task) > Number.NEGATIVE_INFINITY;
  }
}

/** Whether the step may be the next one of its pool with reservations. */
function isHead(stepRun: StepRun, heads: ReadonlySet<StepRun>): boolean {
  if (heads.size === 0 || heads.has(stepRun)) return true;
  const priority = stepRun.record.queue?.priority ?? Number.NaN;
  return (
    heads.size < MAX_HEADS &&
    [...heads].every(({ record }) => priority < (record.queue?.priority ?? 0))
  );
}

function isEligible({ step }: StepRun, tasks: readonly Task[]): boolean {
  return (
    !step.isLongRunning &&
    !step.isFiller &&
    (!step.isGang || tasks.length <= MAX_GANG_TASKS) &&
    tasks.every(({ losses }) => losses.length === 0)
  );
}

function findPlace(
  stepRun: StepRun,
  outlook: WorkerOutlook,
  nowMs: number,
): FuturePlace | undefined {
  if (!isSuitable(stepRun, outlook.worker)) return undefined;
  const roomMs = outlook.findRoomMs(reservedBy(stepRun.step));
  if (roomMs === undefined || roomMs > nowMs + HORIZON_MS) return undefined;
  return { outlook, roomMs };
}

/** The soonest place on a worker on which the task has not failed. */
function soonestOf(
  places: Iterable<FuturePlace>,
  { failedOn }: Task,
): FuturePlace | undefined {
  let best: FuturePlace | undefined;
  for (const place of places) {
    if (failedOn.has(place.outlook.worker.id)) continue;
    if (best === undefined || place.roomMs < best.roomMs) best = place;
  }
  return best;
}
