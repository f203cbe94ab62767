import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";

/** Addresses of workers by id, as stored. */
export type StoredRoster = ReadonlyMap<string, string>;

/**
 * Takes emptied workers off the roster and returns the others, which may hold a
 * lease. An emptied one gets no lease until a commit lists it again, so that the
 * next leader need not wait for it.
 */
export function updateRostered(
  workers: readonly WorkerRecord[],
): WorkerRecord[] {
  for (const worker of workers) {
    if (worker.isEvacuated) worker.isRostered = false;
  }
  return workers.filter(({ isEvacuated }) => !isEvacuated);
}

/** The roster of the workers, as it would be stored. */
export function rosterOf(workers: readonly WorkerRecord[]): StoredRoster {
  return new Map(workers.map(({ id, info }) => [id, info.address]));
}

/** Whether the stored roster, if known, lists just these workers. */
export function isRosterOf(
  stored: StoredRoster | undefined,
  workers: readonly WorkerRecord[],
): boolean {
  return (
    stored?.size === workers.length &&
    workers.every(({ id, info }) => stored.get(id) === info.address)
  );
}

/** Encodes a roster, sorted by id. */
export function encodeRoster(roster: StoredRoster): string {
  const entries = [...roster].sort(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify({ roster: Object.fromEntries(entries) });
}
