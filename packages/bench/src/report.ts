import { build, type Histogram } from "hdr-histogram-js";

/** Measured values of one candidate in one case, by name. */
export type Figures = Readonly<Record<string, number>>;

/** Result of one candidate in one case (`name`) of one profile. */
export interface BenchRow {
  readonly profile: string;
  readonly name: string;
  readonly candidate: string;
  readonly figures: Figures;
}

/** A performance target, the measured value and whether it meets the target. */
export interface Target {
  readonly name: string;
  readonly bound: string;
  readonly measured: string;
  readonly isMet: boolean;
}

/** Result of a benchmark; printed as JSON. */
export interface BenchReport {
  readonly bench: string;
  readonly rows: readonly BenchRow[];
  readonly targets: readonly Target[];
}

/** Histogram of latencies in ms, with microsecond resolution. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    bitBucketSize: 32,
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: 3_600_000_000,
    useWebAssembly: false,
  });

  /** Records a latency in ms; values below 1 µs count as 1 µs. */
  record(ms: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
  }

  /** The given percentile (0 to 100), in ms. */
  percentileMs(percentile: number): number {
    const microseconds = this.#histogram.getValueAtPercentile(percentile);
    return round(microseconds / 1000);
  }

  get count(): number {
    return this.#histogram.totalCount;
  }
}

export function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Formats a report as human-readable text. */
export function renderReport({ rows, targets }: BenchReport): string {
  const lines: string[] = [];
  let heading = "";
  for (const { profile, name, candidate, figures } of rows) {
    const title = `${profile} ${name}`;
    if (title !== heading) lines.push("", title);
    heading = title;
    const parts = Object.entries(figures).map(
      ([key, value]) => `${key} ${value}`,
    );
    lines.push(`  ${candidate.padEnd(22)} ${parts.join("  ")}`);
  }
  if (targets.length > 0) lines.push("", "targets");
  for (const { name, bound, measured, isMet } of targets) {
    const verdict = isMet ? "met   " : "MISSED";
    lines.push(`  ${verdict} ${name}: ${measured} (${bound})`);
  }
  return lines.join("\n");
}
