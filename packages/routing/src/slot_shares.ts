import { createHash } from "node:crypto";
import type { Endpoint } from "./endpoint";

/** A gateway that shares the endpoints' slots with the others. */
export interface GatewayIdentity {
  readonly instance: string;
  readonly failureDomain: string;
}

/** Identifies a slot of an endpoint; a slot admits one request at a time. */
export interface SlotId {
  readonly endpoint: string;
  readonly index: number;
}

/** Weight of a gateway in the endpoint's failure domain; others weigh 1. */
const LOCAL_WEIGHT = 3;

/**
 * Returns the slots of the endpoints that the gateway instance `own` may use.
 * Weighted rendezvous hashing assigns each slot to one sharer, and more slots
 * to those in the endpoint's failure domain. Shares do not overlap as long as
 * all gateways know the same sharers. When a sharer joins or leaves, only the
 * slots that it gains or loses change hands.
 */
export function assignedSlots(
  endpoints: readonly Endpoint[],
  sharers: readonly GatewayIdentity[],
  own: string,
): SlotId[] {
  return endpoints.flatMap((endpoint) => shareOf(endpoint, sharers, own));
}

/**
 * Caches the slots of each endpoint, because hashing all slots again after
 * each change is expensive.
 */
export class SlotShareCache {
  readonly #shares = new Map<string, readonly SlotId[]>();
  #cacheKey = "";

  /** Returns the same slots as the function {@linkcode assignedSlots}. */
  assignedSlots(
    endpoints: readonly Endpoint[],
    sharers: readonly GatewayIdentity[],
    own: string,
  ): SlotId[] {
    const instances = sharers.map(({ instance }) => instance).sort();
    const cacheKey = `${own} ${instances.join()}`;
    if (cacheKey !== this.#cacheKey) this.#shares.clear();
    this.#cacheKey = cacheKey;
    const present = new Set(endpoints.map(({ id }) => id));
    for (const id of this.#shares.keys()) {
      if (!present.has(id)) this.#shares.delete(id);
    }
    return endpoints.flatMap((endpoint) => {
      const cached = this.#shares.get(endpoint.id);
      const share = cached ?? shareOf(endpoint, sharers, own);
      this.#shares.set(endpoint.id, share);
      return share;
    });
  }
}

function shareOf(
  endpoint: Endpoint,
  sharers: readonly GatewayIdentity[],
  own: string,
): SlotId[] {
  const slots: SlotId[] = [];
  for (let index = 0; index < endpoint.slots; index += 1) {
    if (ownerOf(endpoint, index, sharers) !== own) continue;
    slots.push({ endpoint: endpoint.id, index });
  }
  return slots;
}

function ownerOf(
  endpoint: Endpoint,
  index: number,
  sharers: readonly GatewayIdentity[],
): string | undefined {
  let owner: string | undefined;
  let best = Number.NEGATIVE_INFINITY;
  for (const { instance, failureDomain } of sharers) {
    const isLocal = failureDomain === endpoint.failureDomain;
    const weight = isLocal ? LOCAL_WEIGHT : 1;
    const draw = hashToUnitInterval(`${endpoint.id}#${index}\n${instance}`);
    const score = -weight / Math.log(draw);
    if (score <= best) continue;
    best = score;
    owner = instance;
  }
  return owner;
}

/** Hashes the text to a number above 0 and below 1. */
function hashToUnitInterval(text: string): number {
  const digest = createHash("sha1").update(text).digest();
  return (digest.readUIntBE(0, 6) + 0.5) / 2 ** 48;
}
