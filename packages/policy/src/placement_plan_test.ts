import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chunkKey,
  createTask,
  KeyPrefix,
  type Task,
  TaskState,
  WorkerPhase,
  type WorkerRow,
} from "@laburnumtrack/core/rows";
import { VmPhase } from "@laburnumtrack/core/vm_list";
import { Action, type Assignment, RunState } from "@laburnumtrack/core/worker";
import { type FileSet, WorkloadKind } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import { ClusterView } from "./cluster_view";
import { Interference } from "./interference";
import { type Plan, planPlacement } from "./placement_plan";
import { WaitReason } from "./refusal";
import { RunEstimates } from "./run_estimates";
import { WorkerHealth } from "./worker_health";

const WALL_MS = Date.parse("2026-12-04T00:00:00Z");

interface Vm {
  readonly id: string;
  readonly cores?: number;
  readonly accelerators?: number;
  readonly domain?: string;
  readonly rack?: string;
  readonly phase?: WorkerPhase;
  /** Tasks that run on it: `workload/index` to the cores used. */
  readonly tasks?: Readonly<Record<string, number>>;
}

interface Case {
  readonly name: string;
  readonly files: string;
  readonly vms: readonly Vm[];
  readonly prepare?: (parts: PolicyState) => void;
  /** Expected placements as `task>worker`, sorted. */
  readonly placed: readonly string[];
  readonly evicted?: readonly string[];
  readonly waits?: Readonly<Record<string, WaitReason>>;
}

interface PolicyState {
  readonly interference: Interference;
  readonly estimates: RunEstimates;
  readonly health: WorkerHealth;
  readonly files: FileSet;
}

const TEAM = "[team t]\ncpu_cores = 1000\nmemory_mb = 100000\n";

function job(name: string, cores: number, more = ""): string {
  return (
    `[job ${name}]\nteam = t\ntasks = 1\ncpu_cores = ${cores}\n` +
    `memory_mb = 1\n${more}\n`
  );
}

function service(name: string, replicas: number): string {
  return (
    `[service ${name}]\nteam = t\nroute = /${name}/\nreplicas = ${replicas}\n` +
    "cpu_cores = 2\nmemory_mb = 1\nlatency_target_ms = 100\n"
  );
}

const CASES: readonly Case[] = [
  {
    name: "a batch task goes where it leaves the least capacity unused",
    files: TEAM + job("a", 4),
    vms: [
      { id: "empty" },
      { id: "fuller", tasks: { "other/0": 10 } },
      { id: "full", tasks: { "other/1": 14 } },
    ],
    placed: ["a/0>fuller"],
  },
  {
    name: "a task without accelerators avoids a VM that has them",
    files: TEAM + job("a", 4),
    vms: [{ id: "plain" }, { id: "accelerated", accelerators: 4, cores: 5 }],
    placed: ["a/0>plain"],
  },
  {
    name: "replicas spread over failure domains",
    files: TEAM + service("s", 3),
    vms: [
      { id: "a1", domain: "a" },
      { id: "a2", domain: "a" },
      { id: "b1", domain: "b" },
      { id: "c1", domain: "c" },
    ],
    placed: ["s/0>a1", "s/1>b1", "s/2>c1"],
  },
  {
    name: "replicas in one failure domain spread over racks",
    files: TEAM + service("s", 2),
    vms: [
      { id: "a", rack: "r1" },
      { id: "b", rack: "r1" },
      { id: "c", rack: "r2" },
    ],
    placed: ["s/0>a", "s/1>c"],
  },
  {
    name: "no task goes to a worker that leaves or is lost",
    files: TEAM + job("a", 1),
    vms: [
      { id: "leaving", phase: WorkerPhase.Leaving },
      { id: "lost", phase: WorkerPhase.Lost },
    ],
    placed: [],
    waits: { a: WaitReason.NoRoom },
  },
  {
    name: "a job that fits nowhere is refused",
    files: TEAM + job("a", 20),
    vms: [{ id: "a" }],
    placed: [],
    waits: { a: WaitReason.FitsNowhere },
  },
  {
    name: "a task over its team's whole quota is refused",
    files: `[team t]\ncpu_cores = 2\nmemory_mb = 10\n${job("a", 4)}`,
    vms: [{ id: "a" }],
    placed: [],
    waits: { a: WaitReason.OverQuota },
  },
  {
    name: "a job waits while the quota of its team is in use",
    files: `[team t]\ncpu_cores = 5\nmemory_mb = 10\n${job("a", 3)}${job("b", 3)}`,
    vms: [{ id: "v" }],
    placed: ["a/0>v"],
    waits: { b: WaitReason.QuotaInUse },
  },
  {
    name: "an urgent job is placed first",
    files: TEAM + job("a", 10) + job("z", 10, "urgency = urgent"),
    vms: [{ id: "v" }],
    placed: ["z/0>v"],
    waits: { a: WaitReason.NoRoom },
  },
  {
    name: "a job at risk of missing its window is placed before others",
    files:
      TEAM +
      job("a", 10) +
      job("b", 10, "run_s = 600\nfinish_by = 2026-12-04T00:15:00Z"),
    vms: [{ id: "v" }],
    placed: ["b/0>v"],
    waits: { a: WaitReason.NoRoom },
  },
  {
    name: "a job waits for its window",
    files: TEAM + job("a", 1, "start_after = 2026-12-04T01:00:00Z"),
    vms: [{ id: "v" }],
    placed: [],
    waits: { a: WaitReason.BeforeWindow },
  },
  {
    name: "an urgent job uses free capacity before it evicts",
    files: TEAM + job("u", 8, "urgency = urgent") + job("low", 8),
    vms: [{ id: "v", tasks: { "low/0": 8 } }],
    placed: ["u/0>v"],
  },
  {
    name: "an urgent job evicts the task with the lowest cost",
    files:
      TEAM +
      job("u", 8, "urgency = urgent") +
      job("costly", 12) +
      job("low", 12),
    vms: [
      { id: "v", tasks: { "costly/0": 12 } },
      { id: "w", tasks: { "low/0": 12 } },
    ],
    placed: [],
    evicted: ["low/0"],
    waits: { u: WaitReason.Evicting },
  },
  {
    name: "an urgent job evicts when no capacity is free",
    files: TEAM + job("u", 8, "urgency = urgent") + job("low", 12),
    vms: [{ id: "v", tasks: { "low/0": 12 } }],
    placed: [],
    evicted: ["low/0"],
    waits: { u: WaitReason.Evicting },
  },
  {
    name: "an urgent job does not evict an urgent one",
    files:
      TEAM + job("u", 8, "urgency = urgent") + job("v", 12, "urgency = urgent"),
    vms: [{ id: "v", tasks: { "v/0": 12 } }],
    placed: [],
    waits: { u: WaitReason.NoRoom },
  },
  {
    name: "a service evicts a batch task, not another service",
    files: TEAM + service("s", 1) + job("low", 15),
    vms: [
      { id: "v", tasks: { "low/0": 15 } },
      { id: "w", tasks: { "svc/0": 15 } },
    ],
    placed: [],
    evicted: ["low/0"],
    waits: { s: WaitReason.Evicting },
  },
  {
    name: "a worker on which all runs fail gets no task",
    files: TEAM + job("a", 1),
    vms: [{ id: "bad", tasks: { "other/0": 14 } }, { id: "good" }],
    prepare: ({ health }) => {
      health.onFailed("bad", "x", 0);
      health.onFailed("bad", "y", 0);
    },
    placed: ["a/0>good"],
  },
  {
    name: "a job avoids a service that it slows down",
    files: TEAM + service("s", 1) + job("noisy", 2),
    vms: [{ id: "v", tasks: { "s/0": 2, "other/0": 10 } }, { id: "w" }],
    prepare: ({ interference, files }) => learnHarm(interference, files),
    placed: ["noisy/0>w"],
  },
  {
    name: "a job waits rather than slow a service down, where latency is favoured",
    files: `[policy]\nfavour = latency\n${TEAM}${service("s", 1)}${job("noisy", 2)}`,
    vms: [{ id: "v", tasks: { "s/0": 2 } }],
    prepare: ({ interference, files }) => learnHarm(interference, files),
    placed: [],
    waits: { noisy: WaitReason.Interference },
  },
  {
    name: "a job runs beside a service that it slows down, where throughput is favoured",
    files: TEAM + service("s", 1) + job("noisy", 2),
    vms: [{ id: "v", tasks: { "s/0": 2 } }],
    prepare: ({ interference, files }) => learnHarm(interference, files),
    placed: ["noisy/0>v"],
  },
  {
    name: "the measured use of a job counts when it exceeds the declared size",
    files: TEAM + job("a", 2),
    vms: [{ id: "v", tasks: { "other/0": 12 } }, { id: "w" }],
    prepare: ({ estimates }) =>
      estimates.onUsage("a", {
        cpuMilli: 6000,
        memoryMb: 1,
        accelerators: 0,
      }),
    placed: ["a/0>w"],
  },
];

for (const testCase of CASES) {
  test(`placement: ${testCase.name}`, () => {
    const plan = planCase(testCase);
    const placed = plan.placements.map(
      ({ workload, task, worker }) =>
        `${workload.name}/${task.index}>${worker}`,
    );
    const evicted = plan.evictions.map(({ assignment }) => assignment.task);
    assert.deepEqual(placed.sort(), testCase.placed);
    assert.deepEqual(evicted, testCase.evicted ?? []);
    assert.deepEqual(
      Object.fromEntries(plan.waitReasons),
      testCase.waits ?? {},
    );
  });
}

function planCase({ files: text, vms, prepare }: Case): Plan {
  const files = readFileSet([{ file: "f", text }]).unwrap();
  const view = new ClusterView();
  const placed = new Set(vms.flatMap(({ tasks }) => Object.keys(tasks ?? {})));
  for (const vm of vms) view.onRow(createWorkerRow(vm, files));
  for (const workload of [...files.services.values(), ...files.jobs.values()]) {
    const count =
      workload.kind === WorkloadKind.Service
        ? workload.replicas
        : workload.tasks;
    const tasks: Task[] = Array.from({ length: count }, (_, index) => ({
      ...createTask(index),
      state: placed.has(`${workload.name}/${index}`)
        ? TaskState.Placed
        : TaskState.Waiting,
    }));
    const row = { workload: workload.name, since: 1, chunk: 0, tasks };
    const key = chunkKey(workload.name, 0);
    view.onRow({ key, revision: 1, value: JSON.stringify(row) });
  }
  const parts = {
    interference: new Interference(),
    estimates: new RunEstimates(),
    health: new WorkerHealth(),
    files,
  };
  prepare?.(parts);
  return planPlacement({
    ...parts,
    view,
    evictionCostOf: ({ task }) => (task.startsWith("costly") ? 100 : 1),
    reservations: new Map(),
    wallMs: WALL_MS,
    nowMs: 0,
    maxPlacements: 100,
  });
}

function createWorkerRow(vm: Vm, files: FileSet) {
  const { id, cores = 16, accelerators = 0, tasks = {} } = vm;
  const row: WorkerRow = {
    vm: {
      id,
      instance: id,
      address: id,
      rack: vm.rack ?? `rack-${id}`,
      failureDomain: vm.domain ?? "d",
      capacity: { cpuMilli: cores * 1000, memoryMb: 60_000, accelerators },
      phase: VmPhase.Live,
    },
    instance: id,
    phase: vm.phase ?? WorkerPhase.Live,
    keeper: "k",
    generation: 1,
    former: [],
    assignments: Object.entries(tasks).map(([task, taskCores]) =>
      createAssignment(task, taskCores, files),
    ),
  };
  const key = KeyPrefix.Worker + id;
  return { key, revision: 1, value: JSON.stringify(row) };
}

function createAssignment(
  task: string,
  cores: number,
  files: FileSet,
): Assignment {
  const [workload = ""] = task.split("/");
  const isService = workload === "svc" || files.services.has(workload);
  return {
    task,
    epoch: 1,
    kind: isService ? WorkloadKind.Service : WorkloadKind.Job,
    work: "",
    resources: { cpuMilli: cores * 1000, memoryMb: 1, accelerators: 0 },
    action: Action.Run,
    checkpoint: "",
    slots: 0,
    connections: 0,
    cause: "",
  };
}

/** Reports `s` at twice its latency target while `noisy` runs beside it. */
function learnHarm(interference: Interference, files: FileSet): void {
  const assignments = [
    createAssignment("s/0", 2, files),
    createAssignment("noisy/0", 2, files),
  ];
  const run = {
    task: "s/0",
    epoch: 1,
    state: RunState.Running,
    endpoint: "",
    checkpoint: "",
    cpuMilli: 0,
    memoryMb: 0,
    latencyMs: 200,
  };
  for (let index = 0; index < 5; index += 1) {
    const report = { worker: `w${index}`, assignments, runs: [run] };
    interference.onReport(report, files);
  }
}
