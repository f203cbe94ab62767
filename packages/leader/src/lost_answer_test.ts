import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import type {
  RenewOrder,
  RunOrder,
  StartOrder,
  StartReply,
  WorkerReport,
  WorkerTarget,
} from "@laburnumtrack/jobs/task_worker";
import { TaskWorker } from "@laburnumtrack/jobs/task_worker";
import { createWorkerInfo } from "@laburnumtrack/jobs/test_samples";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { EvacuationGuard } from "./evacuation_guard";
import { OrderLatency } from "./order_latency";
import { WorkerLink } from "./worker_link";

/** Time after which a renewal without an answer fails, in ms. */
const RENEWAL_TIMEOUT_MS = 1600;
const LATENCY_MS = 20;
/** Number of the last end that is stored. */
const STORED_END = 5;

/** A worker that loses the answers to some renewals. */
class ForgetfulWorker extends TaskWorker {
  readonly renewals: RenewOrder[] = [];
  readonly #clock: VirtualClock;
  readonly #lost: ReadonlySet<number>;

  constructor(clock: VirtualClock, lost: ReadonlySet<number>) {
    super();
    this.#clock = clock;
    this.#lost = lost;
  }

  override async renew(
    _target: WorkerTarget,
    order: RenewOrder,
  ): Promise<Result<WorkerReport, Fault>> {
    this.renewals.push(order);
    if (this.#lost.has(this.renewals.length)) {
      await this.#clock.sleep(RENEWAL_TIMEOUT_MS);
      return Err(new Fault(FaultCode.OutcomeUnknown, "w"));
    }
    await this.#clock.sleep(LATENCY_MS + order.waitMs);
    const clockMs = this.#clock.nowMs();
    return Ok({ clockMs, bornMs: 1, running: [], ended: [], hasMore: false });
  }

  override start(
    _target: WorkerTarget,
    _order: StartOrder,
  ): Promise<Result<StartReply, Fault>> {
    throw new Error("no start is expected");
  }

  override stop(
    _target: WorkerTarget,
    _order: RunOrder,
  ): Promise<Result<void, Fault>> {
    throw new Error("no stop is expected");
  }

  override pace(
    _target: WorkerTarget,
    _order: RunOrder,
  ): Promise<Result<void, Fault>> {
    throw new Error("no pace is expected");
  }
}

interface LostAnswerCase {
  readonly name: string;
  readonly resendMs: number;
  /** Numbers of the renewals whose answers are lost, from 1. */
  readonly lost: readonly number[];
  /** Whether the worker is taken for silent meanwhile. */
  readonly isSilent: boolean;
}

const CASES: readonly LostAnswerCase[] = [
  {
    name: "one lost answer kept a worker from starting tasks until the next commit",
    resendMs: 100,
    lost: [2],
    isSilent: false,
  },
  {
    name: "a worker that answers no renewal is silent",
    resendMs: 100,
    lost: [2, 3, 4],
    isSilent: true,
  },
  {
    name: "without resends, a lost answer counts as silence",
    resendMs: 0,
    lost: [2],
    isSilent: true,
  },
];

for (const { name, resendMs, lost, isSilent } of CASES) {
  test(`lost answer: ${name}`, async () => {
    const clock = new VirtualClock();
    const journal = createJournal("test", "fatal");
    const metrics = new Metrics();
    const board = new JobBoard(
      { onChanged() {}, onStop() {}, onEnd() {} },
      { runFloor: 0, allJobsKnownMs: 0 },
    );
    const worker = board.addWorker(createWorkerInfo("w"));
    worker.isRostered = true;
    worker.lastEndNumber = STORED_END;
    worker.storedEndNumber = STORED_END;
    const config = () => ({ version: 1, queues: [], pools: [] });
    const latency = new OrderLatency(resendMs);
    latency.record(LATENCY_MS);
    const port = new ForgetfulWorker(clock, new Set(lost));
    const link = new WorkerLink(worker, {
      clock,
      journal,
      metrics,
      board,
      port,
      latency,
      guard: new EvacuationGuard({ clock, journal, metrics, board, config }),
      epoch: 1,
      leaseMs: 6000,
      maySendOrders: () => true,
      onFenced() {},
      onBoardChanged() {},
      onReport() {},
    });
    const over = new AbortController();
    const running = link.run(over.signal);
    let wasSilent = false;
    for (let nowMs = 50; nowMs <= 4000; nowMs += 50) {
      await clock.run(nowMs);
      wasSilent ||= worker.isSilent;
    }
    over.abort();
    await clock.run(8000);
    await running;
    assert.equal(wasSilent, isSilent);
    // The worker may have restarted: its new ends must not be acknowledged.
    const [first, second, third] = port.renewals;
    assert.equal(first?.acknowledged, 0);
    assert.equal(second?.acknowledged, STORED_END);
    assert.equal(third?.acknowledged, 0);
  });
}
