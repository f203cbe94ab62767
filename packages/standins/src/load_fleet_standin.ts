import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type EndedRun,
  type RenewOrder,
  RunEnd,
  type RunningRun,
  type RunOrder,
  type StartOrder,
  type StartReply,
  StartVerdict,
  type TaskName,
  TaskWorker,
  type WorkerReport,
  type WorkerTarget,
} from "@laburnumtrack/jobs/task_worker";
import { Err, Ok, type Result } from "ts-results";

interface LoadedRun extends RunningRun {
  readonly startMs: number;
  readonly workMs: number;
  timer: NodeJS.Timeout | undefined;
}

interface LoadedWorker {
  epoch: number;
  lastEndNumber: number;
  readonly runs: Map<string, LoadedRun>;
  ended: EndedRun[];
  /** Answers the renewal that waits for the next end. */
  onEnd: (() => void) | undefined;
}

/** Work of a task whose spec names none, in ms. */
const DEFAULT_WORK_MS = 1000;
/** Tail latency that tasks without an end report, in ms. */
const TAIL_MS = 20;

/**
 * Workers for load tests: event-driven, so that thousands of runs a second cost
 * little. They fence by epoch and keep ends until they are acknowledged, but
 * have no leases and no faults. A task's spec is its work in ms; 0 never ends.
 */
export class LoadFleetStandin extends TaskWorker {
  readonly #clock: Clock;
  readonly #workers = new Map<string, LoadedWorker>();
  #starts = 0;
  #ends = 0;
  #renewals = 0;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /** Numbers of calls carried out so far. */
  get counts(): { starts: number; ends: number; renewals: number } {
    const [starts, ends, renewals] = [this.#starts, this.#ends, this.#renewals];
    return { starts, ends, renewals };
  }

  override async start(
    { id }: WorkerTarget,
    order: StartOrder,
  ): Promise<Result<StartReply, Fault>> {
    const worker = this.#workerOf(id);
    if (order.epoch < worker.epoch) return Err(new Fault(FaultCode.Fenced, id));
    const key = keyOf(order.task);
    const startMs = this.#clock.nowMs();
    const workMs = Number(order.spec || DEFAULT_WORK_MS);
    const run: LoadedRun = {
      task: order.task,
      run: order.run,
      checkpoint: "",
      percent: 0,
      measurement: 0,
      startMs,
      workMs,
      timer: undefined,
    };
    if (workMs > 0) {
      run.timer = setTimeout(() => this.#end(worker, run, RunEnd.Done), workMs);
    }
    worker.runs.set(key, run);
    this.#starts += 1;
    return Ok({ verdict: StartVerdict.Started, clockMs: startMs });
  }

  override async stop(
    { id }: WorkerTarget,
    { task }: RunOrder,
  ): Promise<Result<void, Fault>> {
    const worker = this.#workerOf(id);
    const run = worker.runs.get(keyOf(task));
    if (run !== undefined) this.#end(worker, run, RunEnd.Stopped);
    return Ok(undefined);
  }

  override async pace(): Promise<Result<void, Fault>> {
    return Ok(undefined);
  }

  override async renew(
    { id }: WorkerTarget,
    { epoch, acknowledged, waitMs }: RenewOrder,
  ): Promise<Result<WorkerReport, Fault>> {
    const worker = this.#workerOf(id);
    if (epoch < worker.epoch) return Err(new Fault(FaultCode.Fenced, id));
    worker.epoch = epoch;
    worker.ended = worker.ended.filter(({ number }) => number > acknowledged);
    if (worker.ended.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        worker.onEnd = () => {
          clearTimeout(timer);
          resolve();
        };
      });
      worker.onEnd = undefined;
    }
    this.#renewals += 1;
    const nowMs = this.#clock.nowMs();
    return Ok({
      clockMs: nowMs,
      bornMs: 1,
      running: [...worker.runs.values()].map((run) => reportRun(run, nowMs)),
      ended: worker.ended,
      hasMore: false,
    });
  }

  #end(worker: LoadedWorker, run: LoadedRun, end: RunEnd): void {
    clearTimeout(run.timer);
    worker.runs.delete(keyOf(run.task));
    worker.lastEndNumber += 1;
    const { task, checkpoint } = run;
    const number = worker.lastEndNumber;
    worker.ended.push({ number, task, run: run.run, end, checkpoint });
    this.#ends += 1;
    worker.onEnd?.();
  }

  #workerOf(id: string): LoadedWorker {
    let worker = this.#workers.get(id);
    if (worker === undefined) {
      worker = {
        epoch: 0,
        lastEndNumber: 0,
        runs: new Map(),
        ended: [],
        onEnd: undefined,
      };
      this.#workers.set(id, worker);
    }
    return worker;
  }
}

function reportRun(run: LoadedRun, nowMs: number): RunningRun {
  const { task, checkpoint, startMs, workMs } = run;
  const isLasting = workMs === 0;
  const percent = isLasting
    ? 100
    : Math.min(99, Math.round(((nowMs - startMs) / workMs) * 100));
  const measurement = isLasting ? TAIL_MS : 0;
  return { task, run: run.run, checkpoint, percent, measurement };
}

function keyOf({ jobId, occurrence, step, index }: TaskName): string {
  return `${jobId}/${occurrence}/${step}/${index}`;
}
