import { randomUUID } from "node:crypto";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Role } from "@laburnumtrack/core/rows";
import { Fleet } from "@laburnumtrack/faults/fleet";
import {
  FLEET_TOKEN,
  type FleetTimes,
} from "@laburnumtrack/faults/fleet_settings";
import { EventKind } from "@laburnumtrack/standins/history";
import { request } from "undici";
import { fitLine, type SweepPoint } from "./line_fit";
import { type ProcessUsage, readProcessUsage } from "./process_usage";
import {
  type BenchReport,
  type BenchRow,
  LatencyHistogram,
  round,
  type Target,
} from "./report";
import { renderSweepSvg } from "./sweep_plot";

/** The times that ship as defaults. */
const TIMES: FleetTimes = {
  beatMs: 2000,
  deadAfterMs: 6000,
  leaseMs: 10_000,
  renewMs: 2000,
  rideThroughMs: 300_000,
};

const SETTLE_MS = 8000;
const MEASURE_MS = 12_000;
const START_LIMIT_MS = 60_000;
const APPLIES = 8;
const CPU_LIMIT_PERCENT = 2;
const MEMORY_LIMIT_MB = 64;
const IN_FORCE_LIMIT_MS = 6000;
const URGENT_LIMIT_MS = 2500;

interface Point {
  readonly name: string;
  readonly entryVms: number;
  readonly failureDomains: number;
  readonly workers: number;
  readonly replicas: number;
  readonly batch: number;
}

const POINTS: readonly Point[] = [
  point("50_workers", { workers: 50 }),
  point("200_workers", { workers: 200 }),
  point("400_workers", { workers: 400 }),
  point("710_workers_idle", { workers: 710, isIdle: true }),
  point("710_workers", { workers: 710 }),
  point("200_workers_18_members", { workers: 200, entryVms: 3, domains: 3 }),
  point("710_workers_18_members", { workers: 710, entryVms: 3, domains: 3 }),
];

/** Points that differ only in the number of workers. */
const SWEEP = new Set([
  "50_workers",
  "200_workers",
  "400_workers",
  "710_workers",
]);
const FITTED = ["cpuPercent", "residentMb", "kbPerS", "rowsReadPerS"];

/** What one scheduler and one gateway cost, at several sizes. */
export async function benchControl(
  only: readonly string[] = [],
): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  const targets: Target[] = [];
  for (const one of POINTS) {
    if (only.length > 0 && !only.includes(one.name)) continue;
    rows.push(...(await measurePoint(one)));
  }
  for (const row of rows) {
    if (row.name === "710_workers_18_members") targets.push(...judge(row));
  }
  const sweep = rows.filter(({ name }) => SWEEP.has(name));
  if (sweep.length > 0) writePlots(sweep);
  return { bench: "control", rows: [...rows, ...fitSweep(sweep)], targets };
}

/** Slopes by worker, each with 5.5 replicas and 6.8 batch tasks. */
function fitSweep(sweep: readonly BenchRow[]): BenchRow[] {
  const rows: BenchRow[] = [];
  for (const role of [Role.Gateway, Role.Scheduler]) {
    const figures: Record<string, number> = {};
    for (const key of FITTED) {
      const { slope, intercept } = fitLine(pointsOf(sweep, role, key));
      figures[`${key}PerWorker`] = Math.round(slope * 1e5) / 1e5;
      figures[`${key}AtNone`] = round(intercept);
    }
    const name = "sweep_fit";
    rows.push({ profile: role, name, candidate: "least_squares", figures });
  }
  return rows;
}

function writePlots(sweep: readonly BenchRow[]): void {
  const folder = process.env.BENCH_PLOTS;
  if (folder === undefined) return;
  for (const key of FITTED) {
    const svg = renderSweepSvg({
      title: `One scheduler and one gateway: ${key}`,
      xName: "workers, each with 5.5 replicas and 6.8 batch tasks",
      yName: key,
      lines: [Role.Gateway, Role.Scheduler].map((role) => ({
        name: role,
        points: pointsOf(sweep, role, key),
      })),
    });
    writeFileSync(join(folder, `control_${key}.svg`), svg);
  }
}

function pointsOf(
  sweep: readonly BenchRow[],
  role: Role,
  key: string,
): SweepPoint[] {
  return sweep
    .filter(({ profile }) => profile === role)
    .map(({ name, figures }) => ({
      x: POINTS.find((one) => one.name === name)?.workers ?? 0,
      y: figures[key] ?? 0,
    }));
}

function point(
  name: string,
  options: {
    readonly workers: number;
    readonly entryVms?: number;
    readonly domains?: number;
    readonly isIdle?: boolean;
  },
): Point {
  const { workers, entryVms = 1, domains = 1, isIdle = false } = options;
  return {
    name,
    entryVms,
    failureDomains: domains,
    workers,
    replicas: isIdle ? 0 : Math.round(workers * (3900 / 710)),
    batch: isIdle ? 0 : Math.round(workers * (4800 / 710)),
  };
}

async function measurePoint(one: Point): Promise<BenchRow[]> {
  process.stderr.write(`control: ${one.name}\n`);
  const fleet = await Fleet.start({
    programs: __dirname,
    failureDomains: ["d0", "d1", "d2"].slice(0, one.failureDomains),
    entryVms: one.entryVms,
    workers: one.workers,
    times: TIMES,
  });
  try {
    return await measureFleet(fleet, one);
  } finally {
    await fleet.stop();
  }
}

async function measureFleet(fleet: Fleet, one: Point): Promise<BenchRow[]> {
  const jobs: string[] = [];
  await apply(fleet, createFiles(one, jobs));
  const placedMs = await waitForStarts(fleet, one.replicas + one.batch);
  await pause(SETTLE_MS);
  const names = [Role.Gateway, Role.Scheduler].flatMap((role) =>
    fleet.members(role).map(({ name }) => name),
  );
  const before = new Map<string, Snapshot>();
  for (const name of names) before.set(name, await snapshot(fleet, name));
  await pause(MEASURE_MS);
  const rows: BenchRow[] = [];
  for (const role of [Role.Gateway, Role.Scheduler]) {
    const members = fleet.members(role).map(({ name }) => name);
    const used: Usage[] = [];
    for (const name of members) {
      const start = before.get(name);
      const end = await snapshot(fleet, name);
      if (start !== undefined) used.push(difference(start, end));
    }
    rows.push({
      profile: role,
      name: one.name,
      candidate: "worst_of_role",
      figures: { ...worstOf(used), allPlacedMs: Math.round(placedMs) },
    });
  }
  const changes = await measureChanges(fleet, one, jobs);
  return rows.map((row) => ({
    ...row,
    figures: { ...row.figures, ...changes },
  }));
}

interface Snapshot {
  readonly usage: ProcessUsage;
  readonly bytes: number;
  readonly rowsRead: number;
  readonly rowsWritten: number;
  readonly atMs: number;
}

interface Usage {
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly platformKbPerS: number;
  readonly rowsReadPerS: number;
  readonly rowsWrittenPerS: number;
}

async function snapshot(fleet: Fleet, name: string): Promise<Snapshot> {
  const dump = (await fleet.readAdminPath(name, "/dump")) as {
    tableLoad: { rowsRead: number; rowsWritten: number };
    platformBytes: { sent: number; received: number };
    workerBytes?: { sent: number; received: number };
  };
  const { platformBytes, workerBytes = { sent: 0, received: 0 } } = dump;
  const { rowsRead, rowsWritten } = dump.tableLoad;
  return {
    usage: readProcessUsage(fleet.pidOf(name) ?? 0),
    bytes:
      platformBytes.sent +
      platformBytes.received +
      workerBytes.sent +
      workerBytes.received,
    rowsRead,
    rowsWritten,
    atMs: performance.now(),
  };
}

function difference(start: Snapshot, end: Snapshot): Usage {
  const seconds = (end.atMs - start.atMs) / 1000;
  const cpuMs = end.usage.cpuMs - start.usage.cpuMs;
  return {
    cpuPercent: round(cpuMs / seconds / 10),
    residentMb: round(end.usage.residentMb),
    platformKbPerS: round((end.bytes - start.bytes) / seconds / 1024),
    rowsReadPerS: round((end.rowsRead - start.rowsRead) / seconds),
    rowsWrittenPerS: round((end.rowsWritten - start.rowsWritten) / seconds),
  };
}

function worstOf(used: readonly Usage[]): Record<string, number> {
  const worst = (of: (usage: Usage) => number) => Math.max(...used.map(of));
  const sum = (of: (usage: Usage) => number) =>
    used.reduce((total, usage) => total + of(usage), 0);
  return {
    cpuPercent: worst((usage) => usage.cpuPercent),
    residentMb: worst((usage) => usage.residentMb),
    kbPerS: worst((usage) => usage.platformKbPerS),
    rowsReadPerS: worst((usage) => usage.rowsReadPerS),
    allRowsReadPerS: round(sum((usage) => usage.rowsReadPerS)),
    allRowsWrittenPerS: round(sum((usage) => usage.rowsWrittenPerS)),
  };
}

/** Applies changes that add an urgent job; how soon they are in force. */
async function measureChanges(
  fleet: Fleet,
  one: Point,
  jobs: string[],
): Promise<Record<string, number>> {
  const inForce = new LatencyHistogram();
  const urgent = new LatencyHistogram();
  for (let at = 0; at < APPLIES; at += 1) {
    const name = `urgent-${at}`;
    jobs.push(
      `[job ${name}]\nteam = t\ntasks = 1\ncpu_cores = 1\nmemory_mb = 64\n` +
        "urgency = urgent\nwork = run_ms=500\n",
    );
    const version = await apply(fleet, createFiles(one, jobs));
    const acceptedMs = Date.now();
    await waitUntilInForce(fleet, version);
    inForce.record(Date.now() - acceptedMs);
    const startMs = await waitForRun(fleet, `${name}/0`);
    if (startMs !== undefined) urgent.record(Math.max(1, startMs - acceptedMs));
  }
  return {
    inForceMaxMs: inForce.percentileMs(100),
    urgentStartMaxMs: urgent.percentileMs(100),
    urgentStarted: urgent.count,
  };
}

function createFiles(one: Point, jobs: readonly string[]): string {
  const parts = [
    "[team t]\ncpu_cores = 1000000\nmemory_mb = 1000000000\n",
    ...jobs,
  ];
  // Services of up to 100 replicas, jobs of up to 100 tasks.
  for (let first = 0; first < one.replicas; first += 100) {
    const count = Math.min(100, one.replicas - first);
    parts.push(
      `[service s-${first}]\nteam = t\nroute = /s-${first}/\n` +
        `replicas = ${count}\ncpu_cores = 1\nmemory_mb = 512\n` +
        "latency_target_ms = 200\n",
    );
  }
  for (let first = 0; first < one.batch; first += 100) {
    const count = Math.min(100, one.batch - first);
    parts.push(
      `[job j-${first}]\nteam = t\ntasks = ${count}\ncpu_cores = 1\n` +
        "memory_mb = 512\nwork = run_ms=3600000 checkpoint_ms=60000\n",
    );
  }
  return parts.join("");
}

async function apply(fleet: Fleet, text: string): Promise<number> {
  const [scheduler] = fleet.members(Role.Scheduler);
  if (scheduler === undefined) throw new Error("no scheduler");
  const url = `http://${scheduler.host}:${scheduler.adminPort}`;
  const headers = { authorization: `Bearer ${FLEET_TOKEN}` };
  const current = await request(`${url}/files`, { headers });
  const { version: base } = (await current.body.json()) as { version: number };
  const answer = await request(`${url}/apply`, {
    method: "POST",
    headers,
    body: JSON.stringify({
      applyId: randomUUID(),
      base,
      files: [{ file: "bench.ini", text }],
    }),
  });
  const body = (await answer.body.json()) as { version: number };
  if (answer.statusCode !== 200) throw new Error(JSON.stringify(body));
  return body.version;
}

async function waitForStarts(fleet: Fleet, count: number): Promise<number> {
  const startMs = performance.now();
  const isDone = () => {
    const started = fleet.history
      .list()
      .filter(({ kind }) => kind === EventKind.RunStarted);
    return started.length >= count;
  };
  while (!isDone() && performance.now() - startMs < START_LIMIT_MS) {
    await pause(100);
  }
  return performance.now() - startMs;
}

async function waitUntilInForce(fleet: Fleet, version: number): Promise<void> {
  const names = [Role.Gateway, Role.Scheduler].flatMap((role) =>
    fleet.members(role).map(({ name }) => name),
  );
  for (const name of names) {
    for (;;) {
      const dump = await fleet.readAdminPath(name, "/dump");
      if ((dump as { configVersion: number }).configVersion >= version) break;
      await pause(20);
    }
  }
}

async function waitForRun(
  fleet: Fleet,
  task: string,
): Promise<number | undefined> {
  for (let tries = 0; tries < 400; tries += 1) {
    const event = fleet.history
      .list()
      .find(
        ({ kind, subject }) =>
          kind === EventKind.RunStarted && subject === task,
      );
    if (event !== undefined) return event.atMs;
    await pause(25);
  }
  return undefined;
}

function judge({ profile, figures }: BenchRow): Target[] {
  const of = (key: string) => figures[key] ?? Number.POSITIVE_INFINITY;
  const bounds: readonly (readonly [string, string, number, string])[] = [
    ["processor", "cpuPercent", CPU_LIMIT_PERCENT, "% of a core"],
    ["resident memory", "residentMb", MEMORY_LIMIT_MB, "MB"],
    ["to and from platform and workers", "kbPerS", 26, "KB/s"],
    ["change in force everywhere", "inForceMaxMs", IN_FORCE_LIMIT_MS, "ms"],
    ["urgent work starts", "urgentStartMaxMs", URGENT_LIMIT_MS, "ms"],
  ];
  return bounds.map(([name, key, limit, unit]) => ({
    name: `${profile} ${name}, 710 workers, 18 members`,
    bound: `at most ${limit} ${unit}`,
    measured: String(of(key)),
    isMet: of(key) <= limit,
  }));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
