import { type Clock, SystemClock } from "@laburnumtrack/core/clock";

/** Kinds of events that stand-ins record. */
export enum EventKind {
  /** A worker started a run. */
  RunStarted = "run_started",
  /** A run ended; it has no effects after this. */
  RunEnded = "run_ended",
  /** A batch task completed. */
  TaskDone = "task_done",
  /** An endpoint started to process a request. */
  RequestRun = "request_run",
  /** An endpoint processed more requests at once than it has slots. */
  SlotsExceeded = "slots_exceeded",
  /** An endpoint was shut down as planned while requests were in progress. */
  RequestAborted = "request_cut",
  /** A worker restarted and lost all its state. */
  WorkerRestarted = "worker_restarted",
  /** A worker became unreachable for at least one scheduler. */
  WorkerUnreachable = "worker_cut",
  /** A worker became reachable for all schedulers again. */
  WorkerReachable = "worker_back",
  /** The table committed a write of a row of tasks. */
  TaskRow = "task_row",
  /** The table committed a write of a worker's row. */
  WorkerRow = "worker_row",
  /** The table committed a new version of the configuration. */
  Head = "head",
}

/** An event of a history. */
export interface HistoryEvent {
  readonly kind: EventKind;
  /** Wall-clock time in ms; comparable, since all stand-ins share one machine. */
  readonly atMs: number;
  /** Worker, endpoint or table key. */
  readonly place: string;
  /** Task or request id; empty for other events. */
  readonly subject: string;
  readonly epoch: number;
  /** Further data; its format depends on the kind. */
  readonly detail: string;
}

/** Records events in the order in which they happen. */
export class History {
  readonly #events: HistoryEvent[] = [];
  readonly #clock: Clock;

  constructor(clock: Clock = new SystemClock()) {
    this.#clock = clock;
  }

  /** Records an event at the current time. */
  add(event: Omit<HistoryEvent, "atMs">): void {
    this.#events.push({ ...event, atMs: this.#clock.wallMs() });
  }

  /** All events so far. */
  list(): readonly HistoryEvent[] {
    return this.#events;
  }
}
