import { build, type Histogram } from "hdr-histogram-js";

const PERCENTILES = [50, 90, 99, 99.9];

/** Counters, gauges and latency histograms of a process. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds to a counter; `name` may include labels in braces. */
  count(name: string, amount = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }

  /** Registers a gauge; `read` is called at each rendering. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a latency in ms. */
  recordMs(name: string, ms: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        bitBucketSize: 32,
        numberOfSignificantValueDigits: 2,
        highestTrackableValue: 3_600_000_000,
        autoResize: true,
        useWebAssembly: false,
      });
      this.#histograms.set(name, histogram);
    }
    histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters) {
      lines.push(`laburnumtrack_${name} ${value}`);
    }
    for (const [name, read] of this.#gauges) {
      lines.push(`laburnumtrack_${name} ${read()}`);
    }
    for (const [name, histogram] of this.#histograms) {
      for (const percentile of PERCENTILES) {
        const ms = histogram.getValueAtPercentile(percentile) / 1000;
        const label = `{quantile="${percentile / 100}"}`;
        lines.push(`laburnumtrack_${name}_ms${label} ${ms}`);
      }
      lines.push(`laburnumtrack_${name}_ms_count ${histogram.totalCount}`);
    }
    return `${lines.sort().join("\n")}\n`;
  }
}
