import { Readable } from "node:stream";
import { WAIT_OVER } from "@laburnumtrack/core/clock";
import {
  Attempt,
  AttemptFailure,
  EndpointSender,
  type OutgoingRequest,
  type ResponseHead,
} from "@laburnumtrack/gateway/attempt";
import { Dispatch } from "@laburnumtrack/gateway/dispatch";
import { type Lender, SlotLending } from "@laburnumtrack/gateway/slot_lending";
import { Metrics } from "@laburnumtrack/process/metrics";
import type { Endpoint } from "@laburnumtrack/routing/endpoint";
import { hedgePercentileOf } from "@laburnumtrack/routing/hedge_percentile";
import { ServiceRouter } from "@laburnumtrack/routing/service_router";
import { Ok } from "ts-results";
import type { BenchEndpoint } from "./bench_endpoint";
import type { RoutingStage, StageGateway } from "./routing_stage";

/** How a request ended. */
export interface RequestEnd {
  readonly isRight: boolean;
}

/** A way to choose endpoints. */
export abstract class RoutingCandidate {
  abstract readonly name: string;
  /** Sends one request from a gateway. */
  abstract send(gateway: StageGateway, deadlineMs: number): Promise<RequestEnd>;
  /** Follows the list of endpoints. */
  abstract setEndpoints(endpoints: readonly BenchEndpoint[]): void;
  /** Follows the gateways that are members. */
  abstract setGateways(gateways: readonly StageGateway[]): void;
}

/** Sends to one endpoint and waits for the answer, as plain proxies do. */
async function sendPlainly(
  stage: RoutingStage,
  gateway: StageGateway,
  options: { readonly target: BenchEndpoint; readonly deadlineMs: number },
): Promise<RequestEnd> {
  const { clock } = stage;
  const { target, deadlineMs } = options;
  const aborted = new AbortController();
  void clock
    .sleep(deadlineMs - clock.nowMs(), aborted.signal)
    .then(() => aborted.abort(WAIT_OVER));
  const distanceMs = stage.distanceMs(gateway, target);
  await clock.sleep(distanceMs);
  const isRight = await target.serve(aborted.signal);
  await clock.sleep(distanceMs);
  const isInTime = clock.nowMs() <= deadlineMs;
  aborted.abort(WAIT_OVER);
  return { isRight: isRight && isInTime };
}

/** Takes endpoints in turn. */
export class RoundRobin extends RoutingCandidate {
  override readonly name = "round_robin";
  readonly #stage: RoutingStage;
  #endpoints: readonly BenchEndpoint[] = [];
  #turn = 0;

  constructor(stage: RoutingStage) {
    super();
    this.#stage = stage;
  }

  override async send(
    gateway: StageGateway,
    deadlineMs: number,
  ): Promise<RequestEnd> {
    this.#turn += 1;
    const target = this.#endpoints[this.#turn % this.#endpoints.length];
    if (target === undefined) return { isRight: false };
    return await sendPlainly(this.#stage, gateway, { target, deadlineMs });
  }

  override setEndpoints(endpoints: readonly BenchEndpoint[]): void {
    this.#endpoints = endpoints;
  }

  override setGateways(): void {}
}

/** Takes the endpoint with the fewest requests of this gateway. */
export class LeastConnections extends RoutingCandidate {
  override readonly name = "least_connections";
  readonly #stage: RoutingStage;
  readonly #held = new Map<string, number>();
  #endpoints: readonly BenchEndpoint[] = [];

  constructor(stage: RoutingStage) {
    super();
    this.#stage = stage;
  }

  override async send(
    gateway: StageGateway,
    deadlineMs: number,
  ): Promise<RequestEnd> {
    const target = this.#choose(gateway);
    if (target === undefined) return { isRight: false };
    const key = `${gateway.instance} ${target.endpoint.id}`;
    this.#held.set(key, (this.#held.get(key) ?? 0) + 1);
    const end = await sendPlainly(this.#stage, gateway, { target, deadlineMs });
    this.#held.set(key, (this.#held.get(key) ?? 1) - 1);
    return end;
  }

  override setEndpoints(endpoints: readonly BenchEndpoint[]): void {
    this.#endpoints = endpoints;
  }

  override setGateways(): void {}

  #choose({ instance }: StageGateway): BenchEndpoint | undefined {
    let fewest = Number.POSITIVE_INFINITY;
    let chosen: BenchEndpoint[] = [];
    for (const endpoint of this.#endpoints) {
      const held = this.#held.get(`${instance} ${endpoint.endpoint.id}`) ?? 0;
      if (held > fewest) continue;
      if (held < fewest) chosen = [];
      fewest = held;
      chosen.push(endpoint);
    }
    return chosen.length === 0 ? undefined : this.#stage.dice.pick(chosen);
  }
}

const EMPTY_BODY = Readable.from([]);

/** An attempt in virtual time. */
class BenchAttempt extends Attempt {
  override readonly head: Promise<ResponseHead | AttemptFailure>;
  readonly #aborted = new AbortController();

  constructor(
    run: (signal: AbortSignal) => Promise<ResponseHead | AttemptFailure>,
  ) {
    super();
    const { signal } = this.#aborted;
    const gaveUp = new Promise<AttemptFailure>((resolve) => {
      signal.addEventListener("abort", () => resolve(AttemptFailure.Lost));
    });
    this.head = Promise.race([run(signal), gaveUp]);
  }

  override get isAborted(): boolean {
    return this.#aborted.signal.aborted;
  }

  override abort(): void {
    this.#aborted.abort(WAIT_OVER);
  }
}

class BenchSender extends EndpointSender {
  readonly #stage: RoutingStage;
  readonly #gateway: StageGateway;
  readonly #byId: ReadonlyMap<string, BenchEndpoint>;

  constructor(stage: RoutingStage, gateway: StageGateway) {
    super();
    this.#stage = stage;
    this.#gateway = gateway;
    this.#byId = new Map(stage.endpoints.map((one) => [one.endpoint.id, one]));
  }

  override send({ id }: Endpoint): Attempt {
    const target = this.#byId.get(id);
    return new BenchAttempt(async (signal) => {
      if (target === undefined) return AttemptFailure.NotRun;
      const { clock } = this.#stage;
      const distanceMs = this.#stage.distanceMs(this.#gateway, target);
      await clock.sleep(distanceMs);
      const isRight = await target.serve(signal);
      await clock.sleep(distanceMs);
      const status = isRight ? 200 : 500;
      const ended = Promise.resolve(true);
      return { status, headers: {}, body: EMPTY_BODY, ended };
    });
  }
}

interface Side {
  readonly router: ServiceRouter;
  readonly dispatch: Dispatch;
  readonly lending: SlotLending;
}

/** What ships: shares, loans, queue, choice by latency, retries, hedges. */
export class Shipped extends RoutingCandidate {
  override readonly name: string;
  readonly #stage: RoutingStage;
  readonly #sides = new Map<string, Side>();
  #gateways: readonly StageGateway[] = [];

  /** `retryShare` 0 takes retries and hedges away. */
  constructor(stage: RoutingStage, name: string, retryShare: number) {
    super();
    this.name = name;
    this.#stage = stage;
    for (const gateway of stage.gateways) {
      this.#sides.set(gateway.instance, this.#createSide(gateway, retryShare));
    }
    void this.#settleLoans();
  }

  override async send(
    gateway: StageGateway,
    deadlineMs: number,
  ): Promise<RequestEnd> {
    const side = this.#sides.get(gateway.instance);
    if (side === undefined) return { isRight: false };
    const delivery = await side.dispatch.deliver(REQUEST, {
      router: side.router,
      deadlineMs,
      isIdempotent: true,
      isSafe: true,
      callerGone: NOBODY_GONE,
    });
    if (delivery.err) return { isRight: false };
    const isInTime = this.#stage.clock.nowMs() <= deadlineMs;
    return { isRight: delivery.val.head.status === 200 && isInTime };
  }

  override setEndpoints(endpoints: readonly BenchEndpoint[]): void {
    const listed = endpoints.map(({ endpoint }) => endpoint);
    for (const { router } of this.#sides.values()) router.setEndpoints(listed);
  }

  override setGateways(gateways: readonly StageGateway[]): void {
    this.#gateways = gateways;
    for (const { router } of this.#sides.values()) router.setGateways(gateways);
  }

  #createSide(gateway: StageGateway, retryShare: number): Side {
    const { clock } = this.#stage;
    const router: ServiceRouter = new ServiceRouter({
      clock,
      self: () => gateway,
      queueLimit: 512,
      retryShare,
      hedgePercentile: () => hedgePercentileOf(this.#stage.profile.favour),
      onShortage: () => lending.onShortage("s"),
    });
    const lending: SlotLending = new SlotLending({
      clock,
      routers: () => new Map([["s", router]]),
      lenders: () => this.#lendersOf(gateway),
      instance: () => gateway.instance,
      deadlineMsOf: () => DEADLINE_MS,
    });
    const sender = new BenchSender(this.#stage, gateway);
    const dispatch = new Dispatch({ clock, sender, metrics: new Metrics() });
    return { router, dispatch, lending };
  }

  #lendersOf(borrower: StageGateway): Lender[] {
    const lenders: Lender[] = [];
    const { clock, profile } = this.#stage;
    for (const gateway of this.#gateways) {
      const side = this.#sides.get(gateway.instance);
      if (gateway === borrower || side === undefined) continue;
      const isNear = gateway.failureDomain === borrower.failureDomain;
      const roundTripMs = 2 * (isNear ? profile.nearMs : profile.distanceMs);
      lenders.push({
        address: gateway.instance,
        borrow: async ({ service, wanted }) => {
          await clock.sleep(roundTripMs / 2);
          const reply = side.lending.lend(service, wanted);
          await clock.sleep(roundTripMs / 2);
          return Ok(reply);
        },
        giveBack: async ({ slots }) => {
          await clock.sleep(roundTripMs / 2);
          side.lending.takeBack(slots);
          return Ok(undefined);
        },
      });
    }
    return lenders;
  }

  async #settleLoans(): Promise<void> {
    for (;;) {
      await this.#stage.clock.sleep(100);
      for (const { lending } of this.#sides.values()) lending.endExpiredLoans();
    }
  }
}

/** Longest time of a request, in ms. */
export const DEADLINE_MS = 2000;

const NOBODY_GONE = new AbortController().signal;
const REQUEST: OutgoingRequest = {
  requestId: "r",
  method: "GET",
  path: "/",
  headers: {},
  body: null,
};
