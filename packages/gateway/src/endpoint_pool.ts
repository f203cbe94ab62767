import type { Endpoint } from "@laburnumtrack/routing/endpoint";
import { Pool } from "undici";
import { type Attempt, EndpointSender, type OutgoingRequest } from "./attempt";
import { HttpAttempt } from "./http_attempt";

/** Settings of connections to endpoints. */
export interface EndpointPoolOptions {
  /** Time limit for establishing a connection, in ms. */
  readonly connectMs: number;
}

/** Idle connections are closed after this time. */
const IDLE_TIMEOUT_MS = 4000;

/**
 * Connection pools, one per endpoint. Requests do not share connections, so the
 * slots that a gateway holds bound its connections. Slots move between gateways,
 * so idle connections are closed early to leave room for those of others.
 */
export class EndpointPool extends EndpointSender {
  readonly #options: EndpointPoolOptions;
  readonly #pools = new Map<string, Pool>();

  constructor(options: EndpointPoolOptions) {
    super();
    this.#options = options;
  }

  override send(endpoint: Endpoint, request: OutgoingRequest): Attempt {
    const { address, connections } = endpoint;
    return new HttpAttempt(this.#poolOf(address, connections), request);
  }

  /** Returns the pool of an endpoint, with at most `limit` connections. */
  #poolOf(address: string, limit: number): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: limit,
        pipelining: 1,
        connect: { timeout: this.#options.connectMs },
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }

  /** Closes the pools of all other addresses once their requests have ended. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue;
      this.#pools.delete(address);
      void pool.close();
    }
  }

  /** Number of open connections. */
  count(): number {
    let count = 0;
    for (const pool of this.#pools.values()) count += pool.stats.connected;
    return count;
  }

  /** Closes all pools once their requests have ended. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.close()));
  }
}
