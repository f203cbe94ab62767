import { EventKind, type HistoryEvent } from "@laburnumtrack/standins/history";
import { type Call, CallEnd } from "./caller";
import { Invariant, type Violation } from "./invariant";
import type { RunRecord } from "./run_record";

/** How long after the removal notice a VM may still receive new requests. */
const LEAVING_GRACE_MS = 5000;

/** Checks that every response is complete and belongs to its request. */
export function checkAnswers(record: RunRecord): Violation[] {
  return record.calls
    .filter(({ end }) => end === CallEnd.Wrong)
    .map((call) => ({
      invariant: Invariant.WholeAnswers,
      detail: `${call.requestId} ${call.path}: ${call.detail}`,
    }));
}

/** Checks that no endpoint ran a request that was reported as not run. */
export function checkNotRun(record: RunRecord): Violation[] {
  const runs = countBy(listRequestRuns(record), ({ subject }) => subject);
  return record.calls
    .filter(
      ({ end, requestId }) => end === CallEnd.NotRun && runs.has(requestId),
    )
    .map(({ requestId, path }) => ({
      invariant: Invariant.NotRunIsTrue,
      detail: `${requestId} ${path} was reported as not run but ran`,
    }));
}

/**
 * Checks that POST requests run at most once, counted both by request ID and
 * by idempotency key.
 */
export function checkAtMostOnce(record: RunRecord): Violation[] {
  const posts = listRequestRuns(record).filter(({ detail }) =>
    detail.startsWith("POST"),
  );
  const byRequest = countBy(posts, ({ subject }) => subject);
  const keyed = posts.filter(({ detail }) => detail.length > "POST ".length);
  const byKey = countBy(keyed, ({ detail }) => detail.slice("POST ".length));
  const violations: Violation[] = [];
  for (const [name, times] of [...byRequest, ...byKey]) {
    if (times === 1) continue;
    const detail = `${name} ran ${times} times`;
    violations.push({ invariant: Invariant.AtMostOnce, detail });
  }
  return violations;
}

/**
 * Checks that a VM being removed runs no new request later than
 * `LEAVING_GRACE_MS` after the notice, plus the lag of the VM list.
 */
export function checkLeaving(record: RunRecord): Violation[] {
  const violations: Violation[] = [];
  const runs = listRequestRuns(record);
  for (const { vm, atMs, removedMs, listLagMs } of record.departures) {
    const deadlineMs = atMs + listLagMs + LEAVING_GRACE_MS;
    const late = runs.filter(
      (run) =>
        run.place === vm.id && run.atMs > deadlineMs && run.atMs < removedMs,
    );
    if (late.length === 0) continue;
    const worst = Math.max(...late.map((run) => run.atMs - atMs));
    violations.push({
      invariant: Invariant.LeavingIsQuiet,
      detail: `${vm.id} ran ${late.length} requests too late, up to ${worst} ms after the removal notice`,
    });
  }
  return violations;
}

/**
 * Checks that planned stops of gateways abort no request in progress, and that
 * no endpoint was stopped while it ran requests.
 */
export function checkStops(record: RunRecord): Violation[] {
  const violations: Violation[] = [];
  for (const { member, callerAddress, atMs } of record.plannedStops) {
    const cut = record.calls.filter((call) =>
      wasCutOff(call, callerAddress, atMs),
    );
    if (cut.length === 0) continue;
    violations.push({
      invariant: Invariant.GracefulStop,
      detail: `planned stop of ${member} aborted ${cut.length} requests; the first: ${cut[0]?.detail}`,
    });
  }
  for (const { kind, place, detail } of record.workers) {
    if (kind !== EventKind.RequestAborted) continue;
    violations.push({
      invariant: Invariant.GracefulStop,
      detail: `endpoint ${place} aborted ${detail} requests`,
    });
  }
  return violations;
}

function wasCutOff(call: Call, callerAddress: string, atMs: number): boolean {
  return (
    call.gateway === callerAddress &&
    call.end === CallEnd.Broken &&
    !call.isRefused &&
    call.startMs <= atMs &&
    call.endMs >= atMs
  );
}

function listRequestRuns(record: RunRecord): HistoryEvent[] {
  return record.workers.filter(({ kind }) => kind === EventKind.RequestRun);
}

function countBy(
  events: readonly HistoryEvent[],
  keyOf: (event: HistoryEvent) => string,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const event of events) {
    const name = keyOf(event);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
