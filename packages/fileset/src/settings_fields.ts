import { type Field, FieldKind } from "./field";

/** Definition of a section of the settings file. */
export interface SettingsSection {
  readonly name: string;
  readonly help: string;
  readonly fields: readonly Field[];
}

const MEMBER: SettingsSection = {
  name: "member",
  help: "This process and its place.",
  fields: [
    {
      key: "name",
      kind: FieldKind.Name,
      help: "Name of the process; the same after a restart, and unique.",
    },
    {
      key: "failure_domain",
      kind: FieldKind.Name,
      help: "Failure domain that the VM stands in.",
    },
    {
      key: "admin_address",
      kind: FieldKind.Address,
      help: "Where operators, monitoring and health checks ask.",
    },
    {
      key: "peer_address",
      kind: FieldKind.Address,
      help: "Where the other processes of the system connect (gRPC).",
    },
    {
      key: "operator_token",
      kind: FieldKind.Text,
      help: "Secret that operators send to apply and to dump; never logged.",
    },
    {
      key: "log_level",
      kind: FieldKind.Choice,
      choices: ["trace", "debug", "info", "warn", "error", "fatal"],
      defaultText: "info",
      help: "Least level of the log lines written to standard output.",
    },
    {
      key: "shutdown_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 0,
      max: 3_600_000,
      defaultText: "30000",
      help: "Longest graceful shutdown; then what is left is cut off.",
    },
  ],
};

const PLATFORM: SettingsSection = {
  name: "platform",
  help: "The platform's services.",
  fields: [
    {
      key: "table_url",
      kind: FieldKind.Url,
      help: "The transactional table.",
    },
    {
      key: "object_store_url",
      kind: FieldKind.Url,
      help: "The object store.",
    },
    {
      key: "vm_list_url",
      kind: FieldKind.Url,
      help: "The list of VMs.",
    },
    {
      key: "timeout_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 50,
      max: 60_000,
      defaultText: "2000",
      help: "Longest wait for an answer of the platform.",
    },
  ],
};

const MEMBERSHIP: SettingsSection = {
  name: "membership",
  help: "How members find each other and give each other up.",
  fields: [
    {
      key: "beat_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 100,
      max: 60_000,
      defaultText: "2000",
      help: "Time between two heartbeats in the table.",
    },
    {
      key: "dead_after_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 300,
      max: 600_000,
      defaultText: "6000",
      help: "Silence after which a member is given up.",
    },
    {
      key: "config_poll_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 50,
      max: 6000,
      defaultText: "1000",
      help: "Time between two looks at the version in force.",
    },
  ],
};

const GATEWAY: SettingsSection = {
  name: "gateway",
  help: "Requests of callers.",
  fields: [
    {
      key: "caller_address",
      kind: FieldKind.Address,
      help: "Where callers connect, behind the platform's balancer.",
    },
    {
      key: "queue_limit",
      kind: FieldKind.Integer,
      min: 0,
      max: 1_000_000,
      defaultText: "512",
      help: "Requests that wait for a slot, for each service.",
    },
    {
      key: "retry_share",
      kind: FieldKind.Decimal,
      min: 0,
      max: 1,
      defaultText: "0.1",
      help: "Retries and hedges allowed for each first attempt.",
    },
    {
      key: "read_stall_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 100,
      max: 600_000,
      defaultText: "10000",
      help: "A caller that takes no byte for this long is cut off.",
    },
    {
      key: "connect_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 10,
      max: 60_000,
      defaultText: "500",
      help: "Longest wait for a connection to an endpoint.",
    },
  ],
};

const SCHEDULER: SettingsSection = {
  name: "scheduler",
  help: "Placement and leases.",
  fields: [
    {
      key: "lease_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 500,
      max: 600_000,
      defaultText: "10000",
      help: "Length of a worker's lease.",
    },
    {
      key: "renew_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 50,
      max: 60_000,
      defaultText: "2000",
      help: "Time between two messages to a worker.",
    },
    {
      key: "ride_through_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 0,
      max: 86_400_000,
      defaultText: "300000",
      help: "How long leases are renewed without a word from the table.",
    },
    {
      key: "lost_grace_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 0,
      max: 3_600_000,
      defaultText: "15000",
      help: "How long batch tasks of a lost worker wait for its last report.",
    },
    {
      key: "clock_drift",
      kind: FieldKind.Decimal,
      min: 0,
      max: 0.5,
      defaultText: "0.01",
      help: "Largest relative error between the clocks of two VMs.",
    },
    {
      key: "place_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 20,
      max: 10_000,
      defaultText: "200",
      help: "Time between two rounds of placement.",
    },
  ],
};

const ENTRY: SettingsSection = {
  name: "entry",
  help: "A process that takes jobs from callers and can lead.",
  fields: [
    {
      key: "name",
      kind: FieldKind.Name,
      help: "Name of the process; the same after a restart, and unique.",
    },
    {
      key: "failure_domain",
      kind: FieldKind.Name,
      help: "Failure domain that the VM stands in.",
    },
    {
      key: "caller_address",
      kind: FieldKind.Address,
      help: "Where callers connect, behind the platform's balancer.",
    },
    {
      key: "ready_address",
      kind: FieldKind.Address,
      help: "Where the balancer asks whether to send callers here.",
    },
    {
      key: "admin_address",
      kind: FieldKind.Address,
      help: "Where monitoring asks.",
    },
    {
      key: "relay_address",
      kind: FieldKind.Address,
      defaultText: "127.0.0.1:0",
      help: "Where a leader connects to have its calls to workers relayed.",
    },
    {
      key: "relay_min_workers",
      kind: FieldKind.Integer,
      min: 1,
      max: 1_000_000,
      defaultText: "150",
      help: "Number of workers from which a leader uses relays.",
    },
    {
      key: "table_url",
      kind: FieldKind.Url,
      help: "The platform's transactional table.",
    },
    {
      key: "table_timeout_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 50,
      max: 60_000,
      defaultText: "1000",
      help: "Longest wait for an answer of the table.",
    },
    {
      key: "config_max_age_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 500,
      max: 600_000,
      defaultText: "3000",
      help: "Age from which the configuration, if it cannot be confirmed, is not used for requests.",
    },
    {
      key: "admission",
      kind: FieldKind.Choice,
      choices: ["false", "true"],
      defaultText: "false",
      help: "Whether jobs that cannot be served usefully are refused with 429.",
    },
    {
      key: "forward_submissions",
      kind: FieldKind.Choice,
      choices: ["false", "true"],
      defaultText: "false",
      help: "Whether calls are forwarded to other entries while the table rejects this one.",
    },
    {
      key: "order_timeout_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 50,
      max: 60_000,
      defaultText: "600",
      help: "Longest wait for a worker's answer to an order.",
    },
    {
      key: "order_resend_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 0,
      max: 60_000,
      defaultText: "0",
      help: "Shortest wait for an answer before an order is sent to the worker again; 0: only after it failed.",
    },
    {
      key: "lease_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 1000,
      max: 600_000,
      defaultText: "6000",
      help: "Longest lease that workers accept; 6000 ms at most are granted.",
    },
    {
      key: "order_right_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 1000,
      max: 600_000,
      defaultText: "3500",
      help: "How long a leader orders without a word from the table; at most as long as a lease.",
    },
    {
      key: "evacuate_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 0,
      max: 600_000,
      defaultText: "0",
      help: "Time within which no task starts any more in an evacuated failure domain; 0: requests are ignored.",
    },
    {
      key: "restore_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 0,
      max: 600_000,
      defaultText: "500",
      help: "Time that a task takes to resume from its checkpoint.",
    },
    {
      key: "planning_min_capacity",
      kind: FieldKind.Decimal,
      unit: "cores",
      min: 0,
      max: 1024,
      defaultText: "0",
      help: "Processing capacity of a VM from which its leader preempts, copies, looks ahead, plans urgent rounds and resends orders, where these are turned on.",
    },
    {
      key: "urgent_rounds",
      kind: FieldKind.Choice,
      choices: ["false", "true"],
      defaultText: "false",
      help: "Whether jobs of the most urgent queues are also planned between the rounds over all jobs.",
    },
    {
      key: "preemption",
      kind: FieldKind.Choice,
      choices: ["false", "true"],
      defaultText: "false",
      help: "Whether less urgent runs are stopped where urgent steps would be late.",
    },
    {
      key: "job_retention_s",
      kind: FieldKind.Decimal,
      unit: "s",
      min: 1,
      max: 86_400,
      defaultText: "120",
      help: "How long a finished job stays known: its state is answered, and its id does not run again.",
    },
    {
      key: "straggler_copies",
      kind: FieldKind.Choice,
      choices: ["false", "true"],
      defaultText: "false",
      help: "Whether tasks of very slow runs run a second time, where the job allows it, or move.",
    },
    {
      key: "lookahead",
      kind: FieldKind.Choice,
      choices: ["false", "true"],
      defaultText: "false",
      help: "Whether room is reserved ahead for the most urgent step that does not fit.",
    },
    {
      key: "processor_share",
      kind: FieldKind.Decimal,
      min: 0.01,
      max: 1024,
      defaultText: "1",
      help: "Share of its processor that this process may use.",
    },
    {
      key: "processor_speed",
      kind: FieldKind.Decimal,
      min: 0.01,
      max: 1024,
      defaultText: "1",
      help: "Speed of its processor, in cores; larger VMs are preferred to lead.",
    },
    {
      key: "shutdown_ms",
      kind: FieldKind.Integer,
      unit: "ms",
      min: 0,
      max: 3_600_000,
      defaultText: "5000",
      help: "Longest graceful shutdown; then what is left is cut off.",
    },
    {
      key: "log_level",
      kind: FieldKind.Choice,
      choices: ["trace", "debug", "info", "warn", "error", "fatal"],
      defaultText: "info",
      help: "Least level of the log lines written to standard output.",
    },
  ],
};

const BY_PROGRAM = new Map([
  ["entry", [ENTRY]],
  ["gateway", [MEMBER, PLATFORM, MEMBERSHIP, GATEWAY]],
  ["scheduler", [MEMBER, PLATFORM, MEMBERSHIP, SCHEDULER]],
]);

/** Returns the sections of a program's settings; none for an unknown program. */
export function listSettings(program: string): readonly SettingsSection[] {
  return BY_PROGRAM.get(program) ?? [];
}
