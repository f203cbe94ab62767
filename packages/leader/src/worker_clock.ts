/** Estimates the clock of a worker from the readings in its answers. */
export class WorkerClock {
  #workerMs: number | undefined;
  #readMs = 0;

  /**
   * Records a reading that arrived at `nowMs` of this process's monotonic
   * clock.
   */
  onReading(workerMs: number, nowMs: number): void {
    this.#workerMs = workerMs;
    this.#readMs = nowMs;
  }

  /**
   * Estimated reading at `nowMs`, in whole ms; undefined before the first one.
   */
  estimate(nowMs: number): number | undefined {
    if (this.#workerMs === undefined) return undefined;
    return Math.round(this.#workerMs + (nowMs - this.#readMs));
  }
}
