import {
  criticalPathMs,
  isLongRunning,
  type Job,
} from "@laburnumtrack/jobs/job";
import { estimateJobBytes } from "@laburnumtrack/jobs/job_size";
import type { QueueSettings } from "@laburnumtrack/jobs/queue_config";
import { rankOfPriority, workOfJob } from "./job_work";
import type { LoadDigest, PoolLoad } from "./load_digest";

/** Why a job is refused. */
export enum RefusalReason {
  /** It would complete too late to be of use. */
  Late = "late",
  /** The leader has no memory for it. */
  Memory = "memory",
  /** No worker of its pool is large enough for one of its steps. */
  TooLarge = "too_large",
}

/** Whether a job is accepted; if not, why, and when to try again. */
export type AdmissionDecision =
  | { readonly isAccepted: true }
  | {
      readonly isAccepted: false;
      readonly reason: RefusalReason;
      readonly retryAfterS: number;
    };

/** What one entry may add to the load that all entries know. */
export interface EntryShare {
  /** Number of entries that decide on the same digest; at least 1. */
  readonly entries: number;
  /**
   * Work that this entry accepted since the digest, in milli-core-seconds, for
   * the job's pool and its priority or more urgent ones.
   */
  readonly acceptedMilliS: number;
  /** Memory of the jobs that this entry accepted since the digest. */
  readonly acceptedBytes: number;
  /** Memory that jobs may occupy, where no digest tells it. */
  readonly limitBytes: number;
  /** From 0 up to 1; chooses the entry that takes what fits no share. */
  readonly random: number;
  /** From 0 up to 1; spreads the times at which callers try again. */
  readonly jitter: number;
}

/** Age in ms above which a digest tells nothing about the backlog. */
export const MAX_DIGEST_AGE_MS = 3000;
/** After this many times its objective, a job is worth nothing to its caller. */
const EXPIRY_FACTOR = 3;
/**
 * Least share of a pool's CPU that is taken to do work, whatever its completion
 * rate: the rate is low while long tasks have not ended yet.
 */
const MIN_SERVICE_SHARE = 0.25;
/** Pools with less free CPU than this share of it are busy. */
const BUSY_FREE_SHARE = 0.1;
/** Longest time after which callers are asked to try again, in s. */
const MAX_RETRY_AFTER_S = 30;
/** Time until a later digest may leave room, in s. */
const NEXT_DIGEST_S = 1;
/** Each less urgent priority waits by this share longer. */
const RETRY_SHARE_PER_PRIORITY = 0.5;
/** Priorities that are told apart for that. */
const MAX_RETRY_PRIORITY = 6;
/** Least share of the computed time after which callers try again. */
const MIN_RETRY_SHARE = 0.75;
/** Width of the range of shares that the jitter covers. */
const RETRY_SPREAD = 0.75;
const ACCEPTED: AdmissionDecision = { isAccepted: true };

/**
 * Decides whether a job is accepted. It is refused only if it cannot be served
 * usefully: no worker fits, the leader's memory is used up, or its expected
 * completion is past three times its objective. `ageMs` is the age of the digest;
 * one that is too old limits only the memory.
 */
export function decideAdmission(
  digest: LoadDigest | undefined,
  job: Job,
  queue: QueueSettings,
  ageMs: number,
  share: EntryShare,
): AdmissionDecision {
  const priority = rankOfPriority(queue.priority);
  if (!fitsMemory(digest, job, share)) {
    return refuse(RefusalReason.Memory, NEXT_DIGEST_S, priority, share);
  }
  if (digest === undefined || !(ageMs <= MAX_DIGEST_AGE_MS)) return ACCEPTED;
  const pool = digest.pools.find((load) => load.pool === queue.pool);
  if (pool === undefined) return ACCEPTED;
  if (job.steps.some((step) => isTooLarge(step, pool))) {
    return refuse(RefusalReason.TooLarge, MAX_RETRY_AFTER_S, priority, share);
  }
  // Long-running jobs never expire; repeated ones start later.
  if (isLongRunning(job) || job.repeat !== undefined) return ACCEPTED;
  const overS = secondsTooLate(digest, pool, job, queue, ageMs, share);
  return overS === undefined
    ? ACCEPTED
    : refuse(RefusalReason.Late, overS, priority, share);
}

/** Time in s until the job would be useful; undefined if it is now. */
function secondsTooLate(
  digest: LoadDigest,
  pool: PoolLoad,
  job: Job,
  queue: QueueSettings,
  ageMs: number,
  share: EntryShare,
): number | undefined {
  const ownMs = criticalPathMs(job);
  const objectiveMs = queue.stretch * ownMs + queue.targetMs;
  const serviceMilli = serviceRateOf(pool);
  // Without an objective or capacity, nothing tells which job comes too late.
  if (!(objectiveMs > 0) || !(serviceMilli > 0)) return undefined;
  const priority = rankOfPriority(queue.priority);
  let aheadMilliS = 0;
  for (const load of digest.queues) {
    if (load.pool !== queue.pool || load.priority > priority) continue;
    aheadMilliS += load.runningMilliS + load.backlogMilliS;
  }
  const servedMilliS = (serviceMilli * ageMs) / 1000;
  aheadMilliS = Math.max(0, aheadMilliS - servedMilliS);
  // It starts at once, so later tries would not be served sooner.
  const isNext = aheadMilliS === 0 && share.acceptedMilliS === 0;
  if (isNext) return undefined;
  const waitS = (EXPIRY_FACTOR * objectiveMs - ownMs) / 1000;
  const roomMilliS = waitS * serviceMilli - aheadMilliS;
  if (fitsShare(workOfJob(job), roomMilliS, share.acceptedMilliS, share)) {
    return undefined;
  }
  return Math.max(0, -roomMilliS) / serviceMilli + NEXT_DIGEST_S;
}

/**
 * Whether something fits into this entry's share of the room. Where it is larger
 * than a share but fits the room, one of the entries accepts it, on average.
 */
function fitsShare(
  size: number,
  room: number,
  accepted: number,
  { entries, random }: EntryShare,
): boolean {
  if (room <= 0) return false;
  const part = room / Math.max(1, entries);
  if (accepted + size <= part) return true;
  return accepted === 0 && size <= room && random < part / size;
}

/** Work that the pool does per second for jobs that end, in milli-core-seconds. */
function serviceRateOf(pool: PoolLoad): number {
  const usableMilli = Math.max(0, pool.capacityMilli - pool.lastingMilli);
  const isBusy = pool.freeMilli < BUSY_FREE_SHARE * usableMilli;
  if (!isBusy || pool.rateMilli <= 0) return usableMilli;
  // Measured by estimates, like the backlog: wrong estimates cancel out.
  const least = MIN_SERVICE_SHARE * usableMilli;
  return Math.max(least, Math.min(usableMilli, pool.rateMilli));
}

function fitsMemory(
  digest: LoadDigest | undefined,
  job: Job,
  share: EntryShare,
): boolean {
  const bytes = estimateJobBytes(job);
  const limitBytes = digest?.limitBytes ?? share.limitBytes;
  const room = limitBytes - (digest?.bytes ?? 0);
  return fitsShare(bytes, room, share.acceptedBytes, share);
}

function isTooLarge(
  { resources, isFiller }: Job["steps"][number],
  { largestMilli, largestMemoryMb, largestAccelerators }: PoolLoad,
): boolean {
  return (
    (!isFiller && resources.cpuMilli > largestMilli) ||
    resources.memoryMb > largestMemoryMb ||
    resources.accelerators > largestAccelerators
  );
}

/** Refuses for about that time, longer for less urgent jobs, with jitter. */
function refuse(
  reason: RefusalReason,
  seconds: number,
  priority: number,
  { jitter }: EntryShare,
): AdmissionDecision {
  const rank = Math.min(priority, MAX_RETRY_PRIORITY);
  const factor = 1 + RETRY_SHARE_PER_PRIORITY * rank;
  const spread = MIN_RETRY_SHARE + RETRY_SPREAD * jitter;
  const retryAfterS = Math.ceil(seconds * factor * spread);
  return {
    isAccepted: false,
    reason,
    retryAfterS: Math.max(1, Math.min(MAX_RETRY_AFTER_S, retryAfterS)),
  };
}
