import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { ExitStatus } from "@laburnumtrack/process/exit_status";
import { FaultRun } from "./fault_run";
import { Fleet, SHORT_TIMES } from "./fleet";
import type { RunRecord } from "./run_record";
import { checkTasks } from "./task_check";
import { countViolations, findViolations } from "./violations";

/** Longest list of violations that is printed; the counts cover all. */
const PRINTED_VIOLATIONS = 40;

/**
 * Runs the real programs under a seeded schedule of faults, prints the
 * violations and a JSON result, and returns the exit status.
 */
export async function runFaults(argv: readonly string[]): Promise<ExitStatus> {
  const options = readOptions(argv);
  if (options === undefined) {
    process.stderr.write(
      "usage: faults --seed N --seconds S [--logs FOLDER]\n",
    );
    return ExitStatus.Usage;
  }
  const { seed, seconds, logs } = options;
  if (logs !== undefined) mkdirSync(logs, { recursive: true });
  const fleet = await Fleet.start({
    programs: __dirname,
    failureDomains: ["north", "centre", "south"],
    entryVms: 1,
    workers: 10,
    times: SHORT_TIMES,
    logFolder: logs,
  });
  const run = new FaultRun(fleet, seed);
  try {
    await run.run(seconds);
  } finally {
    await fleet.stop();
    await run.caller.close();
  }
  const record = run.record();
  const violations = findViolations(record);
  if (logs !== undefined) writeHistory(join(logs, "history.jsonl"), record);
  for (const { invariant, detail } of violations.slice(0, PRINTED_VIOLATIONS)) {
    process.stdout.write(`${invariant}: ${detail}\n`);
  }
  const result = {
    ok: violations.length === 0,
    seed,
    faults: run.injected,
    operations: {
      ...run.caller.countByEnd(),
      applies: record.applies.length,
      tasksRedone: countRedone(record),
      runs: record.workers.filter(({ kind }) => kind === "run_started").length,
      expectedTasks: record.expectedTasks.length,
    },
    violations: countViolations(violations),
  };
  process.stdout.write(`${JSON.stringify(result)}\n`);
  return result.ok ? ExitStatus.Ok : ExitStatus.Failure;
}

/**
 * Writes one JSON line for each event, ordered by time, followed by one for
 * each call.
 */
function writeHistory(path: string, record: RunRecord): void {
  const events = [...record.workers, ...record.platform];
  events.sort((a, b) => a.atMs - b.atMs);
  const lines = [...events, ...record.calls].map((entry) =>
    JSON.stringify(entry),
  );
  writeFileSync(path, `${lines.join("\n")}\n`);
}

function countRedone(record: RunRecord): number {
  const { workers, platform, expectedTasks: expected } = record;
  return checkTasks({ workers, platform, expected }).tasksRedone;
}

function readOptions(argv: readonly string[]) {
  try {
    const { values } = parseArgs({
      args: [...argv],
      options: {
        seed: { type: "string", default: "1" },
        seconds: { type: "string", default: "30" },
        logs: { type: "string" },
      },
    });
    const seed = Number(values.seed);
    const seconds = Number(values.seconds);
    if (!Number.isInteger(seed) || !(seconds > 0)) return undefined;
    return { seed, seconds, logs: values.logs };
  } catch {
    return undefined;
  }
}
