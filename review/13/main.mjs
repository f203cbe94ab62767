// A client hands in a job of several stages, each of which follows the stage
// before it. All other jobs of the queue have to run meanwhile, and the entries
// have to answer.
import { Deployment, newJobId, runCase } from "../standins-3/deployment.mjs";
import { sleep } from "../standins-3/store.mjs";
import { Worker } from "../standins-3/worker.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const STAGES = Number(process.env.STAGES ?? 12);
const STEPS_PER_STAGE = 4;
const WORKERS = 6;
/** What the rule LOST says: no run for 3 s though there is capacity. */
const IDLE_MS = 3000;
const SMALL_JOBS = 10;
/** Longest time for which small jobs are handed in. */
const SUBMIT_MS = 20_000;
const WATCH_MS = 25_000;

const task = { count: 1, cpu: 500, memMb: 500, estimateMs: 300 };

/** Steps of a stage; they follow those with the numbers in `after`. */
function stageAfter(after) {
  return Array.from({ length: STEPS_PER_STAGE }, () => ({ ...task, after }));
}

/** One job in which each stage follows the one before it. */
function stagedJob() {
  const steps = [];
  for (let stage = 0; stage < STAGES; stage += 1) {
    const before = Array.from(
      { length: stage === 0 ? 0 : STEPS_PER_STAGE },
      (_, index) => (stage - 1) * STEPS_PER_STAGE + index,
    );
    steps.push(...stageAfter(before));
  }
  return { spec: "staged", steps };
}

await runCase(async () => {
  const deployment = new Deployment(import.meta.dirname);
  const { store } = deployment;
  const firstStartMs = new Map();
  const workers = Array.from(
    { length: WORKERS },
    (_, index) =>
      new Worker({
        id: `i-${index + 1}`,
        store,
        service: "core",
        zone: "a",
        labels: ["a", `r1-${index + 1}`],
        capacity: { cpu: 16_000, memMb: 64_000, gpu: 0 },
        maxHoldMs: 6000,
        durationOf: () => 300,
        needsOf: () => ({ cpu: 500, memMb: 500 }),
        onEvent: ({ worker, task: name, run, what }) => {
          deployment.record(`worker ${worker}: ${name} run ${run}: ${what}`);
          const job = name.slice(0, name.indexOf("."));
          if (what === "start" && !firstStartMs.has(job)) {
            firstStartMs.set(job, performance.now());
          }
        },
      }),
  );
  for (const worker of workers) await worker.start();
  try {
    await deployment.start(3, {
      routes: [
        {
          name: "queue",
          host: "jobs.example",
          pathPrefix: "/queue/",
          service: "core",
          priority: 0,
          maxAttempts: 3,
          stretch: 2,
          targetLatencyMs: 1000,
        },
      ],
      services: [{ name: "core", enforcesCapacity: true }],
    });
    // Later than the start of the processes, as traffic is.
    await sleep(8000);
    const accepted = new Map();
    let calls = 0;
    /** Hands a job in; without a response, once more at another entry. */
    const submit = async (body) => {
      const id = newJobId();
      for (let tries = 0; tries < 2; tries += 1) {
        const entry = deployment.entries[calls % deployment.entries.length];
        calls += 1;
        const { status } = await deployment.client(
          entry,
          "POST",
          `/queue/${id}`,
          { body },
        );
        if (status === 200) accepted.set(id, performance.now());
        if (status !== 0) return;
      }
    };
    if (isTrouble) await submit(stagedJob());
    else {
      // The same work, each stage as a job of its own.
      for (let stage = 0; stage < STAGES; stage += 1) {
        await submit({ spec: "stage", steps: stageAfter([]) });
      }
    }
    const submitEndMs = performance.now() + SUBMIT_MS;
    for (let job = 0; job < SMALL_JOBS; job += 1) {
      if (performance.now() > submitEndMs) break;
      await submit({ spec: "small", steps: [task] });
      await sleep(300);
    }
    await sleep(WATCH_MS);
    const broken = [];
    const nowMs = performance.now();
    for (const [id, acceptedMs] of accepted) {
      const waitMs = (firstStartMs.get(id) ?? nowMs) - acceptedMs;
      if (waitMs < IDLE_MS) continue;
      const end = firstStartMs.has(id) ? "before its first start" : "so far";
      broken.push(id);
      deployment.record(
        `LOST broken: job ${id} was accepted and waited ${Math.round(waitMs)} ms ${end}, with idle workers`,
      );
    }
    // Jobs are asked for: each accepted one has to be known.
    for (const entry of deployment.entries) {
      for (const id of [...accepted.keys()].slice(0, 2)) {
        await deployment.client(entry, "GET", `/queue/${id}`);
      }
    }
    deployment.record(
      broken.length > 0
        ? `LOST broken for ${broken.length} of ${accepted.size} jobs`
        : `LOST held for ${accepted.size} jobs`,
    );
    return broken.length > 0;
  } finally {
    for (const worker of workers) if (worker.isUp) worker.crash();
    await deployment.stop({ keepLogs: process.env.KEEP_LOGS === "1" });
  }
});
