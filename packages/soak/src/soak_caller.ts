import type { Clock } from "@laburnumtrack/core/clock";
import type { Dice } from "@laburnumtrack/standins/dice";
import { Client } from "undici";
import { QUEUE, type SoakEntry } from "./soak_world";

/** What a caller knows of its job. */
export interface CallerJob {
  readonly id: string;
  /** The system said that it is stored. */
  isAccepted: boolean;
  /** An attempt got no answer, or one that leaves open what became of it. */
  isUncertain: boolean;
  /** Monotonic ms at which a cancellation was acknowledged. */
  cancelledMs: number | undefined;
  /** Whether a cancellation was ever sent. */
  isCancelSent: boolean;
  /** A state that was answered and cannot be true. */
  readonly wrongStates: string[];
}

/** Answer to one call; undefined status: none came. */
interface CallerAnswer {
  readonly status: number | undefined;
  readonly state: string;
}

/** Attempts of a submission; each at another entry. */
const ATTEMPTS = 8;
const PAUSE_MS = 250;
/** Longest wait for an answer, in ms. */
const ANSWER_LIMIT_MS = 3000;
/** Pause between two jobs, in ms. */
const NEXT_MS = 60;
/** Probability that a job is cancelled. */
const CANCEL_PART = 0.1;
/** Longest work of a task, in ms. */
const MOST_WORK_MS = 1500;
const FAILED_STATES = new Set(["failed", "cancelled"]);

/** Callers that hand in jobs, ask for them, cancel some. */
export class SoakCaller {
  readonly jobs: CallerJob[] = [];
  readonly #clock: Clock;
  readonly #dice: Dice;
  readonly #entries: readonly SoakEntry[];

  constructor(clock: Clock, dice: Dice, entries: readonly SoakEntry[]) {
    this.#clock = clock;
    this.#dice = dice;
    this.#entries = entries;
  }

  /** Hands jobs in until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const open: Promise<void>[] = [];
    while (!signal.aborted) {
      open.push(this.#serve(this.jobs.length));
      await this.#clock.sleep(NEXT_MS, signal);
    }
    await Promise.all(open);
  }

  /** State of a job as any entry tells it; undefined: none answered. */
  async readState(id: string): Promise<string | undefined> {
    for (const entry of this.#entries) {
      const { status, state } = await this.#call(entry, "GET", id);
      if (status === 200) return state;
      if (status === 410) return "unknown";
    }
    return undefined;
  }

  async #serve(number: number): Promise<void> {
    const job: CallerJob = {
      id: number.toString(16).padStart(16, "0"),
      isAccepted: false,
      isUncertain: false,
      cancelledMs: undefined,
      isCancelSent: false,
      wrongStates: [],
    };
    this.jobs.push(job);
    const workMs = this.#dice.between(50, MOST_WORK_MS);
    const failures = this.#dice.isHit(0.2) ? 1 : 0;
    const isCancelled = this.#dice.isHit(CANCEL_PART);
    await this.#submit(job, `work=${workMs}&fail=${failures}`);
    if (!job.isAccepted) return;
    await this.#clock.sleep(workMs);
    if (isCancelled) await this.#cancel(job);
    else await this.#ask(job);
  }

  async #submit(job: CallerJob, spec: string): Promise<void> {
    const step = { cpu: 500, memMb: 10, estimateMs: 500 };
    const steps = [
      { ...step, count: this.#dice.between(1, 4) },
      { ...step, count: 1, after: [0] },
    ];
    const body = JSON.stringify({ spec, steps });
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const entry = this.#dice.pick(this.#entries);
      const { status } = await this.#call(entry, "POST", job.id, body);
      if (status === 200) {
        job.isAccepted = true;
        return;
      }
      const isRefused = status === 429 || status === 503;
      if (!isRefused) job.isUncertain = true;
      await this.#clock.sleep(PAUSE_MS);
    }
  }

  async #cancel(job: CallerJob): Promise<void> {
    job.isCancelSent = true;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const entry = this.#dice.pick(this.#entries);
      const { status } = await this.#call(entry, "DELETE", job.id);
      if (status === 200) {
        job.cancelledMs = this.#clock.nowMs();
        return;
      }
      if (status === 410) job.wrongStates.push("cancel: unknown");
      await this.#clock.sleep(PAUSE_MS);
    }
  }

  async #ask(job: CallerJob): Promise<void> {
    const entry = this.#dice.pick(this.#entries);
    const { status, state } = await this.#call(entry, "GET", job.id);
    if (status === 410) job.wrongStates.push("unknown");
    if (FAILED_STATES.has(state)) job.wrongStates.push(state);
  }

  async #call(
    { address }: SoakEntry,
    method: "GET" | "POST" | "DELETE",
    id: string,
    body?: string,
  ): Promise<CallerAnswer> {
    const client = new Client(`http://${address}`, {
      headersTimeout: ANSWER_LIMIT_MS,
      bodyTimeout: ANSWER_LIMIT_MS,
      connectTimeout: ANSWER_LIMIT_MS,
    });
    try {
      const answer = await client.request({
        path: `${QUEUE.prefix}${id}`,
        method,
        headers: {
          host: QUEUE.host,
          "laburnumtrack-request-deadline": String(ANSWER_LIMIT_MS),
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
