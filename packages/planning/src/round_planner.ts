import type { Resources } from "@laburnumtrack/core/resources";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import {
  PlanningAid,
  type UnplacedStep,
} from "@laburnumtrack/jobs/planning_aid";
import {
  type PlanOptions,
  planStarts,
} from "@laburnumtrack/jobs/start_planner";
import type {
  Attempt,
  JobRecord,
  StepRun,
  Task,
} from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { Lookahead } from "./lookahead";
import { RoundOutlook } from "./pool_outlook";
import { type Preempting, Preemption } from "./preemption";
import { RoomHolds } from "./room_holds";
import { StopRules, type TermOrigin } from "./stop_rules";
import { type StragglerPlan, Stragglers } from "./stragglers";
import { Timeline } from "./timeline";

/** Parts of planning that a deployment turns on. */
export interface PlanningFeatures {
  /** Less urgent runs are stopped where urgent steps miss their objectives. */
  readonly isPreempting: boolean;
  /** Tasks of runs far behind others run a second time, or move. */
  readonly isCopying: boolean;
  /** Room is reserved ahead for the most urgent step that does not fit. */
  readonly isLookingAhead: boolean;
  /** Jobs of the most urgent queues are also planned between the rounds. */
  readonly hasUrgentRounds: boolean;
}

/** Starts are planned from what is free at the moment. */
export const NO_FEATURES: PlanningFeatures = {
  isPreempting: false,
  isCopying: false,
  isLookingAhead: false,
  hasUrgentRounds: false,
};

/** Workers up to this speed are avoided; little differences are chance. */
const MAX_SLOW_SPEED = 0.85;

/** Options of {@linkcode RoundPlanner}. */
export interface RoundPlannerOptions {
  readonly board: JobBoard;
  readonly features: PlanningFeatures;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
  readonly origin: TermOrigin;
}

/** What is to be done after a planning round. */
export interface RoundPlan {
  readonly starts: readonly Attempt[];
  /** Runs to stop for more urgent steps. */
  readonly preempting: readonly Preempting[];
  readonly stragglers: StragglerPlan;
}

const NO_STRAGGLERS: StragglerPlan = { copies: [], moves: [] };

/** Plans starts, and what it takes to make room for them. */
export class RoundPlanner extends PlanningAid {
  readonly timeline = new Timeline();
  readonly holds = new RoomHolds();
  readonly rules: StopRules;
  readonly #options: RoundPlannerOptions;
  readonly #preemption: Preemption;
  readonly #stragglers: Stragglers;
  readonly #lookahead: Lookahead;
  /** Pools in which tasks found no room in this round. */
  readonly #crowdedPools = new Set<string>();
  #nowMs = 0;
  #isUrgentRound = false;

  constructor(options: RoundPlannerOptions) {
    super();
    this.#options = options;
    this.rules = new StopRules(options.origin);
    this.#preemption = new Preemption({
      holds: this.holds,
      rules: this.rules,
      restoreMs: options.restoreMs,
    });
    this.#lookahead = new Lookahead({
      holds: this.holds,
      timeline: this.timeline,
    });
    this.#stragglers = new Stragglers({
      ...options,
      timeline: this.timeline,
      rules: this.rules,
    });
  }

  /** Learns from a report of the worker that was applied to the board. */
  onReport(worker: WorkerRecord, nowMs: number): void {
    if (this.#isIdle) return;
    this.timeline.onReport(worker, nowMs);
  }

  /** Plans a round; the starts are recorded on the board. */
  plan(options: PlanOptions): RoundPlan {
    const { board } = this.#options;
    if (this.#isIdle) {
      const starts = planStarts(board, options);
      return { starts, preempting: [], stragglers: NO_STRAGGLERS };
    }
    const { nowMs, limit } = options;
    const outlook = new RoundOutlook(this.timeline, nowMs);
    this.#nowMs = nowMs;
    this.#crowdedPools.clear();
    const expired = this.holds.sweep(nowMs);
    this.#lookahead.begin({ nowMs, outlook, expired });
    this.#preemption.begin({ ...options, outlook });
    const ready = this.holds.startReady(board, options);
    const others = planStarts(board, {
      ...options,
      limit: limit - ready.length,
      aid: this,
    });
    const starts = [...ready, ...others];
    const preempting = this.#preemption.end();
    const stragglers = this.#options.features.isCopying
      ? this.#stragglers.plan({
          ...options,
          crowdedPools: this.#crowdedPools,
          limit: limit - starts.length,
        })
      : NO_STRAGGLERS;
    starts.push(...stragglers.copies);
    return { starts, preempting, stragglers };
  }

  /**
   * Plans the jobs of the most urgent queues only, in free room. It costs a small
   * part of a round over all waiting jobs, so such a job starts without waiting
   * for the next one.
   */
  planUrgent(options: PlanOptions, priorityLimit: number): Attempt[] {
    this.#isUrgentRound = true;
    try {
      const { board } = this.#options;
      const aid = this.#isIdle ? undefined : this;
      return planStarts(board, { ...options, priorityLimit, aid });
    } finally {
      this.#isUrgentRound = false;
    }
  }

  override isHeld(task: Task): boolean {
    return this.holds.isHeld(task);
  }

  override slownessOf(worker: WorkerRecord): number {
    if (!this.#options.features.isCopying) return 0;
    const speed = this.timeline.speeds.speedOf(worker, this.#nowMs);
    return speed > MAX_SLOW_SPEED ? 0 : 1 - speed;
  }

  override backfillOf(stepRun: StepRun, worker: WorkerRecord): Resources {
    return this.#lookahead.backfillOf(stepRun, worker);
  }

  override canBackfill(stepRun: StepRun): boolean {
    return this.#lookahead.canBackfill(stepRun);
  }

  override isResuming(record: JobRecord): boolean {
    return this.#preemption.isResuming(record);
  }

  override onUnplaced(unplaced: UnplacedStep): void {
    // The next round over all jobs makes room for it, if that is allowed.
    if (this.#isUrgentRound) return;
    this.#crowdedPools.add(unplaced.stepRun.record.queue?.pool ?? "");
    const { isPreempting, isLookingAhead } = this.#options.features;
    if (isPreempting && this.#preemption.onUnplaced(unplaced)) return;
    if (isLookingAhead) this.#lookahead.onUnplaced(unplaced);
  }

  get #isIdle(): boolean {
    const { isPreempting, isCopying, isLookingAhead } = this.#options.features;
    return !isPreempting && !isCopying && !isLookingAhead;
  }
}
