import { type HeadRow, KeyPrefix } from "@laburnumtrack/core/rows";
import { Invariant, type Violation } from "./invariant";
import type { RunRecord, VersionObservation } from "./run_record";

/** Time within which every member must have an accepted version in force. */
const IN_FORCE_LIMIT_MS = 6000;

/**
 * Checks that versions are consecutive, that each accepted apply takes effect
 * exactly once, and that no process returns to an older version.
 */
export function checkVersions(record: RunRecord): Violation[] {
  const violations: Violation[] = [];
  const report = (detail: string) =>
    violations.push({ invariant: Invariant.ConfigInForce, detail });
  for (const inconsistency of record.inconsistencies) report(inconsistency);
  let last = 0;
  const ids = new Set<string>();
  for (const { place, detail } of record.platform) {
    if (place !== KeyPrefix.Head) continue;
    const { version, applyId } = JSON.parse(detail) as HeadRow;
    if (version !== last + 1)
      report(`version ${version} follows version ${last}`);
    if (ids.has(applyId)) report(`apply ${applyId} took effect twice`);
    ids.add(applyId);
    last = version;
  }
  for (const { applyId, version } of record.applies) {
    if (!ids.has(applyId))
      report(
        `apply ${applyId} was accepted as version ${version} but is not stored`,
      );
  }
  const highest = new Map<string, number>();
  for (const { member, instance, version } of record.observations) {
    const key = `${member} ${instance}`;
    const before = highest.get(key) ?? 0;
    if (version < before)
      report(`${member} went back from version ${before} to ${version}`);
    highest.set(key, Math.max(before, version));
  }
  return violations;
}

/**
 * Checks that accepted versions are in force on every member within
 * `IN_FORCE_LIMIT_MS`.
 */
export function checkInForce(record: RunRecord): Violation[] {
  const violations: Violation[] = [];
  for (const { version, atMs } of record.applies) {
    const lagging = new Set<string>();
    for (const observation of record.observations) {
      if (observation.atMs < atMs + IN_FORCE_LIMIT_MS) continue;
      if (observation.version >= version) continue;
      if (isExempt(record, observation, atMs)) continue;
      lagging.add(observation.member);
    }
    if (lagging.size === 0) continue;
    violations.push({
      invariant: Invariant.ConfigInForce,
      detail: `version ${version} is not in force in time on ${[...lagging].join(" ")}`,
    });
  }
  return violations;
}

/**
 * Whether a member may still lag behind an apply made at `sinceMs`. Exemptions
 * (the member was frozen or cut off, or the platform was down) restart its
 * time limit.
 */
function isExempt(
  record: RunRecord,
  { member, atMs }: VersionObservation,
  sinceMs: number,
): boolean {
  let availableMs = atMs - sinceMs;
  for (const exemption of record.exemptions) {
    if (exemption.member !== "" && exemption.member !== member) continue;
    const fromMs = Math.max(exemption.fromMs, sinceMs);
    const untilMs = Math.min(exemption.untilMs, atMs);
    if (untilMs <= fromMs) continue;
    // The limit starts again after the interruption.
    availableMs = Math.min(availableMs, atMs - untilMs);
  }
  return availableMs < IN_FORCE_LIMIT_MS;
}
