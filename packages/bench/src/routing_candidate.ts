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
import type { SimulatedEndpoint } from "./bench_endpoint";
import type { RoutingSimulation, SimulatedGateway } from "./routing_stage";

/** Result of a request, as its caller sees it. */
export interface RequestOutcome {
  readonly isSuccess: boolean;
}

/** A routing algorithm under comparison. */
export abstract class RoutingCandidate {
  abstract readonly name: string;
  /** Sends one request through a gateway; `deadlineMs` is a clock time. */
  abstract send(
    gateway: SimulatedGateway,
    deadlineMs: number,
  ): Promise<RequestOutcome>;
  /** Replaces the list of endpoints. */
  abstract setEndpoints(endpoints: readonly SimulatedEndpoint[]): void;
  /** Replaces the list of member gateways. */
  abstract setGateways(gateways: readonly SimulatedGateway[]): void;
}

/** Sends a request to one endpoint, without retries or hedges. */
async function sendOnce(
  stage: RoutingSimulation,
  gateway: SimulatedGateway,
  options: { readonly target: SimulatedEndpoint; readonly deadlineMs: number },
): Promise<RequestOutcome> {
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
  return { isSuccess: isRight && isInTime };
}

/** Selects endpoints in round-robin order. */
export class RoundRobin extends RoutingCandidate {
  override readonly name = "round_robin";
  readonly #stage: RoutingSimulation;
  #endpoints: readonly SimulatedEndpoint[] = [];
  #sentCount = 0;

  constructor(stage: RoutingSimulation) {
    super();
    this.#stage = stage;
  }

  override async send(
    gateway: SimulatedGateway,
    deadlineMs: number,
  ): Promise<RequestOutcome> {
    this.#sentCount += 1;
    const target = this.#endpoints[this.#sentCount % this.#endpoints.length];
    if (target === undefined) return { isSuccess: false };
    return await sendOnce(this.#stage, gateway, { target, deadlineMs });
  }

  override setEndpoints(endpoints: readonly SimulatedEndpoint[]): void {
    this.#endpoints = endpoints;
  }

  override setGateways(): void {}
}

/** Selects the endpoint with the fewest outstanding requests of this gateway. */
export class LeastConnections extends RoutingCandidate {
  override readonly name = "least_connections";
  readonly #stage: RoutingSimulation;
  readonly #outstanding = new Map<string, number>();
  #endpoints: readonly SimulatedEndpoint[] = [];

  constructor(stage: RoutingSimulation) {
    super();
    this.#stage = stage;
  }

  override async send(
    gateway: SimulatedGateway,
    deadlineMs: number,
  ): Promise<RequestOutcome> {
    const target = this.#choose(gateway);
    if (target === undefined) return { isSuccess: false };
    const key = `${gateway.instance} ${target.endpoint.id}`;
    this.#outstanding.set(key, (this.#outstanding.get(key) ?? 0) + 1);
    const end = await sendOnce(this.#stage, gateway, { target, deadlineMs });
    this.#outstanding.set(key, (this.#outstanding.get(key) ?? 1) - 1);
    return end;
  }

  override setEndpoints(endpoints: readonly SimulatedEndpoint[]): void {
    this.#endpoints = endpoints;
  }

  override setGateways(): void {}

  #choose({ instance }: SimulatedGateway): SimulatedEndpoint | undefined {
    let fewest = Number.POSITIVE_INFINITY;
    let chosen: SimulatedEndpoint[] = [];
    for (const endpoint of this.#endpoints) {
      const held =
        this.#outstanding.get(`${instance} ${endpoint.endpoint.id}`) ?? 0;
      if (held > fewest) continue;
      if (held < fewest) chosen = [];
      fewest = held;
      chosen.push(endpoint);
    }
    return chosen.length === 0 ? undefined : this.#stage.dice.pick(chosen);
  }
}

const EMPTY_BODY = Readable.from([]);

/** An attempt to send a request in virtual time. */
class SimulatedAttempt extends Attempt {
  override readonly head: Promise<ResponseHead | AttemptFailure>;
  readonly #aborted = new AbortController();

  constructor(
    run: (signal: AbortSignal) => Promise<ResponseHead | AttemptFailure>,
  ) {
    super();
    const { signal } = this.#aborted;
    const abandoned = new Promise<AttemptFailure>((resolve) => {
      signal.addEventListener("abort", () => resolve(AttemptFailure.Lost));
    });
    this.head = Promise.race([run(signal), abandoned]);
  }

  override get isAborted(): boolean {
    return this.#aborted.signal.aborted;
  }

  override abort(): void {
    this.#aborted.abort(WAIT_OVER);
  }
}

class SimulatedSender extends EndpointSender {
  readonly #stage: RoutingSimulation;
  readonly #gateway: SimulatedGateway;
  readonly #byId: ReadonlyMap<string, SimulatedEndpoint>;

  constructor(stage: RoutingSimulation, gateway: SimulatedGateway) {
    super();
    this.#stage = stage;
    this.#gateway = gateway;
    this.#byId = new Map(stage.endpoints.map((one) => [one.endpoint.id, one]));
  }

  override send({ id }: Endpoint): Attempt {
    const target = this.#byId.get(id);
    return new SimulatedAttempt(async (signal) => {
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

interface GatewayState {
  readonly router: ServiceRouter;
  readonly dispatch: Dispatch;
  readonly lending: SlotLending;
}

/**
 * The shipped routing: slot shares, slot lending, queueing, latency-based
 * selection, retries and hedges.
 */
export class ShippedRouting extends RoutingCandidate {
  override readonly name: string;
  readonly #stage: RoutingSimulation;
  readonly #gatewayStates = new Map<string, GatewayState>();
  #gateways: readonly SimulatedGateway[] = [];

  /** A `retryShare` of 0 disables retries and hedges. */
  constructor(stage: RoutingSimulation, name: string, retryShare: number) {
    super();
    this.name = name;
    this.#stage = stage;
    for (const gateway of stage.gateways) {
      this.#gatewayStates.set(
        gateway.instance,
        this.#createGatewayState(gateway, retryShare),
      );
    }
    void this.#expireLoansPeriodically();
  }

  override async send(
    gateway: SimulatedGateway,
    deadlineMs: number,
  ): Promise<RequestOutcome> {
    const side = this.#gatewayStates.get(gateway.instance);
    if (side === undefined) return { isSuccess: false };
    const delivery = await side.dispatch.deliver(REQUEST, {
      router: side.router,
      deadlineMs,
      isIdempotent: true,
      isSafe: true,
      callerGone: NEVER_ABORTED,
    });
    if (delivery.err) return { isSuccess: false };
    const isInTime = this.#stage.clock.nowMs() <= deadlineMs;
    return { isSuccess: delivery.val.head.status === 200 && isInTime };
  }

  override setEndpoints(endpoints: readonly SimulatedEndpoint[]): void {
    const listed = endpoints.map(({ endpoint }) => endpoint);
    for (const { router } of this.#gatewayStates.values())
      router.setEndpoints(listed);
  }

  override setGateways(gateways: readonly SimulatedGateway[]): void {
    this.#gateways = gateways;
    for (const { router } of this.#gatewayStates.values())
      router.setGateways(gateways);
  }

  #createGatewayState(
    gateway: SimulatedGateway,
    retryShare: number,
  ): GatewayState {
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
    const sender = new SimulatedSender(this.#stage, gateway);
    const dispatch = new Dispatch({ clock, sender, metrics: new Metrics() });
    return { router, dispatch, lending };
  }

  #lendersOf(borrower: SimulatedGateway): Lender[] {
    const lenders: Lender[] = [];
    const { clock, profile } = this.#stage;
    for (const gateway of this.#gateways) {
      const side = this.#gatewayStates.get(gateway.instance);
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

  async #expireLoansPeriodically(): Promise<void> {
    for (;;) {
      await this.#stage.clock.sleep(100);
      for (const { lending } of this.#gatewayStates.values())
        lending.endExpiredLoans();
    }
  }
}

/** Time limit of a request, in ms. */
export const DEADLINE_MS = 2000;

const NEVER_ABORTED = new AbortController().signal;
const REQUEST: OutgoingRequest = {
  requestId: "r",
  method: "GET",
  path: "/",
  headers: {},
  body: null,
};
