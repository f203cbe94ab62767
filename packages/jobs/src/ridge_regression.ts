/** Weight of the prior values. */
const PRIOR_WEIGHT = 0.05;
/** Factor by which each new sample reduces the weight of all earlier ones. */
const DECAY = 0.9995;

/** Weight of the imported values of another regression. */
const SEED_WEIGHT = 2;

/** Result of a regression. */
export interface Slopes {
  /** Constant term. */
  readonly base: number;
  /** Slopes by feature name. */
  readonly slopes: Readonly<Record<string, number>>;
}

/** Value of a feature in a sample. */
export interface Feature {
  readonly name: string;
  readonly value: number;
}

/**
 * Ridge regression with a constant term. Features may be added at any time, and
 * the weight of samples decays exponentially.
 */
export class RidgeRegression {
  readonly #priorSlope: number;
  readonly #priorBase: number;
  readonly #terms = new Map<string, number>();
  /** Weighted normal equations; the last column is the right side. */
  #equations: number[][] = [];
  #solution: number[] = [];
  #isStale = true;

  /** `priorSlope` and `priorBase` are the results before any sample. */
  constructor(priorSlope: number, priorBase: number) {
    this.#priorSlope = priorSlope;
    this.#priorBase = priorBase;
    this.#addTerm(priorBase);
  }

  /** Adds a sample. */
  add(features: readonly Feature[], target: number): void {
    const terms = features.map(({ name }) => this.#termOf(name));
    for (const [term, row] of this.#equations.entries()) {
      for (let column = 0; column < row.length; column += 1) {
        row[column] = (row[column] ?? 0) * DECAY;
      }
      // The weight of the prior does not decay.
      const refill = PRIOR_WEIGHT * (1 - DECAY);
      row[term] = (row[term] ?? 0) + refill;
      const end = row.length - 1;
      row[end] = (row[end] ?? 0) + refill * this.#priorOf(term);
    }
    const vector = new Array<number>(this.#equations.length).fill(0);
    vector[0] = 1;
    for (const [index, term] of terms.entries()) {
      vector[term] = (vector[term] ?? 0) + (features[index]?.value ?? 0);
    }
    vector.push(target);
    for (const [term, row] of this.#equations.entries()) {
      const factor = vector[term] ?? 0;
      if (factor === 0) continue;
      for (const [column, value] of vector.entries()) {
        row[column] = (row[column] ?? 0) + factor * value;
      }
    }
    this.#isStale = true;
  }

  /** Recomputes the result if samples were added since. */
  solve(): void {
    if (!this.#isStale) return;
    this.#isStale = false;
    this.#solution = solveEquations(this.#equations.map((row) => [...row]));
  }

  /** Imports the result of another regression. */
  seed({ base, slopes }: Slopes): void {
    this.#addPseudoSample(0, base);
    for (const [name, slope] of Object.entries(slopes)) {
      this.#addPseudoSample(this.#termOf(name), slope);
    }
    this.#isStale = true;
    this.solve();
  }

  /** The current result, rounded, for import into another regression. */
  get slopes(): Slopes {
    const slopes: Record<string, number> = {};
    for (const name of this.#terms.keys()) {
      slopes[name] = roundToHundredths(this.slopeOf(name));
    }
    return { base: roundToHundredths(this.base), slopes };
  }

  /** Slope of a feature as of the last {@linkcode solve}. */
  slopeOf(name: string): number {
    const term = this.#terms.get(name);
    if (term === undefined) return this.#priorSlope;
    return this.#solution[term] ?? this.#priorSlope;
  }

  /** Constant term as of the last {@linkcode solve}. */
  get base(): number {
    return this.#solution[0] ?? this.#priorBase;
  }

  #addPseudoSample(term: number, value: number): void {
    const row = this.#equations[term];
    if (row === undefined) return;
    row[term] = (row[term] ?? 0) + SEED_WEIGHT;
    const end = row.length - 1;
    row[end] = (row[end] ?? 0) + SEED_WEIGHT * value;
  }

  #priorOf(term: number): number {
    return term === 0 ? this.#priorBase : this.#priorSlope;
  }

  #termOf(name: string): number {
    const known = this.#terms.get(name);
    if (known !== undefined) return known;
    const term = this.#addTerm(this.#priorSlope);
    this.#terms.set(name, term);
    return term;
  }

  #addTerm(prior: number): number {
    const term = this.#equations.length;
    for (const row of this.#equations) row.splice(term, 0, 0);
    const row = new Array<number>(term + 2).fill(0);
    row[term] = PRIOR_WEIGHT;
    row[term + 1] = PRIOR_WEIGHT * prior;
    this.#equations.push(row);
    return term;
  }
}

/** Solves linear equations by elimination; the last column is the right side. */
function solveEquations(rows: number[][]): number[] {
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
  for (let term = size - 1; term >= 0; term -= 1) {
    const row = rows[term] ?? [];
    let sum = row[size] ?? 0;
    for (let column = term + 1; column < size; column += 1) {
      sum -= (row[column] ?? 0) * (solution[column] ?? 0);
    }
    solution[term] = sum / (row[term] || 1);
  }
  return solution;
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
