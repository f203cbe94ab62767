import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type {
  EndedRun,
  RenewOrder,
  RunningRun,
  RunOrder,
  StartOrder,
  StartReply,
  TaskName,
  WorkerReport,
  WorkerTarget,
} from "@laburnumtrack/jobs/task_worker";
import { Err, Ok, type Result } from "ts-results";

/** Kind of a message between a leader and a relay; each message is a line. */
export enum RelayMessageKind {
  /** Leader to relay, first line: its leadership. */
  Hello = "hello",
  /** Relay to leader: calls are accepted. */
  Welcome = "welcome",
  /** Relay to leader: it knows another leadership; the connection ends. */
  Refused = "refused",
  /** Leader to relay. */
  Call = "call",
  /** Relay to leader. */
  Reply = "reply",
  /** Leader to relay, and echoed. */
  Ping = "ping",
}

/** Call to a worker that a relay carries out. */
export enum RelayOperation {
  Start = "start",
  Stop = "stop",
  Renew = "renew",
  Pace = "pace",
}

/** Identifies the leadership on whose behalf a relay acts. */
export interface RelayHello {
  readonly kind: RelayMessageKind.Hello;
  readonly epoch: number;
  /** Incarnation of the leading process. */
  readonly instance: string;
}

/** Orders of the operations. */
export type RelayOrder =
  | { readonly operation: RelayOperation.Start; readonly order: StartOrder }
  | { readonly operation: RelayOperation.Stop; readonly order: RunOrder }
  | { readonly operation: RelayOperation.Renew; readonly order: RenewOrder }
  | {
      readonly operation: RelayOperation.Pace;
      readonly order: RunOrder;
      readonly percent: number;
    };

/** A call to a worker. */
export type RelayCall = {
  readonly kind: RelayMessageKind.Call;
  /** Identifies the call on its connection. */
  readonly id: number;
  readonly target: WorkerTarget;
} & RelayOrder;

/** What a worker answered: a report or a reply, if the operation has one. */
export type RelayValue = WorkerReport | StartReply | null;

/** Result of a call. */
export interface RelayReply {
  readonly kind: RelayMessageKind.Reply;
  readonly id: number;
  readonly result: Result<RelayValue, FaultCode>;
}

/** A message from the leader. */
export type LeaderMessage =
  | RelayHello
  | RelayCall
  | { readonly kind: RelayMessageKind.Ping };

/** A message from a relay. */
export type RelayMessage =
  | RelayReply
  | { readonly kind: RelayMessageKind.Ping }
  | { readonly kind: RelayMessageKind.Welcome }
  | { readonly kind: RelayMessageKind.Refused };

type RunRow = [...TaskRow, number, string, number, number];
type EndRow = [number, ...TaskRow, number, string, string];
type TaskRow = [string, number, number, number];

const FAULT_CODES = new Set<string>(Object.values(FaultCode));
const OPERATIONS = new Set<string>(Object.values(RelayOperation));

/** Encodes a message of the leader as a line. */
export function encodeLeaderMessage(message: LeaderMessage): string {
  return `${JSON.stringify(message)}\n`;
}

/** Encodes a message of a relay as a line. */
export function encodeRelayMessage(message: RelayMessage): string {
  if (message.kind !== RelayMessageKind.Reply) {
    return `${JSON.stringify(message)}\n`;
  }
  const { kind, id, result } = message;
  const body = result.ok
    ? { value: encodeValue(result.val) }
    : { fault: result.val };
  return `${JSON.stringify({ kind, id, ...body })}\n`;
}

/** Parses a message of the leader. Fault: `Malformed`. */
export function parseLeaderMessage(line: string): Result<LeaderMessage, Fault> {
  const message = parseObject(line);
  switch (message?.kind) {
    case RelayMessageKind.Ping:
      return Ok({ kind: RelayMessageKind.Ping });
    case RelayMessageKind.Hello:
      if (isHello(message)) return Ok(message);
      break;
    case RelayMessageKind.Call:
      if (isCall(message)) return Ok(message);
      break;
  }
  return malformed(line);
}

/** Parses a message of a relay. Fault: `Malformed`. */
export function parseRelayMessage(line: string): Result<RelayMessage, Fault> {
  const message = parseObject(line);
  switch (message?.kind) {
    case RelayMessageKind.Ping:
    case RelayMessageKind.Welcome:
    case RelayMessageKind.Refused:
      return Ok({ kind: message.kind });
    case RelayMessageKind.Reply:
      return parseReply(message, line);
  }
  return malformed(line);
}

function parseReply(
  { id, fault, value }: Record<string, unknown>,
  line: string,
): Result<RelayReply, Fault> {
  if (typeof id !== "number") return malformed(line);
  const kind = RelayMessageKind.Reply;
  if (fault !== undefined) {
    if (!FAULT_CODES.has(String(fault))) return malformed(line);
    return Ok({ kind, id, result: Err(fault as FaultCode) });
  }
  const decoded = decodeValue(value);
  return decoded === undefined
    ? malformed(line)
    : Ok({ kind, id, result: Ok(decoded) });
}

/** Reports are most of the traffic, so their rows are sent as arrays. */
function encodeValue(value: RelayValue): object | null {
  if (value === null || !("running" in value)) return value;
  const running = value.running.map((run): RunRow => {
    const { checkpoint, percent, measurement } = run;
    return [...toRow(run.task), run.run, checkpoint, percent, measurement];
  });
  const ended = value.ended.map((end): EndRow => {
    return [end.number, ...toRow(end.task), end.run, end.end, end.checkpoint];
  });
  return { ...value, running, ended };
}

function decodeValue(value: unknown): RelayValue | undefined {
  if (value === null) return null;
  if (typeof value !== "object") return undefined;
  const { running, ended, ...rest } = value as Record<string, unknown>;
  if (running === undefined) return rest as unknown as StartReply;
  if (!Array.isArray(running) || !Array.isArray(ended)) return undefined;
  if (!running.every(Array.isArray) || !ended.every(Array.isArray)) {
    return undefined;
  }
  return {
    ...(rest as unknown as WorkerReport),
    running: (running as RunRow[]).map(toRunning),
    ended: (ended as EndRow[]).map(toEnded),
  };
}

function toRow({ jobId, occurrence, step, index }: TaskName): TaskRow {
  return [jobId, occurrence, step, index];
}

function toRunning(row: RunRow): RunningRun {
  const [jobId, occurrence, step, index, run, ...rest] = row;
  const [checkpoint, percent, measurement] = rest;
  const task = { jobId, occurrence, step, index };
  return { task, run, checkpoint, percent, measurement };
}

function toEnded(row: EndRow): EndedRun {
  const [number, jobId, occurrence, step, index, run, end, checkpoint] = row;
  const task = { jobId, occurrence, step, index };
  return { number, task, run, end: end as EndedRun["end"], checkpoint };
}

function isHello(message: Record<string, unknown>): message is RelayHello & {
  [key: string]: unknown;
} {
  return (
    typeof message.epoch === "number" && typeof message.instance === "string"
  );
}

function isCall(message: Record<string, unknown>): message is RelayCall & {
  [key: string]: unknown;
} {
  const { id, operation, target, order, percent } = message;
  const { id: workerId, address } = (target ?? {}) as Partial<WorkerTarget>;
  const { epoch, task } = (order ?? {}) as Partial<StartOrder>;
  const isTaskNamed =
    typeof task?.jobId === "string" && typeof task.index === "number";
  return (
    typeof id === "number" &&
    OPERATIONS.has(String(operation)) &&
    typeof workerId === "string" &&
    typeof address === "string" &&
    typeof epoch === "number" &&
    (operation === RelayOperation.Renew || isTaskNamed) &&
    (operation !== RelayOperation.Pace || typeof percent === "number")
  );
}

function parseObject(line: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(line);
    return typeof value === "object" && value !== null
      ? (value as Record<string, unknown>)
      : undefined;
  } catch {
    // The caller reports the line as malformed.
    return undefined;
  }
}

function malformed(line: string): Result<never, Fault> {
  return Err(new Fault(FaultCode.Malformed, line.slice(0, 80)));
}
