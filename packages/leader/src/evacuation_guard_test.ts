import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { DomainEvacuations } from "@laburnumtrack/evacuation/domain_evacuations";
import type { Step } from "@laburnumtrack/jobs/job";
import { JobBoard, type StopRequest } from "@laburnumtrack/jobs/job_board";
import type { Attempt } from "@laburnumtrack/jobs/task";
import {
  type StartOrder,
  type StartReply,
  StartVerdict,
  TaskWorker,
  type WorkerReport,
} from "@laburnumtrack/jobs/task_worker";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "@laburnumtrack/jobs/test_samples";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { EvacuationGuard } from "./evacuation_guard";
import { EvacuationLog } from "./evacuation_log";
import { OrderLatency } from "./order_latency";
import { WorkerLink } from "./worker_link";

const LIMIT_MS = 5000;
const LEASE_MS = 6000;
/** Duration of a renewal, in ms. */
const REPORT_MS = 10;
const REQUEST = { domain: "d", revision: 1 };

const SEND_CASES: readonly {
  readonly name: string;
  /** Replies to the start orders, in order. */
  readonly replies: readonly Result<StartReply, Fault>[];
  /** Number of orders after which the evacuation is known. */
  readonly knownAfter: number;
  readonly orders: number;
  /** Number of stops that are requested. */
  readonly stops: number;
  /** Whether the task may be started elsewhere at once. */
  readonly isWaiting: boolean;
}[] = [
  {
    name: "a planned start that is not sent yet is withdrawn",
    replies: [],
    knownAfter: 0,
    orders: 0,
    stops: 0,
    isWaiting: true,
  },
  {
    name: "an order that was certainly not received is not sent again",
    replies: [Err(new Fault(FaultCode.WorkerUnreachable, "w"))],
    knownAfter: 1,
    orders: 1,
    stops: 0,
    isWaiting: true,
  },
  {
    name: "an order without an answer is not sent again, and its run is stopped",
    replies: [Err(new Fault(FaultCode.OutcomeUnknown, "w"))],
    knownAfter: 1,
    orders: 1,
    stops: 1,
    isWaiting: false,
  },
  {
    name: "a start that was confirmed goes on",
    replies: [Ok({ verdict: StartVerdict.Started, clockMs: undefined })],
    knownAfter: 1,
    orders: 1,
    stops: 0,
    isWaiting: false,
  },
];

for (const given of SEND_CASES) {
  // Guards against orders, also repeated ones, that are sent by what was known
  // when the start was planned.
  test(`evacuation guard: ${given.name}`, async () => {
    const world = createWorld();
    const { evacuations, port, stops } = world;
    const learn = () => evacuations.onChange(REQUEST, true);
    port.replies = [...given.replies];
    port.onStart = () => {
      if (port.orders.length === given.knownAfter) learn();
    };
    if (given.knownAfter === 0) learn();
    const [attempt] = plan(world, createStep());
    assert.ok(attempt);
    await world.send(attempt);
    assert.equal(port.orders.length, given.orders);
    assert.equal(stops.length, given.stops);
    assert.equal(attempt.task.attempts.length === 0, given.isWaiting);
  });
}

// Guards against a gang of which one task is withdrawn and the others start.
test("evacuation guard: a gang is stopped when one of its starts is withdrawn", async () => {
  const world = createWorld();
  const { board, evacuations, stops, worker, port } = world;
  const elsewhere = board.addWorker(
    createWorkerInfo("x", { failureDomain: "other" }),
  );
  const tasks = addTasks(world, createStep({ count: 2, isGang: true }));
  const [first] = tasks.map((task, index) =>
    board.onSent(task, 1, index === 0 ? worker : elsewhere, 0),
  );
  assert.ok(first);
  evacuations.onChange(REQUEST, true);
  await world.send(first);
  assert.equal(port.orders.length, 0);
  assert.deepEqual(
    stops.map(({ task }) => task.index),
    [0, 1],
  );
});

const WINDOW_CASES: readonly {
  readonly name: string;
  readonly isEnabled: boolean;
  /** Age of what is known, in ms. */
  readonly ageMs: number;
  /** Time after which the worker refuses the order, in ms. */
  readonly windowMs: number;
}[] = [
  { name: "just confirmed", isEnabled: true, ageMs: 0, windowMs: 2000 },
  { name: "3.2 s old", isEnabled: true, ageMs: 3200, windowMs: 1500 },
  {
    name: "older than the limit",
    isEnabled: true,
    ageMs: 20_000,
    windowMs: 1000,
  },
  { name: "ignored", isEnabled: false, ageMs: 0, windowMs: LEASE_MS },
];

for (const { name, isEnabled, ageMs, windowMs } of WINDOW_CASES) {
  // Guards against orders that take effect late, when the domain has long been
  // evacuated.
  test(`evacuation guard: latest start when the requests are ${name}`, async () => {
    const world = createWorld({ isEnabled });
    const { port, clock, feed } = world;
    feed.confirmedMs = clock.nowMs() - ageMs;
    const [attempt] = plan(world, createStep());
    assert.ok(attempt);
    const sentMs = await world.send(attempt);
    assert.equal(port.orders[0]?.leaseUntilMs, sentMs + windowMs);
  });
}

// Guards against a gang whose other members wait for one that was stopped.
test("evacuation guard: a gang whose start is open is stopped as a whole", () => {
  const world = createWorld();
  const { board, guard, evacuations, stops } = world;
  const elsewhere = board.addWorker(
    createWorkerInfo("x", { failureDomain: "other" }),
  );
  const step = createStep({ count: 2, isGang: true });
  const tasks = addTasks(world, step);
  const attempts = tasks.map((task, index) =>
    board.onSent(task, 1, index === 0 ? world.worker : elsewhere, 0),
  );
  const [, second] = attempts;
  assert.ok(second);
  board.onStarted(second, 0);
  guard.stopOpenStarts();
  assert.equal(stops.length, 0);
  evacuations.onChange(REQUEST, true);
  guard.stopOpenStarts();
  guard.stopOpenStarts();
  assert.deepEqual(
    stops.map(({ task }) => task.index),
    [0, 1],
  );
});

const LAST_START_CASES: readonly {
  readonly name: string;
  /** Time from the request to the confirmed start, in ms. */
  readonly startMs: number;
  readonly lateStarts: number;
}[] = [
  { name: "in time", startMs: 40, lateStarts: 0 },
  { name: "after the limit", startMs: 5600, lateStarts: 1 },
];

for (const { name, startMs, lateStarts } of LAST_START_CASES) {
  // Guards against late starts that nobody notices.
  test(`evacuation log: the last start in a domain was ${name}`, async () => {
    const world = createWorld();
    const { clock, board, evacuations, guard, metrics } = world;
    const log = new EvacuationLog({
      clock,
      board,
      evacuations,
      guard,
      metrics,
      journal: createJournal("test", "fatal"),
      planning: () => ({
        nowMs: clock.nowMs(),
        wallMs: clock.wallMs(),
        isUsable: () => true,
        areRunsKnown: () => true,
      }),
    });
    const over = new AbortController();
    const running = log.run(over.signal);
    await clock.run(1000);
    const [attempt] = plan(world, createStep());
    assert.ok(attempt);
    guard.onSending(attempt);
    evacuations.onChange(REQUEST, true);
    await clock.run(1000 + startMs);
    board.onStarted(attempt, clock.nowMs());
    const [status] = log.describe();
    assert.equal(status?.lastStartMs, startMs);
    await clock.run(9000);
    over.abort();
    await running;
    const text = metrics.render();
    assert.match(text, /evacuation_last_start_ms_count 1/);
    const [, late = "0"] = /evacuation_late_starts (\d+)/.exec(text) ?? [];
    assert.equal(Number(late), lateStarts);
  });
}

// Guards against workers that take their full load at once after an evacuation.
test("evacuation guard: workers are cold for a time after an evacuation", async () => {
  const world = createWorld({ coldStartMs: 8000, coldingRate: 0.5 });
  const { evacuations, guard, clock, worker } = world;
  evacuations.onChange(REQUEST, true);
  guard.markWorkers();
  assert.ok(worker.isInEvacuation);
  await clock.run(6000);
  guard.markWorkers();
  evacuations.onChange({ ...REQUEST, revision: 2 }, false);
  guard.markWorkers();
  assert.equal(worker.isInEvacuation, false);
  assert.equal(worker.coldness, 1);
  await clock.run(7500);
  guard.markWorkers();
  assert.equal(worker.coldness, 0.5);
  await clock.run(9000);
  guard.markWorkers();
  assert.equal(worker.coldness, 0);
});

class PortStandin extends TaskWorker {
  readonly orders: StartOrder[] = [];
  replies: Result<StartReply, Fault>[] = [];
  onStart = (): void => {};
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  override start(
    _target: unknown,
    order: StartOrder,
  ): Promise<Result<StartReply, Fault>> {
    this.orders.push(order);
    this.onStart();
    const verdict = StartVerdict.Started;
    const reply = this.replies.shift() ?? Ok({ verdict, clockMs: undefined });
    return Promise.resolve(reply);
  }

  override stop(): Promise<Result<void, Fault>> {
    return Promise.resolve(Ok(undefined));
  }

  override pace(): Promise<Result<void, Fault>> {
    return Promise.resolve(Ok(undefined));
  }

  override async renew(): Promise<Result<WorkerReport, Fault>> {
    await this.#clock.sleep(REPORT_MS);
    return Ok({
      clockMs: this.#clock.nowMs(),
      bornMs: 1,
      running: [],
      ended: [],
      hasMore: false,
    });
  }
}

interface World {
  readonly clock: VirtualClock;
  readonly board: JobBoard;
  readonly guard: EvacuationGuard;
  readonly metrics: Metrics;
  readonly evacuations: DomainEvacuations;
  readonly feed: { confirmedMs: number; revision: number };
  readonly port: PortStandin;
  readonly worker: WorkerRecord;
  readonly stops: StopRequest[];
  /**
   * Sends a start once the worker has reported; resolves when it is over with
   * the monotonic ms at which it began.
   */
  readonly send: (attempt: Attempt) => Promise<number>;
}

/** A leader's link to a worker in the failure domain `d`. */
function createWorld({
  isEnabled = true,
  coldStartMs = 0,
  coldingRate = 0,
} = {}): World {
  const clock = new VirtualClock();
  const journal = createJournal("test", "fatal");
  const metrics = new Metrics();
  const stops: StopRequest[] = [];
  const board = new JobBoard(
    { onChanged() {}, onStop: (stop) => stops.push(stop), onEnd() {} },
    { runFloor: 0, allJobsKnownMs: 0 },
  );
  const worker = board.addWorker(createWorkerInfo("w"));
  worker.isRostered = true;
  const options = { clock, journal, metrics, board };
  const evacuations = new DomainEvacuations({ ...options, limitMs: LIMIT_MS });
  const feed = { confirmedMs: 0, revision: 0 };
  evacuations.follow(feed);
  const pool = {
    name: "pool",
    isGuarded: true,
    isStandby: false,
    coldStartMs,
    coldingRate,
  };
  const config = () => ({ version: 1, queues: [], pools: [pool] });
  const guard = new EvacuationGuard({
    ...options,
    config,
    evacuations: isEnabled ? evacuations : undefined,
  });
  const port = new PortStandin(clock);
  const link = new WorkerLink(worker, {
    ...options,
    guard,
    latency: new OrderLatency(0),
    port,
    epoch: 1,
    leaseMs: LEASE_MS,
    maySendOrders: () => true,
    onFenced() {},
    onBoardChanged() {},
    onReport() {},
  });
  const send = async (attempt: Attempt): Promise<number> => {
    const over = new AbortController();
    const running = link.run(over.signal);
    feed.confirmedMs += REPORT_MS;
    await clock.run(clock.nowMs() + REPORT_MS);
    over.abort();
    const sentMs = clock.nowMs();
    const sending = link.start(attempt);
    await clock.run(clock.nowMs() + 1000);
    await sending;
    await running;
    return sentMs;
  };
  return {
    clock,
    board,
    guard,
    metrics,
    evacuations,
    feed,
    port,
    worker,
    stops,
    send,
  };
}

function addTasks({ board }: World, step: Step) {
  const job = createJob("a", [step]);
  const record = board.addJob(job, 1, {
    queue: createQueue(),
    nowMs: 0,
    wallMs: 0,
  });
  return record.occurrences[0]?.[0]?.tasks ?? [];
}

/** Plans a start of each task of the step on the worker. */
function plan(world: World, step: Step): Attempt[] {
  const { board, worker, clock } = world;
  return addTasks(world, step).map((task) =>
    board.onSent(task, 1, worker, clock.nowMs()),
  );
}
