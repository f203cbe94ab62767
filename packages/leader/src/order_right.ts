import type { Clock } from "@laburnumtrack/core/clock";

/** Pause of the watch between two looks at the clocks, in ms. */
const TICK_MS = 100;
/** A gap above this means that the process did not run, in ms. */
const GAP_MS = 700;

/** How a right is set up. */
export interface OrderRightOptions {
  readonly clock: Clock;
  /** Right to order after the last commit was sent, in ms. */
  readonly rightMs: number;
  /** Monotonic ms at which the last commit that took effect was sent. */
  readonly confirmedMs: () => number;
  readonly onThaw: (pausedMs: number) => void;
}

/**
 * A leader's right to send orders. It ends some time after the last commit,
 * and at once when the process was frozen, until a later commit. Clocks may
 * stop during a freeze, so the time of day is compared as well; a false alarm
 * costs one commit.
 */
export class OrderRight {
  readonly #options: OrderRightOptions;
  #tickMs: number;
  #tickWallMs: number;
  #thawMs = Number.NEGATIVE_INFINITY;

  constructor(options: OrderRightOptions) {
    this.#options = options;
    this.#tickMs = options.clock.nowMs();
    this.#tickWallMs = options.clock.wallMs();
  }

  /** Whether an order may be sent now. */
  get isValid(): boolean {
    this.#look();
    const { clock, rightMs, confirmedMs } = this.#options;
    const sinceMs = confirmedMs();
    return sinceMs > this.#thawMs && clock.nowMs() - sinceMs < rightMs;
  }

  /** Looks at the clocks until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(TICK_MS, signal);
      this.#look();
    }
  }

  #look(): void {
    const { clock, onThaw } = this.#options;
    const nowMs = clock.nowMs();
    const wallMs = clock.wallMs();
    const pausedMs = Math.max(nowMs - this.#tickMs, wallMs - this.#tickWallMs);
    this.#tickMs = nowMs;
    this.#tickWallMs = wallMs;
    if (pausedMs < GAP_MS) return;
    this.#thawMs = nowMs;
    onThaw(pausedMs);
  }
}
