import { Clock } from "@laburnumtrack/core/clock";
import TinyQueue from "tinyqueue";

interface Timer {
  readonly atMs: number;
  /** Position among timers that are due at the same time. */
  readonly order: number;
  readonly onDue: () => void;
}

/** Clock that advances only on request, so that tests do not wait in real time. */
export class VirtualClock extends Clock {
  readonly #timers = new TinyQueue<Timer>([], compareTimers);
  #nowMs = 0;
  #timerCount = 0;

  override nowMs(): number {
    return this.#nowMs;
  }

  override wallMs(): number {
    return this.#nowMs;
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      this.at(this.#nowMs + Math.max(0, ms), finish);
      signal?.addEventListener("abort", finish);
    });
  }

  /** Calls `onDue` once the clock reaches `atMs`. */
  at(atMs: number, onDue: () => void): void {
    this.#timerCount += 1;
    this.#timers.push({ atMs, order: this.#timerCount, onDue });
  }

  /** Advances the clock to `untilMs` and fires the timers due by then, in order. */
  async run(untilMs: number): Promise<void> {
    await drainMicrotasks();
    for (;;) {
      const next = this.#timers.peek();
      if (next === undefined || next.atMs > untilMs) break;
      this.#timers.pop();
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.onDue();
      await drainMicrotasks();
    }
    this.#nowMs = untilMs;
  }
}

/** The virtual clock of one simulated process, which can be frozen. */
export class ProcessClock extends Clock {
  readonly #clock: VirtualClock;
  #frozenUntilMs = 0;

  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  override nowMs(): number {
    return this.#clock.nowMs();
  }

  override wallMs(): number {
    return this.#clock.wallMs();
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(ms, signal);
    // Timers that fell due during a freeze all fire when it ends.
    while (this.#clock.nowMs() < this.#frozenUntilMs) {
      await this.#clock.sleep(this.#frozenUntilMs - this.#clock.nowMs());
    }
  }

  /** Suspends the process: its timers do not fire for that time, in ms. */
  freeze(ms: number): void {
    this.#frozenUntilMs = this.#clock.nowMs() + ms;
  }
}

function compareTimers(a: Timer, b: Timer): number {
  return a.atMs - b.atMs || a.order - b.order;
}

/** Runs pending promise callbacks before the clock advances further. */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
