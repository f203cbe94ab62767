import { pickOwner } from "@laburnumtrack/core/rendezvous";
import type { WorkerTarget } from "@laburnumtrack/jobs/task_worker";
import type { RelayEntry } from "./relay_directory";

/** Workers that one relay serves. */
const WORKERS_PER_RELAY = 100;

/**
 * Chooses the relays for a number of workers: the VMs with the most processing
 * capacity, spread over the failure domains.
 */
export function chooseRelays(
  entries: readonly RelayEntry[],
  workers: number,
): RelayEntry[] {
  const byDomain = new Map<string, RelayEntry[]>();
  const sorted = [...entries].sort(
    (a, b) => b.capacity - a.capacity || (a.name < b.name ? -1 : 1),
  );
  for (const entry of sorted) {
    const group = byDomain.get(entry.failureDomain);
    if (group === undefined) byDomain.set(entry.failureDomain, [entry]);
    else group.push(entry);
  }
  const wanted = Math.ceil(workers / WORKERS_PER_RELAY);
  const chosen: RelayEntry[] = [];
  for (let rank = 0; rank < sorted.length; rank += 1) {
    for (const group of byDomain.values()) {
      const entry = group[rank];
      if (entry !== undefined && chosen.length < wanted) chosen.push(entry);
    }
  }
  return chosen;
}

/**
 * Assigns a worker to a relay, in its own failure domain if there is one;
 * undefined without relays. When a relay fails, only its workers move.
 */
export function assignRelay<
  T extends Pick<RelayEntry, "name" | "failureDomain">,
>(
  worker: Pick<WorkerTarget, "id" | "failureDomain">,
  relays: readonly T[],
): T | undefined {
  const near = relays.filter(
    ({ failureDomain }) => failureDomain === worker.failureDomain,
  );
  const candidates = near.length > 0 ? near : relays;
  const name = pickOwner(
    worker.id,
    candidates.map((relay) => relay.name),
  );
  return candidates.find((relay) => relay.name === name);
}
