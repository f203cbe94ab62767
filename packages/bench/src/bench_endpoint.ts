import type { Clock } from "@laburnumtrack/core/clock";
import type { Endpoint } from "@laburnumtrack/routing/endpoint";
import type { SeededRandom } from "@laburnumtrack/standins/dice";

/** Behaviour of a simulated endpoint. */
export enum EndpointMode {
  Healthy = "well",
  /** Fails each request immediately. */
  FailsAtOnce = "fails_at_once",
  /** Accepts requests but never responds. */
  Silent = "silent",
}

/** Sigma of the log-normal response time. */
const RESPONSE_TIME_SIGMA = 0.5;

/** Simulates an endpoint with a fixed number of slots and a FIFO queue. */
export class SimulatedEndpoint {
  readonly endpoint: Endpoint;
  readonly rack: number;
  mode = EndpointMode.Healthy;
  /** Factor by which response times are multiplied. */
  slowdown = 1;
  /** Peak number of running and queued requests. */
  maxOutstanding = 0;
  readonly #clock: Clock;
  readonly #dice: SeededRandom;
  readonly #answerMs: number;
  readonly #queue: (() => void)[] = [];
  #running = 0;

  constructor(
    endpoint: Endpoint,
    options: { readonly rack: number; readonly answerMs: number },
    sources: { readonly clock: Clock; readonly dice: SeededRandom },
  ) {
    this.endpoint = endpoint;
    this.rack = options.rack;
    this.#answerMs = options.answerMs;
    this.#clock = sources.clock;
    this.#dice = sources.dice;
  }

  /** Number of running and queued requests. */
  get outstanding(): number {
    return this.#running + this.#queue.length;
  }

  /** Serves one request; returns false if it failed or was aborted. */
  async serve(signal: AbortSignal): Promise<boolean> {
    if (this.mode === EndpointMode.FailsAtOnce) return false;
    if (this.#running >= this.endpoint.slots) {
      this.maxOutstanding = Math.max(this.maxOutstanding, this.outstanding + 1);
      await new Promise<void>((resolve) => this.#queue.push(resolve));
    }
    this.#running += 1;
    this.maxOutstanding = Math.max(this.maxOutstanding, this.outstanding);
    const isSilent = this.mode === EndpointMode.Silent;
    const responseMs = isSilent
      ? 3_600_000
      : this.#drawResponseMs() * this.slowdown;
    await this.#clock.sleep(responseMs, signal);
    this.#running -= 1;
    this.#queue.shift()?.();
    return !signal.aborted && !isSilent;
  }

  /** Draws a log-normal response time with the endpoint's mean, in ms. */
  #drawResponseMs(): number {
    const radius = Math.sqrt(-2 * Math.log(this.#dice.fraction() + 1e-9));
    const normal = radius * Math.cos(2 * Math.PI * this.#dice.fraction());
    const mu = Math.log(this.#answerMs) - RESPONSE_TIME_SIGMA ** 2 / 2;
    return Math.exp(mu + RESPONSE_TIME_SIGMA * normal);
  }
}
