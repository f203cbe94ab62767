import type { Fault } from "@laburnumtrack/core/fault";
import type { Result } from "ts-results";
import type { QueueConfig } from "./queue_config";
import type { RegisteredWorker } from "./task_worker";

/** Decodes the rows of the platform's worker registry. */
export abstract class WorkerRegistry {
  /** Key prefix of the rows; the rest of a key is the worker's id. */
  abstract readonly prefix: string;
  /** Decodes a row. Fault: `Malformed` if it describes no usable worker. */
  abstract decode(id: string, value: string): Result<RegisteredWorker, Fault>;
}

/** Decodes the row with the operators' queues and pools. */
export abstract class QueueSource {
  /** Key prefix of the rows to watch. */
  abstract readonly prefix: string;
  /** Key of the row that holds the newest version. */
  abstract readonly key: string;
  /** Decodes the row. Fault: `Malformed` if it is not a configuration. */
  abstract decode(value: string): Result<QueueConfig, Fault>;
  /**
   * Failure domain whose evacuation the row requests; undefined for other rows.
   * By default no row does.
   */
  evacuatedDomainOf(_key: string): string | undefined {
    return undefined;
  }
}
