import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SystemClock } from "@laburnumtrack/core/clock";
import type { Job, Step } from "@laburnumtrack/jobs/job";
import { encodeOpenJobRow, jobKey } from "@laburnumtrack/jobs/job_rows";
import { createStep } from "@laburnumtrack/jobs/test_samples";
import {
  describeConfig,
  describeWorker,
  serveTable,
  serveWorker,
} from "@laburnumtrack/platform/platform_standin_server";
import {
  type Listener,
  listenHttp,
} from "@laburnumtrack/process/http_listener";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { LoadFleetStandin } from "@laburnumtrack/standins/load_fleet_standin";
import { readProcessUsage } from "./process_usage";
import { type BenchReport, type BenchRow, round } from "./report";

interface Point {
  readonly name: string;
  readonly workers: number;
  readonly startsPerS: number;
  /** Number of other entry processes that relay calls; 0 by default. */
  readonly relays?: number;
  /** Settings that are turned on; none by default. */
  readonly settings?: readonly string[];
}

const PLANNING = ["preemption", "straggler_copies", "lookahead"];

const POINTS: readonly Point[] = [
  { name: "100_workers_idle", workers: 100, startsPerS: 0 },
  { name: "100_workers", workers: 100, startsPerS: 250 },
  { name: "380_workers_idle", workers: 380, startsPerS: 0 },
  { name: "380_workers", workers: 380, startsPerS: 1000 },
  {
    name: "380_workers_planned",
    workers: 380,
    startsPerS: 1000,
    settings: PLANNING,
  },
  {
    name: "380_workers_relayed",
    workers: 380,
    startsPerS: 1000,
    relays: 3,
  },
  { name: "1000_workers_idle", workers: 1000, startsPerS: 0 },
  { name: "1000_workers", workers: 1000, startsPerS: 1000 },
  {
    name: "1000_workers_relayed",
    workers: 1000,
    startsPerS: 1000,
    relays: 3,
  },
];

const QUEUE = { host: "jobs.example", prefix: "/jobs/", pool: "pool" };
const PROGRAM = "dist/laburnumtrack-entry.cjs";
const SETTLE_MS = 6000;
const MEASURE_MS = 10_000;
/** Interval between two batches of jobs, in ms. */
const SUBMIT_INTERVAL_MS = 100;
const EXIT_LIMIT_MS = 10_000;
/** Tasks of a batch job: two steps of this many. */
const STEP_TASKS = 39;
const TASK_WORK_MS = 1700;
/** Long-running tasks with a latency target, for each worker. */
const SERVING_TASKS_PER_WORKER = 0.9;
const SERVING_TASKS_PER_JOB = 24;
const TASKS_PER_JOB = 2 * STEP_TASKS;

/**
 * Measures the processor time that a leading entry process spends on each task
 * start, including the renewals, reports, planning and commits that go with it.
 * `BENCH_PROFILE` names a folder for processor profiles.
 */
export async function benchLeader(
  only: readonly string[] = [],
): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  for (const point of POINTS) {
    if (only.length > 0 && !only.includes(point.name)) continue;
    const world = new LeaderWorld(point);
    try {
      rows.push(await world.measure());
    } finally {
      await world.stop();
    }
  }
  return { bench: "leader", rows, targets: [] };
}

/** One entry process with stand-ins for the store and the workers. */
class LeaderWorld {
  readonly #point: Point;
  readonly #clock = new SystemClock();
  readonly #table = new FeedTableStandin(this.#clock);
  readonly #fleet = new LoadFleetStandin(this.#clock);
  readonly #listeners: Listener[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "laburnumtrack-leader-"));
  readonly #children: ChildProcess[] = [];
  #submitted = 0;

  constructor(point: Point) {
    this.#point = point;
  }

  async measure(): Promise<BenchRow> {
    const { name, workers, startsPerS } = this.#point;
    const pid = await this.#start();
    await this.#clock.sleep(SETTLE_MS / 2);
    await this.#submitServing();
    const submitting = this.#submitLoad();
    await this.#clock.sleep(SETTLE_MS / 2);
    const before = { ...this.#fleet.counts, ...readProcessUsage(pid) };
    await this.#clock.sleep(MEASURE_MS);
    const after = { ...this.#fleet.counts, ...readProcessUsage(pid) };
    await submitting;
    const seconds = MEASURE_MS / 1000;
    const starts = after.starts - before.starts;
    const cpuMs = after.cpuMs - before.cpuMs;
    return {
      profile: "smil_large",
      name,
      candidate: "shipped",
      figures: {
        workers,
        wantedStartsPerS: startsPerS,
        startsPerS: round(starts / seconds),
        endsPerS: round((after.ends - before.ends) / seconds),
        renewalsPerS: round((after.renewals - before.renewals) / seconds),
        cpuPercent: round(cpuMs / seconds / 10),
        cpuUsPerStart: starts === 0 ? 0 : Math.round((cpuMs * 1000) / starts),
        residentMb: round(after.residentMb),
      },
    };
  }

  async stop(): Promise<void> {
    for (const child of this.#children) {
      const exited = new Promise((resolve) => child.on("exit", resolve));
      child.kill("SIGTERM");
      await Promise.race([exited, this.#clock.sleep(EXIT_LIMIT_MS)]);
      child.kill("SIGKILL");
    }
    for (const listener of this.#listeners) {
      listener.server.closeAllConnections();
      await listener.close();
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #start(): Promise<number> {
    const rows = [describeConfig(1, { ...QUEUE, unused: 0 })];
    for (let index = 0; index < this.#point.workers; index += 1) {
      const id = `w${index}`;
      const listener = await listenHttp("127.0.0.1:0", (request, response) => {
        void serveWorker(this.#fleet, id, { request, response });
      });
      this.#listeners.push(listener);
      const { address } = listener;
      rows.push(describeWorker({ id, address, pool: QUEUE.pool }));
    }
    await this.#commit(rows);
    const store = await listenHttp("127.0.0.1:0", (request, response) => {
      void serveTable(this.#table, request, response);
    });
    this.#listeners.push(store);
    const pid = this.#spawn(0, store.address);
    for (let index = 1; index <= (this.#point.relays ?? 0); index += 1) {
      this.#spawn(index, store.address);
    }
    return pid;
  }

  /** Starts an entry; the first one is on the largest VM and leads. */
  #spawn(index: number, storeAddress: string): number {
    const isRelayed = this.#point.relays !== undefined;
    const settings = join(this.#folder, `entry${index}.ini`);
    const lines = [
      "[entry]",
      `name = e${index}`,
      "failure_domain = a",
      "caller_address = 127.0.0.1:0",
      "ready_address = 127.0.0.1:0",
      "admin_address = 127.0.0.1:0",
      `table_url = http://${storeAddress}`,
      `processor_speed = ${index === 0 ? 2 : 1}`,
      `relay_min_workers = ${isRelayed ? 1 : 1_000_000}`,
      "shutdown_ms = 1000",
      ...(this.#point.settings ?? []).map((key) => `${key} = true`),
    ];
    writeFileSync(settings, lines.join("\n"));
    const profile = process.env.BENCH_PROFILE;
    const flags =
      profile === undefined || index > 0
        ? []
        : ["--cpu-prof", `--cpu-prof-dir=${profile}`];
    const child = spawn(
      process.execPath,
      [...flags, PROGRAM, "--settings", settings],
      { stdio: "ignore" },
    );
    this.#children.push(child);
    if (child.pid === undefined) throw new Error(`cannot start ${PROGRAM}`);
    return child.pid;
  }

  async #submitServing(): Promise<void> {
    const tasks = this.#point.workers * SERVING_TASKS_PER_WORKER;
    const step = createStep({
      count: SERVING_TASKS_PER_JOB,
      resources: { cpuMilli: 2000, memoryMb: 1000, accelerators: 0 },
      isLongRunning: true,
      image: "serving",
      targetMs: 100,
    });
    const jobs = Math.round(tasks / SERVING_TASKS_PER_JOB);
    await this.#submit(jobs, { spec: "0", steps: [step] });
  }

  async #submitLoad(): Promise<void> {
    const step = createStep({
      count: STEP_TASKS,
      resources: { cpuMilli: 1800, memoryMb: 500, accelerators: 0 },
      estimateMs: TASK_WORK_MS,
      image: "survey",
      isFiller: true,
      isCheckpointing: true,
    });
    const steps = [step, { ...step, after: [0] }];
    const startMs = this.#clock.nowMs();
    const endMs = startMs + SETTLE_MS / 2 + MEASURE_MS;
    let jobs = 0;
    while (this.#clock.nowMs() < endMs) {
      const elapsedS = (this.#clock.nowMs() - startMs) / 1000;
      const due = Math.floor(
        (elapsedS * this.#point.startsPerS) / TASKS_PER_JOB,
      );
      await this.#submit(due - jobs, { spec: String(TASK_WORK_MS), steps });
      jobs = due;
      await this.#clock.sleep(SUBMIT_INTERVAL_MS);
    }
  }

  async #submit(
    count: number,
    { spec, steps }: { spec: string; steps: readonly Step[] },
  ): Promise<void> {
    const rows: { key: string; value: string }[] = [];
    for (let index = 0; index < count; index += 1) {
      this.#submitted += 1;
      const id = this.#submitted.toString(16).padStart(16, "0");
      const job: Job = {
        id,
        queue: "jobs",
        spec,
        steps: [...steps],
        repeat: undefined,
        submittedMs: this.#clock.wallMs(),
      };
      rows.push({ key: jobKey(id), value: encodeOpenJobRow(job) });
    }
    if (rows.length > 0) await this.#commit(rows);
  }

  async #commit(rows: readonly { key: string; value: string }[]) {
    const writes = rows.map(({ key, value }) => ({ key, value }));
    const done = await this.#table.commit({ checks: [], writes });
    if (done.err) throw done.val;
  }
}
