import { type Clock, WAIT_OVER } from "./clock";

/**
 * Wakes one waiting task. A signal that is set while nothing waits ends the
 * next wait at once.
 */
export class Signal {
  readonly #clock: Clock;
  #isSet = false;
  #waiting: AbortController | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Ends the current wait, or the next one if nothing waits now. */
  set(): void {
    this.#isSet = true;
    this.#waiting?.abort(WAIT_OVER);
  }

  /** Resolves when the signal is set or after `timeoutMs`. */
  async wait(timeoutMs: number): Promise<void> {
    if (!this.#isSet) {
      this.#waiting = new AbortController();
      await this.#clock.sleep(timeoutMs, this.#waiting.signal);
      this.#waiting = undefined;
    }
    this.#isSet = false;
  }
}
