import { setMaxListeners } from "node:events";
import type { Clock } from "@laburnumtrack/core/clock";
import type { FeedTable } from "@laburnumtrack/core/feed_table";
import { Signal } from "@laburnumtrack/core/signal";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { countPending } from "@laburnumtrack/jobs/pending_count";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { planStarts } from "@laburnumtrack/jobs/start_planner";
import type { Attempt } from "@laburnumtrack/jobs/task";
import type { TaskWorker } from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { WorkerRegistry } from "@laburnumtrack/jobs/worker_registry";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { JobIntake } from "./job_intake";
import { OrderRight } from "./order_right";
import { type HeldLeadership, ProgressLog } from "./progress_log";
import { RowCloser } from "./row_closer";
import { RunWatch } from "./run_watch";
import type { Succession } from "./succession";
import { TaskSet } from "./task_set";
import { WorkerGroup } from "./worker_group";
import { surelyLapsedMs } from "./worker_link";

/** What a term of leadership is given. */
export interface TermOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly registry: WorkerRegistry;
  readonly port: TaskWorker;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Queues and pools in force on this process. */
  readonly config: () => QueueConfig;
  /** Length of a lease in ms. */
  readonly leaseMs: number;
  /** Right to order after the last commit, in ms. */
  readonly rightMs: number;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
  readonly succession: Succession;
}

/** The leadership that a term starts with. */
export interface TermStart {
  readonly held: HeldLeadership;
  /** Monotonic ms at which the commit that took it was sent. */
  readonly heldMs: number;
  /** Monotonic ms at which that commit was known to have taken effect. */
  readonly takenMs: number;
  /** The former leader said that it sends nothing more. */
  readonly wasReleased: boolean;
}

/** Pause between two rounds of planning, in ms. */
const PLAN_PAUSE_MS = 5;
/** Pause between two rounds for each ms that the last one took. */
const PLAN_PAUSE_FACTOR = 3;
/** Longest time without a round, in ms: due times and pauses are looked at. */
const PLAN_IDLE_MS = 100;
/** Starts that wait for an answer; more would only wait in this process. */
const OPEN_STARTS = 32;
/** A worker with no report for this long gets no new task, in ms. */
const REPORT_AGE_MS = 2200;
/** A job that a former leader has started is in the feed by then, in ms. */
const FEED_LAG_MS = 3000;
/** Numbers of runs that are set aside for each epoch. */
const RUNS_PER_EPOCH = 256;
/** Time between two lines on what is held, in ms. */
const REPORT_MS = 10_000;
/** Tries to hand leadership back; without it the next leader waits longer. */
const RELEASE_TRIES = 8;
/** Pause after a table that did not answer at the start of a term, in ms. */
const LOAD_RETRY_MS = 100;

/** One leadership of this process: the board and the tasks that work on it. */
export class Term {
  readonly #options: TermOptions;
  readonly #start: TermStart;
  readonly #board: JobBoard;
  readonly #log: ProgressLog;
  readonly #right: OrderRight;
  readonly #closer: RowCloser;
  readonly #intake: JobIntake;
  readonly #workers: WorkerGroup;
  readonly #watch: RunWatch;
  readonly #plan: Signal;
  readonly #tasks: TaskSet;
  readonly #commits: TaskSet;
  readonly #over = new AbortController();
  #isSettled = false;
  /** Jobs above this revision were never known to a former leader. */
  #unknownAbove: number | undefined;
  #isFenced = false;
  /** Instance that it hands over to; empty while it goes on. */
  #successor = "";

  constructor(options: TermOptions, start: TermStart) {
    this.#options = options;
    this.#start = start;
    const { clock, journal, table } = options;
    // One listener for each worker's link.
    setMaxListeners(0, this.#over.signal);
    this.#plan = new Signal(clock);
    this.#tasks = new TaskSet(journal);
    this.#commits = new TaskSet(journal);
    this.#board = this.#createBoard();
    this.#closer = new RowCloser({ clock, table });
    this.#watch = new RunWatch({
      ...options,
      board: this.#board,
      sendPace: (attempt, percent) => this.#workers.sendPace(attempt, percent),
    });
    this.#intake = new JobIntake({
      ...options,
      board: this.#board,
      closer: this.#closer,
      floor: start.held.revision,
      onNews: () => this.#plan.set(),
    });
    this.#log = new ProgressLog({
      ...options,
      held: start.held,
      heldMs: start.heldMs,
      workers: () => this.#board.workers.values(),
      pending: () => countPending(this.#board),
      learnt: () => this.#watch.model.export(),
      onFinalStored: (record) => this.#intake.onFinalStored(record),
    });
    this.#right = new OrderRight({
      clock,
      rightMs: options.rightMs,
      confirmedMs: () => this.#log.confirmedMs,
      onThaw: (pausedMs) => this.#onThaw(pausedMs),
    });
    this.#workers = this.#createWorkers();
  }

  /** Row of the leader as last written. */
  get row() {
    return this.#log.row;
  }

  /** Leads until `signal` is aborted or another leader is seen. */
  async run(signal: AbortSignal): Promise<void> {
    const { journal, clock } = this.#options;
    const { epoch } = this.#start.held.row;
    journal.info("Leading.", { epoch, wasReleased: this.#start.wasReleased });
    const onAbort = () => this.#over.abort();
    signal.addEventListener("abort", onAbort);
    if (signal.aborted) onAbort();
    const over = this.#over.signal;
    this.#commits.add(this.#log.run(over));
    this.#tasks.add(this.#right.run(over));
    this.#tasks.add(this.#report(over));
    this.#tasks.add(this.#closer.run(over));
    if (await this.#load()) {
      this.#log.onLoaded();
      journal.info("The jobs are read.", {
        epoch,
        jobs: this.#board.jobs.size,
        workers: this.#board.workers.size,
        tookMs: Math.round(clock.nowMs() - this.#start.heldMs),
      });
      this.#tasks.add(this.#intake.follower.run(over));
      this.#tasks.add(this.#workers.follower.run(over));
      this.#tasks.add(this.#awaitSuccessor(over));
      await this.#planUntilOver();
    }
    this.#over.abort();
    this.#plan.set();
    this.#log.wake();
    // Nothing more is sent. The next leader's epoch fences what is under way.
    await this.#commits.drain();
    const isOrderly = signal.aborted || this.#successor !== "";
    if (isOrderly && !this.#isLost) await this.#release();
    await this.#tasks.drain();
    signal.removeEventListener("abort", onAbort);
    journal.info("Not leading any more.", { epoch, isLost: this.#isLost });
  }

  /** State for operators. */
  dump(): object {
    const { jobs, workers } = this.#board;
    return {
      leader: this.#log.row,
      backlog: this.#log.backlog,
      isSettled: this.#isSettled,
      pressures: this.#watch.model.export(),
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
        cpuMilli: worker.cpuMilli,
        fillerMilli: worker.fillerMilli,
        memoryMb: worker.memoryMb,
        attempts: worker.attempts.size,
      })),
    };
  }

  get #isLost(): boolean {
    return this.#isFenced || this.#log.isLost;
  }

  #createBoard(): JobBoard {
    const { held, takenMs } = this.#start;
    return new JobBoard(
      {
        onChanged: (record) => this.#log.mark(record),
        onStop: (stop) => this.#workers.sendStop(stop),
        onEnd: (task, ended, worker) => {
          this.#plan.set();
          this.#watch.onEnd(task, ended, worker);
        },
      },
      {
        runFloor: (held.row.epoch - 1) * RUNS_PER_EPOCH,
        completeMs: takenMs + FEED_LAG_MS,
      },
    );
  }

  #createWorkers(): WorkerGroup {
    const { held, takenMs, wasReleased } = this.#start;
    const { rightMs, leaseMs } = this.#options;
    // A worker that does not answer may run what a former leader gave it.
    const grantedMs = takenMs + (wasReleased ? 0 : rightMs);
    const lapsedMs = surelyLapsedMs(grantedMs, leaseMs);
    return new WorkerGroup({
      ...this.#options,
      board: this.#board,
      tasks: this.#tasks,
      floor: held.revision,
      over: this.#over.signal,
      lapseMsOf: (id) => {
        const leftMs = held.row.silent[id];
        return leftMs === undefined ? lapsedMs : takenMs + leftMs;
      },
      link: {
        ...this.#options,
        board: this.#board,
        epoch: held.row.epoch,
        mayOrder: () =>
          this.#right.isValid && !this.#isLost && !this.#over.signal.aborted,
        onFenced: (worker) => this.#onFenced(worker),
        onNews: () => {
          this.#plan.set();
          this.#log.wake();
        },
        onReport: (worker) => this.#watch.onReport(worker),
      },
    });
  }

  /** Reads what former leaders left; false when the term is over before. */
  async #load(): Promise<boolean> {
    const { clock } = this.#options;
    await this.#watch.loadLearnt();
    // Reports are about jobs, and states about jobs that were handed in.
    const parts = [
      () => this.#intake.loadStates(),
      () => this.#intake.follower.load(),
      () => this.#workers.follower.load(),
      () => this.#workers.loadRoster(),
    ];
    for (const load of parts) {
      while (!(await load())) {
        if (this.#over.signal.aborted || this.#isLost) return false;
        await clock.sleep(LOAD_RETRY_MS, this.#over.signal);
      }
    }
    return !this.#over.signal.aborted && !this.#isLost;
  }

  /** Ends the term when a VM that is better suited asks for it. */
  async #awaitSuccessor(signal: AbortSignal): Promise<void> {
    const { epoch } = this.#start.held.row;
    const bid = await this.#options.succession.findSuccessor(epoch, signal);
    if (bid === undefined || signal.aborted) return;
    this.#successor = bid.instance;
    this.#over.abort();
    this.#plan.set();
  }

  async #release(): Promise<void> {
    const { clock, journal } = this.#options;
    let isReleased = false;
    for (let tries = 0; tries < RELEASE_TRIES && !isReleased; tries += 1) {
      if (tries > 0) await clock.sleep(LOAD_RETRY_MS);
      isReleased = await this.#log.commit({
        isReleased: true,
        successor: this.#successor,
      });
    }
    journal.info("Leadership handed back.", { isReleased });
  }

  async #planUntilOver(): Promise<void> {
    const { clock, metrics } = this.#options;
    while (!this.#over.signal.aborted && !this.#isLost) {
      const startMs = clock.nowMs();
      this.#planOnce();
      const spentMs = clock.nowMs() - startMs;
      metrics.recordMs("plan_round", spentMs);
      // Planning leaves the processor to orders and reports in between.
      const pauseMs = Math.max(PLAN_PAUSE_MS, spentMs * PLAN_PAUSE_FACTOR);
      await clock.sleep(pauseMs, this.#over.signal);
      await this.#plan.wait(PLAN_IDLE_MS);
    }
  }

  #planOnce(): void {
    const { clock } = this.#options;
    this.#intake.sweep();
    this.#workers.sweep({ isSettled: this.#isSettled });
    this.#intake.followConfig();
    if (!this.#right.isValid) return;
    this.#checkSettled();
    const limit = OPEN_STARTS - this.#workers.openStarts;
    if (limit <= 0) return;
    const nowMs = clock.nowMs();
    const starts = planStarts(this.#board, {
      nowMs,
      wallMs: clock.wallMs(),
      limit,
      model: this.#watch.model,
      isUsable: (worker) => this.#isUsable(worker, nowMs),
      isCertain: ({ revision }) =>
        this.#isSettled || revision > this.#findUnknownAbove(nowMs),
    });
    if (starts.length === 0) return;
    this.#logStarts(starts);
    for (const attempt of starts) this.#workers.sendStart(attempt);
  }

  #isUsable(worker: WorkerRecord, nowMs: number): boolean {
    return (
      worker.isRegistered &&
      worker.hasReported &&
      !worker.info.isDraining &&
      this.#watch.hasProbeRoom(worker, nowMs) &&
      worker.asideUntilMs <= nowMs &&
      nowMs - worker.reportMs < REPORT_AGE_MS
    );
  }

  /**
   * Revision above which jobs are new: no former leader can have started them.
   * One that did not release may order until its right has ended.
   */
  #findUnknownAbove(nowMs: number): number {
    if (this.#unknownAbove !== undefined) return this.#unknownAbove;
    const { held, takenMs, wasReleased } = this.#start;
    if (wasReleased) this.#unknownAbove = held.revision;
    else if (nowMs > surelyLapsedMs(takenMs, this.#options.rightMs)) {
      this.#unknownAbove = this.#log.revision;
    }
    return this.#unknownAbove ?? Number.POSITIVE_INFINITY;
  }

  /** Looks whether it is certain by now where all runs are. */
  #checkSettled(): void {
    if (this.#isSettled) return;
    const { clock, journal } = this.#options;
    const nowMs = clock.nowMs();
    const silent: string[] = [];
    for (const worker of this.#board.workers.values()) {
      if (worker.hasReported) continue;
      if (nowMs < worker.lapseMs) return;
      silent.push(worker.id);
    }
    this.#isSettled = true;
    journal.info("All runs are known.", {
      tookMs: Math.round(nowMs - this.#start.heldMs),
      silent,
    });
  }

  /** Writes what was learnt and how much is held, now and then. */
  async #report(signal: AbortSignal): Promise<void> {
    const { clock, journal } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(REPORT_MS, signal);
      journal.info("Holding.", {
        epoch: this.#start.held.row.epoch,
        jobs: this.#board.jobs.size,
        workers: this.#board.workers.size,
        backlog: this.#log.backlog,
        pressures: this.#watch.model.export(),
      });
    }
  }

  #logStarts(starts: readonly Attempt[]): void {
    const byJob = new Map<string, string[]>();
    for (const { task, run, worker } of starts) {
      const { record, occurrence, number } = task.stepRun;
      const place = `${occurrence}.${number}.${task.index}`;
      const text = `${place} run ${run} on ${worker.id}`;
      const texts = byJob.get(record.job.id);
      if (texts === undefined) byJob.set(record.job.id, [text]);
      else texts.push(text);
    }
    for (const [job, tasks] of byJob) {
      this.#options.journal.info("Tasks are started.", { job, tasks });
    }
  }

  #onFenced(worker: string): void {
    if (this.#isFenced) return;
    this.#isFenced = true;
    const { epoch } = this.#start.held.row;
    this.#options.journal.warn("A worker has seen a newer leader.", {
      worker,
      epoch,
    });
    this.#plan.set();
  }

  #onThaw(pausedMs: number): void {
    this.#options.journal.warn("This process did not run for a while.", {
      pausedMs: Math.round(pausedMs),
    });
    this.#log.wake();
  }
}
