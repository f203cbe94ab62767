import type { Clock } from "@laburnumtrack/core/clock";
import type { SeededRandom } from "@laburnumtrack/standins/dice";
import { Client } from "undici";
import { QUEUE, type SoakEntry } from "./soak_world";

/** A job as its caller sees it. */
export interface CallerJob {
  readonly id: string;
  /** A submission was answered with 200: the job is stored. */
  isAccepted: boolean;
  /** A submission got no answer, or one that leaves open whether it is stored. */
  isOutcomeUnknown: boolean;
  /** Monotonic time of the acknowledged cancellation in ms; undefined without one. */
  cancelledMs: number | undefined;
  /** Whether a cancellation was sent. */
  isCancelSent: boolean;
  /** Answered states that this job cannot have. */
  readonly impossibleStates: string[];
}

/** Answer to one request; the status is undefined if no answer arrived. */
interface CallerAnswer {
  readonly status: number | undefined;
  readonly state: string;
}

/** Attempts of a submission or cancellation, each at a randomly chosen entry. */
const MAX_ATTEMPTS = 8;
/** Pause between two attempts, in ms. */
const RETRY_PAUSE_MS = 250;
/** Time limit of a request, also sent as its deadline, in ms. */
const ANSWER_TIMEOUT_MS = 3000;
/** Interval between the submissions of two jobs, in ms. */
const SUBMIT_INTERVAL_MS = 60;
/** Probability that a job is cancelled. */
const CANCEL_PROBABILITY = 0.1;
/** Longest run time of a task, in ms. */
const MAX_WORK_MS = 1500;
/** States of a job that nobody cancelled and whose tasks succeed when retried. */
const IMPOSSIBLE_STATES = new Set(["failed", "cancelled"]);

/** Submits jobs, queries their states and cancels some of them. */
export class SoakCaller {
  readonly jobs: CallerJob[] = [];
  readonly #clock: Clock;
  readonly #dice: SeededRandom;
  readonly #entries: readonly SoakEntry[];

  constructor(clock: Clock, dice: SeededRandom, entries: readonly SoakEntry[]) {
    this.#clock = clock;
    this.#dice = dice;
    this.#entries = entries;
  }

  /** Submits jobs until `signal` is aborted, then waits for their requests. */
  async run(signal: AbortSignal): Promise<void> {
    const pending: Promise<void>[] = [];
    while (!signal.aborted) {
      pending.push(this.#runJob(this.jobs.length));
      await this.#clock.sleep(SUBMIT_INTERVAL_MS, signal);
    }
    await Promise.all(pending);
  }

  /** State of a job from the first entry that answers; undefined if none does. */
  async readState(id: string): Promise<string | undefined> {
    for (const entry of this.#entries) {
      const { status, state } = await this.#call(entry, "GET", id);
      if (status === 200) return state;
      if (status === 410) return "unknown";
    }
    return undefined;
  }

  async #runJob(number: number): Promise<void> {
    const job: CallerJob = {
      id: number.toString(16).padStart(16, "0"),
      isAccepted: false,
      isOutcomeUnknown: false,
      cancelledMs: undefined,
      isCancelSent: false,
      impossibleStates: [],
    };
    this.jobs.push(job);
    const workMs = this.#dice.between(50, MAX_WORK_MS);
    const failures = this.#dice.chance(0.2) ? 1 : 0;
    const isCancelled = this.#dice.chance(CANCEL_PROBABILITY);
    await this.#submit(job, `work=${workMs}&fail=${failures}`);
    if (!job.isAccepted) return;
    await this.#clock.sleep(workMs);
    if (isCancelled) await this.#cancel(job);
    else await this.#checkState(job);
  }

  async #submit(job: CallerJob, spec: string): Promise<void> {
    const step = { cpu: 500, memMb: 10, estimateMs: 500 };
    const steps = [
      { ...step, count: this.#dice.between(1, 4) },
      { ...step, count: 1, after: [0] },
    ];
    const body = JSON.stringify({ spec, steps });
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const entry = this.#dice.pick(this.#entries);
      const { status } = await this.#call(entry, "POST", job.id, body);
      if (status === 200) {
        job.isAccepted = true;
        return;
      }
      if (status === 404) job.impossibleStates.push("submit: no such queue");
      const isRefused = status === 429 || status === 503 || status === 404;
      if (!isRefused) job.isOutcomeUnknown = true;
      await this.#clock.sleep(RETRY_PAUSE_MS);
    }
  }

  async #cancel(job: CallerJob): Promise<void> {
    job.isCancelSent = true;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const entry = this.#dice.pick(this.#entries);
      const { status } = await this.#call(entry, "DELETE", job.id);
      if (status === 200) {
        job.cancelledMs = this.#clock.nowMs();
        return;
      }
      if (status === 410) job.impossibleStates.push("cancel: unknown");
      await this.#clock.sleep(RETRY_PAUSE_MS);
    }
  }

  async #checkState(job: CallerJob): Promise<void> {
    const entry = this.#dice.pick(this.#entries);
    const { status, state } = await this.#call(entry, "GET", job.id);
    if (status === 410) job.impossibleStates.push("unknown");
    if (status === 404) job.impossibleStates.push("no such queue");
    if (IMPOSSIBLE_STATES.has(state)) job.impossibleStates.push(state);
  }

  async #call(
    { address }: SoakEntry,
    method: "GET" | "POST" | "DELETE",
    id: string,
    body?: string,
  ): Promise<CallerAnswer> {
    const client = new Client(`http://${address}`, {
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
      connectTimeout: ANSWER_TIMEOUT_MS,
    });
    try {
      const answer = await client.request({
        path: `${QUEUE.prefix}${id}`,
        method,
        headers: {
          host: QUEUE.host,
          "laburnumtrack-request-deadline": String(ANSWER_TIMEOUT_MS),
        },
        body: body ?? null,
      });
      const text = await answer.body.text();
      const parsed = JSON.parse(text) as { state?: string };
      return { status: answer.statusCode, state: parsed.state ?? "" };
    } catch {
      // Killed, paused and stopped entries do not answer.
      return { status: undefined, state: "" };
    } finally {
      void client.destroy();
    }
  }
}
