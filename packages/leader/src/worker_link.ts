import type { Clock } from "@laburnumtrack/core/clock";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { JobBoard, StopRequest } from "@laburnumtrack/jobs/job_board";
import { type Attempt, AttemptPhase, nameOf } from "@laburnumtrack/jobs/task";
import {
  type StartReply,
  StartVerdict,
  type TaskName,
  type TaskWorker,
  type WorkerReport,
} from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { WorkerClock } from "./worker_clock";

/** What a link needs of the term that it belongs to. */
export interface LinkOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  readonly port: TaskWorker;
  readonly epoch: number;
  /** Length of a lease in ms. */
  readonly leaseMs: number;
  /** Whether this leader may still send orders. */
  readonly mayOrder: () => boolean;
  /** The worker has seen a newer leader. */
  readonly onFenced: (worker: string) => void;
  /** The board changed: plan again, store again. */
  readonly onNews: () => void;
  /** A report was taken in. */
  readonly onReport: (worker: WorkerRecord) => void;
}

/** Longest wait of a renewal for an end, in whole ms. */
const RENEW_WAIT_MS = 900;
/** The same for a worker on which fillers may press on serving tasks. */
const PRESSED_WAIT_MS = 350;
/** Pause between renewals while ends wait to be stored, in ms. */
const UNSTORED_PAUSE_MS = 50;
/** Longest pause for ends to be stored before the next renewal, in ms. */
const UNSTORED_LIMIT_MS = 250;
/** Pause after a renewal that failed, in ms. */
const RETRY_MS = 150;
/** Pause while this leader may not order, in ms. */
const BARRED_MS = 50;
/** Tries of an order that gets no answer. */
const ORDER_TRIES = 3;
/** A worker's clock may be slow by 2%; the rest allows for the way. */
const LAPSE_FACTOR = 1.05;
const LAPSE_SLACK_MS = 200;
/** A clock this far behind its estimate may be that of a new life, in ms. */
const CLOCK_BACK_MS = 500;
/** Pause of a worker that had no room or was not well, in ms. */
const ASIDE_MS = 300;

/** Monotonic ms at which a lease granted at `grantedMs` has surely lapsed. */
export function surelyLapsedMs(grantedMs: number, leaseMs: number): number {
  return grantedMs + leaseMs * LAPSE_FACTOR + LAPSE_SLACK_MS;
}

/** Renews the lease of one worker, takes in its reports, sends its orders. */
export class WorkerLink {
  readonly worker: WorkerRecord;
  readonly #options: LinkOptions;
  readonly #clock = new WorkerClock();
  readonly #stops = new Set<string>();
  /**
   * Monotonic ms of the last sign that the worker may have started anew. A new
   * life counts its ends from 1: acknowledging by the former life's numbers
   * would drop ends that nobody has seen.
   */
  #doubtMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms at which the last answered renewal was sent. */
  #heardMs = Number.NEGATIVE_INFINITY;

  constructor(worker: WorkerRecord, options: LinkOptions) {
    this.worker = worker;
    this.#options = options;
  }

  /** Renews until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, mayOrder } = this.#options;
    while (!signal.aborted) {
      if (!mayOrder()) {
        await clock.sleep(BARRED_MS, signal);
        continue;
      }
      const isAnswered = await this.#renew(signal);
      if (signal.aborted) return;
      if (isAnswered && !this.worker.mayLease) {
        this.#options.onNews();
        await clock.sleep(BARRED_MS, signal);
      } else if (isAnswered) await this.#waitUntilStored(signal);
      else await clock.sleep(RETRY_MS, signal);
    }
  }

  /** Sends a start until it is answered; the board learns the outcome. */
  async start(attempt: Attempt): Promise<void> {
    const { clock, board, port, mayOrder, metrics } = this.#options;
    let isUncertain = false;
    for (let tries = 0; tries < ORDER_TRIES; tries += 1) {
      if (attempt.phase !== AttemptPhase.Starting || !mayOrder()) break;
      const leaseUntilMs = this.#grantLease();
      if (leaseUntilMs === undefined) break;
      const { task, run } = attempt;
      const sentMs = clock.nowMs();
      const reply = await port.start(this.worker.info, {
        task: nameOf(task),
        run,
        spec: task.stepRun.record.job.spec,
        epoch: this.#options.epoch,
        leaseUntilMs,
        checkpoint: task.checkpoint,
        ticket: "",
      });
      metrics.recordMs("start_order", clock.nowMs() - sentMs);
      if (reply.ok) {
        this.#onStartReply(attempt, reply.val, isUncertain);
        return;
      }
      this.#onOrderFault(reply.val);
      if (reply.val.code === FaultCode.Fenced) return;
      if (reply.val.code === FaultCode.OutcomeUnknown) isUncertain = true;
    }
    if (!isUncertain && attempt.phase === AttemptPhase.Starting) {
      board.onRefused(attempt, clock.nowMs() + ASIDE_MS);
      this.#setAside();
      this.#options.onNews();
    }
  }

  /** Sends a stop until it is answered. */
  async stop(stop: StopRequest): Promise<void> {
    const { jobId, occurrence, step, index } = stop.task;
    const key = `${jobId}/${occurrence}/${step}/${index}/${stop.run}`;
    if (this.#stops.has(key)) return;
    this.#stops.add(key);
    try {
      await this.#sendStop(stop);
    } finally {
      this.#stops.delete(key);
    }
  }

  /** Changes the pace of a run. */
  async pace(attempt: Attempt, percent: number): Promise<void> {
    const { port, epoch, mayOrder } = this.#options;
    if (!mayOrder()) return;
    const { task, run } = attempt;
    const order = { task: nameOf(task), run, epoch };
    const done = await port.pace(this.worker.info, order, percent);
    if (done.err) {
      this.#onOrderFault(done.val);
      return;
    }
    attempt.pacePercent = percent;
    this.worker.touch();
  }

  async #sendStop({ task, run }: StopRequest): Promise<void> {
    const { port, epoch, mayOrder } = this.#options;
    for (let tries = 0; tries < ORDER_TRIES; tries += 1) {
      if (!mayOrder()) return;
      const done = await port.stop(this.worker.info, { task, run, epoch });
      if (done.ok) {
        this.#onStopped(task, run);
        return;
      }
      this.#onOrderFault(done.val);
      if (done.val.code === FaultCode.Fenced) return;
    }
  }

  #onStopped({ jobId, occurrence, step, index }: TaskName, run: number): void {
    const nowMs = this.#options.clock.nowMs();
    for (const attempt of this.worker.attempts) {
      const { stepRun } = attempt.task;
      const isIt =
        attempt.phase === AttemptPhase.Stopping &&
        attempt.run === run &&
        attempt.task.index === index &&
        stepRun.number === step &&
        stepRun.occurrence === occurrence &&
        stepRun.record.job.id === jobId;
      if (isIt) attempt.stoppedMs ??= nowMs;
    }
  }

  async #renew(signal: AbortSignal): Promise<boolean> {
    const { clock, port, epoch, metrics } = this.#options;
    const { worker } = this;
    const sentMs = clock.nowMs();
    const leaseUntilMs = this.#grantLease();
    const isQuick = leaseUntilMs === undefined;
    const reply = await port.renew(worker.info, {
      epoch,
      acknowledged: this.#heardMs > this.#doubtMs ? worker.storedEnd : 0,
      leaseUntilMs,
      waitMs: isQuick ? 0 : this.#waitMs,
    });
    if (signal.aborted) return false;
    metrics.count("renewals");
    if (reply.err) {
      this.#doubtMs = clock.nowMs();
      this.#onSilent(reply.val);
      return false;
    }
    this.#heardMs = sentMs;
    this.#onReport(reply.val, sentMs);
    return true;
  }

  get #waitMs(): number {
    const { serving, fillerMilli } = this.worker;
    return serving.size > 0 && fillerMilli > 0
      ? PRESSED_WAIT_MS
      : RENEW_WAIT_MS;
  }

  #onReport(report: WorkerReport, sentMs: number): void {
    const { clock, board, journal, onNews, onReport } = this.#options;
    const { worker } = this;
    const nowMs = clock.nowMs();
    if (worker.isSilent) {
      worker.isSilent = false;
      journal.info("A worker answers again.", { worker: worker.id });
    }
    this.#clock.onReading(report.clockMs, nowMs);
    if (worker.bornMs !== 0 && report.bornMs !== worker.bornMs) {
      journal.info("A worker was started again; what ran there is gone.", {
        worker: worker.id,
        bornMs: report.bornMs,
        attempts: worker.attempts.size,
      });
    }
    const before = worker.lastEnd;
    const wasNew = !worker.hasReported;
    board.onReport(worker, report, { sentMs, nowMs, wallMs: clock.wallMs() });
    onReport(worker);
    if (worker.lastEnd !== before || wasNew) onNews();
  }

  #onSilent(fault: Fault): void {
    const { clock, board, journal, onNews } = this.#options;
    const { worker } = this;
    this.#onOrderFault(fault);
    if (!worker.isSilent) {
      worker.isSilent = true;
      journal.warn("A worker does not answer.", {
        worker: worker.id,
        attempts: worker.attempts.size,
        cause: fault.message,
      });
    }
    if (worker.attempts.size === 0 || clock.nowMs() < worker.lapseMs) return;
    journal.warn("A silent worker's lease has lapsed; its tasks start anew.", {
      worker: worker.id,
      attempts: worker.attempts.size,
    });
    board.onLost(worker);
    onNews();
  }

  #onOrderFault(fault: Fault): void {
    if (fault.code === FaultCode.Fenced) this.#options.onFenced(this.worker.id);
  }

  #onStartReply(
    attempt: Attempt,
    { verdict, clockMs }: StartReply,
    isUncertain: boolean,
  ): void {
    const { clock, board, journal, onNews, metrics } = this.#options;
    const nowMs = clock.nowMs();
    if (clockMs !== undefined) {
      const expectedMs = this.#clock.estimate(nowMs) ?? clockMs;
      if (clockMs < expectedMs - CLOCK_BACK_MS) this.#doubtMs = nowMs;
      this.#clock.onReading(clockMs, nowMs);
    }
    if (verdict === StartVerdict.Started) {
      metrics.count("starts");
      board.onStarted(attempt, nowMs);
      return;
    }
    metrics.count(`starts_refused{verdict="${verdict}"}`);
    journal.info("A worker refused a start.", {
      worker: this.worker.id,
      verdict,
      job: attempt.task.stepRun.record.job.id,
      run: attempt.run,
      isUncertain,
    });
    if (verdict === StartVerdict.Over) {
      // Its end stands in the next report.
      attempt.confirmedMs ??= nowMs;
      return;
    }
    this.#setAside();
    // An earlier try of the same order may yet be carried out.
    if (isUncertain) board.stop(attempt, "start refused after a lost answer");
    else board.onRefused(attempt, nowMs);
    onNews();
  }

  #setAside(): void {
    const untilMs = this.#options.clock.nowMs() + ASIDE_MS;
    const { worker } = this;
    worker.asideUntilMs = Math.max(worker.asideUntilMs, untilMs);
  }

  /**
   * End of a new lease on the worker's clock; undefined when the clock is not
   * known, the worker is silent and its old lease must end first, or the next
   * leader would not know of it.
   */
  #grantLease(): number | undefined {
    if (!this.worker.mayLease) return undefined;
    const { clock, leaseMs } = this.#options;
    const nowMs = clock.nowMs();
    const workerMs = this.#clock.estimate(nowMs);
    if (workerMs === undefined) return undefined;
    const lapseMs = surelyLapsedMs(nowMs, leaseMs);
    this.worker.lapseMs = Math.max(this.worker.lapseMs, lapseMs);
    return workerMs + leaseMs;
  }

  async #waitUntilStored(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + UNSTORED_LIMIT_MS;
    const { worker } = this;
    while (worker.knownEnd > worker.storedEnd && clock.nowMs() < untilMs) {
      await clock.sleep(UNSTORED_PAUSE_MS, signal);
      if (signal.aborted) return;
    }
  }
}
