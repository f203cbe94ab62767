import type { Job, Step } from "./job";
import type { Queue } from "./queue_config";
import type { RegisteredWorker } from "./task_worker";

/** Creates a step for tests: one plain task, with the given overrides. */
export function createStep(overrides: Partial<Step> = {}): Step {
  return {
    count: 1,
    resources: { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 },
    estimateMs: 1000,
    after: [],
    isCheckpointing: false,
    isGang: false,
    isColocated: false,
    requiredLabel: "",
    dataRack: "",
    perWorkerLimit: 0,
    isSpeculative: false,
    isLongRunning: false,
    image: "",
    targetMs: 0,
    isFiller: false,
    disruptionLimit: 0,
    ...overrides,
  };
}

/** Creates a 16-core worker in pool `pool` for tests, with the given overrides. */
export function createWorkerInfo(
  id: string,
  overrides: Partial<RegisteredWorker> = {},
): RegisteredWorker {
  return {
    id,
    pool: "pool",
    address: "10.0.0.1:1",
    failureDomain: "d",
    isDraining: false,
    remainingMs: 0,
    capacity: { cpuMilli: 16_000, memoryMb: 64_000, accelerators: 0 },
    labels: [],
    rack: "",
    bornMs: 0,
    ...overrides,
  };
}

/** Creates a queue of pool `pool` for tests, with the given overrides. */
export function createQueue(overrides: Partial<Queue> = {}): Queue {
  return {
    name: "q",
    host: "h",
    pathPrefix: "/q/",
    pool: "pool",
    priority: 0,
    attemptLimit: 2,
    stretch: 2,
    targetMs: 1000,
    advice: undefined,
    ...overrides,
  };
}

/** Creates a job with the given steps for tests. */
export function createJob(id: string, steps: readonly Step[]): Job {
  return {
    id,
    queue: "q",
    spec: "",
    steps,
    repeat: undefined,
    submittedMs: 0,
  };
}
