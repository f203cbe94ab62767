import type { ConfigProbe } from "./config_prober";

/** A version of the configuration that was written to the table. */
export interface WrittenVersion {
  /** Monotonic ms. */
  readonly writtenMs: number;
}

/** Observations of the configuration in a soak test. */
export interface ConfigRecord {
  /** The versions 1, 2 and so on. */
  readonly versions: readonly WrittenVersion[];
  /** In the order of their answers. */
  readonly probes: readonly ConfigProbe[];
  /** Whether the entry's reads were outdated when it started. */
  readonly isStartOutdated: (probe: ConfigProbe) => boolean;
}

/** A version must be in use this long after it was written, in ms. */
export const APPLY_LIMIT_MS = 2000;

/**
 * Returns the violated guarantees, one line each: no request is handled by a
 * version older than one written longer ago than the limit, nor by one
 * older than its process used before.
 */
export function checkConfig(record: ConfigRecord): string[] {
  const violations: string[] = [];
  const oldest = new Map<string, number>();
  for (const probe of record.probes) {
    const { entry, start, queueVersion, isFound } = probe;
    const process = `${entry} (start ${start})`;
    const used = oldest.get(process) ?? 0;
    if (isFound && queueVersion + 1 < used) {
      violations.push(
        `${process} went back to version ${queueVersion + 1} or older after ${used}`,
      );
    }
    if (!record.isStartOutdated(probe) && !isAllowed(record, probe)) {
      violations.push(
        `${process} handled a request by an old version: queue ${queueVersion} ${isFound ? "found" : "not found"} at ${Math.round(probe.sentMs)} ms`,
      );
    }
    const next = isFound
      ? queueVersion
      : used >= queueVersion
        ? queueVersion + 2
        : 0;
    oldest.set(process, Math.max(used, next));
  }
  return violations;
}

/** Whether a version that may be in use gives this answer. */
function isAllowed({ versions }: ConfigRecord, probe: ConfigProbe): boolean {
  const { sentMs, answeredMs, queueVersion, isFound } = probe;
  let first = 1;
  let last = 1;
  for (const [index, version] of versions.entries()) {
    if (version.writtenMs < sentMs - APPLY_LIMIT_MS) first = index + 1;
    if (version.writtenMs <= answeredMs) last = index + 1;
  }
  for (let version = first; version <= last; version += 1) {
    const hasQueue = version === queueVersion || version === queueVersion + 1;
    if (hasQueue === isFound) return true;
  }
  return false;
}
