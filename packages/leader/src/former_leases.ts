import type { Clock } from "@laburnumtrack/core/clock";
import { grantedLeaseMs, latestExpiryMs } from "./worker_link";

/** What is known of former leaders when a leadership is acquired. */
export interface FormerLeasesOptions {
  readonly clock: Clock;
  /** Longest lease that workers accept, in ms. */
  readonly acceptedMs: number;
  /** Monotonic ms at which the acquiring commit was known to be successful. */
  readonly acquiredMs: number;
  /** Time in ms from then for which former leaders may still send orders. */
  readonly rightMs: number;
  /** Longest lease in ms that former leaders granted. */
  readonly leaseMs: number;
  /** Remaining leases in ms of workers that did not answer the former leader. */
  readonly silent: Readonly<Record<string, number>>;
}

/** Leases that former leaders granted, or may still grant, as time passes. */
export class FormerLeases {
  readonly #options: FormerLeasesOptions;

  constructor(options: FormerLeasesOptions) {
    this.#options = options;
  }

  /** Monotonic ms by which all of them have expired. */
  get endMs(): number {
    const { acquiredMs, rightMs, leaseMs } = this.#options;
    return latestExpiryMs(acquiredMs + rightMs, leaseMs);
  }

  /** Time in ms for which former leaders may still send orders. */
  get rightMs(): number {
    return this.#remainingMs(this.#options.rightMs);
  }

  /** Longest lease in ms that a worker may hold now, from any leader. */
  get longestMs(): number {
    const { clock, acceptedMs, leaseMs } = this.#options;
    const ownMs = grantedLeaseMs(acceptedMs);
    return clock.nowMs() < this.endMs ? Math.max(ownMs, leaseMs) : ownMs;
  }

  /** Remaining leases in ms of workers that did not answer the former leader. */
  listSilent(): Record<string, number> {
    const entries = Object.entries(this.#options.silent);
    return Object.fromEntries(
      entries.map(([id, leftMs]) => [id, this.#remainingMs(leftMs)]),
    );
  }

  /** What is left of a time that was left when the leadership was acquired. */
  #remainingMs(leftMs: number): number {
    const { clock, acquiredMs } = this.#options;
    return Math.max(0, Math.ceil(leftMs - (clock.nowMs() - acquiredMs)));
  }
}
