import type { Clock } from "@laburnumtrack/core/clock";
import type { RowCache } from "@laburnumtrack/core/row_cache";
import {
  chunkKeysOf,
  KeyPrefix,
  readRow,
  type TaskRow,
  TaskState,
  taskName,
} from "@laburnumtrack/core/rows";
import type { Row, Table } from "@laburnumtrack/core/table";
import type { FileSet, Service } from "@laburnumtrack/core/workload";
import type { Endpoint } from "@laburnumtrack/routing/endpoint";
import { hedgePercentileOf } from "@laburnumtrack/routing/hedge_percentile";
import { ServiceRouter } from "@laburnumtrack/routing/service_router";
import type { GatewayIdentity } from "@laburnumtrack/routing/slot_shares";
import type { LeavingVms } from "./leaving_vms";

/** Dependencies and limits of {@linkcode EndpointDirectory}. */
export interface EndpointDirectoryOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly cache: RowCache;
  readonly leavingVms: LeavingVms;
  /** This gateway; its instance may change. */
  readonly self: () => GatewayIdentity;
  /** Longest queue of waiting requests per service. */
  readonly queueLimit: number;
  /** Retries and hedges allowed per first attempt. */
  readonly retryShare: number;
  /** Called when a service has requests waiting and no free slot. */
  readonly onShortage: (service: string) => void;
}

/**
 * Keeps the routers of all services supplied with endpoints, which are read from
 * the table and from rows pushed by peers. The last known endpoints stay in use
 * while both are unreachable.
 */
export class EndpointDirectory {
  readonly #options: EndpointDirectoryOptions;
  readonly #routers = new Map<string, ServiceRouter>();
  #files: FileSet;
  #sharers: readonly GatewayIdentity[] = [];
  /** Keys of the last poll, joined by commas. */
  #polledKeys = "";
  /** Highest revision that polls of these keys have returned. */
  #polledRevision = 0;

  constructor(files: FileSet, options: EndpointDirectoryOptions) {
    this.#files = files;
    this.#options = options;
    options.cache.onRow((row) => this.#onRow(row));
  }

  /** Returns the router of a service; creates it on first use. */
  routerOf(service: Service): ServiceRouter {
    let router = this.#routers.get(service.name);
    if (router === undefined) {
      router = this.#createRouter(service);
      this.#routers.set(service.name, router);
      this.#refresh(service);
    }
    return router;
  }

  /** All routers, by name of the service. */
  get routers(): ReadonlyMap<string, ServiceRouter> {
    return this.#routers;
  }

  /** Addresses of all endpoints that accept new requests. */
  addresses(): Set<string> {
    const addresses = new Set<string>();
    for (const router of this.#routers.values()) {
      for (const { address } of router.endpoints) addresses.add(address);
    }
    return addresses;
  }

  /** Applies a new configuration: adds and removes routers. */
  setFiles(files: FileSet): void {
    this.#files = files;
    for (const name of this.#routers.keys()) {
      if (files.services.has(name)) continue;
      this.#routers.get(name)?.setEndpoints([]);
      this.#routers.delete(name);
    }
    for (const service of files.services.values()) this.routerOf(service);
    this.refreshAll();
  }

  /** Sets the live gateways, which share the slots of the endpoints. */
  setSharers(sharers: readonly GatewayIdentity[]): void {
    this.#sharers = sharers;
    for (const router of this.#routers.values()) router.setGateways(sharers);
  }

  /**
   * Reads the changed rows of all services into the cache; false when the table
   * does not answer.
   */
  async pollOnce(): Promise<boolean> {
    const { table, cache } = this.#options;
    const keys: string[] = [];
    for (const { name, replicas } of this.#files.services.values()) {
      keys.push(...chunkKeysOf(name, replicas));
    }
    if (keys.length === 0) return true;
    const joinedKeys = keys.join();
    // After a change of the keys, rows of any revision may be unread.
    const above = joinedKeys === this.#polledKeys ? this.#polledRevision : 0;
    const read = await table.get(keys, { above });
    if (read.err) return false;
    this.#polledKeys = joinedKeys;
    this.#polledRevision = above;
    for (const row of read.val) {
      cache.merge(row);
      this.#polledRevision = Math.max(this.#polledRevision, row.revision);
    }
    return true;
  }

  /** Recomputes the endpoints of all services, as after a VM began to leave. */
  refreshAll(): void {
    for (const service of this.#files.services.values()) {
      this.#refresh(service);
    }
  }

  #onRow(row: Row): void {
    if (!row.key.startsWith(KeyPrefix.Task)) return;
    const end = row.key.lastIndexOf("/");
    const name = row.key.slice(KeyPrefix.Task.length, end);
    const service = this.#files.services.get(name);
    if (service !== undefined) this.#refresh(service);
  }

  #refresh(service: Service): void {
    const router = this.#routers.get(service.name);
    if (router === undefined) return;
    const endpoints: Endpoint[] = [];
    for (const key of chunkKeysOf(service.name, service.replicas)) {
      const row = this.#options.cache.get(key);
      if (row === undefined) continue;
      endpoints.push(...this.#listEndpoints(service, readRow<TaskRow>(row)));
    }
    router.setEndpoints(endpoints);
  }

  #listEndpoints(service: Service, { tasks }: TaskRow): Endpoint[] {
    const endpoints: Endpoint[] = [];
    for (const task of tasks) {
      const { endpoint, epoch, index, worker } = task;
      if (task.state !== TaskState.Placed || endpoint === null) continue;
      if (task.isLeaving || index >= service.replicas) continue;
      if (this.#options.leavingVms.isLeaving(worker)) continue;
      endpoints.push({
        id: `${taskName(service.name, index)}@${epoch}`,
        address: endpoint.address,
        failureDomain: endpoint.failureDomain,
        slots: service.slots,
        connections: service.connections,
      });
    }
    return endpoints;
  }

  #createRouter(service: Service): ServiceRouter {
    const { clock, self, queueLimit, retryShare } = this.#options;
    const router = new ServiceRouter({
      clock,
      self,
      queueLimit,
      retryShare,
      hedgePercentile: () => hedgePercentileOf(this.#files.favour),
      onShortage: () => this.#options.onShortage(service.name),
    });
    router.setGateways(this.#sharers);
    return router;
  }
}
