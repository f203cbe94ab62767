import { build, type Histogram } from "hdr-histogram-js";

/**
 * Length of one window. Percentiles come from the current or the previous
 * window, whichever has more samples.
 */
const WINDOW_MS = 5000;
/** Latencies that a window needs before it gives a percentile. */
const MIN_SAMPLES = 20;

/** Histogram of recent latencies, in µs, from which percentiles are read. */
export class LatencyWindow {
  #current: Histogram = createHistogram();
  #previous: Histogram = createHistogram();
  #startedMs = 0;

  /** Records a latency in ms. */
  record(latencyMs: number, nowMs: number): void {
    this.#rotate(nowMs);
    this.#current.recordValue(Math.max(1, Math.round(latencyMs * 1000)));
  }

  /** Returns a percentile in ms; undefined while there are too few samples. */
  percentile(percent: number, nowMs: number): number | undefined {
    this.#rotate(nowMs);
    const histogram =
      this.#previous.totalCount > this.#current.totalCount
        ? this.#previous
        : this.#current;
    if (histogram.totalCount < MIN_SAMPLES) return undefined;
    return histogram.getValueAtPercentile(percent) / 1000;
  }

  #rotate(nowMs: number): void {
    if (nowMs - this.#startedMs < WINDOW_MS) return;
    const oldest = this.#previous;
    this.#previous = this.#current;
    oldest.reset();
    this.#current = oldest;
    this.#startedMs = nowMs;
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    numberOfSignificantValueDigits: 2,
    // One hour in µs.
    highestTrackableValue: 3_600_000_000,
    useWebAssembly: false,
  });
}
