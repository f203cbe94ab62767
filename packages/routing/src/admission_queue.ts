import { type Clock, WAIT_OVER } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";

/** A request that waits for a slot. */
export interface Waiter<T> {
  /** Monotonic time at which it entered the queue, in ms. */
  readonly enqueuedMs: number;
  /** Monotonic time in ms from which the request must not be sent. */
  readonly deadlineMs: number;
  /** Removes the request from the queue and gives it a slot. */
  readonly grant: (value: T) => void;
}

/** Weight of the newest gap in the mean time between grants. */
const GRANT_GAP_WEIGHT = 0.1;

/**
 * Bounded FIFO queue of requests that wait for a slot of a service. It refuses
 * at once a request that is expected to pass its deadline in the queue. A
 * refused request has not been sent to an endpoint.
 */
export class AdmissionQueue<T> {
  readonly #clock: Clock;
  readonly #limit: number;
  readonly #waiters = new Set<Waiter<T>>();
  #meanGrantGapMs = 0;
  #lastGrantMs = 0;

  /** `limit` is the largest number of requests in the queue. */
  constructor(clock: Clock, limit: number) {
    this.#clock = clock;
    this.#limit = limit;
  }

  /** Number of requests in the queue. */
  get length(): number {
    return this.#waiters.size;
  }

  /** The request that has waited longest. */
  get first(): Waiter<T> | undefined {
    return this.#waiters.values().next().value;
  }

  /**
   * Waits for a slot until the deadline, in monotonic ms. Fails with QueueFull,
   * DeadlineExceeded, or ShuttingDown when the signal aborts.
   */
  async wait(
    deadlineMs: number,
    signal?: AbortSignal,
  ): Promise<Result<T, Fault>> {
    const nowMs = this.#clock.nowMs();
    if (this.#waiters.size >= this.#limit) {
      return Err(new Fault(FaultCode.QueueFull));
    }
    if (nowMs + this.#expectedWaitMs() >= deadlineMs) {
      return Err(new Fault(FaultCode.DeadlineExceeded));
    }
    return await new Promise((resolve) => {
      const timeout = new AbortController();
      const settle = (result: Result<T, Fault>) => {
        this.#waiters.delete(waiter);
        signal?.removeEventListener("abort", onAbort);
        timeout.abort(WAIT_OVER);
        resolve(result);
      };
      const onAbort = () => settle(Err(new Fault(FaultCode.ShuttingDown)));
      const waiter: Waiter<T> = {
        enqueuedMs: nowMs,
        deadlineMs,
        grant: (value) => settle(Ok(value)),
      };
      this.#waiters.add(waiter);
      signal?.addEventListener("abort", onAbort);
      void this.#clock.sleep(deadlineMs - nowMs, timeout.signal).then(() => {
        if (!this.#waiters.has(waiter)) return;
        settle(Err(new Fault(FaultCode.DeadlineExceeded)));
      });
    });
  }

  /** Grants a slot to the first request; false when the queue is empty. */
  grantFirst(value: T): boolean {
    const waiter = this.first;
    if (waiter === undefined) return false;
    this.#onGrant(this.#clock.nowMs());
    waiter.grant(value);
    return true;
  }

  #onGrant(nowMs: number): void {
    // The cap limits how much an idle period raises the expected wait.
    const gapMs = Math.min(1000, nowMs - this.#lastGrantMs);
    this.#lastGrantMs = nowMs;
    this.#meanGrantGapMs =
      this.#meanGrantGapMs * (1 - GRANT_GAP_WEIGHT) + gapMs * GRANT_GAP_WEIGHT;
  }

  #expectedWaitMs(): number {
    return this.#waiters.size * this.#meanGrantGapMs;
  }
}
