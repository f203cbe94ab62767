import assert from "node:assert/strict";
import { test } from "node:test";
import { VmPhase } from "@laburnumtrack/core/vm_list";
import { EventKind, type HistoryEvent } from "@laburnumtrack/standins/history";
import { type Call, CallEnd } from "./caller";
import { Invariant } from "./invariant";
import type { RunRecord } from "./run_record";
import { findViolations } from "./violations";

const EMPTY: RunRecord = {
  workers: [],
  platform: [],
  calls: [],
  observations: [],
  applies: [],
  inconsistencies: [],
  exemptions: [],
  plannedStops: [],
  departures: [],
  expectedTasks: [],
  capacities: new Map(),
};

const SIZE = { cpuMilli: 3000, memoryMb: 1, accelerators: 0 };
const CAPACITY = { cpuMilli: 4000, memoryMb: 10, accelerators: 0 };
const VM = {
  id: "v",
  instance: "i",
  address: "v",
  rack: "r",
  failureDomain: "d",
  capacity: CAPACITY,
  phase: VmPhase.Leaving,
};

function event(kind: EventKind, change: Partial<HistoryEvent>): HistoryEvent {
  return {
    kind,
    atMs: 0,
    place: "v",
    subject: "",
    epoch: 1,
    detail: "",
    ...change,
  };
}

function start(task: string, checkpoint = ""): HistoryEvent {
  const detail = JSON.stringify({ checkpoint, resources: SIZE });
  return event(EventKind.RunStarted, { subject: task, detail });
}

function ran(request: string, detail: string, atMs = 0): HistoryEvent {
  return event(EventKind.RequestRun, { subject: request, detail, atMs });
}

function call(end: CallEnd, change: Partial<Call> = {}): Call {
  return {
    requestId: "q",
    key: "",
    gateway: "g",
    method: "POST",
    path: "/",
    end,
    startMs: 0,
    endMs: 100,
    isRefused: false,
    detail: "",
    ...change,
  };
}

function head(version: number, applyId: string): HistoryEvent {
  const detail = JSON.stringify({ version, applyId });
  return event(EventKind.Head, { place: "config/head", detail });
}

function workerRow(tasks: number): HistoryEvent {
  const assignments = Array.from({ length: tasks }, () => ({
    resources: SIZE,
  }));
  const detail = JSON.stringify({ vm: VM, assignments });
  return event(EventKind.WorkerRow, { place: "worker/v", detail });
}

function observation(version: number, atMs: number) {
  return { atMs, member: "m", instance: "i", version };
}

const APPLIED = { applyId: "a", version: 1, atMs: 0 };
const HEADS = [head(1, "a")];

const CASES: readonly {
  readonly name: string;
  readonly record: Partial<RunRecord>;
  readonly violated: readonly Invariant[];
}[] = [
  { name: "an empty run", record: {}, violated: [] },
  {
    name: "a row within the capacity",
    record: { platform: [workerRow(1)] },
    violated: [],
  },
  {
    name: "a row beyond the capacity",
    record: { platform: [workerRow(2)] },
    violated: [Invariant.NoOvercommit],
  },
  {
    name: "a worker whose tasks exceed its capacity",
    record: {
      workers: [start("a/0"), start("a/1")],
      capacities: new Map([["v", CAPACITY]]),
    },
    violated: [Invariant.NoOvercommit],
  },
  {
    name: "a task that is not done at the end",
    record: { expectedTasks: ["a/0"] },
    violated: [Invariant.ResumeOnce],
  },
  {
    name: "a run that starts beyond the last checkpoint",
    record: {
      workers: [start("a/0", "500")],
      capacities: new Map([["v", CAPACITY]]),
    },
    violated: [Invariant.ResumeOnce],
  },
  {
    name: "a response to another request",
    record: { calls: [call(CallEnd.Wrong)] },
    violated: [Invariant.WholeAnswers],
  },
  {
    name: "a request that ran but was reported as not run",
    record: { calls: [call(CallEnd.NotRun)], workers: [ran("q", "POST ")] },
    violated: [Invariant.NotRunIsTrue],
  },
  {
    name: "a request that ran and whose outcome was reported as unknown",
    record: { calls: [call(CallEnd.Unknown)], workers: [ran("q", "POST ")] },
    violated: [],
  },
  {
    name: "a request that ran twice",
    record: { workers: [ran("q", "POST "), ran("q", "POST ")] },
    violated: [Invariant.AtMostOnce],
  },
  {
    name: "two requests with one key that both ran",
    record: { workers: [ran("q", "POST k"), ran("r", "POST k")] },
    violated: [Invariant.AtMostOnce],
  },
  {
    name: "an idempotent request that ran twice",
    record: { workers: [ran("q", "GET "), ran("q", "GET ")] },
    violated: [],
  },
  {
    name: "requests on a VM being removed, one in time and one too late",
    record: {
      workers: [ran("q", "GET ", 2000), ran("r", "GET ", 6000)],
      departures: [{ vm: VM, atMs: 0, removedMs: 9000, listLagMs: 0 }],
    },
    violated: [Invariant.LeavingIsQuiet],
  },
  {
    name: "a late request on a VM being removed while the VM list lags",
    record: {
      workers: [ran("r", "GET ", 6000)],
      departures: [{ vm: VM, atMs: 0, removedMs: 9000, listLagMs: 3000 }],
    },
    violated: [],
  },
  {
    name: "a request aborted by a planned stop",
    record: {
      calls: [call(CallEnd.Broken)],
      plannedStops: [{ member: "m", callerAddress: "g", atMs: 50 }],
    },
    violated: [Invariant.GracefulStop],
  },
  {
    name: "a connection refused during a planned stop",
    record: {
      calls: [call(CallEnd.Broken, { isRefused: true })],
      plannedStops: [{ member: "m", callerAddress: "g", atMs: 50 }],
    },
    violated: [],
  },
  {
    name: "an endpoint that aborted requests",
    record: { workers: [event(EventKind.RequestAborted, { detail: "1" })] },
    violated: [Invariant.GracefulStop],
  },
  {
    name: "a version that was skipped",
    record: { platform: [head(1, "a"), head(3, "b")] },
    violated: [Invariant.ConfigInForce],
  },
  {
    name: "an apply that took effect twice",
    record: { platform: [head(1, "a"), head(2, "a")] },
    violated: [Invariant.ConfigInForce],
  },
  {
    name: "an accepted apply that is not stored",
    record: { applies: [APPLIED] },
    violated: [Invariant.ConfigInForce],
  },
  {
    name: "a member that returns to an older version",
    record: { observations: [observation(2, 0), observation(1, 1)] },
    violated: [Invariant.ConfigInForce],
  },
  {
    name: "a member that does not follow in time",
    record: {
      platform: HEADS,
      applies: [APPLIED],
      observations: [observation(0, 7000)],
    },
    violated: [Invariant.ConfigInForce],
  },
  {
    name: "an exempt member that does not follow in time after the exemption",
    record: {
      platform: HEADS,
      applies: [APPLIED],
      exemptions: [{ member: "m", fromMs: 0, untilMs: 5000 }],
      observations: [observation(0, 7000), observation(0, 11_500)],
    },
    violated: [Invariant.ConfigInForce],
  },
  {
    name: "a member that does not follow while exempt",
    record: {
      platform: HEADS,
      applies: [APPLIED],
      exemptions: [{ member: "m", fromMs: 0, untilMs: 5000 }],
      observations: [observation(0, 7000)],
    },
    violated: [],
  },
];

for (const { name, record, violated } of CASES) {
  test(`violations: ${name}`, () => {
    const violations = findViolations({ ...EMPTY, ...record });
    const invariants = violations.map(({ invariant }) => invariant);
    assert.deepEqual([...new Set(invariants)], violated);
  });
}
