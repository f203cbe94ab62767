// A start order is left unanswered by a worker and sent again. The worker runs
// the second one, crashes, and is back under its id. The first order is carried
// out after that, within the time that the pages name.
import { Deployment, newJobId, runCase } from "../standins-3/deployment.mjs";
import { DelayProxy } from "../standins-3/proxy.mjs";
import { sleep } from "../standins-3/store.mjs";
import { Worker } from "../standins-3/worker.mjs";

const isTrouble = process.env.TROUBLE !== "0";
/** An order that gets no answer is carried out 2 to 12 s later. */
const LATE_MS = 8000;
/** Time from the confirmed start until the worker crashes. */
const CRASH_AFTER_MS = 1500;
/** Workers are down for at most 4.5 s. */
const DOWN_MS = 1500;
const WATCH_MS = 16_000;
const WORKERS = 8;

await runCase(async () => {
  const deployment = new Deployment(import.meta.dirname);
  const { store } = deployment;
  const overlaps = [];
  const active = new Map();
  let startOrders = 0;
  const onEvent = ({ worker, born, task, run, what }) => {
    const boot = `${worker}, born ${born}`;
    deployment.record(`worker ${boot}: ${task} run ${run}: ${what}`);
    const running = active.get(task) ?? new Map();
    active.set(task, running);
    if (what !== "start") {
      running.delete(boot);
      return;
    }
    running.set(boot, run);
    if (running.size > 1) overlaps.push(task);
  };
  const workers = Array.from(
    { length: WORKERS },
    (_, index) =>
      new Worker({
        id: `i-${index + 1}`,
        store,
        service: "core",
        zone: "a",
        labels: ["a", `r1-${index + 1}`],
        // The job fits on the first two, best on the first.
        capacity: { cpu: [16_000, 8000][index] ?? 1000, memMb: 64_000, gpu: 0 },
        maxHoldMs: 6000,
        durationOf: () => 60_000,
        needsOf: () => ({ cpu: 4000, memMb: 1000 }),
        onEvent,
      }),
  );
  const [first] = workers;
  const proxy = new DelayProxy(() => first.ownAddress);
  first.publicAddress = await proxy.listen();
  proxy.delayOf = ({ url }) => {
    if (url !== "/api/run-start") return 0;
    startOrders += 1;
    const isHeld = isTrouble && startOrders === 1;
    deployment.record(
      `start order ${startOrders} to ${first.id}${isHeld ? `: no answer, carried out ${LATE_MS} ms later` : ""}`,
    );
    return isHeld ? LATE_MS : 0;
  };
  proxy.onLate = ({ status, text }) =>
    deployment.record(`start order 1 is carried out: ${status} ${text}`);
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
    const id = newJobId();
    const posted = await deployment.client(
      deployment.entries[0],
      "POST",
      `/queue/${id}`,
      {
        body: {
          spec: "long",
          steps: [{ count: 1, cpu: 4000, memMb: 1000, estimateMs: 60_000 }],
        },
      },
    );
    if (posted.status !== 200) throw new Error("the job is not accepted");
    const isStarted = await deployment.until(() => first.runs.length > 0, 5000);
    if (!isStarted) throw new Error("the task does not start on i-1");
    if (isTrouble) {
      await sleep(CRASH_AFTER_MS);
      deployment.record(`${first.id} crashes`);
      first.crash();
      await sleep(DOWN_MS);
      await first.start();
      deployment.record(`${first.id} is back under its id`);
    }
    await sleep(WATCH_MS);
    deployment.record(
      overlaps.length > 0
        ? `TWICE broken: ${overlaps.join(", ")} had two runs at the same time`
        : "TWICE held",
    );
    return overlaps.length > 0;
  } finally {
    for (const worker of workers) if (worker.isUp) worker.crash();
    proxy.close();
    await deployment.stop({ keepLogs: process.env.KEEP_LOGS === "1" });
  }
});
