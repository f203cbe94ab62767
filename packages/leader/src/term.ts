import { setMaxListeners } from "node:events";
import { LoadMeter } from "@laburnumtrack/admission/load_meter";
import type { Clock } from "@laburnumtrack/core/clock";
import type { FeedTable } from "@laburnumtrack/core/feed_table";
import { Signal } from "@laburnumtrack/core/signal";
import type { DomainEvacuations } from "@laburnumtrack/evacuation/domain_evacuations";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { MAX_ROW_BYTES } from "@laburnumtrack/jobs/job_rows";
import { countPending } from "@laburnumtrack/jobs/pending_count";
import {
  mostUrgentPriority,
  type QueueConfig,
} from "@laburnumtrack/jobs/queue_config";
import type { PlanningState } from "@laburnumtrack/jobs/start_planner";
import type { Attempt, Placement, Task } from "@laburnumtrack/jobs/task";
import { RunEnd, type TaskWorker } from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { WorkerRegistry } from "@laburnumtrack/jobs/worker_registry";
import type { PlanningFeatures } from "@laburnumtrack/planning/round_planner";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { describeAttempt } from "./attempt_text";
import { BackgroundTasks } from "./background_tasks";
import { EvacuationGuard } from "./evacuation_guard";
import { EvacuationLog, type EvacuationStatus } from "./evacuation_log";
import { FormerLeases } from "./former_leases";
import { JobHistory } from "./job_history";
import { JobIntake } from "./job_intake";
import { LeaderLease } from "./leader_lease";
import { OrderLatency } from "./order_latency";
import { PlannedRounds } from "./planned_rounds";
import { type HeldLeadership, ProgressStore } from "./progress_store";
import { RowCloser } from "./row_closer";
import { RunMonitor } from "./run_monitor";
import { StartDelayLog } from "./start_delay_log";
import type { Succession } from "./succession";
import { SuspectStarts } from "./suspect_starts";
import { WorkerClearance } from "./worker_clearance";
import { WorkerExclusion } from "./worker_exclusion";
import { WorkerGroup } from "./worker_group";
import { grantedLeaseMs, latestExpiryMs } from "./worker_link";

/** Options of a term of leadership. */
export interface TermOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly registry: WorkerRegistry;
  readonly port: TaskWorker;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** The queue configuration that this process uses. */
  readonly config: () => QueueConfig;
  /** Evacuated failure domains; undefined if requests are ignored. */
  readonly evacuations?: DomainEvacuations | undefined;
  /** Longest lease that workers accept, in ms. */
  readonly leaseMs: number;
  /**
   * Time after its last commit during which a leader may send orders, in ms.
   */
  readonly leaderLeaseMs: number;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
  /**
   * Shortest time without an answer after which an order is sent again, in ms;
   * by default, only failed orders are.
   */
  readonly orderResendMs?: number;
  /** Parts of planning that the deployment turns on; none by default. */
  readonly planning?: PlanningFeatures | undefined;
  /** Time for which a finished job stays known to callers, in ms. */
  readonly jobRetentionMs: number;
  readonly succession: Succession;
  /**
   * Memory that jobs may occupy in this process, in bytes. If given, the load is
   * stored with each commit, so that entries admit jobs by it.
   */
  readonly jobsLimitBytes?: number | undefined;
}

/** How the leadership of a term was acquired. */
export interface TermStart {
  readonly held: HeldLeadership;
  /** Monotonic ms at which the acquiring commit was sent. */
  readonly acquireSentMs: number;
  /** Monotonic ms at which that commit was known to be successful. */
  readonly acquiredMs: number;
  /** Time in ms from then for which former leaders may still send orders. */
  readonly formerRightMs: number;
  /** Longest lease in ms that former leaders granted. */
  readonly formerLeaseMs: number;
}

/** Shortest pause between two planning rounds, in ms. */
const MIN_PLAN_PAUSE_MS = 10;
/** Least ratio of the pause after a planning round to the time it took. */
const PLAN_PAUSE_FACTOR = 3;
/**
 * Longest time between two rounds, in ms: due times and pauses also end without
 * a change of the board.
 */
const MAX_PLAN_INTERVAL_MS = 100;
/** Most unanswered start orders; more would only queue on the way. */
const MAX_UNANSWERED_STARTS = 32;
/** The same for each worker, in addition: many workers have many queues. */
const UNANSWERED_STARTS_PER_WORKER = 0.25;
/** A worker whose last report is older than this gets no new task, in ms. */
const MAX_REPORT_AGE_MS = 2200;
/**
 * Time by which the feed shows every job that a former leader started, in ms.
 */
const FEED_LAG_MS = 3000;
/** Size of the range of run numbers that is reserved for each epoch. */
const RUNS_PER_EPOCH = 256;
/** Interval between two status lines in the log, in ms. */
const STATUS_LOG_INTERVAL_MS = 10_000;
/** Most bytes of the pressure model in a status line. */
const MAX_LOGGED_MODEL_BYTES = 4000;
/**
 * Time after which the leadership is not tried to be released any more, in ms;
 * without it, the next leader waits longer.
 */
const MAX_RELEASE_MS = 1500;
/**
 * Most jobs that are stored together with the release; it also writes the rows
 * with the runs on workers.
 */
const MAX_JOBS_WITH_RELEASE = 60;
/**
 * Pause after a failed read or commit at the start and end of a term, in ms.
 */
const TABLE_RETRY_PAUSE_MS = 100;

/**
 * A term of leadership of this process: the board and the tasks that work on
 * it.
 */
export class Term {
  readonly #options: TermOptions;
  readonly #start: TermStart;
  readonly #formerLeases: FormerLeases;
  readonly #board: JobBoard;
  readonly #progress: ProgressStore;
  readonly #leaderLease: LeaderLease;
  readonly #guard: EvacuationGuard;
  readonly #rowCloser: RowCloser;
  readonly #history: JobHistory;
  readonly #intake: JobIntake;
  readonly #workers: WorkerGroup;
  readonly #runMonitor: RunMonitor;
  readonly #clearance: WorkerClearance;
  readonly #plannedRounds: PlannedRounds;
  readonly #startDelayLog: StartDelayLog;
  readonly #evacuationLog: EvacuationLog;
  readonly #suspectStarts: SuspectStarts;
  readonly #loadMeter: LoadMeter | undefined;
  readonly #planSignal: Signal;
  readonly #background: BackgroundTasks;
  /** The release waits for these, but not for the other background tasks. */
  readonly #commits: BackgroundTasks;
  readonly #termAbort = new AbortController();
  /** Whether it is known which runs all workers have. */
  #isSettled = false;
  /** No former leader knew jobs above this revision; undefined until known. */
  #newJobsAbove: number | undefined;
  #isFenced = false;
  /** Instance that takes over; empty unless this term ends with a handover. */
  #successor = "";

  constructor(options: TermOptions, start: TermStart) {
    this.#options = options;
    this.#start = start;
    const { clock, journal, table } = options;
    // Each worker's link adds a listener.
    setMaxListeners(0, this.#termAbort.signal);
    this.#planSignal = new Signal(clock);
    this.#background = new BackgroundTasks(journal);
    this.#commits = new BackgroundTasks(journal);
    this.#formerLeases = new FormerLeases({
      clock,
      acceptedMs: options.leaseMs,
      acquiredMs: start.acquiredMs,
      rightMs: start.formerRightMs,
      leaseMs: start.formerLeaseMs,
      silent: start.held.row.silent,
    });
    this.#board = this.#createBoard();
    this.#guard = new EvacuationGuard({ ...options, board: this.#board });
    const { jobsLimitBytes: limitBytes } = options;
    if (limitBytes !== undefined) {
      this.#loadMeter = new LoadMeter({
        clock,
        board: this.#board,
        limitBytes,
      });
    }
    this.#rowCloser = new RowCloser({ clock, table });
    this.#history = new JobHistory({
      clock,
      table,
      metrics: options.metrics,
      retentionMs: options.jobRetentionMs,
      isOnBoard: (id) => this.#board.jobs.has(id),
    });
    this.#runMonitor = new RunMonitor({
      ...options,
      board: this.#board,
      sendPace: (attempt, percent) => this.#workers.sendPace(attempt, percent),
    });
    this.#plannedRounds = new PlannedRounds({
      ...options,
      board: this.#board,
      acquiredMs: start.acquiredMs,
      // Until former leaders may not send orders any more, they may stop runs.
      newJobsAbove:
        start.formerRightMs === 0
          ? start.held.revision
          : Number.POSITIVE_INFINITY,
    });
    this.#intake = new JobIntake({
      ...options,
      board: this.#board,
      closer: this.#rowCloser,
      history: this.#history,
      minRevision: start.held.revision,
      onBoardChanged: () => this.#planSignal.set(),
    });
    this.#progress = new ProgressStore({
      ...options,
      held: start.held,
      acquireSentMs: start.acquireSentMs,
      workers: () => this.#board.workers.values(),
      formerLeases: this.#formerLeases,
      pending: () => countPending(this.#board),
      jobsKnownMs: () => this.#intake.follower.confirmedMs,
      load: this.#loadMeter && (() => this.#loadMeter?.current ?? {}),
      exportModel: () => this.#runMonitor.model.export(MAX_ROW_BYTES),
      onFinalStored: (record) => this.#intake.onFinalStored(record),
      history: this.#history,
    });
    this.#leaderLease = new LeaderLease({
      clock,
      durationMs: options.leaderLeaseMs,
      lastCommitSentMs: () => this.#progress.lastCommitSentMs,
      onPauseDetected: (pausedMs) => this.#onPauseDetected(pausedMs),
    });
    this.#workers = this.#createWorkers();
    this.#clearance = new WorkerClearance({
      ...options,
      board: this.#board,
      model: this.#runMonitor.model,
    });
    this.#startDelayLog = new StartDelayLog({
      ...options,
      board: this.#board,
      planning: () => this.#planningState(),
      exclusions: () => this.#countExclusions(),
    });
    this.#evacuationLog = new EvacuationLog({
      ...options,
      board: this.#board,
      guard: this.#guard,
      planning: () => this.#planningState(),
    });
    this.#suspectStarts = new SuspectStarts({
      ...options,
      board: this.#board,
      isStored: ({ job }) => this.#progress.isStored(job.id),
      sendStart: (attempt) => this.#workers.sendStart(attempt),
    });
  }

  /** The leadership row as last written. */
  get row() {
    return this.#progress.row;
  }

  /** Jobs that have not started, as this leader knows them now. */
  describePending() {
    return this.#progress.describePending();
  }

  /** Monotonic ms at which the leadership row was last written. */
  get lastCommitSentMs(): number {
    return this.#progress.lastCommitSentMs;
  }

  /** Number of workers that this leader knows. */
  get workerCount(): number {
    return this.#board.workers.size;
  }

  /** Leads until `signal` is aborted, it hands over, or another leader is seen. */
  async run(signal: AbortSignal): Promise<void> {
    const { journal } = this.#options;
    const { epoch } = this.#start.held.row;
    journal.info("This scheduler started to lead.", {
      epoch,
      formerRightMs: this.#start.formerRightMs,
    });
    const onAbort = () => this.#termAbort.abort();
    signal.addEventListener("abort", onAbort);
    if (signal.aborted) onAbort();
    const unsubscribe = this.#options.evacuations?.subscribe(() =>
      this.#onEvacuationsChanged(),
    );
    const termSignal = this.#termAbort.signal;
    this.#commits.add(this.#progress.run(termSignal));
    this.#background.add(this.#leaderLease.run(termSignal));
    this.#background.add(this.#logStatus(termSignal));
    this.#background.add(this.#rowCloser.run(termSignal));
    try {
      await this.#lead(termSignal);
    } catch (error) {
      // The next leader takes over as from one that stopped committing.
      this.#background.logFailure(error);
    }
    this.#termAbort.abort();
    unsubscribe?.();
    this.#planSignal.set();
    this.#progress.wake();
    // No more orders are sent, and workers refuse those under way once they
    // know the epoch of the next leader. So the release waits for commits only.
    await this.#commits.drain();
    const isOrderly = signal.aborted || this.#successor !== "";
    if (isOrderly && !this.#isLost) await this.#release();
    await this.#background.drain();
    signal.removeEventListener("abort", onAbort);
    journal.info("This scheduler no longer leads.", {
      epoch,
      isLost: this.#isLost,
    });
  }

  /** Loads the stored state, then plans until the term is over. */
  async #lead(termSignal: AbortSignal): Promise<void> {
    const { journal, clock } = this.#options;
    if (!(await this.#load())) return;
    this.#progress.onStateLoaded();
    journal.info("Leader loaded jobs and workers.", {
      epoch: this.#start.held.row.epoch,
      jobs: this.#board.jobs.size,
      workers: this.#board.workers.size,
      tookMs: Math.round(clock.nowMs() - this.#start.acquireSentMs),
    });
    this.#background.add(this.#intake.follower.run(termSignal));
    this.#background.add(this.#workers.follower.run(termSignal));
    this.#background.add(this.#history.run(termSignal));
    this.#background.add(this.#awaitSuccessor(termSignal));
    this.#background.add(this.#startDelayLog.run(termSignal));
    this.#background.add(this.#evacuationLog.run(termSignal));
    await this.#planUntilOver();
  }

  /** The evacuations, with what is left in their failure domains. */
  describeEvacuations(): EvacuationStatus[] {
    return this.#evacuationLog.describe();
  }

  /** State of the term, for operators. */
  dump(): object {
    const { jobs, workers } = this.#board;
    return {
      leader: this.#progress.row,
      backlog: this.#progress.backlog,
      finishedJobs: this.#history.size,
      isSettled: this.#isSettled,
      evacuations: this.describeEvacuations(),
      ...this.#runMonitor.model.export(MAX_ROW_BYTES),
      jobs: [...jobs.values()].map((record) => ({
        id: record.job.id,
        queue: record.job.queue,
        phase: record.phase,
        openSteps: record.openSteps,
      })),
      workers: [...workers.values()].map((worker) => ({
        id: worker.id,
        isDraining: worker.info.isDraining,
        isRegistered: worker.isRegistered,
        isInEvacuation: worker.isInEvacuation,
        coldness: worker.coldness,
        cpuMilli: worker.cpuMilli,
        fillerMilli: worker.fillerMilli,
        memoryMb: worker.memoryMb,
        attempts: worker.attempts.size,
      })),
    };
  }

  get #isLost(): boolean {
    return this.#isFenced || this.#progress.isLost;
  }

  #createBoard(): JobBoard {
    const { held, acquiredMs } = this.#start;
    return new JobBoard(
      {
        onChanged: (record) => this.#progress.markDirty(record),
        onStop: (stop) => this.#workers.sendStop(stop),
        onEnd: (task, ended, worker, stopReason) => {
          this.#planSignal.set();
          if (ended.end === RunEnd.Done) this.#loadMeter?.onDone(task);
          this.#runMonitor.onEnd(task, ended, worker, stopReason);
        },
        onLoss: (task, loss, change) =>
          this.#suspectStarts.onLoss(task, loss, change),
      },
      {
        runFloor: (held.row.epoch - 1) * RUNS_PER_EPOCH,
        allJobsKnownMs: acquiredMs + FEED_LAG_MS,
      },
    );
  }

  #createWorkers(): WorkerGroup {
    const { held, acquiredMs } = this.#start;
    return new WorkerGroup({
      ...this.#options,
      board: this.#board,
      background: this.#background,
      minRevision: held.revision,
      termSignal: this.#termAbort.signal,
      held: held.row,
      silentExpiryMs: (leftMs) => acquiredMs + leftMs,
      maxExpiryMs: this.#formerLeases.endMs,
      link: {
        ...this.#options,
        board: this.#board,
        guard: this.#guard,
        epoch: held.row.epoch,
        leaseMs: grantedLeaseMs(this.#options.leaseMs),
        latency: new OrderLatency(this.#options.orderResendMs ?? 0),
        maySendOrders: () =>
          this.#leaderLease.isValid &&
          !this.#isLost &&
          !this.#termAbort.signal.aborted,
        onFenced: (worker) => this.#onFenced(worker),
        onBoardChanged: () => {
          this.#planSignal.set();
          this.#progress.wake();
        },
        onReport: (worker) => {
          this.#runMonitor.onReport(worker);
          this.#plannedRounds.onReport(worker);
        },
      },
    });
  }

  /**
   * Loads the state that former leaders stored; false when the term ends first.
   */
  async #load(): Promise<boolean> {
    const { clock } = this.#options;
    await this.#runMonitor.loadModel();
    // The order matters: jobs need their states, and workers' reports need
    // jobs.
    const loaders = [
      () => this.#intake.loadStates(),
      () => this.#intake.follower.load(),
      () => this.#workers.follower.load(),
      () => this.#workers.loadFormerRuns(),
    ];
    for (const load of loaders) {
      while (!(await load())) {
        if (this.#termAbort.signal.aborted || this.#isLost) return false;
        await clock.sleep(TABLE_RETRY_PAUSE_MS, this.#termAbort.signal);
      }
    }
    return !this.#termAbort.signal.aborted && !this.#isLost;
  }

  /** Ends the term when a better suited VM bids for leadership. */
  async #awaitSuccessor(signal: AbortSignal): Promise<void> {
    const { epoch } = this.#start.held.row;
    const bid = await this.#options.succession.findSuccessor(epoch, signal);
    if (bid === undefined || signal.aborted) return;
    this.#successor = bid.instance;
    this.#termAbort.abort();
    this.#planSignal.set();
  }

  /** Releases the leadership, for the successor if there is one. */
  async #release(): Promise<void> {
    const { clock, journal } = this.#options;
    const limitMs = clock.nowMs() + MAX_RELEASE_MS;
    let isReleased = false;
    while (!isReleased && !this.#isLost && clock.nowMs() < limitMs) {
      const isLast = this.#progress.backlog <= MAX_JOBS_WITH_RELEASE;
      const isStored = await this.#progress.commit({
        isReleased: isLast,
        successor: this.#successor,
      });
      isReleased = isStored && isLast;
      if (!isStored) await clock.sleep(TABLE_RETRY_PAUSE_MS);
    }
    journal.info("This scheduler tried to release its leadership.", {
      isReleased,
      isLost: this.#isLost,
    });
  }

  async #planUntilOver(): Promise<void> {
    const { clock, metrics, config } = this.#options;
    let nextRoundMs = Number.NEGATIVE_INFINITY;
    while (!this.#termAbort.signal.aborted && !this.#isLost) {
      const startMs = clock.nowMs();
      const urgent = this.#plannedRounds.hasUrgentRounds
        ? mostUrgentPriority(config())
        : undefined;
      const isUrgentRound = urgent !== undefined && startMs < nextRoundMs;
      try {
        if (isUrgentRound) this.#planUrgent(urgent);
        else this.#planOnce();
      } catch (error) {
        // Leases are renewed elsewhere; the next round tries again.
        this.#background.logFailure(error);
      }
      const nowMs = clock.nowMs();
      const spentMs = nowMs - startMs;
      metrics.recordMs(isUrgentRound ? "urgent_round" : "plan_round", spentMs);
      // The pause leaves processor time for orders and reports.
      const pauseMs = Math.max(MIN_PLAN_PAUSE_MS, spentMs * PLAN_PAUSE_FACTOR);
      if (!isUrgentRound) nextRoundMs = nowMs + pauseMs;
      const isPauseShort = urgent !== undefined && !isUrgentRound;
      await clock.sleep(
        isPauseShort ? MIN_PLAN_PAUSE_MS : pauseMs,
        this.#termAbort.signal,
      );
      if (!isUrgentRound) await this.#planSignal.wait(MAX_PLAN_INTERVAL_MS);
      else {
        // What woke the urgent round may concern other jobs, too.
        const leftMs = nextRoundMs - clock.nowMs();
        if (leftMs > 0) await this.#planSignal.wait(leftMs);
      }
    }
  }

  /** Plans jobs of the most urgent queues between two rounds over all jobs. */
  #planUrgent(priority: number): void {
    if (!this.#leaderLease.isValid) return;
    const limit = this.#startLimit;
    if (limit <= 0) return;
    const { model } = this.#runMonitor;
    const options = { ...this.#planningState(), limit, model };
    this.#sendStarts(this.#plannedRounds.planUrgent(options, priority));
  }

  #planOnce(): void {
    this.#intake.removeFinished();
    this.#workers.removeDeparted({ isSettled: this.#isSettled });
    this.#intake.applyConfig();
    this.#guard.checkAge();
    this.#guard.noteStarts();
    if (!this.#leaderLease.isValid) return;
    this.#guard.markWorkers();
    this.#guard.stopOpenStarts();
    this.#updateSettled();
    this.#board.losses.resolveOpen(this.#planningState().areRunsKnown);
    this.#suspectStarts.giveUpCrashLoops();
    this.#clearance.run(this.#planningState());
    const limit = this.#startLimit;
    if (limit <= 0) return;
    const { model } = this.#runMonitor;
    const options = { ...this.#planningState(), limit, model };
    this.#sendStarts(this.#plannedRounds.plan(options));
  }

  /** Number of starts that may be sent now. */
  get #startLimit(): number {
    const maxUnanswered =
      MAX_UNANSWERED_STARTS + this.workerCount * UNANSWERED_STARTS_PER_WORKER;
    return maxUnanswered - this.#workers.unansweredStarts;
  }

  #sendStarts(starts: readonly Attempt[]): void {
    if (starts.length === 0) return;
    this.#logStarts(starts);
    for (const attempt of starts) {
      const { task } = attempt;
      const isPlaced = keepsPlacement(task);
      if (isPlaced) this.#recordPlacement(attempt);
      if (isPlaced || task.losses.length > 0) {
        this.#background.add(this.#suspectStarts.send(attempt));
      } else this.#workers.sendStart(attempt);
    }
  }

  /** Has the placement of an attempt stored, unless its task has it already. */
  #recordPlacement({ task, worker }: Attempt): void {
    const { epoch } = this.#start.held.row;
    const { placement } = task;
    const isKnown =
      placement?.workerId === worker.id && placement.epoch === epoch;
    if (isKnown) return;
    task.placement = { workerId: worker.id, epoch };
    this.#progress.markDirty(task.stepRun.record);
  }

  /** Which workers and jobs may be planned now. */
  #planningState(): PlanningState {
    const { clock } = this.#options;
    const nowMs = clock.nowMs();
    return {
      nowMs,
      wallMs: clock.wallMs(),
      isUsable: (worker) => this.#exclusionOf(worker, nowMs) === undefined,
      areRunsKnown: ({ revision }) =>
        this.#isSettled || revision > this.#findNewJobsAbove(nowMs),
      areTaskRunsKnown: (task) => this.#areRunsKnownAt(task.placement, nowMs),
    };
  }

  /**
   * Whether all runs of a task with the given placement are known: leaders have
   * started it nowhere else since, and what its worker runs is known.
   */
  #areRunsKnownAt(placement: Placement | undefined, nowMs: number): boolean {
    const { placementsSince = Number.POSITIVE_INFINITY } = this.#start.held.row;
    if (placement === undefined || placement.epoch < placementsSince) {
      return false;
    }
    const worker = this.#board.workers.get(placement.workerId);
    // Workers that are neither registered nor on the roster hold no lease.
    if (worker === undefined) return nowMs >= this.#workers.unlistedExpiryMs;
    return worker.areRunsKnown || nowMs >= worker.leaseExpiryMs;
  }

  #onEvacuationsChanged(): void {
    this.#guard.stopOpenStarts();
    this.#planSignal.set();
  }

  /** Why a worker gets no new task; undefined if it does. */
  #exclusionOf(
    worker: WorkerRecord,
    nowMs: number,
  ): WorkerExclusion | undefined {
    if (!worker.isRegistered) return WorkerExclusion.Unregistered;
    if (worker.isReplaced) return WorkerExclusion.Replaced;
    if (!worker.hasReported) return WorkerExclusion.NoReport;
    if (!worker.canGrantLease) return WorkerExclusion.NoLease;
    if (worker.hasLateStarts) return WorkerExclusion.LateStarts;
    if (worker.info.isDraining) return WorkerExclusion.Draining;
    if (!this.#guard.mayStartOn(worker)) return WorkerExclusion.Evacuated;
    const byFailures = this.#runMonitor.exclusionOf(worker, nowMs);
    if (byFailures !== undefined) return byFailures;
    if (worker.backoffUntilMs > nowMs) return WorkerExclusion.Backoff;
    if (nowMs - worker.lastReportMs >= MAX_REPORT_AGE_MS) {
      return WorkerExclusion.NoReport;
    }
    return undefined;
  }

  /** Number of workers that get no new task, by the reason. */
  #countExclusions(): Partial<Record<WorkerExclusion, number>> {
    const nowMs = this.#options.clock.nowMs();
    const counts: Partial<Record<WorkerExclusion, number>> = {};
    for (const worker of this.#board.workers.values()) {
      const exclusion = this.#exclusionOf(worker, nowMs);
      if (exclusion === undefined) continue;
      counts[exclusion] = (counts[exclusion] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Revision above which no former leader can have started jobs. A former
   * leader that did not release may send orders until its leader lease has
   * expired.
   */
  #findNewJobsAbove(nowMs: number): number {
    if (this.#newJobsAbove !== undefined) return this.#newJobsAbove;
    const { held, acquiredMs, formerRightMs } = this.#start;
    if (formerRightMs === 0) this.#newJobsAbove = held.revision;
    else if (nowMs > latestExpiryMs(acquiredMs, formerRightMs)) {
      this.#newJobsAbove = this.#progress.revision;
    }
    return this.#newJobsAbove ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Determines whether all runs are known: every worker has reported, former
   * leaders have stored its runs, or their leases on it have expired.
   */
  #updateSettled(): void {
    if (this.#isSettled) return;
    const { clock, journal } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs < this.#workers.unlistedExpiryMs) return;
    const silent: string[] = [];
    for (const worker of this.#board.workers.values()) {
      if (worker.areRunsKnown) continue;
      if (nowMs < worker.leaseExpiryMs) return;
      silent.push(worker.id);
    }
    this.#isSettled = true;
    journal.info(
      "Leader knows the runs of all workers; all waiting jobs may start.",
      {
        tookMs: Math.round(nowMs - this.#start.acquireSentMs),
        silent,
      },
    );
  }

  /** Logs the size of the board and the pressure model at intervals. */
  async #logStatus(signal: AbortSignal): Promise<void> {
    const { clock, journal } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(STATUS_LOG_INTERVAL_MS, signal);
      journal.info("Leader status.", {
        epoch: this.#start.held.row.epoch,
        jobs: this.#board.jobs.size,
        workers: this.#board.workers.size,
        backlog: this.#progress.backlog,
        ...this.#runMonitor.model.export(MAX_LOGGED_MODEL_BYTES),
      });
    }
  }

  #logStarts(starts: readonly Attempt[]): void {
    const byJob = new Map<string, string[]>();
    for (const attempt of starts) {
      const { id } = attempt.task.stepRun.record.job;
      const text = describeAttempt(attempt);
      const texts = byJob.get(id);
      if (texts === undefined) byJob.set(id, [text]);
      else texts.push(text);
    }
    for (const [job, tasks] of byJob) {
      this.#options.journal.info("Leader starts tasks of a job.", {
        job,
        tasks,
      });
    }
  }

  #onFenced(worker: string): void {
    if (this.#isFenced) return;
    this.#isFenced = true;
    const { epoch } = this.#start.held.row;
    this.#options.journal.warn(
      "A worker refused an order because it knows a newer leader; this scheduler stops leading.",
      {
        worker,
        epoch,
      },
    );
    this.#planSignal.set();
  }

  #onPauseDetected(pausedMs: number): void {
    this.#options.journal.warn(
      "This process was paused; the leader sends no orders until its next commit.",
      {
        pausedMs: Math.round(pausedMs),
      },
    );
    this.#progress.wake();
  }
}

/**
 * Whether the placement of a task is stored before it starts. The tasks of a gang
 * start at the same time, and copies of a task have several placements.
 */
function keepsPlacement({ stepRun: { step } }: Task): boolean {
  return step.isLongRunning && !step.isGang && !step.isSpeculative;
}
