import { KeyPrefix } from "@laburnumtrack/core/rows";
import { VirtualWorld } from "@laburnumtrack/faults/virtual_world";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import { EventKind } from "@laburnumtrack/standins/history";
import {
  type BenchReport,
  type BenchRow,
  LatencyHistogram,
  round,
  type Target,
} from "./report";

const SEED = 5;
const WARM_UP_MS = 12_000;
const LOAD_MS = 20_000;
const WORKERS = 120;
const SCHEDULERS = 9;
const TASK_RUN_MS = 8000;
const STARTS_PER_S = [10, 40, 80, 130];
const URGENT_TASKS = 4;

interface WriteCounts {
  transactions: number;
  rows: number;
  tokens: number;
  heartbeats: number;
}

/**
 * Measures the rows written per task start at several start rates, and the
 * start latency of urgent jobs.
 */
export async function benchStore(): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  for (const rate of STARTS_PER_S) rows.push(await measureRate(rate));
  const peak = rows.at(-1)?.figures ?? {};
  const targets: Target[] = [
    {
      name: "rows written per task start at 130 a second",
      bound: "at most 2",
      measured: String(peak.rowsPerStart),
      isMet: (peak.rowsPerStart ?? 99) <= 2,
    },
    {
      name: "urgent work starts",
      bound: "within 2500 ms",
      measured: `${peak.urgentP99} ms`,
      isMet: (peak.urgentP99 ?? 1e9) <= 2500,
    },
  ];
  return { bench: "store", rows, targets };
}

async function measureRate(rate: number): Promise<BenchRow> {
  const world = new VirtualWorld(SEED, {
    tasks: 1,
    runMs: 100,
    workers: WORKERS,
    schedulers: SCHEDULERS,
    hasPushes: true,
  });
  await world.start();
  await world.clock.run(WARM_UP_MS + world.clock.nowMs());
  const count: WriteCounts = {
    transactions: 0,
    rows: 0,
    tokens: 0,
    heartbeats: 0,
  };
  const record = world.table.onCommit;
  world.table.onCommit = (transaction, revision) => {
    record(transaction, revision);
    const keys = transaction.writes.map(({ key }) => key);
    if (keys.some((key) => key.startsWith(KeyPrefix.Member))) {
      count.heartbeats += keys.length;
      return;
    }
    count.transactions += 1;
    count.rows += keys.length;
    count.tokens += keys.filter((k) => k.startsWith(KeyPrefix.Token)).length;
  };
  const startMs = world.clock.nowMs();
  const cpu = process.cpuUsage();
  const applied = new Map<string, number>();
  for (let second = 0; second * 1000 < LOAD_MS; second += 1) {
    addJobs(world, { second, rate, applied });
    await world.clock.run(startMs + (second + 1) * 1000);
  }
  await world.clock.run(startMs + LOAD_MS + TASK_RUN_MS + 4000);
  const used = process.cpuUsage(cpu);
  const seconds = (world.clock.nowMs() - startMs) / 1000;
  return {
    profile: "target",
    name: `${rate}_starts_a_second`,
    candidate: "shipped",
    figures: summarize(world, { count, applied, seconds, used }),
  };
}

/**
 * Publishes a configuration version with one large normal job and one small
 * urgent job for each of the last 15 seconds.
 */
function addJobs(
  world: VirtualWorld,
  options: {
    readonly second: number;
    readonly rate: number;
    readonly applied: Map<string, number>;
  },
): void {
  const { second, rate, applied } = options;
  const sections = ["[team t]\ncpu_cores = 100000\nmemory_mb = 100000000\n"];
  for (let at = Math.max(0, second - 14); at <= second; at += 1) {
    sections.push(renderJob(`load-${at}`, rate - URGENT_TASKS, "normal"));
    sections.push(renderJob(`urgent-${at}`, URGENT_TASKS, "urgent"));
  }
  const text = sections.join("");
  const files = readFileSet([{ file: "bench.ini", text }]).unwrap();
  const version = second + 2;
  world.setHead(version);
  applied.set(`urgent-${second}`, world.clock.nowMs());
  for (const peer of world.peers) {
    peer.configuration = { version, text: "[]", files };
    peer.scheduler.placer.wake();
  }
}

function renderJob(name: string, tasks: number, urgency: string): string {
  return (
    `[job ${name}]\nteam = t\ntasks = ${tasks}\ncpu_cores = 1\n` +
    `memory_mb = 512\nurgency = ${urgency}\nwork = run_ms=${TASK_RUN_MS}\n`
  );
}

function summarize(
  world: VirtualWorld,
  options: {
    readonly count: WriteCounts;
    readonly applied: ReadonlyMap<string, number>;
    readonly seconds: number;
    readonly used: NodeJS.CpuUsage;
  },
) {
  const { count, applied, seconds, used } = options;
  const urgent = new LatencyHistogram();
  let starts = 0;
  let done = 0;
  for (const { kind, subject, atMs } of world.history.list()) {
    if (kind === EventKind.TaskDone) done += 1;
    if (kind !== EventKind.RunStarted || !/^(load|urgent)/.test(subject)) {
      continue;
    }
    starts += 1;
    const [job = ""] = subject.split("/");
    const appliedMs = applied.get(job);
    if (appliedMs !== undefined) urgent.record(atMs - appliedMs);
  }
  const cpuMs = (used.user + used.system) / 1000;
  return {
    starts,
    done,
    // Includes the rows written when tasks end.
    rowsPerStart: round(count.rows / starts),
    transactionsPerStart: round(count.transactions / starts),
    tokenRowsPerStart: round(count.tokens / starts),
    heartbeatRowsPerS: round(count.heartbeats / seconds),
    urgentP50: urgent.percentileMs(50),
    urgentP99: urgent.percentileMs(99),
    cpuMsPerSchedulerS: round(cpuMs / seconds / SCHEDULERS),
  };
}
