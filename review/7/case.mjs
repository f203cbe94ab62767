// Workers that failed what they started for a few seconds each, one after the
// other, get no task any more although they are sound again.
import { play, sleep } from "../standins-2/deployment.mjs";

const WORKERS = 12;
const GREY_S = 4;
const FINISH_S = 14;
const IDLE_S = 3;
const WORK_MS = 300;
const STEP = { count: 6, cpu: 500, memMb: 100, estimateMs: WORK_MS };

await play(import.meta.dirname, async (deployment, hasTrouble) => {
  await deployment.start({ entries: 3, workers: WORKERS });
  let grey;
  let lastBatchS = 0;
  const note = deployment.note.bind(deployment);
  for (const worker of deployment.workers) {
    worker.note = (event, fields) => {
      note(event, fields);
      const isBatch = fields.task?.startsWith("c") ?? false;
      if (isBatch) lastBatchS = deployment.nowS;
    };
    worker.plan = ({ spec }) => {
      if (spec === "lasting") return { workMs: Number.POSITIVE_INFINITY };
      const end = worker === grey ? "failed" : "done";
      return { workMs: WORK_MS, end };
    };
  }
  const submit = (id, spec, step) =>
    deployment.insist("POST", id, { body: { spec, steps: [step] } });
  await submit("a000000000000000", "lasting", {
    ...STEP,
    count: WORKERS,
    longRunning: true,
    antiAffinity: 1,
  });
  await sleep(2000);
  const accepted = [];
  const untilS = deployment.nowS + (WORKERS + 1) * GREY_S;
  const beganS = deployment.nowS;
  for (let number = 0; deployment.nowS < untilS; number += 1) {
    const turn = Math.floor((deployment.nowS - beganS) / GREY_S);
    const next = hasTrouble ? deployment.workers[turn] : undefined;
    if (next !== grey) deployment.note("grey", { worker: next?.id });
    grey = next;
    const id = `c${number.toString(16).padStart(15, "0")}`;
    void submit(id, "batch", STEP).then(({ status }) => {
      if (status === 200) accepted.push(id);
    });
    await sleep(250);
  }
  deployment.note("traffic ends");
  await sleep(FINISH_S * 1000);
  const open = [];
  for (const id of accepted) {
    const { body } = await deployment.insist("GET", id, {});
    if (body?.state === "queued" || body?.state === "running") open.push(id);
  }
  if (open.length === 0) return undefined;
  const fromS = deployment.nowS;
  await sleep(IDLE_S * 1000);
  if (lastBatchS >= fromS) return undefined;
  const idleS = deployment.nowS - lastBatchS;
  return `LOST: ${open.length} of ${accepted.length} accepted jobs wait, and no task of theirs has run for ${idleS.toFixed(1)} s on ${WORKERS} sound workers with 15.5 of 16 cores free each`;
});
