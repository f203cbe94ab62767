import type { Vm } from "@laburnumtrack/core/vm_list";
import type { HistoryEvent } from "@laburnumtrack/standins/history";
import type { Call } from "./caller";

/** The configuration version in force on a member at one moment. */
export interface VersionObservation {
  readonly atMs: number;
  readonly member: string;
  readonly instance: string;
  readonly version: number;
}

/** An apply that the system reported to an operator as accepted. */
export interface AcceptedApply {
  readonly applyId: string;
  readonly version: number;
  readonly atMs: number;
}

/**
 * A period during which a member is not required to follow new configuration
 * versions, because of an injected fault.
 */
export interface Exemption {
  /** Name of the member; empty for all members. */
  readonly member: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A planned stop of a process. */
export interface PlannedStop {
  readonly member: string;
  /** `host:port` that callers use; empty for a scheduler. */
  readonly callerAddress: string;
  readonly atMs: number;
}

/** A VM that the platform removed after a notice. */
export interface VmDeparture {
  readonly vm: Vm;
  /** Time of the removal notice. */
  readonly atMs: number;
  /** Time at which the VM was removed. */
  readonly removedMs: number;
  /** Lag of the VM list at the time of the notice. */
  readonly listLagMs: number;
}

/** Everything that was observed during a run; the checks read it afterwards. */
export interface RunRecord {
  readonly workers: readonly HistoryEvent[];
  readonly platform: readonly HistoryEvent[];
  readonly calls: readonly Call[];
  readonly observations: readonly VersionObservation[];
  readonly applies: readonly AcceptedApply[];
  /** Contradictory answers that operators received. */
  readonly inconsistencies: readonly string[];
  readonly exemptions: readonly Exemption[];
  readonly plannedStops: readonly PlannedStop[];
  readonly departures: readonly VmDeparture[];
  /** Names of the tasks that must be done at the end. */
  readonly expectedTasks: readonly string[];
  readonly capacities: ReadonlyMap<string, Vm["capacity"]>;
}
