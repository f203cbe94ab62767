import type { Clock } from "@laburnumtrack/core/clock";
import { type Vm, type VmList, VmPhase } from "@laburnumtrack/core/vm_list";

/** Caches the platform's list of VMs. */
export class VmDirectory {
  readonly #list: VmList;
  readonly #clock: Clock;
  #vms = new Map<string, Vm>();
  /** Instances that were listed earlier and are no longer listed. */
  readonly #gone = new Set<string>();
  #lastReadMs = Number.NEGATIVE_INFINITY;
  /** Number of changes of the list so far. */
  changes = 0;

  constructor(list: VmList, clock: Clock) {
    this.#list = list;
    this.#clock = clock;
  }

  /** Reads the list; false when it has not changed or the read failed. */
  async poll(): Promise<boolean> {
    const read = await this.#list.read();
    if (read.err) return false;
    this.#lastReadMs = this.#clock.nowMs();
    if (read.val === undefined) return false;
    const vms = new Map(read.val.map((vm) => [vm.id, vm]));
    for (const [id, { instance }] of this.#vms) {
      // The list lags behind: an instance that was never listed may be new, so
      // only one that was listed before counts as gone.
      if (vms.get(id)?.instance !== instance) this.#gone.add(instance);
    }
    for (const { instance } of vms.values()) this.#gone.delete(instance);
    this.#vms = vms;
    this.changes += 1;
    return true;
  }

  /** Whether the list has been read at least once. */
  get isKnown(): boolean {
    return this.#lastReadMs > Number.NEGATIVE_INFINITY;
  }

  list(): Vm[] {
    return [...this.#vms.values()];
  }

  get(id: string): Vm | undefined {
    return this.#vms.get(id);
  }

  /** Whether an instance has stopped for good: it is no longer listed. */
  isGone(instance: string): boolean {
    return this.#gone.has(instance);
  }

  /** Ids of VMs that are leaving. */
  leaving(): string[] {
    const leaving = this.list().filter(
      ({ phase }) => phase === VmPhase.Leaving,
    );
    return leaving.map(({ id }) => id);
  }
}
