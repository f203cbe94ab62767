import type { Write } from "@laburnumtrack/core/table";
import { workedMsOf } from "./crash_losses";
import type { JobBoard } from "./job_board";
import { MAX_ROW_BYTES, RUNS_PREFIX } from "./job_rows";
import { BRACES_BYTES, fieldBytes, jsonBytes } from "./json_bytes";
import type { RunsRow, StoredRun, WorkerRuns } from "./leadership_row";
import { type Attempt, taskNameOf } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Most runs in one row, besides the limit in bytes. */
const MAX_RUNS_PER_ROW = 700;
/** Most workers in one row. */
const MAX_WORKERS_PER_ROW = 250;
/** Most workers whose runs the leadership row lists. */
const MAX_SILENT_WORKERS = 200;
/**
 * Most runs that the leadership row lists, which is written often. The runs of a
 * worker that does not fit are unknown to the next leader.
 */
const MAX_SILENT_RUNS = 400;

/** Which ends of runs are stored. */
export interface StoredEnds {
  /** Number up to which ends of a worker are stored, or are with this commit. */
  readonly storedEndOf: (worker: WorkerRecord) => number;
}

/**
 * Lists what may run on workers that do not answer, by worker id, in at most
 * `maxBytes` of JSON.
 */
export function listSilentRuns(
  workers: Iterable<WorkerRecord>,
  { maxBytes, ...ends }: StoredEnds & { maxBytes: number },
): Record<string, WorkerRuns> {
  const entries: [string, WorkerRuns][] = [];
  let bytes = BRACES_BYTES;
  let left = MAX_SILENT_RUNS;
  let places = MAX_SILENT_WORKERS;
  for (const worker of workers) {
    const { isSilent, attempts } = worker;
    if (!isSilent || places === 0 || attempts.size > left) continue;
    if (!isComplete(worker, ends)) continue;
    const runs = describeRuns(worker);
    const size = fieldBytes(worker.id, runs);
    if (bytes + size > maxBytes) continue;
    bytes += size;
    left -= attempts.size;
    places -= 1;
    entries.push([worker.id, runs]);
  }
  return Object.fromEntries(entries);
}

/**
 * Rows with the runs and the remaining leases of all workers, for the leader
 * that follows a released leadership.
 */
export function createRunRows(
  workers: Iterable<WorkerRecord>,
  { epoch, nowMs, ...ends }: StoredEnds & { epoch: number; nowMs: number },
): Write[] {
  const rowBytes = jsonBytes({ epoch, workers: {} });
  const pages: [string, WorkerRuns][][] = [[]];
  let bytes = rowBytes;
  let runs = 0;
  for (const worker of workers) {
    if (!isComplete(worker, ends)) continue;
    const leaseLeftMs = Math.max(0, Math.ceil(worker.leaseExpiryMs - nowMs));
    const entry = { ...describeRuns(worker), leaseLeftMs };
    const size = fieldBytes(worker.id, entry);
    // Without its runs, the next leader waits until it answers.
    if (rowBytes + size > MAX_ROW_BYTES) continue;
    const page = pages.at(-1) ?? [];
    const isFull =
      bytes + size > MAX_ROW_BYTES ||
      page.length >= MAX_WORKERS_PER_ROW ||
      (page.length > 0 && runs + entry.runs.length > MAX_RUNS_PER_ROW);
    if (isFull) {
      pages.push([[worker.id, entry]]);
      bytes = rowBytes;
      runs = 0;
    } else page.push([worker.id, entry]);
    bytes += size;
    runs += entry.runs.length;
  }
  return pages.map((page, index) => {
    const row: RunsRow = { epoch, workers: Object.fromEntries(page) };
    return { key: `${RUNS_PREFIX}${index}`, value: JSON.stringify(row) };
  });
}

/**
 * Takes over what a former leader knew of the runs on its workers. Tasks of
 * these runs wait for their workers; no other task needs to.
 */
export function adoptRuns(
  board: JobBoard,
  stored: ReadonlyMap<string, WorkerRuns>,
  nowMs: number,
): void {
  for (const [id, { bornMs, runs }] of stored) {
    const worker = board.workers.get(id);
    if (worker === undefined || worker.hasReported) continue;
    // It has answered with an incomplete list, as another incarnation.
    if (worker.bornMs !== 0 && worker.bornMs !== bornMs) continue;
    worker.bornMs = bornMs;
    worker.areRunsInherited = true;
    for (const [jobId, occurrence, step, index, run, workedMs] of runs) {
      const name = { jobId, occurrence, step, index };
      board.adoptRun(worker, name, { run, workedMs, nowMs });
    }
  }
}

/**
 * Whether a leader that reads the stored rows and the listed runs knows of all
 * runs on the worker, active or ended.
 */
function isComplete(
  worker: WorkerRecord,
  { storedEndOf }: StoredEnds,
): boolean {
  return (
    worker.areRunsKnown &&
    worker.unknownRuns.length === 0 &&
    worker.deferredEnds.length === 0 &&
    storedEndOf(worker) >= worker.lastEndNumber
  );
}

function describeRuns({ bornMs, attempts }: WorkerRecord): WorkerRuns {
  return { bornMs, runs: [...attempts].map(toStoredRun) };
}

function toStoredRun(attempt: Attempt): StoredRun {
  const { task, run, worker } = attempt;
  const { jobId, occurrence, step, index } = taskNameOf(task);
  const workedMs = Math.round(workedMsOf(attempt, worker.lastReportMs));
  return [jobId, occurrence, step, index, run, workedMs];
}
