// A client hands a job in. The entry is killed while its write to the store is
// on the way; the write is carried out some seconds later. Meanwhile the client,
// which got no response, cancels the job at another entry and is answered.
import { Deployment, newJobId, runCase } from "../standins-3/deployment.mjs";
import { Fate, sleep } from "../standins-3/store.mjs";
import { Worker } from "../standins-3/worker.mjs";

const isTrouble = process.env.TROUBLE !== "0";
/** A write without an answer is carried out 1 to 6 s later. */
const LATE_MS = 5500;
/** `cancel_ms` of the deployment. */
const CANCEL_MS = 3000;
const WATCH_MS = 12_000;
const WORKERS = 4;

await runCase(async () => {
  const deployment = new Deployment(import.meta.dirname);
  const { store } = deployment;
  const starts = [];
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
        durationOf: () => 2000,
        needsOf: () => ({ cpu: 1000, memMb: 1000 }),
        onEvent: ({ worker, task, run, what }) => {
          deployment.record(`worker ${worker}: ${task} run ${run}: ${what}`);
          if (what === "start") starts.push({ task, atMs: performance.now() });
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
    const { leader } = deployment;
    deployment.record(`${leader} leads`);
    const [killed, other] = deployment.entries.filter(
      ({ name }) => name !== leader,
    );
    const id = newJobId();
    store.decide = ({ body, caller }) => {
      const isOfJob = body.writes?.some(({ key }) => key === id) ?? false;
      if (!isTrouble || !isOfJob || !caller.endsWith(`/${killed.name}`)) {
        return { fate: Fate.Served };
      }
      killed.process.kill("SIGKILL");
      deployment.record(
        `${killed.name} is killed; its write of the job is carried out ${LATE_MS} ms later`,
      );
      setTimeout(
        () => deployment.record("the store carries out the write"),
        LATE_MS,
      );
      return { fate: Fate.Late, lateMs: LATE_MS };
    };
    const body = {
      spec: "withdrawn",
      steps: [{ count: 2, cpu: 1000, memMb: 1000, estimateMs: 2000 }],
    };
    await deployment.client(killed, "POST", `/queue/${id}`, { body });
    const cancelled = await deployment.client(other, "DELETE", `/queue/${id}`);
    const isAcknowledged = cancelled.status === 200 || cancelled.status === 410;
    if (!isAcknowledged) throw new Error("the cancelling is not acknowledged");
    const cancelledMs = performance.now();
    await sleep(WATCH_MS);
    await deployment.client(other, "GET", `/queue/${id}`);
    const late = starts.filter(
      ({ task, atMs }) => task.startsWith(id) && atMs > cancelledMs + CANCEL_MS,
    );
    for (const { task, atMs } of late) {
      const afterMs = Math.round(atMs - cancelledMs);
      deployment.record(
        `UNASKED broken: ${task} starts ${afterMs} ms after the answer ${cancelled.status} to DELETE`,
      );
    }
    if (late.length === 0) deployment.record("UNASKED held");
    return late.length > 0;
  } finally {
    for (const worker of workers) if (worker.isUp) worker.crash();
    await deployment.stop({ keepLogs: process.env.KEEP_LOGS === "1" });
  }
});
