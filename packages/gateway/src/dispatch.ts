import { type Clock, WAIT_OVER } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { RequestOutcome } from "@laburnumtrack/process/http_problem";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { AttemptOutcome } from "@laburnumtrack/routing/endpoint";
import type {
  Grant,
  ServiceRouter,
} from "@laburnumtrack/routing/service_router";
import { Err, Ok, type Result } from "ts-results";
import {
  type Attempt,
  AttemptFailure,
  type EndpointSender,
  type OutgoingRequest,
  type ResponseHead,
} from "./attempt";

/** How a request is to be delivered. */
export interface DeliveryOptions {
  readonly router: ServiceRouter;
  /** Time on the monotonic clock, in ms. */
  readonly deadlineMs: number;
  /** Whether the request may be sent again after its response was lost. */
  readonly isIdempotent: boolean;
  /** Whether a hedge may be sent: a second copy while the first runs. */
  readonly isSafe: boolean;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
}

/** A response whose head has arrived. */
export interface Delivery {
  readonly head: ResponseHead;
  /** Aborts the response and closes the connection to the endpoint. */
  readonly abort: () => void;
}

/** Why a request has no response, and whether it may have run. */
export interface DeliveryFailure {
  readonly fault: Fault;
  readonly outcome: RequestOutcome;
}

/** Dependencies of {@linkcode Dispatch}. */
export interface DispatchOptions {
  readonly clock: Clock;
  readonly sender: EndpointSender;
  readonly metrics: Metrics;
}

/** Attempts per request, hedges included, after which no retry is made. */
const MAX_ATTEMPTS = 3;
const MIN_HEDGE_DELAY_MS = 5;

/** Sends requests to endpoints: attempts, retries, hedges and deadlines. */
export class Dispatch {
  readonly #options: DispatchOptions;

  constructor(options: DispatchOptions) {
    this.#options = options;
  }

  /**
   * Sends a request, with retries and hedges, until an endpoint responds or the
   * deadline passes. Resolves with the head of the response.
   */
  async deliver(
    request: OutgoingRequest,
    options: DeliveryOptions,
  ): Promise<Result<Delivery, DeliveryFailure>> {
    const run = new DeliveryRun(request, options, this.#options);
    return await run.run();
  }
}

/** An attempt and the endpoint that it was sent to. */
interface RunningAttempt {
  readonly attempt: Attempt;
  readonly endpoint: string;
  readonly head: Promise<ResponseHead | AttemptFailure>;
}

/** The delivery of one request. */
class DeliveryRun {
  readonly #request: OutgoingRequest;
  readonly #options: DeliveryOptions;
  readonly #dependencies: DispatchOptions;
  readonly #triedEndpoints: string[] = [];
  /** Attempts that wait for the head of the response. */
  readonly #running = new Set<RunningAttempt>();
  /** Whether any attempt may have run without its response arriving. */
  #hasLostAttempt = false;

  constructor(
    request: OutgoingRequest,
    options: DeliveryOptions,
    dependencies: DispatchOptions,
  ) {
    this.#request = request;
    this.#options = options;
    this.#dependencies = dependencies;
  }

  async run(): Promise<Result<Delivery, DeliveryFailure>> {
    const { router, deadlineMs, callerGone } = this.#options;
    const abortAttempts = () => {
      for (const { attempt } of this.#running) attempt.abort();
    };
    const { clock } = this.#dependencies;
    const ended = new AbortController();
    void clock.sleep(deadlineMs - clock.nowMs(), ended.signal).then(() => {
      if (!ended.signal.aborted) abortAttempts();
    });
    callerGone.addEventListener("abort", abortAttempts);
    router.retryBudget.onFirstAttempt();
    try {
      return await this.#tryUntilAnswered();
    } finally {
      ended.abort(WAIT_OVER);
      callerGone.removeEventListener("abort", abortAttempts);
    }
  }

  async #tryUntilAnswered(): Promise<Result<Delivery, DeliveryFailure>> {
    for (;;) {
      const grant = await this.#acquire();
      if (grant.err) return this.#createFailure(grant.val);
      const winner = await this.#attemptWithHedge(grant.val);
      if (winner !== undefined) return Ok(winner);
      if (!this.#mayRetry()) {
        return this.#createFailure(new Fault(FaultCode.NoEndpoint));
      }
      this.#dependencies.metrics.count("retries");
    }
  }

  async #acquire(): Promise<Result<Grant, Fault>> {
    const { router, deadlineMs, callerGone } = this.#options;
    if (this.#triedEndpoints.length > 0) {
      const grant = router.tryAcquire(this.#triedEndpoints);
      if (grant !== undefined) return Ok(grant);
    }
    return await router.acquire({ deadlineMs, signal: callerGone });
  }

  /** Makes one attempt and, if it is slow, a hedge; undefined if both fail. */
  async #attemptWithHedge(grant: Grant): Promise<Delivery | undefined> {
    const first = this.#startAttempt(grant);
    const hedge = this.#planHedge(first);
    const firstDelivery = this.#deliveryOf(first);
    const hedgeDelivery = hedge.started.then((second) =>
      second === undefined ? undefined : this.#deliveryOf(second),
    );
    const winner = await raceDeliveries(
      firstDelivery,
      hedgeDelivery,
      hedge.cancel,
    );
    // The other attempt, if it still runs, is not needed any more.
    for (const { attempt } of this.#running) attempt.abort();
    return winner;
  }

  async #deliveryOf(running: RunningAttempt): Promise<Delivery | undefined> {
    const head = await running.head;
    if (typeof head !== "string") {
      return { head, abort: () => running.attempt.abort() };
    }
    if (head === AttemptFailure.Lost) this.#hasLostAttempt = true;
    return undefined;
  }

  #startAttempt(grant: Grant): RunningAttempt {
    const { endpoint } = grant;
    const { id } = endpoint;
    this.#triedEndpoints.push(id);
    const attempt = this.#dependencies.sender.send(endpoint, this.#request);
    const running: RunningAttempt = {
      attempt,
      endpoint: id,
      head: attempt.head,
    };
    this.#running.add(running);
    void this.#releaseWhenEnded(running, grant);
    return running;
  }

  /** Waits until the attempt has ended, then releases its slot. */
  async #releaseWhenEnded(
    running: RunningAttempt,
    grant: Grant,
  ): Promise<void> {
    const { router } = this.#options;
    const { attempt } = running;
    const head = await running.head;
    this.#running.delete(running);
    if (typeof head === "string") {
      const outcome =
        head === AttemptFailure.Lost
          ? AttemptOutcome.Lost
          : AttemptOutcome.NotRun;
      router.finish(
        grant,
        attempt.isAborted ? AttemptOutcome.Cancelled : outcome,
      );
      return;
    }
    const isComplete = await head.ended;
    if (attempt.isAborted) router.finish(grant, AttemptOutcome.Cancelled);
    else if (!isComplete) router.finish(grant, AttemptOutcome.Lost);
    else if (head.status >= 500) router.finish(grant, AttemptOutcome.Failed);
    else router.finish(grant, AttemptOutcome.Answered);
  }

  #planHedge(first: RunningAttempt): Hedge {
    const { router, isSafe } = this.#options;
    const delayMs = isSafe ? router.hedgeAfterMs() : undefined;
    if (delayMs === undefined) {
      return { started: Promise.resolve(undefined), cancel: () => {} };
    }
    const { clock } = this.#dependencies;
    const cancelled = new AbortController();
    const { signal } = cancelled;
    const started = clock
      .sleep(Math.max(MIN_HEDGE_DELAY_MS, delayMs), signal)
      .then(() => (signal.aborted ? undefined : this.#startHedge(first)));
    return { started, cancel: () => cancelled.abort(WAIT_OVER) };
  }

  #startHedge(first: RunningAttempt): RunningAttempt | undefined {
    const { router } = this.#options;
    const grant = router.tryAcquire([...this.#triedEndpoints, first.endpoint]);
    if (grant === undefined) return undefined;
    if (!router.retryBudget.tryTake()) {
      router.finish(grant, AttemptOutcome.Cancelled);
      return undefined;
    }
    this.#dependencies.metrics.count("hedges");
    return this.#startAttempt(grant);
  }

  #mayRetry(): boolean {
    const { router, deadlineMs, isIdempotent, callerGone } = this.#options;
    const { body } = this.#request;
    const isRepeatable = body === null || Buffer.isBuffer(body);
    if (!isRepeatable || callerGone.aborted) return false;
    if (this.#hasLostAttempt && !isIdempotent) return false;
    if (this.#dependencies.clock.nowMs() >= deadlineMs) return false;
    return (
      this.#triedEndpoints.length < MAX_ATTEMPTS && router.retryBudget.tryTake()
    );
  }

  /**
   * The outcome is unknown if any attempt may have run; otherwise the request
   * did not run.
   */
  #createFailure(fault: Fault): Result<never, DeliveryFailure> {
    const isPastDeadline =
      this.#dependencies.clock.nowMs() >= this.#options.deadlineMs;
    if (this.#hasLostAttempt) {
      const code = isPastDeadline
        ? FaultCode.DeadlineExceeded
        : FaultCode.AnswerLost;
      const outcome = RequestOutcome.Unknown;
      return Err({ fault: new Fault(code), outcome });
    }
    const hasEndpoint = fault.code !== FaultCode.NoEndpoint;
    const reported =
      isPastDeadline && hasEndpoint
        ? new Fault(FaultCode.DeadlineExceeded)
        : fault;
    return Err({ fault: reported, outcome: RequestOutcome.NotRun });
  }
}

/** A hedge that may be sent later. */
interface Hedge {
  /** Resolves with the hedge, or with undefined if none was sent. */
  readonly started: Promise<RunningAttempt | undefined>;
  /** Prevents a hedge that has not started yet. */
  readonly cancel: () => void;
}

/** The delivery that comes first; undefined when both attempts failed. */
async function raceDeliveries(
  first: Promise<Delivery | undefined>,
  hedge: Promise<Delivery | undefined>,
  cancelHedge: () => void,
): Promise<Delivery | undefined> {
  const firstSettled = first.then((delivery) => {
    // If the first attempt failed, a retry follows instead of a hedge.
    cancelHedge();
    return delivery;
  });
  const winner = await Promise.race([
    firstSettled.then((delivery) => ({ delivery, isFirst: true })),
    hedge.then((delivery) => ({ delivery, isFirst: false })),
  ]);
  if (winner.delivery !== undefined) return winner.delivery;
  return winner.isFirst ? await hedge : await firstSettled;
}
