interface Budget {
  leftMilli: number;
  atMs: number;
}

/** Limits the CPU whose runs are stopped in each second, by pool. */
export class StopBudget {
  readonly #fractionPerS: number;
  readonly #budgets = new Map<string, Budget>();

  constructor(fractionPerS: number) {
    this.#fractionPerS = fractionPerS;
  }

  /** CPU in 1/1000 of a core whose runs may be stopped now. */
  leftMilli(pool: string, capacityMilli: number, nowMs: number): number {
    const perS = Math.max(0, capacityMilli * this.#fractionPerS);
    const known = this.#budgets.get(pool);
    const budget = known ?? { leftMilli: perS, atMs: nowMs };
    const gainedMilli = ((nowMs - budget.atMs) / 1000) * perS;
    budget.leftMilli = Math.min(perS, budget.leftMilli + gainedMilli);
    budget.atMs = nowMs;
    this.#budgets.set(pool, budget);
    return budget.leftMilli;
  }

  /** Records CPU whose runs are stopped. */
  spend(pool: string, cpuMilli: number): void {
    const budget = this.#budgets.get(pool);
    if (budget !== undefined) budget.leftMilli -= cpuMilli;
  }
}
