import { mkdirSync } from "node:fs";
import { parseArgs } from "node:util";
import { ExitStatus } from "@laburnumtrack/process/exit_status";
import { runSoak } from "./soak";

void main();

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      seconds: { type: "string", default: "30" },
      logs: { type: "string" },
    },
  });
  const seed = Number(values.seed);
  const seconds = Number(values.seconds);
  if (!Number.isInteger(seed) || !(seconds > 0)) {
    process.stderr.write("usage: soak --seed N --seconds S [--logs FOLDER]\n");
    process.exit(ExitStatus.Usage);
  }
  const { logs } = values;
  if (logs !== undefined) mkdirSync(logs, { recursive: true });
  const result = await runSoak({ seed, seconds, programs: __dirname, logs });
  const { violations, injectedFaults, ...counts } = result;
  for (const line of violations.slice(0, 20)) process.stdout.write(`${line}\n`);
  const ok = violations.length === 0;
  const summary = {
    ok,
    seed,
    ...counts,
    troubles: injectedFaults.length,
    broken: violations.length,
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  process.exit(ok ? ExitStatus.Ok : ExitStatus.Failure);
}
