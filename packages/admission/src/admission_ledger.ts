import type { Clock } from "@laburnumtrack/core/clock";

/** What an accepted job adds to the load. */
export interface AcceptedLoad {
  readonly pool: string;
  readonly priority: number;
  /** Work in milli-core-seconds. */
  readonly workMilliS: number;
  readonly bytes: number;
}

/** Sums of what was accepted since some time. */
export interface AcceptedSums {
  readonly workMilliS: number;
  readonly bytes: number;
}

interface Bucket {
  readonly fromMs: number;
  readonly pool: string;
  readonly priority: number;
  workMilliS: number;
  bytes: number;
}

/** Jobs accepted within this time are added up, in ms. */
const BUCKET_MS = 250;
/** Time for which accepted jobs are remembered without a digest, in ms. */
const RETENTION_MS = 600_000;

/** Remembers what this entry accepted, until a digest shows it. */
export class AdmissionLedger {
  readonly #clock: Clock;
  /** In order of time. */
  #buckets: Bucket[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds an accepted job; the returned function takes it back. */
  add({ pool, priority, workMilliS, bytes }: AcceptedLoad): () => void {
    const nowMs = this.#clock.nowMs();
    this.#prune(nowMs - RETENTION_MS);
    let bucket = this.#buckets.find(
      (other) =>
        other.pool === pool &&
        other.priority === priority &&
        nowMs - other.fromMs < BUCKET_MS,
    );
    if (bucket === undefined) {
      bucket = { fromMs: nowMs, pool, priority, workMilliS: 0, bytes: 0 };
      this.#buckets.push(bucket);
    }
    const added = bucket;
    added.workMilliS += workMilliS;
    added.bytes += bytes;
    return () => {
      added.workMilliS -= workMilliS;
      added.bytes -= bytes;
    };
  }

  /**
   * Sums what was accepted since then: the work of a pool for a priority and more
   * urgent ones, and the memory of all jobs. Forgets what is older.
   */
  sumSince(sinceMs: number, pool: string, priority: number): AcceptedSums {
    this.#prune(sinceMs - BUCKET_MS);
    let workMilliS = 0;
    let bytes = 0;
    for (const bucket of this.#buckets) {
      bytes += bucket.bytes;
      if (bucket.pool !== pool || bucket.priority > priority) continue;
      workMilliS += bucket.workMilliS;
    }
    return { workMilliS, bytes };
  }

  #prune(beforeMs: number): void {
    if ((this.#buckets[0]?.fromMs ?? beforeMs) >= beforeMs) return;
    this.#buckets = this.#buckets.filter(({ fromMs }) => fromMs >= beforeMs);
  }
}
