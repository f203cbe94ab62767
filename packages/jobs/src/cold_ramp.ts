import type { JobBoard } from "./job_board";
import type { Pool } from "./queue_config";
import type { WorkerRecord } from "./worker_record";

/** Times at which the coldness of workers is determined. */
export interface ColdRampOptions {
  /** Monotonic ms. */
  readonly nowMs: number;
  /** Unix ms. */
  readonly wallMs: number;
  readonly pools: readonly Pool[];
}

/** Load of a cold worker relative to that of warm ones of its pool, at most. */
const COLD_OVERAGE = 1.5;
/** Number of tasks that a cold worker may have in any case. */
const COLD_SLACK = 5;

/**
 * Determines which workers are cold, and how many tasks each of them may have: a
 * number that grows with the time since its start. Without warm workers in a
 * pool, cold ones take all of its work.
 */
export function updateColdWorkers(
  board: JobBoard,
  { nowMs, wallMs, pools }: ColdRampOptions,
): void {
  const settings = new Map(pools.map((pool) => [pool.name, pool]));
  const warm = new Map<string, { tasks: number; cpuMilli: number }>();
  for (const worker of board.workers.values()) {
    const { pool } = worker.info;
    worker.coldness = coldnessOf(worker, settings.get(pool), { nowMs, wallMs });
    if (worker.coldness > 0 || !takesTasks(worker)) continue;
    const total = warm.get(pool) ?? { tasks: 0, cpuMilli: 0 };
    total.tasks += worker.attempts.size;
    total.cpuMilli += worker.cpuCapacityMilli;
    warm.set(pool, total);
  }
  for (const worker of board.workers.values()) {
    const total = warm.get(worker.info.pool);
    if (worker.coldness === 0 || total === undefined) {
      worker.coldTaskLimit = Number.POSITIVE_INFINITY;
      continue;
    }
    const share = (total.tasks / total.cpuMilli) * worker.cpuCapacityMilli;
    const ramped = COLD_OVERAGE * share * (1 - worker.coldness);
    worker.coldTaskLimit = Math.floor(ramped + COLD_SLACK);
  }
}

/**
 * Notes that a worker had no new work for a time because its failure domain was
 * evacuated; it may have become cold meanwhile.
 */
export function cool(
  worker: WorkerRecord,
  pool: Pool | undefined,
  { nowMs, idleMs }: { readonly nowMs: number; readonly idleMs: number },
): void {
  const { coldStartMs = 0, coldingRate = 0 } = pool ?? {};
  const coldMs = Math.min(coldStartMs, coldingRate * idleMs);
  if (coldMs <= 0) return;
  worker.cooledMs = nowMs;
  worker.coldAgainMs = coldMs;
}

function takesTasks(worker: WorkerRecord): boolean {
  return worker.isRegistered && worker.hasReported && !worker.isToBeCleared;
}

/** Part of its cold time that a worker has still before it, from 0 to 1. */
function coldnessOf(
  worker: WorkerRecord,
  pool: Pool | undefined,
  { nowMs, wallMs }: { readonly nowMs: number; readonly wallMs: number },
): number {
  const sinceStart = coldnessSinceStart(worker, pool, { nowMs, wallMs });
  const { cooledMs, coldAgainMs } = worker;
  return Math.max(sinceStart, remainingShare(nowMs - cooledMs, coldAgainMs));
}

function coldnessSinceStart(
  worker: WorkerRecord,
  pool: Pool | undefined,
  { nowMs, wallMs }: { readonly nowMs: number; readonly wallMs: number },
): number {
  const { info, bornMs } = worker;
  const coldMs = info.coldRemainingMs ?? pool?.coldStartMs ?? 0;
  if (coldMs <= 0) return 0;
  // The report of a restarted worker tells its new start before its entry does.
  const startMs = Math.max(bornMs, info.bornMs);
  if (startMs > 0) {
    // The start is by the clock of another VM, which may be ahead.
    return remainingShare(Math.max(0, wallMs - startMs), coldMs);
  }
  worker.firstSeenMs ??= nowMs;
  return remainingShare(nowMs - worker.firstSeenMs, coldMs);
}

function remainingShare(passedMs: number, totalMs: number): number {
  if (totalMs <= 0) return 0;
  return Math.min(1, Math.max(0, 1 - passedMs / totalMs));
}
