import {
  addResources,
  isWithin,
  type Resources,
  subtractResources,
} from "@laburnumtrack/core/resources";
import { earliestStartMsOf, remainingPathMs } from "@laburnumtrack/jobs/job";
import { objectiveMs } from "@laburnumtrack/jobs/job_order";
import { isFinal } from "@laburnumtrack/jobs/job_state";
import type { UnplacedStep } from "@laburnumtrack/jobs/planning_aid";
import type {
  Attempt,
  JobRecord,
  StepRun,
  Task,
} from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import {
  isSuitable,
  type OutlookRun,
  type RoundOutlook,
  reservedBy,
  type WorkerOutlook,
} from "./pool_outlook";
import { priorityOf, type RoomHolds } from "./room_holds";
import { StopBudget } from "./stop_budget";
import { StopReason, type StopRules } from "./stop_rules";
import { USUAL_STOP_MS } from "./timeline";

/** Options of {@linkcode Preemption}. */
export interface PreemptionOptions {
  readonly holds: RoomHolds;
  readonly rules: StopRules;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
}

/** A planning round in which runs may be preempted. */
export interface PreemptionRound {
  /** Monotonic ms. */
  readonly nowMs: number;
  /** Unix ms. */
  readonly wallMs: number;
  readonly outlook: RoundOutlook;
  /** Whether the board knows all runs of the job. */
  readonly areRunsKnown: (record: JobRecord) => boolean;
}

/** Runs to stop so that the tasks of a more urgent step can start. */
export interface Preempting {
  readonly stepRun: StepRun;
  /** Number of tasks for which room is held. */
  readonly places: number;
  readonly victims: readonly Attempt[];
  /** Time in ms that the step can wait without missing its objective. */
  readonly slackMs: number;
}

/** A run that ends by itself within this time is not stopped, in ms: a stop may
 * take 400 ms, and the start that follows about 100 ms. */
const MIN_LEFT_MS = 500;
/** Fraction of a pool's CPU whose runs may be stopped in each second. */
const MAX_STOPPED_FRACTION_PER_S = 0.1;
/** Fraction of its slack that a step waits for runs that end by themselves. */
const WAIT_FRACTION = 0.5;
/** Longest wait for runs that end by themselves, in ms. */
const MAX_WAIT_MS = 3000;
/** How much later than expected the runs on held room may end, in ms. */
const WAIT_MARGIN_MS = 300;
/** Time for which room is held while runs are stopped, in ms: a stop takes up to
 * 400 ms and its report up to 350 ms; some stops are sent again. */
const STOP_HOLD_MS = 1500;
/** Most tasks of a step for which room is made. */
const MAX_TASKS = 128;
/** Most steps for which room is sought in a round, to bound its time. */
const MAX_STEPS_PER_ROUND = 24;
/** How long it is remembered which priorities run in a pool, in ms. */
const PRIORITY_AGE_MS = 100;
/** Time for which steps are not tried that need as much as a failed one, in ms. */
const RETRY_INTERVAL_MS = 40;

/** A place for one task: a worker, and the runs to stop there. */
interface Place {
  readonly outlook: WorkerOutlook;
  readonly victims: readonly OutlookRun[];
  /** Monotonic ms until which the room is held. */
  readonly holdUntilMs: number;
  /** Lower is better. */
  readonly cost: number;
}

/** Whether less urgent work runs in a pool. */
interface PoolPriorities {
  /** Priority of the least urgent run. */
  readonly least: number;
  readonly capacityMilli: number;
  readonly atMs: number;
}

/** Stops less urgent runs so that urgent steps meet their objectives. */
export class Preemption {
  readonly #options: PreemptionOptions;
  readonly #budget = new StopBudget(MAX_STOPPED_FRACTION_PER_S);
  readonly #priorities = new Map<string, PoolPriorities>();
  /** Tasks that were stopped and have not resumed: number of the stopped run. */
  readonly #stopped = new Map<Task, number>();
  #resuming = new Set<JobRecord>();
  #round: PreemptionRound | undefined;
  #plans: Preempting[] = [];
  #triedSteps = 0;
  /** Resources for which no room could be made lately, by pool. */
  readonly #failed = new Map<string, FailedSearch[]>();

  constructor(options: PreemptionOptions) {
    this.#options = options;
  }

  /** Begins a planning round. */
  begin(round: PreemptionRound): void {
    this.#round = round;
    this.#plans = [];
    this.#triedSteps = 0;
    this.#resuming = new Set();
    for (const [task, run] of this.#stopped) {
      const isOver =
        task.isDone ||
        isFinal(task.stepRun.record.phase) ||
        task.attempts.some((attempt) => attempt.run > run);
      if (isOver) this.#stopped.delete(task);
      else this.#resuming.add(task.stepRun.record);
    }
  }

  /** Whether a task of the job was preempted and has not resumed. */
  isResuming(record: JobRecord): boolean {
    return this.#resuming.has(record);
  }

  /** Ends the round; returns which runs are to be stopped, and for what. */
  end(): Preempting[] {
    this.#round = undefined;
    return this.#plans;
  }

  /**
   * Holds room for all tasks of a step that found none, if it misses its
   * objective otherwise and the stops that this takes are allowed.
   */
  onUnplaced({ stepRun, tasks, workers }: UnplacedStep): boolean {
    const round = this.#round;
    if (round === undefined || !isEligible(stepRun, tasks)) return false;
    const poolName = stepRun.record.queue?.pool ?? "";
    const urgency = stepRun.record.queue?.priority ?? Number.NaN;
    const pool = this.#prioritiesOf(poolName, workers, round.nowMs);
    if (!(urgency < pool.least)) return false;
    const slackMs = slackOf(stepRun, round.wallMs);
    if (slackMs < 0 || this.#triedSteps >= MAX_STEPS_PER_ROUND) return false;
    const needs = reservedBy(stepRun.step);
    const failed = (this.#failed.get(poolName) ?? []).filter(
      ({ atMs }) => round.nowMs - atMs < RETRY_INTERVAL_MS,
    );
    const isHopeless = failed.some((one) => isWithin(one.needs, needs));
    if (isHopeless) return false;
    this.#triedSteps += 1;
    const { nowMs, outlook } = round;
    const leftMilli = this.#budget.leftMilli(
      poolName,
      pool.capacityMilli,
      nowMs,
    );
    const search = new PlaceSearch(stepRun, {
      ...round,
      ...this.#options,
      outlooks: outlook.of(poolName, workers),
      slackMs,
      leftMilli,
    });
    if (!search.holdAll(tasks)) {
      const isUnlimited =
        stepRun.step.perWorkerLimit === 0 && stepRun.step.requiredLabel === "";
      if (isUnlimited) {
        this.#failed.set(poolName, [...failed, { needs, atMs: nowMs }]);
      }
      return false;
    }
    const { victims } = search;
    this.#budget.spend(poolName, search.stoppedMilli);
    for (const victim of victims) {
      this.#options.rules.onStopped(victim, nowMs);
      this.#stopped.set(victim.task, victim.run);
    }
    this.#plans.push({ stepRun, places: tasks.length, victims, slackMs });
    return true;
  }

  #prioritiesOf(
    name: string,
    workers: readonly WorkerRecord[],
    nowMs: number,
  ): PoolPriorities {
    const known = this.#priorities.get(name);
    if (known !== undefined && nowMs - known.atMs < PRIORITY_AGE_MS) {
      return known;
    }
    let least = Number.NEGATIVE_INFINITY;
    let capacityMilli = 0;
    for (const { attempts, info } of workers) {
      capacityMilli += info.capacity.cpuMilli;
      for (const { task } of attempts) {
        if (task.stepRun.record.queue === undefined) continue;
        least = Math.max(least, priorityOf(task));
      }
    }
    const priorities = { least, capacityMilli, atMs: nowMs };
    this.#priorities.set(name, priorities);
    return priorities;
  }
}

/** A search for room that found none. */
interface FailedSearch {
  readonly needs: Resources;
  /** Monotonic ms. */
  readonly atMs: number;
}

interface SearchOptions extends PreemptionRound, PreemptionOptions {
  readonly outlooks: readonly WorkerOutlook[];
  readonly slackMs: number;
  /** CPU whose runs may be stopped, in 1/1000 of a core. */
  readonly leftMilli: number;
}

/** Seeks places for the tasks of one step, with as little lost work as possible. */
class PlaceSearch {
  readonly #stepRun: StepRun;
  readonly #options: SearchOptions;
  readonly #needs: Resources;
  readonly #chosen: { task: Task; place: Place }[] = [];
  /** CPU of the runs that are to be stopped, in 1/1000 of a core. */
  stoppedMilli = 0;

  constructor(stepRun: StepRun, options: SearchOptions) {
    this.#stepRun = stepRun;
    this.#options = options;
    this.#needs = reservedBy(stepRun.step);
  }

  /** The runs to be stopped. */
  get victims(): Attempt[] {
    return this.#chosen.flatMap(({ place }) =>
      place.victims.map(({ attempt }) => attempt),
    );
  }

  /** Holds room for all the tasks, or for none; false for none. */
  holdAll(tasks: readonly Task[]): boolean {
    const { outlooks, holds } = this.#options;
    const places = new Map<WorkerOutlook, Place>();
    for (const outlook of outlooks) {
      const place = this.#findPlace(outlook);
      if (place !== undefined) places.set(outlook, place);
    }
    for (const task of tasks) {
      const place = cheapestOf(places.values(), task);
      if (place === undefined || this.stoppedMilli > this.#options.leftMilli) {
        this.#undo();
        return false;
      }
      const { outlook, victims, holdUntilMs } = place;
      for (const { attempt } of victims) {
        outlook.claimed.add(attempt);
        this.stoppedMilli += attempt.task.stepRun.step.resources.cpuMilli;
      }
      holds.hold(task, outlook.worker, holdUntilMs);
      this.#chosen.push({ task, place });
      const next = this.#findPlace(outlook);
      if (next === undefined) places.delete(outlook);
      else places.set(outlook, next);
    }
    if (this.stoppedMilli <= this.#options.leftMilli) return true;
    this.#undo();
    return false;
  }

  #undo(): void {
    for (const { task, place } of this.#chosen) {
      this.#options.holds.release(task);
      for (const { attempt } of place.victims) {
        place.outlook.claimed.delete(attempt);
      }
    }
    this.#chosen.length = 0;
  }

  #findPlace(outlook: WorkerOutlook): Place | undefined {
    const { nowMs, slackMs } = this.#options;
    if (!isSuitable(this.#stepRun, outlook.worker)) return undefined;
    const roomMs = outlook.findRoomMs(this.#needs);
    const limitMs = Math.min(MAX_WAIT_MS, slackMs * WAIT_FRACTION);
    if (roomMs !== undefined && roomMs - nowMs <= limitMs) {
      const holdUntilMs = roomMs + WAIT_MARGIN_MS;
      return { outlook, victims: [], holdUntilMs, cost: roomMs - nowMs };
    }
    return this.#findVictims(outlook);
  }

  /** The runs on a worker whose stop loses least and makes enough room. */
  #findVictims(outlook: WorkerOutlook): Place | undefined {
    const { nowMs } = this.#options;
    let free = outlook.freeBy(nowMs + MIN_LEFT_MS);
    const candidates = outlook.runs
      .filter((run) => this.#isVictim(run, outlook))
      .map((run) => ({ run, cost: this.#costOf(run) }))
      .sort((a, b) => a.cost - b.cost);
    const victims: OutlookRun[] = [];
    let cost = MAX_WAIT_MS;
    for (const candidate of candidates) {
      if (isWithin(this.#needs, free)) break;
      const { resources } = candidate.run.attempt.task.stepRun.step;
      free = addResources(free, resources);
      victims.push(candidate.run);
      cost += candidate.cost;
    }
    if (!isWithin(this.#needs, free)) return undefined;
    // A larger run that was added last may make earlier ones unnecessary.
    for (const victim of [...victims]) {
      const { resources } = victim.attempt.task.stepRun.step;
      const without = subtractResources(free, resources);
      if (!isWithin(this.#needs, without)) continue;
      free = without;
      victims.splice(victims.indexOf(victim), 1);
      cost -= this.#costOf(victim);
    }
    return { outlook, victims, holdUntilMs: nowMs + STOP_HOLD_MS, cost };
  }

  #isVictim({ attempt, expectedMs }: OutlookRun, outlook: WorkerOutlook) {
    const { nowMs, rules, areRunsKnown } = this.#options;
    const { task } = attempt;
    const { step, record } = task.stepRun;
    return (
      record.queue !== undefined &&
      priorityOf(task) > (this.#stepRun.record.queue?.priority ?? 0) &&
      !step.isFiller &&
      expectedMs > nowMs + MIN_LEFT_MS &&
      !outlook.claimed.has(attempt) &&
      areRunsKnown(record) &&
      rules.mayStop(attempt, StopReason.Preempted, nowMs)
    );
  }

  /** Work that a stop loses, in core-ms: more of a run that has come far. */
  #costOf({ attempt }: OutlookRun): number {
    const { resources } = attempt.task.stepRun.step;
    const overheadMs = USUAL_STOP_MS + this.#options.restoreMs;
    const progress = 1 + attempt.percent / 100;
    return (Math.max(1, resources.cpuMilli) / 1000) * overheadMs * progress;
  }
}

/** The cheapest place on a worker on which the task has not failed. */
function cheapestOf(
  places: Iterable<Place>,
  { failedOn }: Task,
): Place | undefined {
  let best: Place | undefined;
  for (const place of places) {
    if (failedOn.has(place.outlook.worker.id)) continue;
    if (best === undefined || place.cost < best.cost) best = place;
  }
  return best;
}

/** Whether room may be made for the tasks of the step. */
function isEligible({ step }: StepRun, tasks: readonly Task[]): boolean {
  return (
    tasks.length <= MAX_TASKS &&
    !step.isLongRunning &&
    !step.isFiller &&
    // A gang keeps no room from round to round until all of it is free.
    !step.isGang &&
    tasks.every(({ losses }) => losses.length === 0)
  );
}

/** Time in ms for which the step can wait without its job being late. */
function slackOf(stepRun: StepRun, wallMs: number): number {
  const { record, occurrence } = stepRun;
  const deadlineMs =
    earliestStartMsOf(record.job, occurrence) + objectiveMs(record);
  return deadlineMs - wallMs - remainingPathMs(record.job, stepRun.number);
}
