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

/** A run as the history shows it. */
export interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly startMs: number;
  endMs: number | undefined;
  end: RunEnd | undefined;
}

interface LiveRun {
  readonly name: TaskName;
  readonly record: RunRecord;
  readonly resources: Resources;
}

interface WorkerState {
  readonly id: string;
  bornMs: number;
  epoch: number;
  leaseUntilMs: number;
  lastEnd: number;
  readonly runs: Map<string, LiveRun>;
  readonly ends: EndedRun[];
  readonly endedRecords: Map<number, RunRecord>;
  /** Last time at which a lease had run out. */
  lapsedMs: number;
  readonly overRuns: Map<string, number>;
}

/** What a task does, told by its spec: `work=MS` and `fail=N` first runs. */
interface Work {
  readonly workMs: number;
  readonly failures: number;
}

/** Time that an order takes, in ms. */
const CALL_MS = 2;
/** Time after which an order without an answer is given up, in ms. */
const TIMEOUT_MS = 600;
/** Delay of an order that is carried out late, in ms. */
const LATE_MS = 4000;
/** Longest lease, in ms. */
const MOST_LEASE_MS = 6000;
const POLL_MS = 20;

/**
 * Workers in virtual time: epochs, numbers of runs, leases on their own
 * clocks, ends that are listed until they are acknowledged.
 */
export class TaskFleetStandin extends TaskWorker {
  readonly #clock: Clock;
  readonly #workers = new Map<string, WorkerState>();
  /** All runs that were ever started. */
  readonly history: RunRecord[] = [];
  /** Runs whose end as done was acknowledged under an unbroken lease. */
  readonly acknowledged = new Set<RunRecord>();
  /** Workers that answer nothing and carry out nothing. */
  readonly cut = new Set<string>();
  /** Pairs of a caller and a worker that do not reach each other. */
  readonly cutPairs = new Set<string>();
  /** Orders to these get no answer and are carried out seconds later. */
  readonly late = new Set<string>();
  /** Orders to these are carried out, their answers are lost. */
  readonly mute = new Set<string>();

  constructor(clock: Clock, ids: readonly string[]) {
    super();
    this.#clock = clock;
    for (const id of ids) this.#workers.set(id, this.#createWorker(id));
  }

  /** The fleet as one caller reaches it. */
  viewOf(caller: string): TaskWorker {
    return new FleetView(this, caller, this.#clock);
  }

  /** The worker loses all that it runs and knows. */
  restart(id: string): void {
    const { runs } = this.#stateOf(id);
    for (const { record } of runs.values()) record.endMs = this.#clock.nowMs();
    runs.clear();
    this.#workers.set(id, this.#createWorker(id));
  }

  override async start(
    target: WorkerTarget,
    order: StartOrder,
  ): Promise<Result<StartReply, Fault>> {
    return await this.#call(target, () => this.#startNow(target.id, order));
  }

  override async stop(
    target: WorkerTarget,
    { task, run, epoch }: RunOrder,
  ): Promise<Result<void, Fault>> {
    return await this.#call(target, () => {
      const worker = this.#stateOf(target.id);
      if (epoch < worker.epoch) return fenced(target);
      const key = keyOf(task);
      const live = worker.runs.get(key);
      if (live !== undefined && live.record.run <= run) {
        this.#end(worker, live, RunEnd.Stopped);
      }
      noteOver(worker, key, run);
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
        worker.lapsedMs = this.#clock.nowMs();
      }
      this.#acknowledge(worker, order.acknowledged);
      this.#prolong(worker, order.leaseUntilMs);
      return Ok(worker);
    });
    if (first.err) return first;
    const worker = first.val;
    while (this.#clock.nowMs() < untilMs && worker.ends.length === 0) {
      await this.#clock.sleep(POLL_MS);
    }
    if (this.cut.has(target.id)) return await this.#silence(target);
    return Ok({
      clockMs: this.#clock.nowMs() - worker.bornMs,
      bornMs: worker.bornMs,
      running: [...worker.runs.values()].map(({ name, record }) => ({
        task: name,
        run: record.run,
        checkpoint: "",
        percent: Math.round(this.#clock.nowMs() - record.startMs),
        measurement: 0,
      })),
      ended: [...worker.ends],
      hasMore: false,
    });
  }

  #startNow(id: string, order: StartOrder): Result<StartReply, Fault> {
    const worker = this.#stateOf(id);
    const nowMs = this.#clock.nowMs();
    const clockMs = nowMs - worker.bornMs;
    const reply = (verdict: StartVerdict) => Ok({ verdict, clockMs });
    if (order.epoch < worker.epoch) return fenced({ id, address: "" });
    worker.epoch = order.epoch;
    const key = keyOf(order.task);
    const live = worker.runs.get(key);
    if (live?.record.run === order.run) return reply(StartVerdict.Started);
    if (order.run <= (worker.overRuns.get(key) ?? 0)) {
      return reply(StartVerdict.Over);
    }
    if (order.leaseUntilMs <= clockMs) return reply(StartVerdict.Late);
    this.#prolong(worker, order.leaseUntilMs);
    const record: RunRecord = {
      task: key,
      run: order.run,
      worker: id,
      startMs: nowMs,
      endMs: undefined,
      end: undefined,
    };
    this.history.push(record);
    const run: LiveRun = {
      name: order.task,
      record,
      resources: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
    };
    worker.runs.set(key, run);
    void this.#work(worker, run, parseWork(order.spec));
    return reply(StartVerdict.Started);
  }

  async #work(worker: WorkerState, run: LiveRun, work: Work): Promise<void> {
    const { workMs, failures } = work;
    const endMs = this.#clock.nowMs() + workMs;
    const key = keyOf(run.name);
    while (this.#clock.nowMs() < endMs) {
      await this.#clock.sleep(POLL_MS);
      if (worker.runs.get(key) !== run) return;
      const clockMs = this.#clock.nowMs() - worker.bornMs;
      if (clockMs > worker.leaseUntilMs) {
        this.#end(worker, run, RunEnd.Lapsed);
        return;
      }
    }
    const earlier = this.history.filter(
      ({ task, end }) => task === key && end === RunEnd.Failed,
    );
    const isFailure = earlier.length < failures;
    this.#end(worker, run, isFailure ? RunEnd.Failed : RunEnd.Done);
  }

  #end(worker: WorkerState, run: LiveRun, end: RunEnd): void {
    const key = keyOf(run.name);
    worker.runs.delete(key);
    run.record.end = end;
    run.record.endMs = this.#clock.nowMs();
    worker.lastEnd += 1;
    noteOver(worker, key, run.record.run);
    worker.endedRecords.set(worker.lastEnd, run.record);
    worker.ends.push({
      number: worker.lastEnd,
      task: run.name,
      run: run.record.run,
      end,
      checkpoint: "",
    });
  }

  #acknowledge(worker: WorkerState, number: number): void {
    while ((worker.ends[0]?.number ?? Number.POSITIVE_INFINITY) <= number) {
      const ended = worker.ends.shift();
      const record = worker.endedRecords.get(ended?.number ?? 0);
      const endMs = record?.endMs ?? Number.NEGATIVE_INFINITY;
      if (record?.end === RunEnd.Done && endMs > worker.lapsedMs) {
        this.acknowledged.add(record);
      }
    }
  }

  #prolong(worker: WorkerState, leaseUntilMs: number | undefined): void {
    if (leaseUntilMs === undefined) return;
    const most = this.#clock.nowMs() - worker.bornMs + MOST_LEASE_MS;
    const until = Math.min(leaseUntilMs, most);
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, until);
  }

  async #call<T>(
    target: WorkerTarget,
    carryOut: () => Result<T, Fault>,
  ): Promise<Result<T, Fault>> {
    await this.#clock.sleep(CALL_MS);
    if (this.cut.has(target.id)) return await this.#silence(target);
    if (this.late.has(target.id)) {
      void this.#clock.sleep(LATE_MS).then(carryOut);
      return await this.#silence(target);
    }
    const result = carryOut();
    if (this.mute.has(target.id)) return await this.#silence(target);
    return result;
  }

  async #silence({ id }: WorkerTarget): Promise<Result<never, Fault>> {
    await this.#clock.sleep(TIMEOUT_MS);
    return Err(new Fault(FaultCode.OutcomeUnknown, id));
  }

  #createWorker(id: string): WorkerState {
    return {
      id,
      bornMs: Math.floor(this.#clock.nowMs()) + 1,
      epoch: 0,
      leaseUntilMs: 0,
      lastEnd: 0,
      runs: new Map(),
      ends: [],
      endedRecords: new Map(),
      lapsedMs: Number.NEGATIVE_INFINITY,
      overRuns: new Map(),
    };
  }

  #stateOf(id: string): WorkerState {
    const worker = this.#workers.get(id);
    if (worker === undefined) throw new Error(`no worker ${id}`);
    return worker;
  }
}

/** Name of a task in the history. */
export function keyOf(task: TaskName): string {
  return `${task.jobId}/${task.occurrence}/${task.step}/${task.index}`;
}

function noteOver(worker: WorkerState, key: string, run: number): void {
  worker.overRuns.set(key, Math.max(run, worker.overRuns.get(key) ?? 0));
}

function parseWork(spec: string): Work {
  const params = new URLSearchParams(spec);
  return {
    workMs: Number(params.get("work") ?? 500),
    failures: Number(params.get("fail") ?? 0),
  };
}

function fenced({ id }: WorkerTarget): Result<never, Fault> {
  return Err(new Fault(FaultCode.Fenced, id));
}

/** What one caller reaches of a fleet. */
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
    return this.#reach(target, () => this.#fleet.start(target, order));
  }

  override stop(target: WorkerTarget, order: RunOrder) {
    return this.#reach(target, () => this.#fleet.stop(target, order));
  }

  override renew(target: WorkerTarget, order: RenewOrder) {
    return this.#reach(target, () => this.#fleet.renew(target, order));
  }

  override pace(target: WorkerTarget) {
    return this.#reach(target, () => this.#fleet.pace(target));
  }

  async #reach<T>(
    { id }: WorkerTarget,
    call: () => Promise<Result<T, Fault>>,
  ): Promise<Result<T, Fault>> {
    if (!this.#fleet.cutPairs.has(`${this.#caller} ${id}`)) return await call();
    await this.#clock.sleep(TIMEOUT_MS);
    return Err(new Fault(FaultCode.OutcomeUnknown, id));
  }
}
