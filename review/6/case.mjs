// Tasks that are done start again after the leader's process was killed, in a
// deployment whose long-running tasks have 160 images.
import { play, sleep, waitFor } from "../standins-2/deployment.mjs";

const JOBS = 8;
const STEPS = 10;
const LOAD_S = 20;
const AFTER_KILL_S = 12;
const WORK_MS = 300;
const STEP = { count: 1, cpu: 100, memMb: 10, longRunning: true };
const BATCH = { count: 1, cpu: 500, memMb: 100, estimateMs: WORK_MS };

await play(import.meta.dirname, async (deployment, hasTrouble) => {
  await deployment.start({ entries: 3, workers: 6 });
  const ends = new Map();
  const starts = [];
  const note = deployment.note.bind(deployment);
  for (const worker of deployment.workers) {
    worker.note = (event, fields) => {
      note(event, fields);
      const key = `${fields.task} run ${fields.run}`;
      if (event === "run start") {
        starts.push({ ...fields, atS: deployment.nowS });
      } else if (event === "run end" && fields.how === "done") {
        ends.set(key, { ...fields, atS: deployment.nowS, isNoted: false });
      } else if (event === "end noted" && ends.has(key)) {
        ends.get(key).isNoted = !fields.hasLapsed;
      }
    };
    worker.plan = ({ spec }) => ({
      workMs: spec === "lasting" ? Number.POSITIVE_INFINITY : WORK_MS,
      end: "done",
    });
    // Tails of 20 to 40 ms and CPU of 50 to 150 thousandths, which vary.
    worker.measure = (task) =>
      task.startsWith("a")
        ? 20 + Math.floor(Math.random() * 20)
        : 50 + Math.floor(Math.random() * 100);
  }
  const submit = (id, spec, steps) =>
    deployment.insist("POST", id, { body: { spec, steps } });
  for (let job = 0; job < JOBS; job += 1) {
    const serving = listSteps(job, "api", { targetMs: 1000 });
    const filling = listSteps(job, "report", { fillCount: true });
    await submit(`a00000000000000${job}`, "lasting", serving);
    await submit(`f00000000000000${job}`, "lasting", filling);
  }
  const isAtWork = await waitFor(
    () => countRuns(deployment) === 2 * JOBS * STEPS,
    20_000,
  );
  if (!isAtWork) throw new Error("the long-running tasks did not all start");
  await sleep(5000);
  const untilS = deployment.nowS + LOAD_S;
  for (let number = 0; deployment.nowS < untilS; number += 1) {
    const id = `c${number.toString(16).padStart(15, "0")}`;
    void submit(id, "batch", [
      BATCH,
      { ...BATCH, after: [0] },
      { ...BATCH, after: [1] },
    ]);
    await sleep(250);
  }
  if (hasTrouble) deployment.signal(deployment.leader, "SIGKILL");
  await sleep(AFTER_KILL_S * 1000);
  for (const { task, run, atS } of starts) {
    for (const end of ends.values()) {
      if (end.task !== task || !end.isNoted || end.atS >= atS) continue;
      return `TWICE: ${task} started (run ${run}, ${atS.toFixed(1)} s) after its run ${end.run} had ended done (${end.atS.toFixed(1)} s), which was noted`;
    }
  }
  return undefined;
});

function listSteps(job, kind, fields) {
  return Array.from({ length: STEPS }, (_, index) => ({
    ...STEP,
    ...fields,
    image: `registry.example/inspection/${kind}-${job}${index}/service:2026.12.06-release-3`,
  }));
}

function countRuns({ workers }) {
  return workers.reduce((sum, { running }) => sum + running.length, 0);
}
