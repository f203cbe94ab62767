import { type Vm, VmPhase } from "@laburnumtrack/core/vm_list";

/** VMs that are leaving, as reported by the platform's VM list and by peers. */
export class LeavingVms {
  #listed = new Set<string>();
  readonly #reportedByPeer = new Map<string, ReadonlySet<string>>();

  /** Replaces the VMs of the platform's list; returns whether they changed. */
  onVmList(vms: readonly Vm[]): boolean {
    const before = this.#listed;
    const leaving = vms.filter(({ phase }) => phase === VmPhase.Leaving);
    this.#listed = new Set(leaving.map(({ id }) => id));
    return !isSameSet(before, this.#listed);
  }

  /** Replaces the VMs that a peer reports; returns whether they changed. */
  onPeerReport(peer: string, ids: readonly string[]): boolean {
    const before = this.#reportedByPeer.get(peer) ?? new Set<string>();
    const now = new Set(ids);
    this.#reportedByPeer.set(peer, now);
    return !isSameSet(before, now);
  }

  /** Drops the reports of all other peers. */
  retainPeers(instances: ReadonlySet<string>): void {
    for (const peer of this.#reportedByPeer.keys()) {
      if (!instances.has(peer)) this.#reportedByPeer.delete(peer);
    }
  }

  /** Whether the platform's list or any peer reports that the VM is leaving. */
  isLeaving(id: string): boolean {
    if (this.#listed.has(id)) return true;
    for (const ids of this.#reportedByPeer.values()) {
      if (ids.has(id)) return true;
    }
    return false;
  }

  /** Ids of the VMs that are leaving according to the platform's list. */
  listedIds(): string[] {
    return [...this.#listed];
  }
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  if (a.size !== b.size) return false;
  for (const id of a) if (!b.has(id)) return false;
  return true;
}
