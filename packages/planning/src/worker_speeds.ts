import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";

interface LearntSpeed {
  readonly speed: number;
  /** Monotonic ms. */
  readonly atMs: number;
  /** Number of observations, up to {@linkcode FULL_COUNT}. */
  readonly count: number;
}

/** Weight of a new observation. */
const NEW_WEIGHT = 0.15;
/** Observations from which a speed counts fully: a single slow run is chance. */
const FULL_COUNT = 6;
/** Time after which half of what was learnt is forgotten, in ms. */
const HALF_LIFE_MS = 20_000;
/** Bounds of an observation; a few runs take many times as long anywhere. */
const MIN_SPEED = 0.25;
const MAX_SPEED = 2;

/** Speeds of workers relative to their like, learnt from runs; old ones fade. */
export class WorkerSpeeds {
  readonly #speeds = new WeakMap<WorkerRecord, LearntSpeed>();

  /** Speed of the worker relative to others; 1 if unknown. */
  speedOf(worker: WorkerRecord, nowMs: number): number {
    const learnt = this.#speeds.get(worker);
    if (learnt === undefined) return 1;
    const kept = 0.5 ** ((nowMs - learnt.atMs) / HALF_LIFE_MS);
    const certainty = Math.min(1, learnt.count / FULL_COUNT);
    return 1 + (learnt.speed - 1) * kept * certainty;
  }

  /** Learns from the relative speed of one run on the worker. */
  observe(worker: WorkerRecord, speed: number, nowMs: number): void {
    if (!Number.isFinite(speed)) return;
    const former = this.#speeds.get(worker);
    const kept =
      former === undefined ? 0 : 0.5 ** ((nowMs - former.atMs) / HALF_LIFE_MS);
    const base = 1 + ((former?.speed ?? 1) - 1) * kept;
    const limited = Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
    this.#speeds.set(worker, {
      speed: base + (limited - base) * NEW_WEIGHT,
      atMs: nowMs,
      count: Math.min(FULL_COUNT, (former?.count ?? 0) + 1),
    });
  }
}
