import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { Err, type Result } from "ts-results";
import type { DeskPeer, ForwardedCall } from "./desk_peer";

/** Another entry that may carry out calls. */
export interface ForwardTarget {
  /** `host:port` at which it answers other entries. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Options of {@linkcode Forwarder}. */
export interface ForwarderOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly peer: DeskPeer;
  /** The other entries, also ones that have ended. */
  readonly targets: () => readonly ForwardTarget[];
  /** Failure domain of this entry; entries in it are preferred. */
  readonly failureDomain: string;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** A call to another entry that is not answered yet. */
interface OpenCall {
  readonly address: string;
  readonly sentMs: number;
}

/** Consecutive failures of an entry. */
interface Backoff {
  readonly untilMs: number;
  readonly pauseMs: number;
}

/** Most calls that other entries carry out for this one at a time. */
const MAX_OPEN_CALLS = 48;
/** First pause after an entry failed, in ms; it doubles with each failure. */
const FIRST_BACKOFF_MS = 500;
/** Longest pause after an entry failed, in ms. */
const MAX_BACKOFF_MS = 8000;
/**
 * Failures in a row after which nothing is forwarded for a while. Otherwise the
 * entries would multiply the calls to a table that rejects all of them.
 */
const MAX_FAILURES_IN_ROW = 4;
/** First of these pauses, in ms; it doubles up to the longest. */
const FIRST_PAUSE_MS = 300;
const MAX_PAUSE_MS = 2000;
/** Age of an open call from which its entry gets no further one, in ms. */
const SLOW_CALL_MS = 400;
/** Time without a forwarded call after which the next one is logged, in ms. */
const QUIET_MS = 5000;
/** Faults by which the table rejects another entry as well, or does not answer. */
const REJECTIONS = new Set([
  FaultCode.PeerUnreachable,
  FaultCode.AnswerLost,
  FaultCode.StoreUnavailable,
  FaultCode.RateLimited,
  FaultCode.OutcomeUnknown,
]);

/**
 * Has other entries carry out calls while the table rejects this one. Chooses the
 * entry that succeeded last, then one of the same failure domain, then any.
 */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #open = new Set<OpenCall>();
  /** By address. */
  readonly #backoffs = new Map<string, Backoff>();
  /** Address of the entry that succeeded last. */
  #best: string | undefined;
  #failuresInRow = 0;
  /** Monotonic ms until which nothing is forwarded. */
  #pausedUntilMs = Number.NEGATIVE_INFINITY;
  #pauseMs = FIRST_PAUSE_MS;
  #lastCallMs = Number.NEGATIVE_INFINITY;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    const { metrics } = options;
    metrics.gauge("forwards_open", () => this.#open.size);
  }

  /** Whether an entry can be asked that is not in `tried`. */
  canForward(tried: ReadonlySet<string>): boolean {
    if (this.#open.size >= MAX_OPEN_CALLS || this.#isPaused) return false;
    return this.#list(tried).length > 0;
  }

  /**
   * Has an entry that is not in `tried` carry out a call, and adds it there.
   * Faults are those of {@linkcode DeskPeer.call}.
   */
  async forward(
    call: ForwardedCall,
    timeoutMs: number,
    tried: Set<string>,
  ): Promise<Result<string, Fault>> {
    const { clock, metrics, peer } = this.#options;
    const address = this.#choose(tried);
    const isBusy = this.#open.size >= MAX_OPEN_CALLS || this.#isPaused;
    if (address === undefined || isBusy) {
      return Err(new Fault(FaultCode.PeerUnreachable));
    }
    tried.add(address);
    const open = { address, sentMs: clock.nowMs() };
    this.#logStart(call, address);
    this.#open.add(open);
    const answer = await peer.call(address, call, timeoutMs);
    this.#open.delete(open);
    const outcome = answer.ok ? "ok" : answer.val.code;
    metrics.count(`forwards{path="${call.path}",outcome="${outcome}"}`);
    metrics.recordMs("forward", clock.nowMs() - open.sentMs);
    if (answer.err && REJECTIONS.has(answer.val.code)) this.#onFailed(address);
    else this.#onSucceeded(address);
    return answer;
  }

  get #isPaused(): boolean {
    return this.#options.clock.nowMs() < this.#pausedUntilMs;
  }

  #choose(tried: ReadonlySet<string>): string | undefined {
    const { failureDomain, random } = this.#options;
    const usable = this.#list(tried);
    const best = usable.find(({ address }) => address === this.#best);
    if (best !== undefined) return best.address;
    const near = usable.filter(
      (target) => target.failureDomain === failureDomain,
    );
    const preferred = near.length > 0 ? near : usable;
    return preferred[Math.floor(random() * preferred.length)]?.address;
  }

  /** Entries that are not in `tried`, not in back-off and not slow to answer. */
  #list(tried: ReadonlySet<string>): ForwardTarget[] {
    const { clock, targets } = this.#options;
    const nowMs = clock.nowMs();
    const slow = new Set<string>();
    for (const { address, sentMs } of this.#open) {
      if (nowMs - sentMs >= SLOW_CALL_MS) slow.add(address);
    }
    return targets().filter(
      ({ address }) =>
        !tried.has(address) &&
        !slow.has(address) &&
        (this.#backoffs.get(address)?.untilMs ?? nowMs) <= nowMs,
    );
  }

  #onSucceeded(address: string): void {
    this.#backoffs.delete(address);
    this.#best = address;
    this.#failuresInRow = 0;
    this.#pauseMs = FIRST_PAUSE_MS;
  }

  #onFailed(address: string): void {
    const { clock } = this.#options;
    const former = this.#backoffs.get(address)?.pauseMs ?? 0;
    const pauseMs = Math.min(
      MAX_BACKOFF_MS,
      Math.max(FIRST_BACKOFF_MS, 2 * former),
    );
    this.#backoffs.set(address, { untilMs: clock.nowMs() + pauseMs, pauseMs });
    if (this.#best === address) this.#best = undefined;
    this.#failuresInRow += 1;
    if (this.#failuresInRow < MAX_FAILURES_IN_ROW) return;
    this.#failuresInRow = 0;
    this.#pausedUntilMs = clock.nowMs() + this.#pauseMs;
    this.#pauseMs = Math.min(MAX_PAUSE_MS, 2 * this.#pauseMs);
  }

  #logStart({ path }: ForwardedCall, address: string): void {
    const { clock, journal } = this.#options;
    const nowMs = clock.nowMs();
    const isQuiet = nowMs - this.#lastCallMs > QUIET_MS;
    this.#lastCallMs = nowMs;
    if (!isQuiet) return;
    journal.info(
      "The table rejects this entry or does not answer it; calls are forwarded.",
      { path, address },
    );
  }
}
