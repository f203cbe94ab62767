// A job that lasts is at work on a queue whose route the operator then removes.
// Its client cancels it, as before by the path that it handed the job in with.
import { Deployment, newJobId, runCase } from "../standins-3/deployment.mjs";
import { sleep } from "../standins-3/store.mjs";
import { Worker } from "../standins-3/worker.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const WORKERS = 4;
const TASKS = 4;
/** Bounds of the deployment. */
const CONFIG_APPLY_MS = 2000;
const ACK_MS = 4000;
const CANCEL_MS = 3000;
const STOP_MS = 200;
/** Pause of the client before it cancels again, at the next entry. */
const RETRY_MS = 300;
const WATCH_MS = 15_000;

function routeOf(name) {
  return {
    name,
    host: "jobs.example",
    pathPrefix: `/${name}/`,
    service: "core",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetLatencyMs: 2500,
  };
}

await runCase(async () => {
  const deployment = new Deployment(import.meta.dirname);
  const { store } = deployment;
  const running = new Set();
  let startsAfterEnd = 0;
  let endMs = Number.POSITIVE_INFINITY;
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
        durationOf: () => Number.POSITIVE_INFINITY,
        needsOf: () => ({ cpu: 1000, memMb: 1000 }),
        onEvent: ({ worker, task, run, what }) => {
          deployment.record(`worker ${worker}: ${task} run ${run}: ${what}`);
          if (what !== "start") running.delete(`${task} run ${run}`);
          else {
            running.add(`${task} run ${run}`);
            if (performance.now() > endMs) startsAfterEnd += 1;
          }
        },
      }),
  );
  for (const worker of workers) await worker.start();
  try {
    const services = [{ name: "core", enforcesCapacity: true }];
    await deployment.start(3, {
      routes: [routeOf("watch"), routeOf("other")],
      services,
    });
    // Later than the start of the processes, as traffic is.
    await sleep(8000);
    const { entries } = deployment;
    const path = `/watch/${newJobId()}`;
    const body = {
      spec: "lasting",
      steps: [
        {
          count: TASKS,
          cpu: 1000,
          memMb: 1000,
          estimateMs: 500,
          longRunning: true,
        },
      ],
    };
    const posted = await deployment.client(entries[0], "POST", path, { body });
    if (posted.status !== 200) throw new Error("the job is not accepted");
    const areStarted = await deployment.until(
      () => running.size === TASKS,
      5000,
    );
    if (!areStarted) throw new Error("the tasks do not start");
    const routes = isTrouble
      ? [routeOf("other")]
      : [routeOf("watch"), routeOf("other"), routeOf("third")];
    store.put("op", "config", { version: 5, routes, services, limits: {} });
    deployment.record(
      `config 5 has the routes ${routes.map(({ name }) => name).join(", ")}`,
    );
    await sleep(CONFIG_APPLY_MS + 1000);
    for (const entry of entries) await deployment.client(entry, "GET", path);
    const firstMs = performance.now();
    let isAcknowledged = false;
    // It waits `ackMs` for an acknowledgement, in calm, and asks each entry.
    for (let tries = 0; performance.now() < firstMs + ACK_MS; tries += 1) {
      const entry = entries[tries % entries.length];
      const { status } = await deployment.client(entry, "DELETE", path);
      isAcknowledged = status === 200 || status === 410;
      if (isAcknowledged) break;
      await sleep(RETRY_MS);
    }
    const cancelledMs = performance.now();
    deployment.record(
      isAcknowledged
        ? "the cancelling is acknowledged"
        : `the cancelling has waited ${Math.round(cancelledMs - firstMs)} ms for its acknowledgement`,
    );
    endMs = cancelledMs + CANCEL_MS + STOP_MS;
    await sleep(CANCEL_MS + STOP_MS);
    const left = [...running];
    await sleep(WATCH_MS);
    const still = left.filter((run) => running.has(run));
    for (const run of still) {
      deployment.record(
        `UNASKED broken: ${run} runs on ${Math.round(performance.now() - cancelledMs)} ms after that`,
      );
    }
    const isBroken = still.length > 0 || startsAfterEnd > 0;
    deployment.record(`UNASKED ${isBroken ? "broken" : "held"}`);
    return isBroken;
  } finally {
    for (const worker of workers) if (worker.isUp) worker.crash();
    await deployment.stop({ keepLogs: process.env.KEEP_LOGS === "1" });
  }
});
