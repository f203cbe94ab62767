import {
  type ColocationCandidate,
  FirstFit,
  NoThrottling,
  ShippedColocation,
  Threshold,
} from "./colocation_candidate";
import { ColocationStage, type JobTruth } from "./colocation_stage";
import { PROFILES, type Profile } from "./profile";
import { type BenchReport, type BenchRow, round, type Target } from "./report";

const SECONDS = 900;
const FAULT_S = 300;
const SEED = 11;

const TRUTHS = new Map<string, JobTruth>([
  ["thermal", { runS: 90, harm: 0.5 }],
  ["flight", { runS: 30, harm: 0.05 }],
  ["catalogue", { runS: 60, harm: 0.2 }],
  ["thermal-2", { runS: 90, harm: 0.5 }],
]);

interface ColocationCase {
  readonly name: string;
  readonly act: (stage: ColocationStage) => void;
}

const STEADY: ColocationCase = { name: "steady", act: () => {} };

const CASES: readonly ColocationCase[] = [
  STEADY,
  {
    name: "load_shift",
    act: (stage) => {
      stage.load = stage.nowS >= FAULT_S && stage.nowS < 2 * FAULT_S ? 1 : 0.4;
    },
  },
  {
    name: "noisy_wave",
    act: (stage) => {
      const wave = Math.floor((stage.nowS - FAULT_S) / 60);
      stage.noisy.clear();
      if (wave < 0) return;
      for (const [at, id] of [...stage.view.workers.keys()].entries()) {
        if ((at + wave) % 3 === 0) stage.noisy.add(id);
      }
    },
  },
  {
    name: "lost_rack",
    act: (stage) => {
      if (stage.nowS !== FAULT_S) return;
      const lost = [...stage.view.workers.values()].filter(
        ({ row }) => row.vm.rack === "rack-0-0",
      );
      for (const { id } of lost) stage.loseWorker(id);
    },
  },
  {
    name: "cancellation_wave",
    act: (stage) => {
      if (stage.nowS === FAULT_S) stage.cancel("thermal");
    },
  },
];

/** Batch throughput against the packing bound, and first fit. */
export async function benchPlacement(): Promise<BenchReport> {
  const makers = [() => new ShippedColocation(), () => new FirstFit()];
  const rows = runAll(CASES, makers);
  const targets: Target[] = [];
  for (const { profile, name, candidate, figures } of rows) {
    if (name !== "steady" || candidate !== "shipped") continue;
    const share = figures.ofPackingBound ?? 0;
    targets.push({
      name: `${profile} steady batch work over the packing bound`,
      bound: "at least 0.95",
      measured: String(share),
      isMet: share >= 0.95,
    });
  }
  return await Promise.resolve({ bench: "placement", rows, targets });
}

/** Tail latency and evictions against no throttling and a plain threshold. */
export async function benchInterference(): Promise<BenchReport> {
  const makers = [
    () => new ShippedColocation(),
    () => new NoThrottling(),
    () => new Threshold(),
  ];
  const wanted = CASES.filter(({ name }) => name !== "cancellation_wave");
  const rows = runAll(wanted, makers);
  const targets = rows
    .filter(({ candidate }) => candidate === "shipped")
    .flatMap((row) => judge(row, rows));
  return await Promise.resolve({ bench: "interference", rows, targets });
}

function judge(row: BenchRow, rows: readonly BenchRow[]): Target[] {
  const { profile, name, figures } = row;
  const other = (candidate: string) =>
    rows.find(
      (one) =>
        one.profile === profile &&
        one.name === name &&
        one.candidate === candidate,
    )?.figures;
  const evictions = figures.evictions ?? 0;
  const most = (other("threshold")?.evictions ?? 0) / 2;
  const targets: Target[] = [
    {
      name: `${profile} ${name} evictions`,
      bound: `at most half of the threshold rule's, ${most}`,
      measured: String(evictions),
      isMet: evictions <= most,
    },
  ];
  if (name !== "noisy_wave") return targets;
  const best = Math.min(
    other("no_throttling")?.p99 ?? 0,
    other("threshold")?.p99 ?? 0,
  );
  const ratio = round((figures.p99 ?? 0) / best);
  targets.push({
    name: `${profile} noisy_wave p99 over the best baseline's`,
    bound: "at most 0.5",
    measured: String(ratio),
    isMet: ratio <= 0.5,
  });
  return targets;
}

function runAll(
  cases: readonly ColocationCase[],
  makers: readonly (() => ColocationCandidate)[],
): BenchRow[] {
  const rows: BenchRow[] = [];
  for (const profile of PROFILES) {
    for (const oneCase of cases) {
      for (const make of makers) rows.push(runOne(profile, oneCase, make()));
    }
  }
  return rows;
}

function runOne(
  profile: Profile,
  { name, act }: ColocationCase,
  candidate: ColocationCandidate,
): BenchRow {
  const filesText = createFiles(profile);
  const options = { seed: SEED, filesText, truths: TRUTHS };
  const stage = new ColocationStage(profile, options);
  while (stage.nowS < SECONDS) {
    act(stage);
    candidate.place(stage);
    for (const report of stage.step()) candidate.onReport(stage, report);
  }
  const { latencies } = stage;
  return {
    profile: profile.name,
    name,
    candidate: candidate.name,
    figures: {
      p50: latencies.percentileMs(50),
      p99: latencies.percentileMs(99),
      "p99.9": latencies.percentileMs(99.9),
      tasksDone: stage.tasksDone,
      doneInWindow: stage.doneInWindow,
      evictions: stage.evictions,
      lostWorkS: Math.round(stage.lostWorkS),
      ofPackingBound: round(
        (stage.usefulCoreS + stage.runningCoreS()) / stage.batchCoreS(),
      ),
    },
  };
}

function createFiles({ favour, answerMs, workers }: Profile): string {
  return `
[policy]
favour = ${favour}
[team ops]
cpu_cores = 10000
memory_mb = 10000000
[service front]
team = ops
route = /front/
replicas = ${workers}
cpu_cores = 2
memory_mb = 4096
latency_target_ms = ${answerMs * 3}
[job thermal]
team = ops
tasks = 3000
cpu_cores = 4
memory_mb = 12288
run_s = 30
finish_by = 1970-01-01T00:12:00Z
[job flight]
team = ops
tasks = 6000
cpu_cores = 2
memory_mb = 4096
run_s = 60
[job catalogue]
team = ops
tasks = 3000
cpu_cores = 3
memory_mb = 6144
run_s = 60
`;
}
