import { type Field, FieldKind } from "./field";

const RESOURCE_FIELDS: readonly Field[] = [
  {
    key: "cpu_cores",
    kind: FieldKind.Decimal,
    unit: "cores",
    min: 0.01,
    max: 1024,
    help: "Processor of one task or replica.",
  },
  {
    key: "memory_mb",
    kind: FieldKind.Integer,
    unit: "MiB",
    min: 1,
    max: 16_777_216,
    help: "Memory of one task or replica.",
  },
  {
    key: "accelerators",
    kind: FieldKind.Integer,
    defaultText: "0",
    min: 0,
    max: 64,
    help: "Accelerators of one task or replica.",
  },
];

const WORKLOAD_FIELDS: readonly Field[] = [
  {
    key: "team",
    kind: FieldKind.Name,
    help: "Team that owns the workload; it needs a section of its own.",
  },
  {
    key: "work",
    kind: FieldKind.Text,
    defaultText: "",
    help: "Passed to the worker as it stands.",
  },
  ...RESOURCE_FIELDS,
];

/** Keys of a `[service NAME]` section. */
export const SERVICE_FIELDS: readonly Field[] = [
  ...WORKLOAD_FIELDS,
  {
    key: "route",
    kind: FieldKind.Path,
    help: "Path prefix of the requests that belong to the service.",
  },
  {
    key: "replicas",
    kind: FieldKind.Integer,
    min: 1,
    max: 4000,
    help: "Replicas to keep running, spread over failure domains and racks.",
  },
  {
    key: "latency_target_ms",
    kind: FieldKind.Integer,
    unit: "ms",
    min: 1,
    max: 600_000,
    help: "99th percentile of answers that callers expect.",
  },
  {
    key: "deadline_ms",
    kind: FieldKind.Integer,
    unit: "ms",
    defaultText: "10000",
    min: 1,
    max: 3_600_000,
    help: "Longest time of a request that names no deadline.",
  },
  {
    key: "slots",
    kind: FieldKind.Integer,
    defaultText: "8",
    min: 1,
    max: 1000,
    help: "Requests that one replica runs at a time.",
  },
  {
    key: "connections",
    kind: FieldKind.Integer,
    defaultText: "60",
    min: 1,
    max: 10_000,
    help: "Connections that one replica accepts from all gateways.",
  },
  {
    key: "idempotent_paths",
    kind: FieldKind.Paths,
    defaultText: "",
    help: "Path prefixes on which POST and PATCH may be sent again.",
  },
];

/** Keys of a `[job NAME]` section. */
export const JOB_FIELDS: readonly Field[] = [
  ...WORKLOAD_FIELDS,
  {
    key: "tasks",
    kind: FieldKind.Integer,
    min: 1,
    max: 10_000,
    help: "Tasks of the job; each runs to its end once.",
  },
  {
    key: "run_s",
    kind: FieldKind.Decimal,
    unit: "s",
    defaultText: "60",
    min: 0.01,
    max: 2_592_000,
    help: "Declared run time of a task; learnt from its runs later.",
  },
  {
    key: "urgency",
    kind: FieldKind.Choice,
    choices: ["normal", "urgent"],
    defaultText: "normal",
    help: "Urgent tasks start first and evict others where needed.",
  },
  {
    key: "retries",
    kind: FieldKind.Integer,
    defaultText: "3",
    min: 0,
    max: 100,
    help: "Failed runs of a task that are followed by another.",
  },
  {
    key: "start_after",
    kind: FieldKind.Time,
    defaultText: "",
    help: "No task starts before this time.",
  },
  {
    key: "finish_by",
    kind: FieldKind.Time,
    defaultText: "",
    help: "End of the job's window; it goes first when this comes near.",
  },
];

/** Keys of a `[team NAME]` section. */
export const TEAM_FIELDS: readonly Field[] = [
  {
    key: "cpu_cores",
    kind: FieldKind.Decimal,
    unit: "cores",
    min: 0,
    max: 1_000_000,
    help: "The most that the team's batch tasks hold at a time.",
  },
  {
    key: "memory_mb",
    kind: FieldKind.Integer,
    unit: "MiB",
    min: 0,
    max: 1_000_000_000,
    help: "The most that the team's batch tasks hold at a time.",
  },
  {
    key: "accelerators",
    kind: FieldKind.Integer,
    defaultText: "0",
    min: 0,
    max: 100_000,
    help: "The most that the team's batch tasks hold at a time.",
  },
];

/** Keys of the `[policy]` section. */
export const POLICY_FIELDS: readonly Field[] = [
  {
    key: "favour",
    kind: FieldKind.Choice,
    choices: ["throughput", "latency"],
    defaultText: "throughput",
    help: "What placement favours where batch and services disagree.",
  },
];
