import { isWithin, type Resources } from "@laburnumtrack/core/resources";
import type { FileSet, Job, Service } from "@laburnumtrack/core/workload";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import type { WorkerView } from "./cluster_view";

/** Why a workload cannot run, or why its tasks still wait. */
export enum WaitReason {
  /** No VM is large enough for one task, even when empty. */
  FitsNowhere = "fits_nowhere",
  /** One task needs more than the whole quota of its team. */
  OverQuota = "over_quota",
  /** Another task would take the team over its quota. */
  QuotaInUse = "quota_in_use",
  /** No worker has enough free resources. */
  NoRoom = "no_room",
  /** The window of the job has not begun. */
  BeforeWindow = "before_window",
  /** A run failed; the task is retried after a back-off. */
  BackingOff = "backing_off",
  /** Batch tasks are being evicted to make room. */
  Evicting = "evicting",
  /** The job slows down services on every worker that has room. */
  Interference = "interference",
}

/**
 * Reasons that waiting alone does not end: the workload is refused until a VM
 * or a quota changes.
 */
export const REFUSAL_REASONS: ReadonlySet<WaitReason> = new Set([
  WaitReason.FitsNowhere,
  WaitReason.OverQuota,
]);

/**
 * Returns why no task of a workload can ever run with these VMs and quotas;
 * undefined when it can.
 */
export function findRefusal(
  workload: Service | Job,
  resources: Resources,
  context: {
    readonly files: FileSet;
    readonly workers: Iterable<WorkerView>;
  },
): WaitReason | undefined {
  if (workload.kind === WorkloadKind.Job) {
    const quota = context.files.teams.get(workload.team)?.quota;
    if (quota !== undefined && !isWithin(resources, quota)) {
      return WaitReason.OverQuota;
    }
  }
  for (const { row } of context.workers) {
    if (isWithin(resources, row.vm.capacity)) return undefined;
  }
  return WaitReason.FitsNowhere;
}
