import { isLongRunning } from "@laburnumtrack/jobs/job";
import { EXPIRY_FACTOR, objectiveMs } from "@laburnumtrack/jobs/job_order";
import { coreSecondsOf } from "@laburnumtrack/jobs/job_size";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import type { JobRecord } from "@laburnumtrack/jobs/task";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** Size of a job among those of its queue that were over lately. */
export enum SizeClass {
  LargestTenth = "largest_tenth",
  NextFifth = "next_fifth",
  Rest = "rest",
}

/** Time that a job took, against its objective. */
export enum Timeliness {
  InTime = "in_time",
  Late = "late",
  /** Later than its result has a value. */
  Expired = "expired",
}

/** Jobs of a queue by which the size of the next one is judged. */
const SAMPLE_JOBS = 200;
/** Least number of them. */
const MIN_SAMPLE_JOBS = 10;
/** Most queues whose sizes are kept; the longest unused one is dropped. */
const MAX_QUEUES = 256;

/** Counts how timely jobs complete, by queue and size. */
export class ServiceBySize {
  readonly #metrics: Metrics;
  /** Core-seconds of the last jobs of each queue. */
  readonly #sizes = new Map<string, number[]>();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Counts a job that is over; cancelled, failed and long-running ones do not. */
  onFinished(record: JobRecord): void {
    const { job, phase } = record;
    const isCounted =
      phase === JobPhase.Completed &&
      !isLongRunning(job) &&
      job.repeat === undefined;
    if (!isCounted) return;
    const size = this.#classify(job.queue, coreSecondsOf(job));
    if (size === undefined) return;
    const labels = `queue="${job.queue}",size="${size}",time="${timelinessOf(record)}"`;
    this.#metrics.count(`jobs_by_size{${labels}}`);
  }

  /** The class of a size; undefined while too few others are known. */
  #classify(queue: string, size: number): SizeClass | undefined {
    const sizes = this.#sizes.get(queue) ?? [];
    this.#sizes.delete(queue);
    this.#sizes.set(queue, sizes);
    const smaller = sizes.filter((other) => other < size).length;
    const share = smaller / sizes.length;
    const isKnown = sizes.length >= MIN_SAMPLE_JOBS;
    sizes.push(size);
    if (sizes.length > SAMPLE_JOBS) sizes.shift();
    if (this.#sizes.size > MAX_QUEUES) {
      const [oldest] = this.#sizes.keys();
      if (oldest !== undefined) this.#sizes.delete(oldest);
    }
    if (!isKnown) return undefined;
    if (share >= 0.9) return SizeClass.LargestTenth;
    return share >= 0.7 ? SizeClass.NextFifth : SizeClass.Rest;
  }
}

function timelinessOf(record: JobRecord): Timeliness {
  const tookMs = record.sinceMs - record.job.submittedMs;
  const objective = objectiveMs(record);
  if (tookMs <= objective) return Timeliness.InTime;
  return tookMs <= EXPIRY_FACTOR * objective
    ? Timeliness.Late
    : Timeliness.Expired;
}
