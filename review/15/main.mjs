// The tasks of one job that lasts fail soon after each start. Small jobs of other
// clients come meanwhile; they are sound, and the workers are idle.
import { Deployment, newJobId, runCase } from "../standins-3/deployment.mjs";
import { sleep } from "../standins-3/store.mjs";
import { Worker } from "../standins-3/worker.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const WORKERS = 12;
const WORKER_CPU = 16_000;
const TASK_CPU = 1000;
/** Tasks of the job that lasts. */
const LASTING_TASKS = 12;
/** Time from the start of a run of it until it fails. */
const FAIL_AFTER_MS = 400;
const SMALL_JOBS = 25;
const SMALL_JOB_INTERVAL_MS = 2000;
const SMALL_TASK_MS = 300;
/** What the rule LOST says. */
const IDLE_MS = 3000;
const WATCH_MS = 10_000;

await runCase(async () => {
  const deployment = new Deployment(import.meta.dirname);
  const { store } = deployment;
  const lastingId = newJobId();
  const firstStartMs = new Map();
  const isLasting = (task) => task.startsWith(lastingId);
  const workers = Array.from(
    { length: WORKERS },
    (_, index) =>
      new Worker({
        id: `i-${index + 1}`,
        store,
        service: "core",
        zone: "a",
        labels: ["a", `r1-${1 + (index >> 3)}`],
        capacity: { cpu: WORKER_CPU, memMb: 64_000, gpu: 0 },
        maxHoldMs: 6000,
        durationOf: (task) => {
          if (!isLasting(task)) return SMALL_TASK_MS;
          return isTrouble ? FAIL_AFTER_MS : Number.POSITIVE_INFINITY;
        },
        endOf: (task) => (isLasting(task) ? "failed" : "done"),
        needsOf: () => ({ cpu: TASK_CPU, memMb: 1000 }),
        onEvent: ({ worker, task, run, what }) => {
          deployment.record(`worker ${worker}: ${task} run ${run}: ${what}`);
          const job = task.slice(0, task.indexOf("."));
          if (what === "start" && !firstStartMs.has(job)) {
            firstStartMs.set(job, performance.now());
          }
        },
      }),
  );
  for (const worker of workers) await worker.start();
  try {
    await deployment.start(3, {
      routes: ["watch", "small"].map((name) => ({
        name,
        host: "jobs.example",
        pathPrefix: `/${name}/`,
        service: "core",
        priority: 0,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 1000,
      })),
      services: [{ name: "core", enforcesCapacity: true }],
    });
    // Later than the start of the processes, as traffic is.
    await sleep(8000);
    let calls = 0;
    const submit = async (id, queue, body) => {
      const entry = deployment.entries[calls % deployment.entries.length];
      calls += 1;
      const path = `/${queue}/${id}`;
      const { status } = await deployment.client(entry, "POST", path, { body });
      return status === 200;
    };
    const task = { cpu: TASK_CPU, memMb: 1000 };
    const isAccepted = await submit(lastingId, "watch", {
      spec: "watch",
      steps: [
        { ...task, count: LASTING_TASKS, estimateMs: 500, longRunning: true },
      ],
    });
    if (!isAccepted) throw new Error("the job that lasts is not accepted");
    const small = new Map();
    /** Longest idle time in ms of each small job that waited too long. */
    const broken = new Map();
    let mostUsed = 0;
    const check = () => {
      const nowMs = performance.now();
      const used = workers.reduce((sum, { runs }) => sum + runs.length, 0);
      mostUsed = Math.max(mostUsed, used);
      for (const [id, acceptedMs] of small) {
        const waitMs = (firstStartMs.get(id) ?? nowMs) - acceptedMs;
        if (waitMs >= IDLE_MS) broken.set(id, waitMs);
      }
    };
    const checking = setInterval(check, 20);
    await sleep(3000);
    for (let count = 0; count < SMALL_JOBS; count += 1) {
      const id = newJobId();
      const body = {
        spec: "small",
        steps: [{ ...task, count: 2, estimateMs: SMALL_TASK_MS }],
      };
      if (await submit(id, "small", body)) small.set(id, performance.now());
      await sleep(SMALL_JOB_INTERVAL_MS);
    }
    await sleep(WATCH_MS);
    clearInterval(checking);
    check();
    for (const [id, waitMs] of broken) {
      const end = firstStartMs.has(id) ? "before its first start" : "so far";
      deployment.record(
        `LOST broken: job ${id} waited ${Math.round(waitMs)} ms ${end}`,
      );
    }
    const usedShare = (mostUsed * TASK_CPU) / (WORKERS * WORKER_CPU);
    deployment.record(
      `at most ${Math.round(100 * usedShare)}% of the capacity was in use`,
    );
    // The rule asks for capacity only while under half of it is in use.
    if (usedShare >= 0.5) throw new Error("too much capacity was in use");
    deployment.record(
      broken.size > 0
        ? `LOST broken for ${broken.size} of ${small.size} small jobs`
        : `LOST held for ${small.size} small jobs`,
    );
    return broken.size > 0;
  } finally {
    for (const worker of workers) if (worker.isUp) worker.crash();
    await deployment.stop({ keepLogs: process.env.KEEP_LOGS === "1" });
  }
});
