import { benchInterference, benchPlacement } from "./colocation_bench";
import { benchControl } from "./control_bench";
import { benchGateway } from "./gateway_bench";
import { benchLeader } from "./leader_bench";
import { benchLookahead } from "./lookahead_bench";
import { type BenchReport, renderReport } from "./report";
import { benchRouting } from "./routing_bench";
import { benchSharedVms } from "./shared_vm_bench";
import { benchStore } from "./store_bench";

const BENCHES = new Map<string, Bench>([
  ["routing", benchRouting],
  ["placement", benchPlacement],
  ["interference", benchInterference],
  ["store", benchStore],
  ["gateway", benchGateway],
  ["control", benchControl],
  ["leader", benchLeader],
  ["shared_vms", benchSharedVms],
  ["lookahead", benchLookahead],
]);

/** Runs one benchmark; `only` limits it to the named points, if it has any. */
type Bench = (only: readonly string[]) => Promise<BenchReport>;

/**
 * Runs the named benchmarks, or all of them if none is named, and prints the
 * reports. Returns the exit status: 2 if a name is unknown. A name may select
 * points after a colon, as in `control:50_workers,200_workers`.
 */
export async function runBenches(names: readonly string[]): Promise<number> {
  const requested = names.length === 0 ? [...BENCHES.keys()] : names;
  const selections = requested.map(parseSelection);
  const unknown = selections
    .map(({ name }) => name)
    .filter((name) => !BENCHES.has(name));
  if (unknown.length > 0) {
    const known = [...BENCHES.keys()].join(", ");
    process.stderr.write(
      `unknown benchmark ${unknown.join()}; known benchmarks: ${known}\n`,
    );
    return 2;
  }
  const reports: BenchReport[] = [];
  for (const { name, only } of selections) {
    const report = await BENCHES.get(name)?.(only);
    if (report === undefined) continue;
    process.stdout.write(`\n== ${name}${renderReport(report)}\n`);
    reports.push(report);
  }
  process.stdout.write(`${JSON.stringify(reports)}\n`);
  return 0;
}

function parseSelection(text: string): {
  readonly name: string;
  readonly only: readonly string[];
} {
  const [name = "", points = ""] = text.split(":", 2);
  return { name, only: points.split(",").filter((point) => point !== "") };
}
