import { pickOwner } from "@laburnumtrack/core/rendezvous";
import {
  MemberPhase,
  Role,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import type { WorkerView } from "@laburnumtrack/policy/cluster_view";
import { Keeper, type KeeperOptions } from "./keeper";

interface RunningKeeper {
  readonly keeper: Keeper;
  readonly stop: AbortController;
  readonly ended: Promise<void>;
}

/**
 * Runs the keepers of this scheduler. Each rack is assigned to one scheduler,
 * which becomes the keeper of all workers in it.
 */
export class KeeperGroup {
  readonly #options: KeeperOptions;
  readonly #running = new Map<string, RunningKeeper>();
  /** Joined instances of the schedulers for which `#owners` was computed. */
  #ownersAmong = "";
  /** Instance of the scheduler that owns each rack. */
  readonly #owners = new Map<string, string | undefined>();

  constructor(options: KeeperOptions) {
    this.#options = options;
  }

  /** Number of workers whose keeper runs here. */
  get size(): number {
    return this.#running.size;
  }

  /** Has a worker sent its assignments now, if its keeper runs here. */
  wake(worker: string): void {
    this.#running.get(worker)?.keeper.wake();
  }

  /**
   * Compares the owners of all racks with the workers' rows: takes workers
   * over, hands them over and starts keepers. Does nothing while the list of
   * members is not fresh.
   */
  async updateOnce(): Promise<void> {
    const { membership, view } = this.#options;
    if (!membership.isFresh) return;
    const changes: Promise<void>[] = [];
    for (const worker of view.workers.values()) {
      const owner = this.#ownerOf(worker);
      const isKeptHere = worker.row.keeper === membership.instance;
      if (isKeptHere && owner !== undefined && owner !== membership.instance) {
        changes.push(this.#handOver(worker, owner));
      } else if (isKeptHere) {
        this.#start(worker.id);
      } else if (owner === membership.instance) {
        changes.push(this.#takeOver(worker));
      }
    }
    await Promise.all(changes);
  }

  /** Hands every worker over to another scheduler, for a graceful shutdown. */
  async handOverAll(): Promise<void> {
    const { membership, view } = this.#options;
    const others = this.#liveInstances().filter(
      (instance) => instance !== membership.instance,
    );
    const changes: Promise<void>[] = [];
    for (const worker of view.workers.values()) {
      if (worker.row.keeper !== membership.instance) continue;
      const owner = pickOwner(worker.row.vm.rack, others);
      changes.push(this.#handOver(worker, owner ?? ""));
    }
    await Promise.all(changes);
    await this.stopAll();
  }

  /** Stops all keepers; the leases stay valid until they lapse. */
  async stopAll(): Promise<void> {
    const ids = [...this.#running.keys()];
    await Promise.all(ids.map((id) => this.#stop(id)));
  }

  #start(id: string): void {
    if (this.#running.has(id)) return;
    const keeper = new Keeper(id, this.#options);
    const stop = new AbortController();
    const ended = keeper.run(stop.signal).then(() => {
      if (this.#running.get(id)?.keeper === keeper) this.#running.delete(id);
    });
    this.#running.set(id, { keeper, stop, ended });
  }

  async #stop(id: string): Promise<void> {
    const entry = this.#running.get(id);
    if (entry === undefined) return;
    entry.stop.abort();
    entry.keeper.wake();
    await entry.ended;
    this.#running.delete(id);
  }

  async #takeOver({ id, row }: WorkerView): Promise<void> {
    const { membership, editor, rideThroughMs } = this.#options;
    if (row.keeper !== "" && !this.#hasEnded(row.keeper)) return;
    const key = workerKey(id);
    const { instance } = membership;
    const result = await editor.edit({
      keys: [key],
      apply: (draft) => {
        const current = draft.read<WorkerRow>(key);
        if (current?.keeper !== row.keeper) return false;
        const earlier = [...current.former, current.keeper];
        const former = earlier.filter(
          (one) =>
            one !== "" &&
            membership.leaseRenewalLimitMs(one, rideThroughMs) !== 0,
        );
        draft.write(key, {
          ...current,
          keeper: instance,
          generation: current.generation + 1,
          former: [...new Set(former)],
        });
        return true;
      },
    });
    if (result.ok && result.val) this.#start(id);
  }

  async #handOver({ id }: WorkerView, owner: string): Promise<void> {
    const { membership, editor } = this.#options;
    const key = workerKey(id);
    const { instance } = membership;
    // No renewal of this keeper may follow the change of the row.
    await this.#stop(id);
    await editor.edit({
      keys: [key],
      apply: (draft) => {
        const current = draft.read<WorkerRow>(key);
        if (current?.keeper !== instance) return false;
        draft.write(key, {
          ...current,
          keeper: owner,
          generation: current.generation + 1,
        });
        return true;
      },
    });
  }

  /** Whether an instance has left, was evicted or is not listed as a member. */
  #hasEnded(instance: string): boolean {
    const member = this.#options.membership
      .all()
      .find((one) => one.instance === instance);
    if (member === undefined) return true;
    const { phase } = member;
    return phase === MemberPhase.Left || phase === MemberPhase.Evicted;
  }

  #ownerOf({ row }: WorkerView): string | undefined {
    const live = this.#liveInstances();
    const key = live.join();
    if (key !== this.#ownersAmong) {
      this.#ownersAmong = key;
      this.#owners.clear();
    }
    const { rack } = row.vm;
    if (!this.#owners.has(rack)) this.#owners.set(rack, pickOwner(rack, live));
    return this.#owners.get(rack);
  }

  #liveInstances(): string[] {
    const live = this.#options.membership.live(Role.Scheduler);
    return live.map(({ instance }) => instance).sort();
  }
}
