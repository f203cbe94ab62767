import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import { planRelief, Relief } from "@laburnumtrack/jobs/interference_relief";
import type { Job, Step } from "@laburnumtrack/jobs/job";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { MAX_ROW_BYTES } from "@laburnumtrack/jobs/job_rows";
import { isFinal, JobPhase } from "@laburnumtrack/jobs/job_state";
import type { Queue, QueueSettings } from "@laburnumtrack/jobs/queue_config";
import { planStarts } from "@laburnumtrack/jobs/start_planner";
import type { Attempt, JobRecord } from "@laburnumtrack/jobs/task";
import { createStep, createWorkerInfo } from "@laburnumtrack/jobs/test_samples";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import type { Figures } from "./report";
import { type ImageBehaviour, pairKey, SharedVmModel } from "./shared_vm_model";
import {
  type JobShapes,
  type SharedVmPattern,
  SMALL_JOBS,
} from "./shared_vm_patterns";

/** Simulated time between two states of the VMs, in ms. */
const STEP_MS = 25;
/** Serving tasks run from the start, other jobs come from 0 to the end, in ms. */
const START_MS = -6000;
const END_MS = 36_000;
/** Time of the burst of filler jobs, in ms. */
const BURST_MS = { from: 18_000, to: 24_000 };
const PLAN_INTERVAL_MS = 50;
/** Most starts in a planning round. */
const MAX_STARTS = 40;
/** Time that a filler takes to resume from its checkpoint, in ms. */
const RESTORE_MS = 100;
/** Length of the periods for which serving jobs are rated, in ms. */
const RATING_PERIOD_MS = 2000;
/** What earns less than this fraction of its worth counts as not served. */
const MIN_SERVED = 0.1;
/** Worth of a job, or of a period of a serving job. */
const WORTH = { filler: 1.83, short: 0.379, serving: 0.415 };
/** Worth of a late job as a fraction. */
const LATE_WORTH = 0.15;
/** Weights of worth served, worst class and share served in nines. */
const VALUE_WEIGHTS = { served: 0.55, worst: 0.1, nines: 0.35 };
/** Smallest share that counts in nines. */
const BEST_FAILED = 0.001;
/** Fraction of image pairs with a high interference. */
const HIGH_FRACTION = 0.65;
/** Bounds of low and high interference of a pair; none lies between them. */
const LOW_RANGE = [0.05, 0.3] as const;
const HIGH_RANGE = [0.4, 1.3] as const;
const HIGH_INTERFERENCE = (LOW_RANGE[1] + HIGH_RANGE[0]) / 2;
const MEAN_LOAD = 0.42;
/** Least task-seconds after which a pair of images counts as having met. */
const MIN_MET_S = 5;
/** Lasting jobs lose this multiple of the time that fillers make them slow. */
const HARM_FACTOR = 4;
/** Longest time, in multiples of its objective, after which a job is late. */
const LATE_FACTOR = 3;
const BASE_TIME_MS = 1_000_000;
const NOT_AT_WORK = { atWorkS: 0, overS: 0 };

const FILLER_QUEUE = createQueue("builds", 2, 2.0, 1000);
const SHORT_QUEUE = createQueue("checks", 0, 1.5, 250);
const SERVING_QUEUE = createQueue("services", 0, 2.2, 2500);

/** Plays a pattern once and returns its figures. */
export function runSharedVms(pattern: SharedVmPattern, seed: number): Figures {
  return new SharedVmWorld(pattern, seed).run();
}

/** A pool of modelled VMs with the shipped decisions. */
class SharedVmWorld {
  readonly #pattern: SharedVmPattern;
  readonly #jobShapes: JobShapes;
  readonly #random: SeededRandom;
  #model = new InterferenceModel();
  readonly #board: JobBoard;
  readonly #images: ReadonlyMap<string, ImageBehaviour>;
  readonly #vms: SharedVmModel;
  readonly #work = new WeakMap<object, number>();
  readonly #phases = new Map<string, number>();
  readonly #jobs: JobRecord[] = [];
  readonly #doneMs = new Map<string, number>();
  #nowMs = 0;
  #jobCount = 0;

  constructor(pattern: SharedVmPattern, seed: number) {
    this.#pattern = pattern;
    this.#jobShapes = pattern.jobs ?? SMALL_JOBS;
    this.#random = new SeededRandom(seed);
    this.#board = new JobBoard(
      {
        onChanged: (record) => this.#onChanged(record),
        onStop: (stop) => this.#vms.stop(stop, this.#nowMs),
        onEnd: () => {},
      },
      { runFloor: 0, allJobsKnownMs: 0 },
    );
    this.#images = this.#drawImages();
    this.#vms = new SharedVmModel({
      board: this.#board,
      images: this.#images,
      wave: {
        mean: MEAN_LOAD,
        swing: pattern.swing,
        periodMs: pattern.periodMs,
      },
      phaseOf: (job) => this.#phases.get(job) ?? 0,
      idleTailMs: this.#jobShapes.idleTailMs,
      workMsOf: (attempt) => this.#workMsOf(attempt),
      onReport: (worker) => this.#onReport(worker),
    });
  }

  run(): Figures {
    const { workers, cpuMilli, reserved, fillerJobsAtStart } = this.#pattern;
    const { takeoversMs = [] } = this.#pattern;
    for (let index = 0; index < workers; index += 1) {
      const isLarge = index % 3 === 2;
      const cpu = isLarge ? cpuMilli * 1.5 : cpuMilli;
      const worker = this.#board.addWorker(
        createWorkerInfo(`w${index}`, {
          capacity: { cpuMilli: cpu, memoryMb: 256_000, accelerators: 0 },
        }),
      );
      worker.hasReported = true;
    }
    const capacity = workers * cpuMilli * (7 / 6);
    let taken = 0;
    this.#nowMs = BASE_TIME_MS + START_MS;
    while (taken < capacity * reserved) taken += this.#addServing();
    for (let index = 0; index < fillerJobsAtStart; index += 1)
      this.#addFiller();
    for (let atMs = START_MS; atMs < END_MS; atMs += STEP_MS) {
      this.#nowMs = BASE_TIME_MS + atMs;
      if (atMs >= 0) this.#submit(atMs);
      if (takeoversMs.includes(atMs)) this.#takeOver();
      if (atMs % PLAN_INTERVAL_MS === 0) this.#plan();
      this.#vms.advance(this.#nowMs, STEP_MS);
    }
    return this.#evaluate();
  }

  /** Another leader knows of the load only what the former one stored. */
  #takeOver(): void {
    const stored = JSON.stringify(this.#model.export(MAX_ROW_BYTES));
    this.#model = new InterferenceModel();
    this.#model.import(JSON.parse(stored));
  }

  #submit(atMs: number): void {
    const { fillerJobsPerS, shortJobsPerS, burst } = this.#pattern;
    const isBurst = atMs >= BURST_MS.from && atMs < BURST_MS.to;
    const factor = isBurst ? burst : 1;
    if (this.#random.chance((fillerJobsPerS * factor * STEP_MS) / 1000)) {
      this.#addFiller();
    }
    if (this.#random.chance((shortJobsPerS * STEP_MS) / 1000)) this.#addShort();
  }

  #plan(): void {
    const starts = planStarts(this.#board, {
      nowMs: this.#nowMs,
      wallMs: this.#nowMs,
      limit: MAX_STARTS,
      model: this.#model,
      isUsable: () => true,
      areRunsKnown: () => true,
    });
    for (const attempt of starts) this.#vms.start(attempt, this.#nowMs);
  }

  #onReport(worker: WorkerRecord): void {
    const nowMs = this.#nowMs;
    this.#model.observe(worker, nowMs);
    const options = { nowMs, restoreMs: RESTORE_MS };
    for (const { filler, relief } of planRelief(this.#model, worker, options)) {
      if (relief === Relief.Move) {
        this.#board.stop(filler, "slows a serving task");
        continue;
      }
      const isPause = relief === Relief.Pause;
      filler.pausedMs = isPause ? nowMs : undefined;
      filler.pacePercent = isPause ? 0 : 100;
      worker.markChanged();
    }
  }

  #onChanged(record: JobRecord): void {
    if (isFinal(record.phase)) this.#doneMs.set(record.job.id, this.#nowMs);
  }

  #evaluate(): Figures {
    const earned = { filler: 0, short: 0, serving: 0 };
    const owed = { filler: 0, short: 0, serving: 0 };
    let asked = 0;
    let failed = 0;
    for (const record of this.#jobs) {
      const kind = kindOf(record.queue);
      const ratings =
        kind === "serving" ? this.#rateServing(record) : this.#rateJob(record);
      for (const rating of ratings) {
        earned[kind] += rating * WORTH[kind];
        owed[kind] += WORTH[kind];
        asked += 1;
        if (rating < MIN_SERVED) failed += 1;
      }
    }
    const sumOf = ({ filler, short, serving }: typeof earned) =>
      filler + short + serving;
    const filler = earned.filler / owed.filler;
    const short = earned.short / owed.short;
    const serving = earned.serving / owed.serving;
    const failedShare = Math.max(BEST_FAILED, failed / asked);
    const nines = Math.log(failedShare) / Math.log(BEST_FAILED);
    const served = sumOf(earned) / sumOf(owed);
    return {
      value:
        VALUE_WEIGHTS.served * served +
        VALUE_WEIGHTS.worst * Math.min(filler, short, serving) +
        VALUE_WEIGHTS.nines * nines,
      served,
      filler,
      short,
      serving,
      failed: failed / asked,
      overS: this.#vms.overS,
      stopped: this.#vms.stoppedRuns,
      wastedCoreS: this.#vms.wastedCoreS,
      misjudged: this.#misjudgedFraction(),
    };
  }

  /** Fraction of its worth that a serving job earns in each period. */
  #rateServing({ job }: JobRecord): number[] {
    const ratings: number[] = [];
    const count = job.steps[0]?.count ?? 1;
    const first = Math.floor(BASE_TIME_MS / RATING_PERIOD_MS);
    const periods = this.#vms.serving.get(job.id);
    for (let period = 0; period < END_MS / RATING_PERIOD_MS - 1; period += 1) {
      const { atWorkS, overS } = periods?.get(first + period) ?? NOT_AT_WORK;
      const fullS = (count * RATING_PERIOD_MS) / 1000;
      ratings.push(Math.max(0, (atWorkS - HARM_FACTOR * overS) / fullS));
    }
    return ratings;
  }

  /** Fraction of its worth that a job earns; none if it ends after the run. */
  #rateJob(record: JobRecord): number[] {
    const { submittedMs, id } = record.job;
    const objective = this.#objectiveMs(record);
    if (submittedMs + objective > BASE_TIME_MS + END_MS) return [];
    const doneMs = this.#doneMs.get(id);
    if (doneMs === undefined || record.phase !== JobPhase.Completed) return [0];
    const ratio = (doneMs - submittedMs) / objective;
    if (ratio <= 1) return [1];
    return ratio <= LATE_FACTOR ? [LATE_WORTH] : [0];
  }

  /**
   * Fraction of the image pairs that have met whose interference is taken for
   * high or low wrongly.
   */
  #misjudgedFraction(): number {
    let misjudged = 0;
    let count = 0;
    for (const [filler, { interference }] of this.#images) {
      for (const [serving, slope] of interference) {
        const metS = this.#vms.metS.get(pairKey(filler, serving)) ?? 0;
        if (metS < MIN_MET_S) continue;
        const learnt = this.#model.interferenceOf(filler, serving);
        const isHigh = slope > HIGH_INTERFERENCE;
        if (isHigh !== learnt > HIGH_INTERFERENCE) misjudged += 1;
        count += 1;
      }
    }
    return misjudged / count;
  }

  /** Objective of a job by the true durations of its steps, in ms. */
  #objectiveMs({ job, queue }: JobRecord): number {
    const { stretch, targetMs } = queue ?? { stretch: 1, targetMs: 0 };
    let chainMs = 0;
    for (const step of job.steps) {
      chainMs += this.#work.get(step) ?? step.estimateMs;
    }
    return stretch * chainMs + targetMs;
  }

  #workMsOf({ task }: Attempt): number {
    return this.#work.get(task.stepRun.step) ?? 1000;
  }

  #addServing(): number {
    const { servingImages, servingCount, servingMilli, targetMs } =
      this.#jobShapes;
    const count = this.#random.between(2, servingCount);
    const cpuMilli = this.#spread(servingMilli, 0.3);
    const image = `serving${this.#draw(servingImages)}`;
    const step = createStep({
      count,
      image,
      targetMs,
      isLongRunning: true,
      perWorkerLimit: this.#random.chance(0.5) ? 1 + this.#draw(2) : 0,
      resources: { cpuMilli, memoryMb: 1000, accelerators: 0 },
    });
    this.#add([step], SERVING_QUEUE);
    return count * cpuMilli;
  }

  #addFiller(): void {
    const { fillerImages, fillerCount, fillerMilli } = this.#jobShapes;
    const image = `filler${this.#draw(fillerImages)}`;
    const steps = 1 + this.#draw(3);
    this.#addTimed(FILLER_QUEUE, steps, () => ({
      count: this.#random.between(2, fillerCount),
      workMs: 1200 + this.#random.fraction() * 2000,
      step: {
        image,
        isFiller: true,
        isCheckpointing: this.#random.chance(0.85),
        resources: {
          cpuMilli: this.#spread(fillerMilli, 0.35),
          memoryMb: 1000,
          accelerators: 0,
        },
      },
    }));
  }

  #addShort(): void {
    this.#addTimed(SHORT_QUEUE, 1 + this.#draw(2), () => ({
      count: 1 + this.#draw(11),
      workMs: 400 + this.#random.fraction() * 800,
      step: {
        resources: {
          cpuMilli: 1300 + this.#draw(2000),
          memoryMb: 1000,
          accelerators: 0,
        },
      },
    }));
  }

  #addTimed(
    queue: Queue,
    count: number,
    draw: () => { count: number; workMs: number; step: Partial<Step> },
  ): void {
    const steps: Step[] = [];
    for (let number = 0; number < count; number += 1) {
      const { workMs, step, count: tasks } = draw();
      const created = createStep({
        ...step,
        count: tasks,
        after: number > 0 ? [number - 1] : [],
        estimateMs: workMs * (0.6 + 0.8 * this.#random.fraction()),
      });
      this.#work.set(created, workMs);
      steps.push(created);
    }
    this.#add(steps, queue);
  }

  #add(steps: readonly Step[], queue: Queue): void {
    this.#jobCount += 1;
    const job: Job = {
      id: `job${this.#jobCount}`,
      queue: queue.name,
      spec: "",
      steps,
      repeat: undefined,
      submittedMs: this.#nowMs,
    };
    this.#phases.set(job.id, this.#random.fraction() * 2 * Math.PI);
    const times = { nowMs: this.#nowMs, wallMs: this.#nowMs };
    this.#jobs.push(
      this.#board.addJob(job, this.#jobCount, { queue, ...times }),
    );
  }

  #drawImages(): Map<string, ImageBehaviour> {
    const { servingImages, fillerImages } = this.#jobShapes;
    const images = new Map<string, ImageBehaviour>();
    for (let filler = 0; filler < fillerImages; filler += 1) {
      const interference = new Map<string, number>();
      for (let serving = 0; serving < servingImages; serving += 1) {
        const isHigh = this.#random.chance(HIGH_FRACTION);
        const [least, most] = isHigh ? HIGH_RANGE : LOW_RANGE;
        const slope = least + (most - least) * this.#random.fraction();
        interference.set(`serving${serving}`, slope);
      }
      images.set(`filler${filler}`, { interference });
    }
    return images;
  }

  /** A random integer around `mean`, at most a fraction of it away. */
  #spread(mean: number, fraction: number): number {
    const most = Math.round(mean * fraction);
    return mean + this.#random.between(-most, most);
  }

  /** A random integer from 0 to `count` - 1. */
  #draw(count: number): number {
    return this.#random.between(0, count - 1);
  }
}

function kindOf(queue: QueueSettings | undefined): keyof typeof WORTH {
  if (queue === FILLER_QUEUE) return "filler";
  return queue === SHORT_QUEUE ? "short" : "serving";
}

function createQueue(
  name: string,
  priority: number,
  stretch: number,
  targetMs: number,
): Queue {
  return {
    name,
    host: "",
    pathPrefix: "",
    pool: "pool",
    priority,
    attemptLimit: 3,
    stretch,
    targetMs,
    advice: undefined,
  };
}
