import type { Result } from "ts-results";
import type { Fault } from "./fault";

/** The platform's object store. Assumes read-after-write consistency. */
export abstract class ObjectStore {
  /** Stores `text` under `key`, which must not have been used before. */
  abstract put(key: string, text: string): Promise<Result<void, Fault>>;
  /** Reads an object; fails with `NotFound` if it does not exist. */
  abstract get(key: string): Promise<Result<string, Fault>>;
}
