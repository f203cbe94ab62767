import type { Clock } from "@laburnumtrack/core/clock";
import type { Endpoint } from "@laburnumtrack/routing/endpoint";
import type { SeededRandom } from "@laburnumtrack/standins/dice";

/** How an endpoint behaves. */
export enum EndpointMode {
  Well = "well",
  /** Answers each request at once with a failure. */
  FailsAtOnce = "fails_at_once",
  /** Takes requests and never answers. */
  Silent = "silent",
}

const SPREAD = 0.5;

/** An endpoint in virtual time: some slots, and a queue behind them. */
export class BenchEndpoint {
  readonly endpoint: Endpoint;
  readonly rack: number;
  mode = EndpointMode.Well;
  /** How much slower than usual it answers. */
  slowdown = 1;
  /** The most requests that ran or waited here at a time. */
  mostAtOnce = 0;
  readonly #clock: Clock;
  readonly #dice: SeededRandom;
  readonly #answerMs: number;
  readonly #queue: (() => void)[] = [];
  #running = 0;

  constructor(
    endpoint: Endpoint,
    place: { readonly rack: number; readonly answerMs: number },
    ports: { readonly clock: Clock; readonly dice: SeededRandom },
  ) {
    this.endpoint = endpoint;
    this.rack = place.rack;
    this.#answerMs = place.answerMs;
    this.#clock = ports.clock;
    this.#dice = ports.dice;
  }

  /** Requests that run or wait here. */
  get held(): number {
    return this.#running + this.#queue.length;
  }

  /** Runs one request; false when it failed. Ends early when aborted. */
  async serve(signal: AbortSignal): Promise<boolean> {
    if (this.mode === EndpointMode.FailsAtOnce) return false;
    if (this.#running >= this.endpoint.slots) {
      this.mostAtOnce = Math.max(this.mostAtOnce, this.held + 1);
      await new Promise<void>((resolve) => this.#queue.push(resolve));
    }
    this.#running += 1;
    this.mostAtOnce = Math.max(this.mostAtOnce, this.held);
    const isSilent = this.mode === EndpointMode.Silent;
    const takesMs = isSilent ? 3_600_000 : this.#drawMs() * this.slowdown;
    await this.#clock.sleep(takesMs, signal);
    this.#running -= 1;
    this.#queue.shift()?.();
    return !signal.aborted && !isSilent;
  }

  /** A log-normal time whose mean is the endpoint's. */
  #drawMs(): number {
    const radius = Math.sqrt(-2 * Math.log(this.#dice.fraction() + 1e-9));
    const normal = radius * Math.cos(2 * Math.PI * this.#dice.fraction());
    const mu = Math.log(this.#answerMs) - SPREAD ** 2 / 2;
    return Math.exp(mu + SPREAD * normal);
  }
}
