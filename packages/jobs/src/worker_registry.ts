import type { Fault } from "@laburnumtrack/core/fault";
import type { Result } from "ts-results";
import type { QueueConfig } from "./queue_config";
import type { RegisteredWorker } from "./task_worker";

/** How the platform's registry of workers is read from rows. */
export abstract class WorkerRegistry {
  /** Prefix of its rows; the rest of a key is the worker's id. */
  abstract readonly prefix: string;
  /** Reads a row; `Malformed` when it names no worker that can be used. */
  abstract decode(id: string, value: string): Result<RegisteredWorker, Fault>;
}

/** How the operators' queues and pools are read from a row. */
export abstract class QueueSource {
  /** Prefix of the rows to follow. */
  abstract readonly prefix: string;
  /** Key of the row that holds the newest version. */
  abstract readonly key: string;
  /** Reads the row; `Malformed` when it is no configuration. */
  abstract decode(value: string): Result<QueueConfig, Fault>;
}
