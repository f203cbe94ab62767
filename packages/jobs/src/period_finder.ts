/** Shortest period that is looked for, in ms. */
const MIN_PERIOD_MS = 5000;
/** Ratio of a candidate period to the one before it. */
const PERIOD_RATIO = 1.03;
/** Number of candidate periods; the longest is about 40 s. */
const PERIOD_COUNT = 71;
const PERIODS_MS: readonly number[] = Array.from(
  { length: PERIOD_COUNT },
  (_, index) => MIN_PERIOD_MS * PERIOD_RATIO ** index,
);

/** Time after which a sample weighs 1/e of a new one, in ms. */
const MEMORY_MS = 25_000;
/** Weight of the assumption that the load does not vary, in samples. */
const FLAT_WEIGHT = 3;
/** Shortest time of samples, in periods, before a period counts as found. */
const MIN_PERIODS_SEEN = 0.7;
/** Least share of the variance that a period has to explain. */
const MIN_EXPLAINED = 0.5;
/** A period replaces the current one only if it explains this much more. */
const MIN_IMPROVEMENT = 1.03;
/** Least number of samples of a series before its load is forecast. */
const MIN_SAMPLES = 12;
/** Loads of one series within this time count as one sample, their mean, in ms. */
const SAMPLE_INTERVAL_MS = 200;
/** Interval at which a period is chosen anew, in ms. */
const CHOICE_INTERVAL_MS = 1000;
/** A series without samples for this time is removed, in ms. */
const SERIES_LIFETIME_MS = 30_000;

/** Offsets of the sums of a series for one period. */
enum Sum {
  Sin,
  Cos,
  SinSin,
  SinCos,
  CosCos,
  LoadSin,
  LoadCos,
}
const SUM_COUNT = 7;

/** How well a wave of one period fits a series. */
interface WaveFit {
  /** Sum of squared deviations from the mean that the wave explains. */
  readonly explained: number;
  /** Sum of all squared deviations from the mean. */
  readonly total: number;
}

/** Samples of one load over time, as weighted sums for each period. */
class LoadSeries {
  readonly firstMs: number;
  readonly #sums = new Float64Array(PERIOD_COUNT * SUM_COUNT);
  #weight = 0;
  #load = 0;
  #loadSquared = 0;
  #lastMs: number;
  #scale = 1;
  /** Sum and number of the loads since the last sample. */
  #recentLoad = 0;
  #recentCount = 0;
  constructor(nowMs: number) {
    this.firstMs = nowMs;
    this.#lastMs = nowMs;
  }

  /** Monotonic ms of the last sample. */
  get lastMs(): number {
    return this.#lastMs;
  }

  get seenMs(): number {
    return this.#lastMs - this.firstMs;
  }

  /** Takes in a load; returns the mean of the recent ones when it is due. */
  collect(load: number, nowMs: number): number | undefined {
    this.#recentLoad += load;
    this.#recentCount += 1;
    if (nowMs - this.#lastMs < SAMPLE_INTERVAL_MS) return undefined;
    const mean = this.#recentLoad / this.#recentCount;
    this.#recentLoad = 0;
    this.#recentCount = 0;
    return mean;
  }

  /** Adds a sample; `angles` holds sine and cosine for each period. */
  add(load: number, nowMs: number, angles: Float64Array): void {
    // New samples get a growing weight instead of all earlier ones a smaller one.
    this.#scale *= Math.exp((nowMs - this.#lastMs) / MEMORY_MS);
    this.#lastMs = nowMs;
    if (this.#scale > 1e6) this.#rescale();
    const weight = this.#scale;
    this.#weight += weight;
    this.#load += weight * load;
    this.#loadSquared += weight * load * load;
    const sums = this.#sums;
    for (let period = 0; period < PERIOD_COUNT; period += 1) {
      const sin = angles[2 * period] ?? 0;
      const cos = angles[2 * period + 1] ?? 0;
      const at = period * SUM_COUNT;
      increase(sums, at + Sum.Sin, weight * sin);
      increase(sums, at + Sum.Cos, weight * cos);
      increase(sums, at + Sum.SinSin, weight * sin * sin);
      increase(sums, at + Sum.SinCos, weight * sin * cos);
      increase(sums, at + Sum.CosCos, weight * cos * cos);
      increase(sums, at + Sum.LoadSin, weight * load * sin);
      increase(sums, at + Sum.LoadCos, weight * load * cos);
    }
  }

  /** Number of samples that the weights amount to. */
  get sampleCount(): number {
    return this.#weight / this.#scale;
  }

  /** Fits a wave of a period; undefined while there are few samples. */
  fit(period: number): WaveFit | undefined {
    if (this.sampleCount < MIN_SAMPLES) return undefined;
    const sumOf = (sum: Sum) =>
      (this.#sums[period * SUM_COUNT + sum] ?? 0) / this.#scale;
    const n = this.sampleCount;
    const load = this.#load / this.#scale;
    // Normal equations around the means, with a prior that there is no wave.
    const s = sumOf(Sum.Sin);
    const c = sumOf(Sum.Cos);
    const ss = sumOf(Sum.SinSin) - (s * s) / n + FLAT_WEIGHT;
    const sc = sumOf(Sum.SinCos) - (s * c) / n;
    const cc = sumOf(Sum.CosCos) - (c * c) / n + FLAT_WEIGHT;
    const ls = sumOf(Sum.LoadSin) - (load * s) / n;
    const lc = sumOf(Sum.LoadCos) - (load * c) / n;
    const determinant = ss * cc - sc * sc;
    const sin = (ls * cc - lc * sc) / determinant;
    const cos = (lc * ss - ls * sc) / determinant;
    return {
      explained: sin * ls + cos * lc,
      total: this.#loadSquared / this.#scale - (load * load) / n,
    };
  }

  #rescale(): void {
    for (let at = 0; at < this.#sums.length; at += 1) {
      this.#sums[at] = (this.#sums[at] ?? 0) / this.#scale;
    }
    this.#weight /= this.#scale;
    this.#load /= this.#scale;
    this.#loadSquared /= this.#scale;
    this.#scale = 1;
  }
}

/**
 * Finds the period at which the loads of several series swing, each with its own
 * mean, height and phase. Users of one service come and go by the same rhythm, so
 * the series share one period.
 */
export class PeriodFinder<Series extends object> {
  readonly #series = new Map<Series, LoadSeries>();
  readonly #angles = new Float64Array(2 * PERIOD_COUNT);
  #anglesMs = Number.NaN;
  #period: number | undefined;
  #chosenMs = Number.NEGATIVE_INFINITY;

  /** Length of the period in ms; undefined while none is found. */
  get periodMs(): number | undefined {
    return this.#period === undefined ? undefined : PERIODS_MS[this.#period];
  }

  /** Assumes the period that another finder found, until samples show another. */
  import(periodMs: number): void {
    const nearest = Math.round(
      Math.log(periodMs / MIN_PERIOD_MS) / Math.log(PERIOD_RATIO),
    );
    if (nearest in PERIODS_MS) this.#period = nearest;
  }

  /** Records a load of a series. */
  add(key: Series, load: number, nowMs: number): void {
    let series = this.#series.get(key);
    if (series === undefined) {
      series = new LoadSeries(nowMs);
      this.#series.set(key, series);
    }
    const sample = series.collect(load, nowMs);
    if (sample === undefined) return;
    series.add(sample, nowMs, this.#anglesAt(nowMs));
    if (nowMs - this.#chosenMs < CHOICE_INTERVAL_MS) return;
    this.#chosenMs = nowMs;
    this.#removeOld(nowMs);
    if (this.#isSeenLongEnough()) this.#period = this.#choosePeriod();
  }

  #removeOld(nowMs: number): void {
    for (const [key, { lastMs }] of this.#series) {
      if (nowMs - lastMs > SERIES_LIFETIME_MS) this.#series.delete(key);
    }
  }

  /** The period that explains most, if it explains enough. */
  #choosePeriod(): number | undefined {
    const longestMs = this.#longestSeenMs();
    const current = this.#period;
    let best = current;
    let bestExplained =
      current === undefined ? 0 : this.#explainedBy(current) * MIN_IMPROVEMENT;
    for (const [period, lengthMs] of PERIODS_MS.entries()) {
      if (lengthMs * MIN_PERIODS_SEEN > longestMs) break;
      const explained = this.#explainedBy(period);
      if (explained <= bestExplained) continue;
      best = period;
      bestExplained = explained;
    }
    return bestExplained > MIN_EXPLAINED ? best : undefined;
  }

  /** Whether the samples suffice to tell that the current period is wrong. */
  #isSeenLongEnough(): boolean {
    const currentMs = this.periodMs ?? 0;
    return this.#longestSeenMs() >= currentMs * MIN_PERIODS_SEEN;
  }

  #longestSeenMs(): number {
    let longestMs = 0;
    for (const { seenMs } of this.#series.values()) {
      longestMs = Math.max(longestMs, seenMs);
    }
    return longestMs;
  }

  /** Fraction of the variance of all series that waves of a period explain. */
  #explainedBy(period: number): number {
    let explained = 0;
    let total = 0;
    for (const series of this.#series.values()) {
      const wave = series.fit(period);
      if (wave === undefined) continue;
      explained += wave.explained;
      total += wave.total;
    }
    return total === 0 ? 0 : explained / total;
  }

  #anglesAt(nowMs: number): Float64Array {
    if (this.#anglesMs === nowMs) return this.#angles;
    this.#anglesMs = nowMs;
    for (const [period, lengthMs] of PERIODS_MS.entries()) {
      const angle = (2 * Math.PI * nowMs) / lengthMs;
      this.#angles[2 * period] = Math.sin(angle);
      this.#angles[2 * period + 1] = Math.cos(angle);
    }
    return this.#angles;
  }
}

function increase(values: Float64Array, at: number, by: number): void {
  values[at] = (values[at] ?? 0) + by;
}
