import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";
import { AdmissionQueue } from "./admission_queue";
import { AttemptOutcome, type Endpoint } from "./endpoint";
import { chooseEndpoint } from "./endpoint_choice";
import { EndpointRecord } from "./endpoint_record";
import { LatencyWindow } from "./latency_window";
import { RetryBudget } from "./retry_budget";
import { type Slot, SlotLedger } from "./slot_ledger";
import {
  type GatewayIdentity,
  type SlotId,
  SlotShareCache,
} from "./slot_shares";

/** Permission to send one request to an endpoint, on one of its slots. */
export interface Grant {
  readonly endpoint: Endpoint;
  readonly slot: Slot;
  /** Monotonic time at which the slot was granted, in ms. */
  readonly grantedMs: number;
}

/** Configuration of a {@linkcode ServiceRouter}. */
export interface RouterOptions {
  readonly clock: Clock;
  /** Returns this gateway, whose instance can change. */
  readonly self: () => GatewayIdentity;
  /** Largest number of requests in the queue. */
  readonly queueLimit: number;
  /** Retries and hedges allowed per first attempt. */
  readonly retryShare: number;
  /** Returns the latency percentile after which a hedge is sent. */
  readonly hedgePercentile: () => number;
  /** Called when a request waits without a free slot, to borrow slots. */
  readonly onShortage: () => void;
}

/** Limits of one request's wait for a slot. */
export interface AcquireOptions {
  /** Monotonic time in ms from which the request must not be sent. */
  readonly deadlineMs: number;
  readonly signal?: AbortSignal;
}

/** Weight of a new latency in the moving average of the service. */
const MEAN_LATENCY_WEIGHT = 0.05;
/** Mean latency assumed before the first answer. */
const INITIAL_MEAN_LATENCY_MS = 20;
/** Interval at which the endpoints are reconsidered for a waiting request. */
const QUEUE_RECHECK_MS = 10;

/**
 * Routes the requests of one service at one gateway: holds the gateway's share
 * of the endpoints' slots, queues requests and chooses their endpoints.
 */
export class ServiceRouter {
  /** Budget for the retries and hedges of the service. */
  readonly retryBudget: RetryBudget;
  readonly #options: RouterOptions;
  readonly #ledger = new SlotLedger();
  readonly #slotShares = new SlotShareCache();
  readonly #records = new Map<string, EndpointRecord>();
  readonly #queue: AdmissionQueue<Grant>;
  readonly #latencies = new LatencyWindow();
  #sharers: readonly GatewayIdentity[];
  #meanLatencyMs = INITIAL_MEAN_LATENCY_MS;
  /** Decaying maximum of the busy slots, kept back when slots are lent. */
  #peakBusy = 0;
  #isRechecking = false;

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#sharers = [options.self()];
    this.#queue = new AdmissionQueue(options.clock, options.queueLimit);
    this.retryBudget = new RetryBudget(options.retryShare);
  }

  /** Replaces the endpoints that accept new requests. */
  setEndpoints(endpoints: readonly Endpoint[]): void {
    const ids = new Set(endpoints.map(({ id }) => id));
    const isSame =
      ids.size === this.#records.size &&
      endpoints.every(({ id }) => this.#records.has(id));
    if (isSame) return;
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id);
    }
    for (const endpoint of endpoints) {
      if (this.#records.has(endpoint.id)) continue;
      this.#records.set(endpoint.id, new EndpointRecord(endpoint));
    }
    this.#assignSlots();
  }

  /** Replaces the gateways that share the slots, this one included. */
  setGateways(sharers: readonly GatewayIdentity[]): void {
    this.#sharers = sharers;
    this.#assignSlots();
  }

  /** Endpoints that accept new requests. */
  get endpoints(): Endpoint[] {
    return [...this.#records.values()].map(({ endpoint }) => endpoint);
  }

  /** Number of requests that wait for a slot. */
  get waiting(): number {
    return this.#queue.length;
  }

  /**
   * Waits for a slot. On an error the request has not been sent: its deadline
   * passed, the queue is full, the signal aborted, or there is no endpoint.
   */
  async acquire(options: AcquireOptions): Promise<Result<Grant, Fault>> {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs >= options.deadlineMs) {
      return Err(new Fault(FaultCode.DeadlineExceeded));
    }
    if (this.#queue.length === 0) {
      const grant = this.tryAcquire([]);
      if (grant !== undefined) return Ok(grant);
    }
    if (this.#records.size === 0 && this.#queue.length === 0) {
      this.#options.onShortage();
    }
    const { deadlineMs, signal } = options;
    const waiting = this.#queue.wait(deadlineMs, signal);
    this.#options.onShortage();
    this.#scheduleRecheck();
    const result = await waiting;
    if (result.ok || this.#records.size > 0) return result;
    if (result.val.code !== FaultCode.DeadlineExceeded) return result;
    return Err(new Fault(FaultCode.NoEndpoint));
  }

  /** Takes a free slot without waiting, on no endpoint of `exclude`. */
  tryAcquire(exclude: readonly string[]): Grant | undefined {
    return this.#tryGrant(exclude, 0);
  }

  /** Ends an attempt: releases its slot and records its outcome and latency. */
  finish(grant: Grant, outcome: AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    const latencyMs = nowMs - grant.grantedMs;
    const record = this.#records.get(grant.endpoint.id);
    record?.onOutcome(outcome, latencyMs, nowMs);
    if (outcome === AttemptOutcome.Answered) {
      this.#latencies.record(latencyMs, nowMs);
      this.#meanLatencyMs +=
        (latencyMs - this.#meanLatencyMs) * MEAN_LATENCY_WEIGHT;
    }
    this.#ledger.release(grant.slot);
    this.#serveQueue();
  }

  /** Delay before a hedge in ms; undefined while there are too few samples. */
  hedgeAfterMs(): number | undefined {
    return this.#latencies.percentile(
      this.#options.hedgePercentile(),
      this.#options.clock.nowMs(),
    );
  }

  /**
   * Lends up to `wanted` free slots to a peer until `untilMs`. Keeps as many as
   * the recent peak of use needs, at least one, and lends none while requests
   * wait here.
   */
  lend(wanted: number, untilMs: number): SlotId[] {
    if (this.#queue.length > 0) return [];
    const { busy } = this.#ledger.count();
    const reserve = Math.max(1, Math.ceil(this.#peakBusy - busy));
    return this.#ledger.lend(wanted, reserve, untilMs);
  }

  /** Adds slots of known endpoints that a peer has lent until `untilMs`. */
  borrow(names: readonly SlotId[], untilMs: number): void {
    const known = names.filter(({ endpoint }) => this.#records.has(endpoint));
    this.#ledger.addBorrowed(known, untilMs);
    this.#serveQueue();
  }

  /** Takes back lent slots that a peer returns before the loan ends. */
  takeBack(names: readonly SlotId[]): void {
    this.#ledger.takeBack(names);
    this.#serveQueue();
  }

  /** Ends expired loans; returns the borrowed slots to give back. */
  settleLoans(): SlotId[] {
    const nowMs = this.#options.clock.nowMs();
    const { busy } = this.#ledger.count();
    this.#peakBusy = Math.max(busy, this.#peakBusy * 0.9);
    this.#ledger.reclaimLent(nowMs);
    this.#serveQueue();
    return this.#ledger.dropExpiredBorrowed(nowMs);
  }

  /** State of the router for the state dump. */
  describe() {
    return {
      endpoints: this.#records.size,
      waiting: this.#queue.length,
      typicalMs: Math.round(this.#meanLatencyMs * 10) / 10,
      slots: this.#ledger.count(),
    };
  }

  #assignSlots(): void {
    const slots = this.#slotShares.assignedSlots(
      this.endpoints,
      this.#sharers,
      this.#options.self().instance,
    );
    this.#ledger.setOwned(slots);
    this.#serveQueue();
  }

  #tryGrant(exclude: readonly string[], waitedMs: number): Grant | undefined {
    const nowMs = this.#options.clock.nowMs();
    const free: EndpointRecord[] = [];
    for (const id of this.#ledger.freeEndpoints()) {
      const record = this.#records.get(id);
      if (record !== undefined && !exclude.includes(id)) free.push(record);
    }
    const record = chooseEndpoint(free, {
      nowMs,
      meanLatencyMs: this.#meanLatencyMs,
      failureDomain: this.#options.self().failureDomain,
      waitedMs,
    });
    if (record === undefined) return undefined;
    const slot = this.#ledger.take(record.endpoint.id);
    if (slot === undefined) return undefined;
    record.onSent(nowMs);
    return { endpoint: record.endpoint, slot, grantedMs: nowMs };
  }

  #serveQueue(): void {
    for (;;) {
      const first = this.#queue.first;
      if (first === undefined) return;
      const nowMs = this.#options.clock.nowMs();
      const grant = this.#tryGrant([], nowMs - first.enqueuedMs);
      if (grant === undefined) break;
      this.#queue.grantFirst(grant);
    }
    this.#scheduleRecheck();
  }

  /** Slow and ejected endpoints become eligible as time passes. */
  #scheduleRecheck(): void {
    if (this.#isRechecking || this.#queue.length === 0) return;
    this.#isRechecking = true;
    void this.#options.clock.sleep(QUEUE_RECHECK_MS).then(() => {
      this.#isRechecking = false;
      this.#serveQueue();
    });
  }
}
