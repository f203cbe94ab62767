import { NO_FEATURES } from "@laburnumtrack/planning/round_planner";
import {
  BURST_PATTERNS,
  LOOKAHEAD_PATTERNS,
  type LookaheadPattern,
} from "./lookahead_patterns";
import {
  type LookaheadPolicy,
  type LookaheadResult,
  runLookahead,
} from "./lookahead_world";
import { type BenchReport, type BenchRow, type Figures, round } from "./report";

const SEEDS = [1, 2, 3];
const POLICIES: readonly LookaheadPolicy[] = [
  { name: "greedy", features: NO_FEATURES, isMerged: false },
  {
    name: "lookahead",
    features: { ...NO_FEATURES, isLookingAhead: true },
    isMerged: false,
  },
  // The same cores in one worker, on which free room never is in pieces.
  { name: "merged", features: NO_FEATURES, isMerged: true },
];
/** Policies that concern queues of different priorities. */
const BURST_POLICIES: readonly LookaheadPolicy[] = [
  ...POLICIES,
  {
    name: "preemption",
    features: { ...NO_FEATURES, isPreempting: true },
    isMerged: false,
  },
  {
    name: "both",
    features: { ...NO_FEATURES, isPreempting: true, isLookingAhead: true },
    isMerged: false,
  },
];
const CASES = [
  ...LOOKAHEAD_PATTERNS.map((pattern) => ({ pattern, policies: POLICIES })),
  ...BURST_PATTERNS.map((pattern) => ({ pattern, policies: BURST_POLICIES })),
];
const PERCENTILES = [50, 95, 99];

/** Compares how steps that do not fit are planned, in virtual time. */
export async function benchLookahead(
  only: readonly string[] = [],
): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  for (const { pattern, policies } of CASES) {
    if (only.length > 0 && !only.includes(pattern.name)) continue;
    for (const policy of policies) {
      const results = SEEDS.map((seed) => runLookahead(pattern, policy, seed));
      rows.push({
        profile: "pool",
        name: pattern.name,
        candidate: policy.name,
        figures: summarize(pattern, results),
      });
    }
  }
  return { bench: "lookahead", rows, targets: [] };
}

function summarize(
  { kinds }: LookaheadPattern,
  results: readonly LookaheadResult[],
): Figures {
  const mean = (read: (result: LookaheadResult) => number) =>
    results.reduce((sum, one) => sum + read(one), 0) / results.length;
  const figures: Record<string, number> = {
    utilization: round(mean(({ utilization }) => utilization)),
    planMs: round(mean(({ planMs }) => planMs)),
    stopped: round(mean(({ stopped }) => stopped)),
  };
  for (const { name } of kinds) {
    const all = results.flatMap((one) => one.kinds.get(name) ?? []);
    const waits = all.flatMap(({ waitsMs }) => waitsMs).sort((a, b) => a - b);
    for (const percentile of PERCENTILES) {
      const index = Math.ceil((percentile / 100) * waits.length) - 1;
      figures[`${name}P${percentile}Ms`] = waits[Math.max(0, index)] ?? 0;
    }
    const met = all.reduce((sum, one) => sum + one.met, 0);
    const jobs = all.reduce((sum, one) => sum + one.jobs, 0);
    figures[`${name}Met`] = round(met / Math.max(1, jobs));
  }
  return figures;
}
