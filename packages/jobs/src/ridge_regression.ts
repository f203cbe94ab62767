/** Weight of what was assumed before the first sample. */
const PRIOR_WEIGHT = 0.05;
/** Part of the weight of all earlier samples that stays with each new one. */
const MEMORY = 0.9995;

/** Weight of what another regression has found. */
const SEED_WEIGHT = 2;

/** What a regression has found. */
export interface Slopes {
  /** The constant term. */
  readonly base: number;
  /** By feature. */
  readonly slopes: Readonly<Record<string, number>>;
}

/** A sample's share of a feature. */
export interface Feature {
  readonly name: string;
  readonly value: number;
}

/**
 * Linear regression with a constant term, over features that appear one after
 * the other; earlier samples fade.
 */
export class RidgeRegression {
  readonly #priorSlope: number;
  readonly #priorBase: number;
  readonly #places = new Map<string, number>();
  /** Sums of products of features; the last column is the target's. */
  #sums: number[][] = [];
  #solution: number[] = [];
  #isStale = true;

  /** `priorSlope` and `priorBase` hold until samples say otherwise. */
  constructor(priorSlope: number, priorBase: number) {
    this.#priorSlope = priorSlope;
    this.#priorBase = priorBase;
    this.#addPlace(priorBase);
  }

  /** Takes in a sample. */
  add(features: readonly Feature[], target: number): void {
    const places = features.map(({ name }) => this.#placeOf(name));
    for (const [place, row] of this.#sums.entries()) {
      for (let column = 0; column < row.length; column += 1) {
        row[column] = (row[column] ?? 0) * MEMORY;
      }
      // What was assumed does not fade.
      const refill = PRIOR_WEIGHT * (1 - MEMORY);
      row[place] = (row[place] ?? 0) + refill;
      const end = row.length - 1;
      row[end] = (row[end] ?? 0) + refill * this.#priorAt(place);
    }
    const vector = new Array<number>(this.#sums.length).fill(0);
    vector[0] = 1;
    for (const [index, place] of places.entries()) {
      vector[place] = (vector[place] ?? 0) + (features[index]?.value ?? 0);
    }
    vector.push(target);
    for (const [place, row] of this.#sums.entries()) {
      const factor = vector[place] ?? 0;
      if (factor === 0) continue;
      for (const [column, value] of vector.entries()) {
        row[column] = (row[column] ?? 0) + factor * value;
      }
    }
    this.#isStale = true;
  }

  /** Works out the slopes again, if samples came since. */
  solve(): void {
    if (!this.#isStale) return;
    this.#isStale = false;
    this.#solution = eliminate(this.#sums.map((row) => [...row]));
  }

  /** Takes over what another regression has found. */
  seed({ base, slopes }: Slopes): void {
    this.#assume(0, base);
    for (const [name, slope] of Object.entries(slopes)) {
      this.#assume(this.#placeOf(name), slope);
    }
    this.#isStale = true;
    this.solve();
  }

  /** What was found, for another regression to begin with. */
  get slopes(): Slopes {
    const slopes: Record<string, number> = {};
    for (const name of this.#places.keys()) {
      slopes[name] = roundCents(this.slopeOf(name));
    }
    return { base: roundCents(this.base), slopes };
  }

  /** Slope of a feature, as last worked out. */
  slopeOf(name: string): number {
    const place = this.#places.get(name);
    if (place === undefined) return this.#priorSlope;
    return this.#solution[place] ?? this.#priorSlope;
  }

  /** The constant term, as last worked out. */
  get base(): number {
    return this.#solution[0] ?? this.#priorBase;
  }

  #assume(place: number, value: number): void {
    const row = this.#sums[place];
    if (row === undefined) return;
    row[place] = (row[place] ?? 0) + SEED_WEIGHT;
    const end = row.length - 1;
    row[end] = (row[end] ?? 0) + SEED_WEIGHT * value;
  }

  #priorAt(place: number): number {
    return place === 0 ? this.#priorBase : this.#priorSlope;
  }

  #placeOf(name: string): number {
    const known = this.#places.get(name);
    if (known !== undefined) return known;
    const place = this.#addPlace(this.#priorSlope);
    this.#places.set(name, place);
    return place;
  }

  #addPlace(prior: number): number {
    const place = this.#sums.length;
    for (const row of this.#sums) row.splice(place, 0, 0);
    const row = new Array<number>(place + 2).fill(0);
    row[place] = PRIOR_WEIGHT;
    row[place + 1] = PRIOR_WEIGHT * prior;
    this.#sums.push(row);
    return place;
  }
}

/** Solves a system of linear equations; the last column is the right side. */
function eliminate(rows: number[][]): number[] {
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot += 1) {
    const pivotRow = rows[pivot] ?? [];
    const head = pivotRow[pivot] || 1;
    for (let other = pivot + 1; other < size; other += 1) {
      const row = rows[other] ?? [];
      const factor = (row[pivot] ?? 0) / head;
      if (factor === 0) continue;
      for (let column = pivot; column <= size; column += 1) {
        row[column] = (row[column] ?? 0) - factor * (pivotRow[column] ?? 0);
      }
    }
  }
  const solution = new Array<number>(size).fill(0);
  for (let place = size - 1; place >= 0; place -= 1) {
    const row = rows[place] ?? [];
    let sum = row[size] ?? 0;
    for (let column = place + 1; column < size; column += 1) {
      sum -= (row[column] ?? 0) * (solution[column] ?? 0);
    }
    solution[place] = sum / (row[place] || 1);
  }
  return solution;
}

function roundCents(value: number): number {
  return Math.round(value * 100) / 100;
}
