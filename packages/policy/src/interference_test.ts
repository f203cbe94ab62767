import assert from "node:assert/strict";
import { test } from "node:test";
import { Action, type Assignment, RunState } from "@laburnumtrack/core/worker";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import { Interference } from "./interference";

const FILES = readFileSet([
  {
    file: "f",
    text:
      "[team t]\ncpu_cores = 9\nmemory_mb = 9\n[service s]\nteam = t\n" +
      "route = /s/\nreplicas = 1\ncpu_cores = 1\nmemory_mb = 1\n" +
      "latency_target_ms = 100\n",
  },
]).unwrap();

/** The actions that a series of reported latencies leads to. */
function collectActions(latencies: readonly number[]): string[] {
  const interference = new Interference();
  let action: Action = Action.Run;
  const actions: string[] = [];
  for (const latencyMs of latencies) {
    const [remedy] = interference.onReport(
      {
        worker: "w",
        assignments: [
          createAssignment("s/0", WorkloadKind.Service, Action.Run),
        ].concat(
          action === Action.Evict
            ? []
            : [createAssignment("noisy/0", WorkloadKind.Job, action)],
        ),
        runs: [
          {
            task: "s/0",
            epoch: 1,
            state: RunState.Running,
            endpoint: "",
            checkpoint: "",
            cpuMilli: 0,
            memoryMb: 0,
            latencyMs,
          },
        ],
      },
      FILES,
    );
    if (remedy !== undefined) {
      action = remedy.action;
      actions.push(remedy.action);
    }
  }
  return actions;
}

const CASES = [
  {
    name: "no action while the latency is below the target",
    latencies: repeat(80, 20),
    actions: [],
  },
  {
    name: "one report above the target has no effect",
    latencies: [80, 300, ...repeat(80, 10)],
    actions: [],
  },
  {
    name: "throttled above the target, released well below it",
    latencies: [...repeat(200, 4), ...repeat(40, 12)],
    actions: ["throttle", "run"],
  },
  {
    name: "evicted once when throttling does not help",
    latencies: repeat(200, 30),
    actions: ["throttle", "evict"],
  },
  {
    name: "not released just below the target",
    latencies: [...repeat(200, 4), ...repeat(95, 30)],
    actions: ["throttle"],
  },
  {
    name: "no action while the latency swings around the target",
    latencies: Array.from({ length: 40 }, (_, at) => (at % 2 ? 105 : 95)),
    actions: [],
  },
];

for (const { name, latencies, actions } of CASES) {
  test(`interference: ${name}`, () => {
    assert.deepEqual(collectActions(latencies), actions);
  });
}

function repeat(value: number, count: number): number[] {
  return Array.from({ length: count }, () => value);
}

function createAssignment(
  task: string,
  kind: WorkloadKind,
  action: Action,
): Assignment {
  return {
    task,
    epoch: 1,
    kind,
    work: "",
    resources: { cpuMilli: 1000, memoryMb: 1, accelerators: 0 },
    action,
    checkpoint: "",
    slots: 0,
    connections: 0,
    cause: "",
  };
}
