import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Resources } from "@laburnumtrack/core/resources";
import {
  type EndedRun,
  type RenewOrder,
  RunEnd,
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

/** A run in the history of the fleet. */
export interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly startMs: number;
  /** Undefined while the run is active. */
  endMs: number | undefined;
  /** Undefined while the run is active, and if the worker restarted. */
  end: RunEnd | undefined;
}

/** A crash of a worker that a task caused. */
export interface WorkerCrash {
  readonly task: string;
  readonly worker: string;
  readonly atMs: number;
}

interface ActiveRun {
  readonly name: TaskName;
  readonly record: RunRecord;
  readonly resources: Resources;
  readonly isInGang: boolean;
  readonly work: Work;
  /** Work in ms that earlier runs have saved. */
  readonly resumedMs: number;
}

interface WorkerState {
  readonly id: string;
  /** Fleet time at which the clock of the worker started, in ms. */
  bornMs: number;
  /** Highest epoch of an accepted order; orders of lower epochs are fenced. */
  epoch: number;
  /** End of the lease on the clock of the worker, in ms. */
  leaseUntilMs: number;
  /** Number of the last ended run. */
  lastEndNumber: number;
  readonly runs: Map<string, ActiveRun>;
  /** Ends that are reported until they are acknowledged. */
  readonly unacknowledgedEnds: EndedRun[];
  /** Records of ended runs by the number of their end. */
  readonly recordsByEndNumber: Map<number, RunRecord>;
  /** Fleet time of the last renewal that found the lease expired, in ms. */
  lastLeaseExpiryMs: number;
  /** Highest ended run of each task; this and earlier runs are not started. */
  readonly lastEndedRuns: Map<string, number>;
  /** Whether it crashed; another state then takes its place. */
  hasCrashed: boolean;
}

/**
 * Behaviour of a task, parsed from its spec, such as `work=500&fail=1` or
 * `work=500&crash=100&index=0`.
 */
interface Work {
  /** Run time of the task, in ms. */
  readonly workMs: number;
  /** Number of first runs that fail. */
  readonly failures: number;
  /** Time after which the task crashes its worker, in ms; else infinite. */
  readonly crashMs: number;
  /** Index of the only task that crashes its worker; undefined for all. */
  readonly crashIndex: number | undefined;
  /** Number of the only step that has such tasks; undefined for all. */
  readonly crashStep: number | undefined;
  /** Whether the tasks of each step are a gang, which ends with a member. */
  readonly isGang: boolean;
  /** Whether runs report their progress, save it and resume from it. */
  readonly hasProgress: boolean;
  /** Time that a run takes to stop, in ms. */
  readonly stopMs: number;
  /** How many times as long the first run of the task with that index takes. */
  readonly slowFactor: number;
  readonly slowIndex: number;
}

/** Duration of a call, in ms. */
const CALL_DURATION_MS = 2;
/** Longest time that a run works on a worker on which all fail, in ms. */
const FAIL_MS = 300;
/** Time after which a call without an answer fails, in ms. */
const TIMEOUT_MS = 600;
/** Delay after which a late order is executed by default, in ms. */
const LATE_ORDER_DELAY_MS = 4000;
/** Longest lease that a worker accepts by default, in ms. */
const DEFAULT_MAX_LEASE_MS = 6000;
const POLL_INTERVAL_MS = 20;

/**
 * Simulated workers with fencing by epoch, numbered runs, leases on the clock of
 * each worker, and ends of runs that are reported until acknowledged.
 */
export class TaskFleetStandin extends TaskWorker {
  readonly #clock: Clock;
  readonly #workers = new Map<string, WorkerState>();
  readonly #maxLeaseMs: number;
  /** Ids of workers that are back under another id. */
  readonly #replaced = new Set<string>();
  /** All runs that were started. */
  readonly history: RunRecord[] = [];
  /** Completed runs that were acknowledged with no lease expiry since their end. */
  readonly acknowledged = new Set<RunRecord>();
  /** Workers on which calls time out and have no effect. */
  readonly unreachable = new Set<string>();
  /** Pairs `CALLER WORKER` between which calls time out and have no effect. */
  readonly unreachablePairs = new Set<string>();
  /** Workers on which calls time out and take effect seconds later. */
  readonly delayed = new Set<string>();
  /** Delay after which orders to such workers take effect, in ms. */
  lateOrderDelayMs = LATE_ORDER_DELAY_MS;
  /** Number of next start orders that time out and take effect later. */
  lateStarts = 0;
  /** Workers on which all runs that start fail. */
  readonly failing = new Set<string>();
  /** Workers on which calls take effect, but whose answers are lost. */
  readonly answersLost = new Set<string>();
  /** Most ends in one report. */
  endsPerReport = 500;
  /** Crashes of workers that tasks caused. */
  readonly crashes: WorkerCrash[] = [];
  /** Time after which a worker that crashed is back, in ms; may be infinite. */
  restartDelayMs = 3000;
  /**
   * Called when a worker that crashed is back; returns the id under which it is
   * back, and by default the former one.
   */
  onRestarted: (id: string, bornMs: number) => string = (id) => id;

  /** Workers accept leases of at most `maxLeaseMs`. */
  constructor(
    clock: Clock,
    ids: readonly string[],
    { maxLeaseMs = DEFAULT_MAX_LEASE_MS } = {},
  ) {
    super();
    this.#clock = clock;
    this.#maxLeaseMs = maxLeaseMs;
    for (const id of ids) this.#workers.set(id, this.#createWorker(id));
  }

  /** The fleet as one caller accesses it. */
  viewOf(caller: string): TaskWorker {
    return new FleetView(this, caller, this.#clock);
  }

  /** Restarts a worker, which loses its runs and all its state. */
  restart(id: string): void {
    this.#loseRuns(id);
    this.#workers.set(id, this.#createWorker(id));
  }

  /** Adds a worker. */
  add(id: string): void {
    this.#workers.set(id, this.#createWorker(id));
  }

  /** Ends a worker for good: its runs are lost, and calls to it time out. */
  leave(id: string): void {
    this.#loseRuns(id);
    this.unreachable.add(id);
  }

  #loseRuns(id: string): void {
    const { runs } = this.#stateOf(id);
    for (const { record } of runs.values()) record.endMs = this.#clock.nowMs();
    runs.clear();
  }

  /**
   * Crashes a worker: its runs end unreported, and calls fail until it is back
   * as a new incarnation.
   */
  crash(id: string): void {
    const worker = this.#stateOf(id);
    if (worker.hasCrashed) return;
    worker.hasCrashed = true;
    const lost = [...worker.runs.values()];
    worker.runs.clear();
    for (const run of lost) {
      run.record.endMs = this.#clock.nowMs();
      if (run.isInGang) this.#breakGang(run);
    }
    if (Number.isFinite(this.restartDelayMs)) {
      void this.#clock.sleep(this.restartDelayMs).then(() => {
        const next = this.onRestarted(id, Math.floor(this.#clock.nowMs()) + 1);
        this.#workers.set(next, this.#createWorker(next));
        if (next !== id) this.#replaced.add(id);
      });
    }
  }

  override async start(
    target: WorkerTarget,
    order: StartOrder,
  ): Promise<Result<StartReply, Fault>> {
    const execute = () => this.#startNow(target.id, order);
    if (this.lateStarts > 0) {
      this.lateStarts -= 1;
      void this.#clock.sleep(this.lateOrderDelayMs).then(() => {
        if (!this.#stateOf(target.id).hasCrashed) execute();
      });
      return await this.#timeOut(target);
    }
    return await this.#call(target, execute);
  }

  override async stop(
    target: WorkerTarget,
    { task, run, epoch }: RunOrder,
  ): Promise<Result<void, Fault>> {
    return await this.#call(target, () => {
      const worker = this.#stateOf(target.id);
      if (epoch < worker.epoch) return fenced(target);
      const key = taskKey(task);
      const active = worker.runs.get(key);
      if (active !== undefined && active.record.run <= run) {
        this.#stopRun(worker, active);
      }
      recordEndedRun(worker, key, run);
      return Ok(undefined);
    });
  }

  override async pace(target: WorkerTarget): Promise<Result<void, Fault>> {
    return await this.#call(target, () => Ok(undefined));
  }

  override async renew(
    target: WorkerTarget,
    order: RenewOrder,
  ): Promise<Result<WorkerReport, Fault>> {
    const untilMs = this.#clock.nowMs() + order.waitMs;
    const first = await this.#call(target, () => {
      const worker = this.#stateOf(target.id);
      if (order.epoch < worker.epoch) return fenced(target);
      worker.epoch = order.epoch;
      const clockMs = this.#clock.nowMs() - worker.bornMs;
      if (clockMs > worker.leaseUntilMs) {
        worker.lastLeaseExpiryMs = this.#clock.nowMs();
      }
      this.#acknowledge(worker, order.acknowledged);
      this.#extendLease(worker, order.leaseUntilMs);
      return Ok(worker);
    });
    if (first.err) return first;
    const worker = first.val;
    while (
      this.#clock.nowMs() < untilMs &&
      worker.unacknowledgedEnds.length === 0 &&
      !worker.hasCrashed
    ) {
      await this.#clock.sleep(POLL_INTERVAL_MS);
    }
    if (worker.hasCrashed) {
      return Err(new Fault(FaultCode.OutcomeUnknown, target.id));
    }
    if (this.unreachable.has(target.id)) return await this.#timeOut(target);
    return Ok({
      clockMs: this.#clock.nowMs() - worker.bornMs,
      bornMs: worker.bornMs,
      running: [...worker.runs.values()].map((run) => ({
        task: run.name,
        run: run.record.run,
        checkpoint: "",
        percent: this.#percentOf(run),
        measurement: 0,
      })),
      ended: worker.unacknowledgedEnds.slice(0, this.endsPerReport),
      hasMore: worker.unacknowledgedEnds.length >= this.endsPerReport,
    });
  }

  #workOf({ task, spec }: StartOrder): Work {
    const work = parseWork(spec);
    const { slowFactor, slowIndex, workMs } = work;
    const key = taskKey(task);
    const runs = this.history.filter((record) => record.task === key).length;
    // The history holds the run that starts.
    const isSlow = task.index === slowIndex && runs === 1;
    return isSlow ? { ...work, workMs: workMs * slowFactor } : work;
  }

  /** Progress of a run in percent, if it reports any, else a value that grows. */
  #percentOf({ work, record, resumedMs }: ActiveRun): number {
    const workedMs = this.#clock.nowMs() - record.startMs;
    if (!work.hasProgress) return Math.round(workedMs);
    const share = (resumedMs + workedMs) / work.workMs;
    return Math.min(99, Math.round(share * 100));
  }

  #startNow(id: string, order: StartOrder): Result<StartReply, Fault> {
    const worker = this.#stateOf(id);
    const nowMs = this.#clock.nowMs();
    const clockMs = nowMs - worker.bornMs;
    const reply = (verdict: StartVerdict) => Ok({ verdict, clockMs });
    if (order.epoch < worker.epoch) return fenced({ id, address: "" });
    worker.epoch = order.epoch;
    const key = taskKey(order.task);
    const active = worker.runs.get(key);
    if (active?.record.run === order.run) return reply(StartVerdict.Started);
    if (order.run <= (worker.lastEndedRuns.get(key) ?? 0)) {
      return reply(StartVerdict.Over);
    }
    if (order.leaseUntilMs <= clockMs) return reply(StartVerdict.Late);
    this.#extendLease(worker, order.leaseUntilMs);
    const record: RunRecord = {
      task: key,
      run: order.run,
      worker: id,
      startMs: nowMs,
      endMs: undefined,
      end: undefined,
    };
    this.history.push(record);
    const work = this.#workOf(order);
    const run: ActiveRun = {
      name: order.task,
      record,
      isInGang: work.isGang,
      work,
      resumedMs: work.hasProgress ? Number(order.checkpoint) : 0,
      resources: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
    };
    worker.runs.set(key, run);
    void this.#execute(worker, run, work);
    return reply(StartVerdict.Started);
  }

  async #execute(
    worker: WorkerState,
    run: ActiveRun,
    work: Work,
  ): Promise<void> {
    const { workMs, failures } = work;
    const { startMs } = run.record;
    const isDoomed = this.failing.has(worker.id);
    const leftMs = workMs - run.resumedMs;
    const endMs = startMs + (isDoomed ? Math.min(FAIL_MS, leftMs) : leftMs);
    const key = taskKey(run.name);
    const { index, step } = run.name;
    const { crashIndex = index, crashStep = step } = work;
    const crashMs =
      crashIndex === index && crashStep === step
        ? startMs + work.crashMs
        : Number.POSITIVE_INFINITY;
    while (this.#clock.nowMs() < endMs) {
      await this.#clock.sleep(POLL_INTERVAL_MS);
      if (worker.runs.get(key) !== run) return;
      if (this.#clock.nowMs() >= crashMs) {
        const atMs = this.#clock.nowMs();
        this.crashes.push({ task: key, worker: worker.id, atMs });
        this.crash(worker.id);
        return;
      }
      const clockMs = this.#clock.nowMs() - worker.bornMs;
      if (clockMs > worker.leaseUntilMs) {
        this.#end(worker, run, RunEnd.Lapsed);
        return;
      }
    }
    const earlierFailures = this.history.filter(
      ({ task, end }) => task === key && end === RunEnd.Failed,
    );
    const shouldFail = isDoomed || earlierFailures.length < failures;
    this.#end(worker, run, shouldFail ? RunEnd.Failed : RunEnd.Done);
  }

  #stopRun(worker: WorkerState, run: ActiveRun): void {
    const { stopMs } = run.work;
    if (stopMs === 0) {
      this.#end(worker, run, RunEnd.Stopped);
      return;
    }
    void this.#clock.sleep(stopMs).then(() => {
      const isActive = worker.runs.get(taskKey(run.name)) === run;
      if (isActive) this.#end(worker, run, RunEnd.Stopped);
    });
  }

  /** Ends the other runs of a gang that lost a member. */
  #breakGang({ name }: ActiveRun): void {
    for (const worker of this.#workers.values()) {
      for (const run of [...worker.runs.values()]) {
        const isMember =
          run.name.jobId === name.jobId && run.name.step === name.step;
        if (isMember) this.#end(worker, run, RunEnd.Broken);
      }
    }
  }

  #end(worker: WorkerState, run: ActiveRun, end: RunEnd): void {
    const key = taskKey(run.name);
    worker.runs.delete(key);
    run.record.end = end;
    run.record.endMs = this.#clock.nowMs();
    worker.lastEndNumber += 1;
    recordEndedRun(worker, key, run.record.run);
    worker.recordsByEndNumber.set(worker.lastEndNumber, run.record);
    worker.unacknowledgedEnds.push({
      number: worker.lastEndNumber,
      task: run.name,
      run: run.record.run,
      end,
      checkpoint: run.work.hasProgress
        ? `${run.resumedMs + this.#clock.nowMs() - run.record.startMs}`
        : "",
    });
  }

  #acknowledge(worker: WorkerState, number: number): void {
    while (
      (worker.unacknowledgedEnds[0]?.number ?? Number.POSITIVE_INFINITY) <=
      number
    ) {
      const ended = worker.unacknowledgedEnds.shift();
      const record = worker.recordsByEndNumber.get(ended?.number ?? 0);
      const endMs = record?.endMs ?? Number.NEGATIVE_INFINITY;
      if (record?.end === RunEnd.Done && endMs > worker.lastLeaseExpiryMs) {
        this.acknowledged.add(record);
      }
    }
  }

  #extendLease(worker: WorkerState, leaseUntilMs: number | undefined): void {
    if (leaseUntilMs === undefined) return;
    const clockMs = this.#clock.nowMs() - worker.bornMs;
    const maxLeaseUntilMs = clockMs + this.#maxLeaseMs;
    const limited = Math.min(leaseUntilMs, maxLeaseUntilMs);
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, limited);
  }

  async #call<T>(
    target: WorkerTarget,
    execute: () => Result<T, Fault>,
  ): Promise<Result<T, Fault>> {
    await this.#clock.sleep(CALL_DURATION_MS);
    if (this.unreachable.has(target.id)) return await this.#timeOut(target);
    if (this.#replaced.has(target.id)) {
      return Err(new Fault(FaultCode.OtherInstance, target.id));
    }
    if (this.#workers.get(target.id)?.hasCrashed) {
      return Err(new Fault(FaultCode.WorkerUnreachable, target.id));
    }
    if (this.delayed.has(target.id)) {
      void this.#clock.sleep(this.lateOrderDelayMs).then(execute);
      return await this.#timeOut(target);
    }
    const result = execute();
    if (this.answersLost.has(target.id)) return await this.#timeOut(target);
    return result;
  }

  async #timeOut({ id }: WorkerTarget): Promise<Result<never, Fault>> {
    await this.#clock.sleep(TIMEOUT_MS);
    return Err(new Fault(FaultCode.OutcomeUnknown, id));
  }

  #createWorker(id: string): WorkerState {
    return {
      id,
      bornMs: Math.floor(this.#clock.nowMs()) + 1,
      epoch: 0,
      leaseUntilMs: 0,
      lastEndNumber: 0,
      runs: new Map(),
      unacknowledgedEnds: [],
      recordsByEndNumber: new Map(),
      lastLeaseExpiryMs: Number.NEGATIVE_INFINITY,
      lastEndedRuns: new Map(),
      hasCrashed: false,
    };
  }

  #stateOf(id: string): WorkerState {
    const worker = this.#workers.get(id);
    if (worker === undefined)
      throw new Error(`stand-in fleet has no worker ${id}`);
    return worker;
  }
}

/** Key of a task in the history. */
export function taskKey(task: TaskName): string {
  return `${task.jobId}/${task.occurrence}/${task.step}/${task.index}`;
}

function recordEndedRun(worker: WorkerState, key: string, run: number): void {
  worker.lastEndedRuns.set(
    key,
    Math.max(run, worker.lastEndedRuns.get(key) ?? 0),
  );
}

function parseWork(spec: string): Work {
  const params = new URLSearchParams(spec);
  return {
    workMs: Number(params.get("work") ?? 500),
    failures: Number(params.get("fail") ?? 0),
    crashMs: Number(params.get("crash") ?? Number.POSITIVE_INFINITY),
    crashIndex: numberIn(params, "index"),
    crashStep: numberIn(params, "step"),
    isGang: params.has("gang"),
    hasProgress: params.has("progress"),
    stopMs: Number(params.get("stop") ?? 0),
    slowFactor: Number(params.get("slow") ?? 1),
    slowIndex: Number(params.get("slowIndex") ?? 0),
  };
}

function numberIn(params: URLSearchParams, name: string): number | undefined {
  return params.has(name) ? Number(params.get(name)) : undefined;
}

function fenced({ id }: WorkerTarget): Result<never, Fault> {
  return Err(new Fault(FaultCode.Fenced, id));
}

/** The fleet as one caller accesses it; calls to cut-off workers time out. */
class FleetView extends TaskWorker {
  readonly #fleet: TaskFleetStandin;
  readonly #caller: string;
  readonly #clock: Clock;

  constructor(fleet: TaskFleetStandin, caller: string, clock: Clock) {
    super();
    this.#fleet = fleet;
    this.#caller = caller;
    this.#clock = clock;
  }

  override start(target: WorkerTarget, order: StartOrder) {
    return this.#callIfReachable(target, () =>
      this.#fleet.start(target, order),
    );
  }

  override stop(target: WorkerTarget, order: RunOrder) {
    return this.#callIfReachable(target, () => this.#fleet.stop(target, order));
  }

  override renew(target: WorkerTarget, order: RenewOrder) {
    return this.#callIfReachable(target, () =>
      this.#fleet.renew(target, order),
    );
  }

  override pace(target: WorkerTarget) {
    return this.#callIfReachable(target, () => this.#fleet.pace(target));
  }

  async #callIfReachable<T>(
    { id }: WorkerTarget,
    call: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    if (!this.#fleet.unreachablePairs.has(`${this.#caller} ${id}`))
      return await call();
    await this.#clock.sleep(TIMEOUT_MS);
    return Err(new Fault(FaultCode.OutcomeUnknown, id));
  }
}
