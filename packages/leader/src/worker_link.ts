import type { Clock } from "@laburnumtrack/core/clock";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { JobBoard, StopRequest } from "@laburnumtrack/jobs/job_board";
import {
  type Attempt,
  AttemptPhase,
  taskNameOf,
} from "@laburnumtrack/jobs/task";
import {
  type StartReply,
  StartVerdict,
  type TaskWorker,
  type WorkerReport,
} from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import type { EvacuationGuard } from "./evacuation_guard";
import type { OrderLatency } from "./order_latency";
import { sendWithResends } from "./resent_order";
import { WorkerClock } from "./worker_clock";

/** Options that the links of a term share. */
export interface WorkerLinkOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly port: TaskWorker;
  readonly guard: EvacuationGuard;
  /** Epoch of this leader; workers refuse orders of older ones. */
  readonly epoch: number;
  /** Length of the leases to grant, in ms. */
  readonly leaseMs: number;
  /** How long workers take to answer orders. */
  readonly latency: OrderLatency;
  /** Whether this leader may still send orders. */
  readonly maySendOrders: () => boolean;
  /** Called when a worker refuses an order because it knows a newer leader. */
  readonly onFenced: (worker: string) => void;
  /** Called when the board changed, so that it is planned and stored anew. */
  readonly onBoardChanged: () => void;
  /** Called after a report of the worker was applied to the board. */
  readonly onReport: (worker: WorkerRecord) => void;
}

/** Longest time that a worker holds a renewal until a run ends, in whole ms. */
const RENEWAL_WAIT_MS = 900;
/**
 * The same where fillers may slow serving tasks: reports are due more often.
 */
const PRESSURE_RENEWAL_WAIT_MS = 350;
/** The same while a stop on a restarted worker is not known to be effective. */
const LATE_START_RENEWAL_WAIT_MS = 50;
/** Interval at which stored ends are checked before a renewal, in ms. */
const STORE_POLL_INTERVAL_MS = 50;
/** Longest time that a renewal waits for ends to be stored, in ms. */
const MAX_STORE_WAIT_MS = 250;
/** Pause after a renewal that failed, in ms. */
const RENEWAL_RETRY_PAUSE_MS = 150;
/** Pause while no orders may be sent or no lease may be granted, in ms. */
const NO_ORDERS_PAUSE_MS = 50;
/** Interval at which an evacuated worker is checked for use, in ms. */
const EVACUATED_PAUSE_MS = 500;
/** Most times that an order without a definite answer is sent. */
const MAX_ORDER_TRIES = 3;
/** Margin for a worker's clock, which may be slow by 2%. */
const LEASE_CLOCK_FACTOR = 1.05;
/** Allowance for the time that a lease takes to reach the worker, in ms. */
const LEASE_TRANSIT_MS = 200;
/** A clock this far behind its estimate suggests a restarted worker, in ms. */
const CLOCK_REGRESSION_MS = 500;
/** Time without new tasks for a worker that refused a start, in ms. */
const REFUSAL_BACKOFF_MS = 300;

/**
 * Longest lease that is granted, in ms. The tasks of a lost worker start again
 * only when its lease has expired.
 */
const MAX_LEASE_MS = 6000;

/** Length in ms of the leases granted to workers that accept `acceptedMs`. */
export function grantedLeaseMs(acceptedMs: number): number {
  return Math.min(acceptedMs, MAX_LEASE_MS);
}

/**
 * Monotonic ms by which a lease granted at `grantedMs` has certainly expired.
 */
export function latestExpiryMs(grantedMs: number, leaseMs: number): number {
  return grantedMs + leaseMs * LEASE_CLOCK_FACTOR + LEASE_TRANSIT_MS;
}

/** Renews the lease of one worker, applies its reports and sends it orders. */
export class WorkerLink {
  readonly worker: WorkerRecord;
  readonly #options: WorkerLinkOptions;
  readonly #clock = new WorkerClock();
  readonly #openStops = new Set<string>();
  /**
   * Monotonic ms of the last sign that the worker may have restarted. A
   * restarted worker numbers its ends from 1 again: acknowledging them by the
   * former numbers would drop ends that this leader has not seen.
   */
  #restartMs = Number.NEGATIVE_INFINITY;
  /** Number up to which the last answered renewal acknowledged ends. */
  #acknowledgedEnd = 0;
  /** Monotonic ms at which the last answered renewal was sent. */
  #answeredMs = Number.NEGATIVE_INFINITY;

  constructor(worker: WorkerRecord, options: WorkerLinkOptions) {
    this.worker = worker;
    this.#options = options;
  }

  /** Renews the lease until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, maySendOrders } = this.#options;
    while (!signal.aborted) {
      if (!maySendOrders()) {
        await clock.sleep(NO_ORDERS_PAUSE_MS, signal);
        continue;
      }
      if (this.worker.isEvacuated && this.#isAcknowledged) {
        await clock.sleep(EVACUATED_PAUSE_MS, signal);
        continue;
      }
      const isAnswered = await this.#renew(signal);
      if (signal.aborted) return;
      if (isAnswered && !this.worker.canGrantLease) {
        this.#options.onBoardChanged();
        await clock.sleep(NO_ORDERS_PAUSE_MS, signal);
      } else if (isAnswered) await this.#waitUntilStored(signal);
      else await clock.sleep(RENEWAL_RETRY_PAUSE_MS, signal);
    }
  }

  /** Whether the worker knows that all ends it has reported are stored. */
  get #isAcknowledged(): boolean {
    const { hasReported, lastEndNumber } = this.worker;
    return hasReported && this.#acknowledgedEnd >= lastEndNumber;
  }

  /** Sends a start, with retries, and reports the outcome to the board. */
  async start(attempt: Attempt): Promise<void> {
    const { clock, board, port, maySendOrders, metrics, latency, guard } =
      this.#options;
    const start = { task: taskNameOf(attempt.task), run: attempt.run };
    let isWithdrawn = false;
    const { value, isFenced, isUncertain } = await sendWithResends({
      clock,
      maxTries: MAX_ORDER_TRIES,
      resendDelayMs: latency.resendDelayMs,
      send: () => {
        const isOpen =
          attempt.phase === AttemptPhase.Starting &&
          this.worker.attempts.has(attempt);
        if (!isOpen || !maySendOrders()) return undefined;
        if (!guard.mayStartOn(this.worker)) {
          isWithdrawn = true;
          return undefined;
        }
        const leaseUntilMs = this.#grantStart();
        if (leaseUntilMs === undefined) return undefined;
        const { task } = attempt;
        const sentMs = clock.nowMs();
        guard.onSending(attempt);
        const { bornMs } = this.worker;
        board.lateStarts.add(this.worker.id, start, { bornMs, nowMs: sentMs });
        const call = port.start(this.worker.info, {
          ...start,
          spec: task.stepRun.record.job.spec,
          epoch: this.#options.epoch,
          leaseUntilMs,
          checkpoint: task.checkpoint,
          ticket: "",
        });
        return call.then((reply) => {
          const tookMs = clock.nowMs() - sentMs;
          metrics.recordMs("start_order", tookMs);
          if (reply.ok) latency.record(tookMs);
          return reply;
        });
      },
      onFault: (fault) => this.#onOrderFault(fault),
    });
    if (!isUncertain) board.lateStarts.remove(this.worker.id, start);
    if (value !== undefined) {
      this.#onStartReply(attempt, value, isUncertain);
      return;
    }
    if (isFenced) return;
    if (isWithdrawn) {
      this.#withdraw(attempt, isUncertain);
      return;
    }
    if (!isUncertain && attempt.phase === AttemptPhase.Starting) {
      board.onRefused(attempt, clock.nowMs() + REFUSAL_BACKOFF_MS);
      this.#backOff();
      this.#options.onBoardChanged();
    }
  }

  /** Gives up a start on a worker whose failure domain is evacuated. */
  #withdraw(attempt: Attempt, isUncertain: boolean): void {
    const { board, clock, metrics, guard, onBoardChanged } = this.#options;
    metrics.count("evacuation_withdrawn_starts");
    if (attempt.task.stepRun.step.isGang) {
      // The other tasks of the gang must not wait for this one.
      guard.stopOpenStarts();
      return;
    }
    // An earlier try of the same order may still take effect.
    if (isUncertain) board.stop(attempt, "its failure domain is evacuated");
    else board.onRefused(attempt, clock.nowMs());
    onBoardChanged();
  }

  /**
   * Sends a stop, with retries; does nothing while the same one is being sent.
   */
  async stop(stop: StopRequest): Promise<void> {
    const { jobId, occurrence, step, index } = stop.task;
    const key = `${jobId}/${occurrence}/${step}/${index}/${stop.run}`;
    if (this.#openStops.has(key)) return;
    this.#openStops.add(key);
    try {
      await this.#sendStop(stop);
    } finally {
      this.#openStops.delete(key);
    }
  }

  /** Sets the pace of a run, in percent of full speed. */
  async pace(attempt: Attempt, percent: number): Promise<void> {
    const { port, epoch, maySendOrders } = this.#options;
    if (!maySendOrders()) return;
    const { task, run } = attempt;
    const order = { task: taskNameOf(task), run, epoch };
    const done = await port.pace(this.worker.info, order, percent);
    if (done.err) {
      this.#onOrderFault(done.val);
      return;
    }
    attempt.pacePercent = percent;
    this.worker.markChanged();
  }

  async #sendStop({ task, run }: StopRequest): Promise<void> {
    const { clock, board, port, epoch, maySendOrders, latency } = this.#options;
    const { worker } = this;
    const { bornMs } = worker;
    const { value, isFenced } = await sendWithResends({
      clock,
      maxTries: MAX_ORDER_TRIES,
      resendDelayMs: latency.resendDelayMs,
      send: () =>
        maySendOrders()
          ? port
              .stop(worker.info, { task, run, epoch })
              .then((done) => done.map(() => true))
          : undefined,
      onFault: (fault) => this.#onOrderFault(fault),
    });
    if (value === undefined || isFenced) return;
    // The former incarnation may have answered; the next report repeats it.
    if (worker.bornMs !== bornMs) return;
    board.onStopped(worker, task, run, clock.nowMs());
  }

  async #renew(signal: AbortSignal): Promise<boolean> {
    const { clock, latency } = this.#options;
    const waitMs = this.worker.canGrantLease ? this.#waitMs : 0;
    // Where workers are cut off, more calls to them delay those to others.
    const resendDelayMs = this.worker.isSilent
      ? undefined
      : latency.resendDelayMs;
    let isFirst = true;
    let lastFault: Fault | undefined;
    const { value } = await sendWithResends({
      clock,
      maxTries: resendDelayMs === undefined ? 1 : MAX_ORDER_TRIES,
      resendDelayMs: resendDelayMs && waitMs + resendDelayMs,
      send: () => {
        const mayFollow =
          lastFault === undefined &&
          !signal.aborted &&
          this.#options.maySendOrders();
        // A renewal that failed is repeated by the next round.
        if (!mayFollow) return undefined;
        const call = this.#sendRenewal(
          isFirst
            ? { acknowledged: this.#acknowledgeable, waitMs }
            : // Whether the worker has restarted since is not known.
              { acknowledged: 0, waitMs: 0 },
        );
        isFirst = false;
        return call;
      },
      onFault: (fault) => {
        lastFault = fault;
      },
    });
    if (signal.aborted) return false;
    if (value === undefined) {
      this.#restartMs = clock.nowMs();
      if (lastFault !== undefined) this.#onRenewalFailed(lastFault);
      return false;
    }
    this.#answeredMs = value.sentMs;
    this.#acknowledgedEnd = value.acknowledged;
    this.#onReport(value.report, value.sentMs);
    return true;
  }

  /** Number up to which ends may be acknowledged to the worker. */
  get #acknowledgeable(): number {
    return this.#answeredMs > this.#restartMs ? this.worker.storedEndNumber : 0;
  }

  async #sendRenewal({
    acknowledged,
    waitMs,
  }: {
    acknowledged: number;
    waitMs: number;
  }) {
    const { clock, port, epoch, metrics } = this.#options;
    const sentMs = clock.nowMs();
    const leaseUntilMs = this.#grantLease();
    const reply = await port.renew(this.worker.info, {
      epoch,
      acknowledged,
      leaseUntilMs,
      waitMs: leaseUntilMs === undefined ? 0 : waitMs,
    });
    metrics.count("renewals");
    return reply.map((report) => ({ report, sentMs, acknowledged }));
  }

  get #waitMs(): number {
    const { serving, fillerMilli, hasLateStarts } = this.worker;
    if (hasLateStarts) return LATE_START_RENEWAL_WAIT_MS;
    return serving.size > 0 && fillerMilli > 0
      ? PRESSURE_RENEWAL_WAIT_MS
      : RENEWAL_WAIT_MS;
  }

  #onReport(report: WorkerReport, sentMs: number): void {
    const { clock, board, journal, onBoardChanged, onReport } = this.#options;
    const { worker } = this;
    const nowMs = clock.nowMs();
    if (worker.isSilent) {
      worker.isSilent = false;
      journal.info("A worker answers lease renewals again.", {
        worker: worker.id,
      });
    }
    this.#clock.onReading(report.clockMs, nowMs);
    if (worker.bornMs !== 0 && report.bornMs !== worker.bornMs) {
      journal.info(
        "A worker restarted; the runs of its former process are lost.",
        {
          worker: worker.id,
          bornMs: report.bornMs,
          attempts: worker.attempts.size,
        },
      );
    }
    const before = worker.lastEndNumber;
    const wasNew = !worker.hasReported;
    const hadLateStarts = worker.hasLateStarts;
    board.onReport(worker, report, { sentMs, nowMs, wallMs: clock.wallMs() });
    onReport(worker);
    if (worker.hasLateStarts !== hadLateStarts) {
      journal.info(
        worker.hasLateStarts
          ? "A restarted worker may carry out earlier starts; it gets no new task until it refuses them."
          : "A restarted worker refuses earlier starts; it takes tasks as before.",
        { worker: worker.id, bornMs: report.bornMs },
      );
    }
    const isUsable = hadLateStarts && !worker.hasLateStarts;
    if (worker.lastEndNumber !== before || wasNew || isUsable) onBoardChanged();
  }

  #onRenewalFailed(fault: Fault): void {
    const { clock, board, journal, onBoardChanged } = this.#options;
    const { worker } = this;
    this.#onOrderFault(fault);
    if (!worker.isSilent) {
      worker.isSilent = true;
      journal.warn(
        "A worker does not answer lease renewals; its runs are kept until its lease expires.",
        {
          worker: worker.id,
          attempts: worker.attempts.size,
          cause: fault.message,
        },
      );
      board.onSilent(worker, clock.nowMs());
    }
    if (fault.code === FaultCode.OtherInstance) this.#onOtherInstance();
    if (!worker.mayHaveRuns || clock.nowMs() < worker.leaseExpiryMs) return;
    journal.warn(
      "The lease of an unresponsive worker expired; its tasks are started again.",
      {
        worker: worker.id,
        attempts: worker.attempts.size,
      },
    );
    board.onLost(worker);
    onBoardChanged();
  }

  #onOtherInstance(): void {
    const { clock, board, journal, onBoardChanged } = this.#options;
    const { worker } = this;
    const { isReplaced, attempts } = worker;
    const attemptCount = attempts.size;
    board.onOtherInstance(worker, clock.nowMs());
    if (isReplaced || !worker.isReplaced) return;
    journal.warn(
      "Another worker has taken the place of an unresponsive one; its tasks are started again.",
      { worker: worker.id, attempts: attemptCount },
    );
    onBoardChanged();
  }

  #onOrderFault(fault: Fault): void {
    if (fault.code === FaultCode.Fenced) this.#options.onFenced(this.worker.id);
  }

  #onStartReply(
    attempt: Attempt,
    { verdict, clockMs }: StartReply,
    isUncertain: boolean,
  ): void {
    const { clock, board, journal, onBoardChanged, metrics } = this.#options;
    const nowMs = clock.nowMs();
    if (clockMs !== undefined) {
      const expectedMs = this.#clock.estimate(nowMs) ?? clockMs;
      if (clockMs < expectedMs - CLOCK_REGRESSION_MS) this.#restartMs = nowMs;
      this.#clock.onReading(clockMs, nowMs);
    }
    if (verdict === StartVerdict.Started) {
      metrics.count("starts");
      board.onStarted(attempt, nowMs);
      return;
    }
    metrics.count(`starts_refused{verdict="${verdict}"}`);
    journal.info("A worker refused to start a task.", {
      worker: this.worker.id,
      verdict,
      job: attempt.task.stepRun.record.job.id,
      run: attempt.run,
      isUncertain,
    });
    if (verdict === StartVerdict.Over) {
      // The run has ended already; its end is in the next report.
      attempt.confirmedMs ??= nowMs;
      return;
    }
    this.#backOff();
    // An earlier try of the same order may still take effect.
    if (isUncertain) board.stop(attempt, "start refused after a lost answer");
    else board.onRefused(attempt, nowMs);
    onBoardChanged();
  }

  #backOff(): void {
    const untilMs = this.#options.clock.nowMs() + REFUSAL_BACKOFF_MS;
    const { worker } = this;
    worker.backoffUntilMs = Math.max(worker.backoffUntilMs, untilMs);
  }

  /**
   * End of a new lease on the worker's clock. Undefined while no lease may be
   * granted: the worker's clock is unknown, its old lease must expire because it
   * did not answer, or the stored rows do not tell the next leader of it yet.
   */
  #grantLease(): number | undefined {
    if (!this.worker.canGrantLease) return undefined;
    const { clock, leaseMs } = this.#options;
    const nowMs = clock.nowMs();
    const workerMs = this.#clock.estimate(nowMs);
    if (workerMs === undefined) return undefined;
    const expiryMs = latestExpiryMs(nowMs, leaseMs);
    this.worker.leaseExpiryMs = Math.max(this.worker.leaseExpiryMs, expiryMs);
    return workerMs + leaseMs;
  }

  /** Grants a lease; its end, and the latest start, on the worker's clock. */
  #grantStart(): number | undefined {
    const leaseUntilMs = this.#grantLease();
    if (leaseUntilMs === undefined) return undefined;
    const { guard, leaseMs } = this.#options;
    // The next renewal extends a lease that is shortened for the start's sake.
    const earlierMs = Math.max(0, leaseMs - Math.floor(guard.startWindowMs));
    return leaseUntilMs - earlierMs;
  }

  async #waitUntilStored(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + MAX_STORE_WAIT_MS;
    const { worker } = this;
    while (
      worker.processedEndNumber > worker.storedEndNumber &&
      clock.nowMs() < untilMs
    ) {
      // So short a sleep costs less than one that can be aborted.
      await clock.sleep(STORE_POLL_INTERVAL_MS);
      if (signal.aborted) return;
    }
  }
}
