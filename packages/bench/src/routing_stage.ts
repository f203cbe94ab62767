import { assignedSlots } from "@laburnumtrack/routing/slot_shares";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { SimulatedEndpoint } from "./bench_endpoint";
import type { Profile } from "./profile";
import { LatencyHistogram } from "./report";

/** A simulated gateway and the load that it receives. */
export interface SimulatedGateway {
  readonly instance: string;
  readonly failureDomain: string;
  /** Requests per second that arrive at this gateway. */
  rate: number;
}

/** Simulates endpoints, gateways and the latency between them in virtual time. */
export class RoutingSimulation {
  readonly clock = new VirtualClock();
  readonly dice: SeededRandom;
  readonly endpoints: readonly SimulatedEndpoint[];
  readonly gateways: readonly SimulatedGateway[];
  readonly latencies = new LatencyHistogram();
  readonly profile: Profile;
  failed = 0;
  sent = 0;
  /** Endpoints in the endpoint list. */
  listedEndpoints: readonly SimulatedEndpoint[];

  constructor(profile: Profile, seed: number) {
    this.profile = profile;
    this.dice = new SeededRandom(seed);
    const ports = { clock: this.clock, dice: this.dice };
    this.endpoints = Array.from({ length: profile.workers }, (_, at) => {
      const endpoint = {
        id: `s/${at}@1`,
        address: `10.0.0.${at}:80`,
        failureDomain: `d${at % profile.failureDomains}`,
        slots: profile.slots,
        connections: profile.connections,
      };
      const rack = Math.floor(at / profile.failureDomains / 8) * 10;
      const place = {
        rack: rack + (at % profile.failureDomains),
        answerMs: profile.answerMs,
      };
      return new SimulatedEndpoint(endpoint, place, ports);
    });
    this.listedEndpoints = this.endpoints;
    const rate = this.steadyRate() / profile.gateways;
    this.gateways = Array.from({ length: profile.gateways }, (_, at) => ({
      instance: `g${at}`,
      failureDomain: `d${at % profile.failureDomains}`,
      rate,
    }));
  }

  /** Steady load in requests per second, summed over all gateways. */
  steadyRate(): number {
    const { workers, slots, answerMs, load } = this.profile;
    return ((workers * slots * 1000) / answerMs) * load;
  }

  /** One-way network latency between a gateway and an endpoint, in ms. */
  distanceMs(gateway: SimulatedGateway, endpoint: SimulatedEndpoint): number {
    const isNear = gateway.failureDomain === endpoint.endpoint.failureDomain;
    const { nearMs, distanceMs } = this.profile;
    return isNear ? nearMs : distanceMs;
  }

  /** Largest number of requests by which any endpoint exceeded its slots. */
  maxRequestsOverSlots(): number {
    const over = this.endpoints.map(
      ({ maxOutstanding }) => maxOutstanding - this.profile.slots,
    );
    return Math.max(0, ...over);
  }

  /** Largest number of slots on one endpoint assigned to the first gateway. */
  maxOwnedSlots(): number {
    const endpoints = this.endpoints.map(({ endpoint }) => endpoint);
    const own = this.gateways[0]?.instance ?? "";
    const counts = new Map<string, number>();
    for (const { endpoint } of assignedSlots(endpoints, this.gateways, own)) {
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
  }

  /** Draws an exponential interarrival time, in ms; `rate` is per second. */
  drawInterarrivalMs(rate: number): number {
    return (-Math.log(1 - this.dice.fraction()) * 1000) / rate;
  }
}
