/** Second attempts that can be saved up, and the initial credit. */
const MAX_CREDIT = 10;

/**
 * Limits second attempts (retries and hedges) to a share of the first ones, so
 * that they cannot multiply the load on a failing service.
 */
export class RetryBudget {
  readonly #share: number;
  #credit = MAX_CREDIT;

  /** `share` is the number of second attempts that each first one allows. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Adds the credit of one first attempt. */
  onFirstAttempt(): void {
    this.#credit = Math.min(MAX_CREDIT, this.#credit + this.#share);
  }

  /** Uses the credit of one second attempt; false when there is too little. */
  tryTake(): boolean {
    if (this.#share === 0 || this.#credit < 1) return false;
    this.#credit -= 1;
    return true;
  }
}
