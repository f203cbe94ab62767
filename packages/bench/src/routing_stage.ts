import { assignedSlots } from "@laburnumtrack/routing/slot_shares";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { BenchEndpoint } from "./bench_endpoint";
import type { Profile } from "./profile";
import { Latencies } from "./report";

/** A gateway of the stage. */
export interface StageGateway {
  readonly instance: string;
  readonly failureDomain: string;
  /** Requests a second that callers send here. */
  rate: number;
}

/** Endpoints, gateways and callers in virtual time. */
export class RoutingStage {
  readonly clock = new VirtualClock();
  readonly dice: SeededRandom;
  readonly endpoints: readonly BenchEndpoint[];
  readonly gateways: readonly StageGateway[];
  readonly latencies = new Latencies();
  readonly profile: Profile;
  failed = 0;
  sent = 0;
  /** Endpoints that the list still has. */
  listed: readonly BenchEndpoint[];

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
      return new BenchEndpoint(endpoint, place, ports);
    });
    this.listed = this.endpoints;
    const rate = this.steadyRate() / profile.gateways;
    this.gateways = Array.from({ length: profile.gateways }, (_, at) => ({
      instance: `g${at}`,
      failureDomain: `d${at % profile.failureDomains}`,
      rate,
    }));
  }

  /** Requests a second of the steady load, at all gateways. */
  steadyRate(): number {
    const { workers, slots, answerMs, load } = this.profile;
    return ((workers * slots * 1000) / answerMs) * load;
  }

  /** One way between a gateway and an endpoint, in ms. */
  distanceMs(gateway: StageGateway, endpoint: BenchEndpoint): number {
    const isNear = gateway.failureDomain === endpoint.endpoint.failureDomain;
    const { nearMs, distanceMs } = this.profile;
    return isNear ? nearMs : distanceMs;
  }

  /** The most requests that any endpoint held beyond its slots. */
  mostOverSlots(): number {
    const over = this.endpoints.map(
      ({ mostAtOnce }) => mostAtOnce - this.profile.slots,
    );
    return Math.max(0, ...over);
  }

  /** The most slots of one endpoint that the first gateway owns. */
  largestShare(): number {
    const endpoints = this.endpoints.map(({ endpoint }) => endpoint);
    const own = this.gateways[0]?.instance ?? "";
    const counts = new Map<string, number>();
    for (const { endpoint } of assignedSlots(endpoints, this.gateways, own)) {
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
  }

  /** Time until the next request at a gateway, in ms. */
  drawGapMs(rate: number): number {
    return (-Math.log(1 - this.dice.fraction()) * 1000) / rate;
  }
}
