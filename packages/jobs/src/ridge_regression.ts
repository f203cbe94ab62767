/** Factor by which each new sample reduces the weight of all earlier ones. */
const DECAY = 0.9998;
/** Weight of the imported values of another regression, as that of a prior. */
const SEED_FACTOR = 40;
/** Scale of the sums at which they are brought back to 1. */
const MAX_SCALE = 1e6;

/** Assumed value of a coefficient before any sample. */
export interface Prior {
  readonly value: number;
  /** Weight in samples whose feature is 1. */
  readonly weight: number;
}

/** Value of a feature in a sample. */
export interface Feature {
  readonly name: string;
  readonly value: number;
}

/**
 * Ridge regression. Features may be added and removed at any time, and the
 * weight of samples decays exponentially; that of the priors does not.
 */
export class RidgeRegression {
  readonly #priorOf: (name: string) => Prior;
  readonly #terms = new Map<string, number>();
  readonly #priors: Prior[] = [];
  /** Weighted normal equations; the last column is the right side. */
  #equations: number[][] = [];
  #solution: number[] = [];
  /** Weight of the next sample; grows instead of that of earlier ones falling. */
  #scale = 1;
  #isStale = false;

  /** `priorOf` returns the prior of a feature's coefficient. */
  constructor(priorOf: (name: string) => Prior) {
    this.#priorOf = priorOf;
  }

  /** Names of all features so far. */
  get names(): IterableIterator<string> {
    return this.#terms.keys();
  }

  /** Adds a sample; `weight` is 1 for one of usual precision. */
  add(features: readonly Feature[], target: number, weight = 1): void {
    this.#scale /= DECAY;
    if (this.#scale > MAX_SCALE) this.#rescale();
    const terms = features.map(({ name }) => this.#termOf(name));
    const scaled = this.#scale * weight;
    for (const [index, term] of terms.entries()) {
      const row = this.#equations[term];
      if (row === undefined) continue;
      const factor = scaled * (features[index]?.value ?? 0);
      for (const [other, column] of terms.entries()) {
        increase(row, column, factor * (features[other]?.value ?? 0));
      }
      increase(row, row.length - 1, factor * target);
    }
    this.#isStale = true;
  }

  /** Recomputes the result if samples were added since. */
  solve(): void {
    if (!this.#isStale) return;
    this.#isStale = false;
    const rows = this.#equations.map((row, term) => {
      const { value, weight } = this.#priors[term] ?? NO_PRIOR;
      const copy = row.map((sum) => sum / this.#scale);
      increase(copy, term, weight);
      increase(copy, copy.length - 1, weight * value);
      return copy;
    });
    this.#solution = solveEquations(rows);
  }

  /** Imports coefficients of another regression. */
  seed(values: Readonly<Record<string, number>>): void {
    for (const [name, value] of Object.entries(values)) {
      const term = this.#termOf(name);
      const row = this.#equations[term];
      if (row === undefined) continue;
      const { weight } = this.#priors[term] ?? NO_PRIOR;
      const added = this.#scale * weight * SEED_FACTOR;
      increase(row, term, added);
      increase(row, row.length - 1, added * value);
    }
    this.#isStale = true;
    this.solve();
  }

  /**
   * Removes a feature. What its samples say of the other coefficients is kept.
   */
  remove(name: string): void {
    const term = this.#terms.get(name);
    if (term === undefined) return;
    const { value, weight } = this.#priors[term] ?? NO_PRIOR;
    const pivotRow = this.#equations[term] ?? [];
    increase(pivotRow, term, this.#scale * weight);
    increase(pivotRow, pivotRow.length - 1, this.#scale * weight * value);
    eliminate(this.#equations, term, 0);
    this.#equations.splice(term, 1);
    for (const row of this.#equations) row.splice(term, 1);
    this.#priors.splice(term, 1);
    this.#solution.splice(term, 1);
    this.#terms.delete(name);
    for (const [other, index] of this.#terms) {
      if (index > term) this.#terms.set(other, index - 1);
    }
  }

  /** Coefficient of a feature as of the last {@linkcode solve}. */
  coefficientOf(name: string): number {
    const term = this.#terms.get(name);
    const solved = term === undefined ? undefined : this.#solution[term];
    return solved ?? this.#priorOf(name).value;
  }

  #termOf(name: string): number {
    const known = this.#terms.get(name);
    if (known !== undefined) return known;
    const term = this.#equations.length;
    for (const row of this.#equations) row.splice(term, 0, 0);
    this.#equations.push(new Array<number>(term + 2).fill(0));
    this.#priors.push(this.#priorOf(name));
    this.#terms.set(name, term);
    return term;
  }

  #rescale(): void {
    for (const row of this.#equations) {
      for (const [column, sum] of row.entries()) {
        row[column] = sum / this.#scale;
      }
    }
    this.#scale = 1;
  }
}

const NO_PRIOR: Prior = { value: 0, weight: 0 };

function increase(row: number[], column: number, by: number): void {
  row[column] = (row[column] ?? 0) + by;
}

/** Subtracts multiples of the pivot's row so that its column becomes zero. */
function eliminate(rows: number[][], pivot: number, first: number): void {
  const pivotRow = rows[pivot] ?? [];
  const head = pivotRow[pivot] || 1;
  for (let other = first; other < rows.length; other += 1) {
    const row = rows[other] ?? [];
    const factor = (row[pivot] ?? 0) / head;
    if (factor === 0 || other === pivot) continue;
    for (let column = 0; column < row.length; column += 1) {
      increase(row, column, -factor * (pivotRow[column] ?? 0));
    }
  }
}

/** Solves linear equations by elimination; the last column is the right side. */
function solveEquations(rows: number[][]): number[] {
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot += 1) {
    eliminate(rows, pivot, pivot + 1);
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
