import { setMaxListeners } from "node:events";
import type { Clock } from "@laburnumtrack/core/clock";
import type {
  ChangedRow,
  FeedTable,
  Snapshot,
} from "@laburnumtrack/core/feed_table";
import { NO_RESOURCES } from "@laburnumtrack/core/resources";
import { Signal } from "@laburnumtrack/core/signal";
import type { Job } from "@laburnumtrack/jobs/job";
import { JobBoard, type StopRequest } from "@laburnumtrack/jobs/job_board";
import { objectiveMs } from "@laburnumtrack/jobs/job_order";
import { hasAttempts } from "@laburnumtrack/jobs/job_record";
import {
  idOfKey,
  LEARNT_KEY,
  ROSTER_KEY,
  RowPrefix,
  readJobRow,
  readLearnt,
  readRoster,
  readState,
} from "@laburnumtrack/jobs/job_rows";
import { isFinal, type JobState } from "@laburnumtrack/jobs/job_state";
import { countPending } from "@laburnumtrack/jobs/pending_count";
import { PressureModel } from "@laburnumtrack/jobs/pressure_model";
import { planRelief, Relief } from "@laburnumtrack/jobs/pressure_relief";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { listStalled, setStalledAside } from "@laburnumtrack/jobs/stalled_runs";
import { planStarts } from "@laburnumtrack/jobs/start_planner";
import type { Attempt, Task } from "@laburnumtrack/jobs/task";
import {
  type EndedRun,
  type RegisteredWorker,
  RunEnd,
  type TaskWorker,
} from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { WorkerRegistry } from "@laburnumtrack/jobs/worker_registry";
import { WorkerHealth } from "@laburnumtrack/policy/worker_health";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { RowFollower } from "@laburnumtrack/process/row_follower";
import { OrderRight } from "./order_right";
import { type HeldLeadership, ProgressLog } from "./progress_log";
import { RowCloser } from "./row_closer";
import { WorkerLink } from "./worker_link";

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

interface OpenLink {
  readonly link: WorkerLink;
  readonly gone: AbortController;
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
/** A worker's clock may be slow by 2%; the rest allows for the way. */
const LAPSE_FACTOR = 1.05;
const LAPSE_SLACK_MS = 200;
/** A job that a former leader has started is in the feed by then, in ms. */
const FEED_LAG_MS = 3000;
/** Numbers of runs that are set aside for each epoch. */
const RUNS_PER_EPOCH = 256;
/** Time between two lines on what is held, in ms. */
const REPORT_MS = 10_000;
/** How long a worker is set aside on which all runs fail. */
const ASIDE_TIMES = { firstMs: 3000, longestMs: 24_000 };
/** Tries to hand leadership back; without it the next leader waits longer. */
const RELEASE_TRIES = 8;
/** Pause after a fault of this program in a worker's link, in ms. */
const LINK_RESTART_MS = 100;
/** Pause after a table that did not answer at the start of a term, in ms. */
const LOAD_RETRY_MS = 100;

/** One leadership of this process: the board and the tasks that work on it. */
export class Term {
  readonly board: JobBoard;
  readonly #options: TermOptions;
  readonly #start: TermStart;
  readonly #log: ProgressLog;
  readonly #right: OrderRight;
  readonly #closer: RowCloser;
  readonly #plan: Signal;
  readonly #model = new PressureModel();
  readonly #health = new WorkerHealth(ASIDE_TIMES);
  readonly #links = new Map<string, OpenLink>();
  readonly #states = new Map<string, JobState>();
  readonly #over = new AbortController();
  readonly #tasks = new Set<Promise<void>>();
  /** Jobs whose end is stored and that still have attempts. */
  readonly #stored = new Set<string>();
  /** Jobs that ended in this term. */
  readonly #finished = new Set<string>();
  readonly #settledMs: number;
  #openStarts = 0;
  #isSettled = false;
  #configVersion = 0;
  #isFenced = false;

  constructor(options: TermOptions, start: TermStart) {
    this.#options = options;
    this.#start = start;
    const { clock, journal, metrics, table } = options;
    // One listener for each worker's link.
    setMaxListeners(0, this.#over.signal);
    const { epoch } = start.held.row;
    this.#plan = new Signal(clock);
    this.board = new JobBoard(
      {
        onChanged: (record) => this.#log.mark(record),
        onStop: (stop) => this.#sendStop(stop),
        onEnd: (task, ended, worker) => this.#onEnd(task, ended, worker),
      },
      {
        runFloor: (epoch - 1) * RUNS_PER_EPOCH,
        completeMs: start.takenMs + FEED_LAG_MS,
      },
    );
    this.#log = new ProgressLog({
      clock,
      table,
      journal,
      metrics,
      held: start.held,
      heldMs: start.heldMs,
      workers: () => this.board.workers.values(),
      pending: () => countPending(this.board),
      learnt: () => this.#model.export(),
      onFinalStored: (record) => {
        journal.info("A job is over.", {
          job: record.job.id,
          queue: record.job.queue,
          phase: record.phase,
          tookMs: Math.round(record.sinceMs - record.job.submittedMs),
          objectiveMs: Math.round(objectiveMs(record)),
        });
        metrics.count(`jobs_over{phase="${record.phase}"}`);
        this.#stored.add(record.job.id);
        this.#finished.add(record.job.id);
        this.#closer.add(record.job.id, record.revision);
      },
    });
    this.#closer = new RowCloser({ clock, table });
    this.#right = new OrderRight({
      clock,
      rightMs: options.rightMs,
      confirmedMs: () => this.#log.confirmedMs,
      onThaw: (pausedMs) => this.#onThaw(pausedMs),
    });
    // A worker that does not answer may run what a former leader gave it.
    const rightMs = start.wasReleased ? 0 : options.rightMs;
    const lapseMs = options.leaseMs * LAPSE_FACTOR + LAPSE_SLACK_MS;
    this.#settledMs = start.takenMs + rightMs + lapseMs;
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
    const jobs = this.#followJobs();
    const workers = this.#followWorkers();
    this.#spawn(this.#log.run(over));
    this.#spawn(this.#right.run(over));
    this.#spawn(this.#report(over));
    this.#spawn(this.#closer.run(over));
    // Jobs come first: reports are about jobs that must be known.
    const isLoaded = await this.#load([jobs, workers]);
    if (isLoaded) {
      this.#log.onLoaded();
      journal.info("The jobs are read.", {
        epoch,
        jobs: this.board.jobs.size,
        workers: this.board.workers.size,
        tookMs: Math.round(clock.nowMs() - this.#start.heldMs),
      });
      this.#spawn(jobs.run(over));
      this.#spawn(workers.run(over));
      await this.#planUntilOver();
    }
    this.#over.abort();
    this.#plan.set();
    this.#log.wake();
    await Promise.allSettled(this.#tasks);
    signal.removeEventListener("abort", onAbort);
    if (signal.aborted && !this.#isLost) await this.#release();
    journal.info("Not leading any more.", { epoch, isLost: this.#isLost });
  }

  /** State for operators. */
  dump(): object {
    const { jobs, workers } = this.board;
    return {
      leader: this.#log.row,
      backlog: this.#log.backlog,
      isSettled: this.#isSettled,
      pressures: this.#model.export(),
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

  async #load(followers: readonly RowFollower[]): Promise<boolean> {
    const { clock } = this.#options;
    await this.#readLearnt();
    // Reports are about jobs, and states about jobs that were handed in.
    const parts = [
      () => this.#loadStates(),
      ...followers.map((follower) => () => follower.load()),
      () => this.#readRoster(),
    ];
    for (const load of parts) {
      while (!(await load())) {
        if (this.#over.signal.aborted || this.#isLost) return false;
        await clock.sleep(LOAD_RETRY_MS, this.#over.signal);
      }
    }
    return !this.#over.signal.aborted && !this.#isLost;
  }

  async #loadStates(): Promise<boolean> {
    const states = await this.#options.table.snapshot(RowPrefix.States);
    // An older read may lack what the former leader stored last.
    const { revision } = this.#start.held;
    if (states.err || states.val.revision < revision) return false;
    this.#onStates(states.val);
    return true;
  }

  /** Takes in workers that may hold a lease though no entry names them. */
  async #readRoster(): Promise<boolean> {
    const read = await this.#options.table.get([ROSTER_KEY]);
    if (read.err) return false;
    const [row] = read.val;
    if (row === undefined) return true;
    const roster = readRoster(row);
    if (roster.err) {
      this.#onMalformed(ROSTER_KEY, roster.val.message);
      return true;
    }
    for (const [id, address] of Object.entries(roster.val)) {
      const known = this.board.workers.get(id);
      if (known !== undefined) {
        known.isRostered = true;
        continue;
      }
      const worker = this.board.addWorker(unlistedWorker(id, address));
      worker.isRegistered = false;
      worker.isRostered = true;
      this.#openLink(worker);
    }
    return true;
  }

  /** Takes over what former leaders learnt; without it, it is learnt anew. */
  async #readLearnt(): Promise<void> {
    const read = await this.#options.table.get([LEARNT_KEY]);
    const row = read.ok ? read.val[0] : undefined;
    if (row === undefined) return;
    const learnt = readLearnt(row);
    if (learnt.ok) this.#model.import(learnt.val);
    else this.#onMalformed(LEARNT_KEY, learnt.val.message);
  }

  async #release(): Promise<void> {
    const { clock } = this.#options;
    let isReleased = false;
    for (let tries = 0; tries < RELEASE_TRIES && !isReleased; tries += 1) {
      if (tries > 0) await clock.sleep(LOAD_RETRY_MS);
      isReleased = await this.#log.commit({ isReleased: true });
    }
    this.#options.journal.info("Leadership handed back.", { isReleased });
  }

  async #planUntilOver(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#over.signal.aborted && !this.#isLost) {
      const startMs = clock.nowMs();
      this.#planOnce();
      const spentMs = clock.nowMs() - startMs;
      this.#options.metrics.recordMs("plan_round", spentMs);
      // Planning leaves the processor to orders and reports in between.
      const pauseMs = Math.max(PLAN_PAUSE_MS, spentMs * PLAN_PAUSE_FACTOR);
      await clock.sleep(pauseMs, this.#over.signal);
      await this.#plan.wait(PLAN_IDLE_MS);
    }
  }

  /** Writes what was learnt and how much is held, now and then. */
  async #report(signal: AbortSignal): Promise<void> {
    const { clock, journal } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(REPORT_MS, signal);
      journal.info("Holding.", {
        epoch: this.#start.held.row.epoch,
        jobs: this.board.jobs.size,
        workers: this.board.workers.size,
        backlog: this.#log.backlog,
        pressures: this.#model.export(),
      });
    }
  }

  #planOnce(): void {
    const { clock } = this.#options;
    this.#sweep();
    this.#followConfig();
    if (!this.#right.isValid || !this.#checkSettled()) return;
    const limit = OPEN_STARTS - this.#openStarts;
    if (limit <= 0) return;
    const nowMs = clock.nowMs();
    const starts = planStarts(this.board, {
      nowMs,
      wallMs: clock.wallMs(),
      limit,
      model: this.#model,
      isUsable: (worker) => this.#isUsable(worker, nowMs),
      isSettled: () => true,
    });
    if (starts.length === 0) return;
    this.#logStarts(starts);
    for (const attempt of starts) this.#sendStart(attempt);
  }

  #isUsable(worker: WorkerRecord, nowMs: number): boolean {
    return (
      worker.isRegistered &&
      worker.hasReported &&
      !worker.info.isDraining &&
      this.#hasProbeRoom(worker, nowMs) &&
      worker.asideUntilMs <= nowMs &&
      nowMs - worker.reportMs < REPORT_AGE_MS
    );
  }

  /** A worker on which all fails is set aside, then tried with one task. */
  #hasProbeRoom(worker: WorkerRecord, nowMs: number): boolean {
    const room = this.#health.roomOn(worker.id, nowMs);
    if (room === Number.POSITIVE_INFINITY) return true;
    return room > 0 && worker.attempts.size <= worker.serving.size;
  }

  /** Judges a worker by how its runs end. */
  #judge(worker: WorkerRecord, jobId: string, end: RunEnd): void {
    if (end === RunEnd.Done) this.#health.onDone(worker.id);
    if (end !== RunEnd.Failed) return;
    const wasToBlame = this.#health.isToBlame(worker.id);
    this.#health.onFailed(worker.id, jobId, this.#options.clock.nowMs());
    if (wasToBlame || !this.#health.isToBlame(worker.id)) return;
    this.#options.journal.warn(
      "A worker fails what it runs; it is set aside.",
      {
        worker: worker.id,
        job: jobId,
      },
    );
  }

  /** Whether it is certain where all runs are. */
  #checkSettled(): boolean {
    if (this.#isSettled) return true;
    const { clock, journal } = this.#options;
    const nowMs = clock.nowMs();
    const silent: string[] = [];
    for (const worker of this.board.workers.values()) {
      if (worker.hasReported) continue;
      if (nowMs < worker.lapseMs) return false;
      silent.push(worker.id);
    }
    this.#isSettled = true;
    journal.info("All runs are known.", {
      tookMs: Math.round(nowMs - this.#start.heldMs),
      silent,
    });
    return true;
  }

  /** Jobs take their queue's terms from the newest version that has it. */
  #followConfig(): void {
    const { version, queues } = this.#options.config();
    if (version === this.#configVersion) return;
    this.#configVersion = version;
    const byName = new Map(queues.map((queue) => [queue.name, queue]));
    for (const record of this.board.jobs.values()) {
      record.queue = byName.get(record.job.queue) ?? record.queue;
    }
  }

  /** Forgets jobs that are over and workers that are gone. */
  #sweep(): void {
    for (const id of this.#stored) {
      const record = this.board.jobs.get(id);
      if (record !== undefined && hasAttempts(record)) continue;
      this.board.dropJob(id);
      this.#stored.delete(id);
    }
    for (const worker of this.board.workers.values()) {
      if (worker.isRegistered || worker.attempts.size > 0) continue;
      // It may still run what a former leader gave it.
      if (!worker.hasReported && !this.#isSettled) continue;
      this.board.workers.delete(worker.id);
      this.#links.get(worker.id)?.gone.abort();
      this.#links.delete(worker.id);
    }
  }

  #followJobs(): RowFollower {
    const { clock, table, journal } = this.#options;
    return new RowFollower({
      clock,
      table,
      journal,
      floor: this.#start.held.revision,
      prefix: RowPrefix.Jobs,
      listener: {
        onSnapshot: ({ rows }) => {
          for (const row of rows) this.#onJobRow(row);
        },
        onChange: (row) => this.#onJobRow(row),
      },
    });
  }

  #followWorkers(): RowFollower {
    const { clock, table, journal, registry } = this.#options;
    return new RowFollower({
      clock,
      table,
      journal,
      floor: this.#start.held.revision,
      prefix: registry.prefix,
      listener: {
        onSnapshot: (snapshot) => this.#onWorkers(snapshot),
        onChange: (row) => {
          this.#onWorkerRow(idIn(registry.prefix, row.key), row.value);
          this.#plan.set();
        },
      },
    });
  }

  #onStates({ rows }: Snapshot): void {
    for (const row of rows) {
      const state = readState(row);
      if (state.ok) {
        this.#states.set(idOfKey(row.key), state.val);
      } else this.#onMalformed(row.key, state.val.message);
    }
  }

  #onJobRow(row: ChangedRow): void {
    const id = idOfKey(row.key);
    if (row.value === undefined) return;
    const read = readJobRow({ value: row.value });
    if (read.err) {
      this.#onMalformed(row.key, read.val.message);
      return;
    }
    const { job, isCancelled } = read.val;
    if (isCancelled) this.#onCancelled(id);
    if (job === undefined || this.board.jobs.has(id)) return;
    // Rows may be read again after their job is over.
    if (this.#finished.has(id)) return;
    this.#addJob(job, row.revision);
  }

  #addJob(job: Job, revision: number): void {
    const { config, journal } = this.#options;
    const state = this.#states.get(job.id);
    this.#states.delete(job.id);
    if (state !== undefined && isFinal(state.phase)) {
      this.#closer.add(job.id, revision);
      return;
    }
    const queue = config().queues.find(({ name }) => name === job.queue);
    const record = this.board.addJob(job, revision, { queue, state });
    journal.info("A job is taken in.", {
      job: job.id,
      queue: job.queue,
      revision,
      phase: record.phase,
      steps: job.steps.length,
    });
    this.#plan.set();
  }

  #onCancelled(id: string): void {
    const wallMs = this.#options.clock.wallMs();
    const record = this.board.cancelJob(id, wallMs);
    if (record === undefined) return;
    this.#options.journal.info("A job is cancelled.", { job: id });
    this.#plan.set();
  }

  #onWorkers({ rows }: Snapshot): void {
    const { prefix } = this.#options.registry;
    const listed = new Set<string>();
    for (const row of rows) {
      const id = idIn(prefix, row.key);
      listed.add(id);
      this.#onWorkerRow(id, row.value);
    }
    for (const worker of this.board.workers.values()) {
      if (!listed.has(worker.id)) this.#onWorkerRow(worker.id, undefined);
    }
  }

  #onWorkerRow(id: string, value: string | undefined): void {
    const { registry, journal } = this.#options;
    const known = this.board.workers.get(id);
    if (value === undefined) {
      if (known === undefined || !known.isRegistered) return;
      known.isRegistered = false;
      journal.info("A worker left the registry.", { worker: id });
      return;
    }
    const info = registry.decode(id, value);
    if (info.err) {
      this.#onMalformed(id, info.val.message);
      return;
    }
    if (known !== undefined && info.val.isDraining !== known.info.isDraining) {
      journal.info("A worker changed its state.", {
        worker: id,
        isDraining: info.val.isDraining,
      });
    }
    const worker = this.board.addWorker(info.val);
    if (known === undefined) this.#openLink(worker);
  }

  #openLink(worker: WorkerRecord): void {
    const { clock, journal, metrics, port, leaseMs } = this.#options;
    // What a former leader granted; own grants move it on.
    const leftMs = this.#start.held.row.silent[worker.id];
    worker.lapseMs =
      leftMs === undefined ? this.#settledMs : this.#start.takenMs + leftMs;
    const link = new WorkerLink(worker, {
      clock,
      journal,
      metrics,
      board: this.board,
      port,
      epoch: this.#start.held.row.epoch,
      leaseMs,
      mayOrder: () => this.#right.isValid && !this.#isLost,
      onFenced: () => this.#onFenced(worker.id),
      onNews: () => {
        this.#plan.set();
        this.#log.wake();
      },
      onReport: (reported) => {
        this.#relieve(reported);
        this.#moveStalled(reported);
      },
    });
    const gone = new AbortController();
    this.#links.set(worker.id, { link, gone });
    this.#spawn(this.#runLink(link, gone));
  }

  async #runLink(link: WorkerLink, gone: AbortController): Promise<void> {
    const stop = () => gone.abort();
    this.#over.signal.addEventListener("abort", stop);
    if (this.#over.signal.aborted) stop();
    while (!gone.signal.aborted) {
      try {
        await link.run(gone.signal);
      } catch (error) {
        // Without renewals all that runs on the worker would end.
        this.#onFailure(error);
        await this.#options.clock.sleep(LINK_RESTART_MS, gone.signal);
      }
    }
    this.#over.signal.removeEventListener("abort", stop);
  }

  #sendStart(attempt: Attempt): void {
    const link = this.#links.get(attempt.worker.id)?.link;
    if (link === undefined) {
      this.board.onRefused(attempt, this.#options.clock.nowMs());
      return;
    }
    this.#openStarts += 1;
    this.#spawn(
      link.start(attempt).finally(() => {
        this.#openStarts -= 1;
        this.#plan.set();
      }),
    );
  }

  #sendStop(stop: StopRequest): void {
    const link = this.#links.get(stop.worker.id)?.link;
    if (link !== undefined) this.#spawn(link.stop(stop));
  }

  /** Lets fillers give way to the serving tasks of a worker. */
  #relieve(worker: WorkerRecord): void {
    const nowMs = this.#options.clock.nowMs();
    this.#model.observe(worker, nowMs);
    const { restoreMs } = this.#options;
    const options = { nowMs, restoreMs };
    for (const order of planRelief(this.#model, worker, options)) {
      const { filler, relief, ratio } = order;
      const { stepRun, index } = filler.task;
      this.#options.journal.info("A filler changes its pace.", {
        job: stepRun.record.job.id,
        step: stepRun.number,
        task: index,
        worker: worker.id,
        relief,
        ratio: Math.round(ratio * 100) / 100,
      });
      this.#options.metrics.count(`reliefs{relief="${relief}"}`);
      if (relief === Relief.Move) {
        this.board.stop(filler, "presses on a serving task");
        continue;
      }
      const link = this.#links.get(worker.id)?.link;
      const isPause = relief === Relief.Pause;
      filler.pausedMs = isPause ? nowMs : undefined;
      const percent = isPause ? 0 : 100;
      if (link !== undefined) this.#spawn(link.pace(filler, percent));
    }
  }

  /** Starts runs anew elsewhere that stand still where they are. */
  #moveStalled(worker: WorkerRecord): void {
    const nowMs = this.#options.clock.nowMs();
    const stalled = listStalled(worker, nowMs);
    if (stalled.length === 0) return;
    setStalledAside(worker, nowMs);
    this.#options.metrics.count("stalled_runs", stalled.length);
    this.#options.journal.info("Runs stand still and are started elsewhere.", {
      worker: worker.id,
      attempts: worker.attempts.size,
      stalled: stalled.map(({ task, run, percent }) => ({
        job: task.stepRun.record.job.id,
        step: task.stepRun.number,
        task: task.index,
        run,
        percent,
      })),
    });
    for (const attempt of stalled) this.board.stop(attempt, "stands still");
  }

  #onEnd(task: Task, { end, run }: EndedRun, worker: WorkerRecord): void {
    const { metrics, journal } = this.#options;
    metrics.count(`ends{end="${end}"}`);
    this.#plan.set();
    this.#judge(worker, task.stepRun.record.job.id, end);
    if (end === RunEnd.Done) return;
    journal.info("A run did not end as done.", {
      job: task.stepRun.record.job.id,
      step: task.stepRun.number,
      task: task.index,
      run,
      end,
      worker: worker.id,
      failures: task.failedRuns.size,
    });
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

  #onMalformed(key: string, cause: string): void {
    this.#options.journal.warn("A row cannot be read.", { key, cause });
  }

  #onFailure(error: unknown): void {
    this.#options.journal.error("A task of the leader failed.", {
      error: error instanceof Error ? error.stack : String(error),
    });
  }

  /** Keeps a task of this term until it ends. */
  #spawn(work: Promise<void>): void {
    const task = work.catch((error: unknown) => this.#onFailure(error));
    this.#tasks.add(task);
    task.finally(() => this.#tasks.delete(task));
  }
}

/** A worker of which only the address is known: it gets no new task. */
function unlistedWorker(id: string, address: string): RegisteredWorker {
  return {
    id,
    address,
    pool: "",
    failureDomain: "",
    isDraining: true,
    capacity: NO_RESOURCES,
    labels: [],
    rack: "",
    bornMs: 0,
  };
}

function idIn(prefix: string, key: string): string {
  return key.slice(prefix.length);
}
