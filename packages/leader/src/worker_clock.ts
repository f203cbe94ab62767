/** Estimates a worker's clock from its answers. */
export class WorkerClock {
  #workerMs: number | undefined;
  #atMs = 0;

  /** Takes in a reading that arrived at monotonic `nowMs`. */
  onReading(workerMs: number, nowMs: number): void {
    this.#workerMs = workerMs;
    this.#atMs = nowMs;
  }

  /** The worker's clock now; undefined before the first reading. */
  estimate(nowMs: number): number | undefined {
    if (this.#workerMs === undefined) return undefined;
    return Math.round(this.#workerMs + (nowMs - this.#atMs));
  }
}
