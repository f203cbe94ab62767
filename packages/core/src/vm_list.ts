import type { Result } from "ts-results";
import type { Fault } from "./fault";
import type { Resources } from "./resources";

/** State of a VM according to the platform. */
export enum VmPhase {
  Live = "live",
  /** The platform will remove the VM soon. */
  Leaving = "leaving",
}

/** An entry of the platform's VM list: a VM that can run tasks. */
export interface Vm {
  readonly id: string;
  /** Changes when the VM is restarted or replaced under the same id. */
  readonly instance: string;
  /** `host:port` of the worker. */
  readonly address: string;
  readonly rack: string;
  readonly failureDomain: string;
  readonly capacity: Resources;
  readonly phase: VmPhase;
}

/**
 * The platform's list of VMs, which lags behind the actual state.
 *
 * Assumption: an instance that is no longer listed has stopped for good.
 */
export abstract class VmList {
  /** Reads the list; undefined if it has not changed since the last call. */
  abstract read(): Promise<Result<Vm[] | undefined, Fault>>;
}
