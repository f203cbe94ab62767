import { type RunReport, RunState } from "@laburnumtrack/core/worker";

/** What a keeper reports to the placer about a worker; not stored. */
export interface WorkerUpdate {
  readonly worker: string;
  /** Reports of services that share the worker with batch tasks. */
  readonly runs: readonly RunReport[];
  readonly ends: readonly RunOutcome[];
  readonly usages: readonly ExcessUsage[];
}

/** Usage of a run that uses more than it reserved. */
export interface ExcessUsage {
  readonly workload: string;
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly memoryMb: number;
}

/** A run that ended, for the estimates of run times and worker health. */
export interface RunOutcome {
  readonly workload: string;
  readonly state: RunState.Done | RunState.Failed | RunState.Stopped;
  /** How long it ran, in s. */
  readonly runS: number;
}

/** Prefix of the keys under which updates are pushed between schedulers. */
export const UPDATE_KEY_PREFIX = "news/";

/** Whether a run has ended. */
export function isEnded(
  state: RunState,
): state is RunState.Done | RunState.Failed | RunState.Stopped {
  return state !== RunState.Running;
}
