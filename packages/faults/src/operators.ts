import { randomUUID } from "node:crypto";
import { Role, taskName } from "@laburnumtrack/core/rows";
import type { SeededRandom } from "@laburnumtrack/standins/dice";
import { request } from "undici";
import type { Fleet } from "./fleet";
import { FLEET_TOKEN } from "./fleet_settings";
import type { AcceptedApply } from "./run_record";

/** Interval between two new jobs. */
const JOB_INTERVAL_MS = 2500;
/** Attempts to get the latest files accepted before giving up. */
const APPLY_ATTEMPTS = 60;
/** Requests sent with one apply ID, in case an answer is lost. */
const APPLY_REPEATS = 3;
const APPLY_RETRY_MS = 300;
const SCHEDULER_TIMEOUT_MS = 4000;

const SERVICES = `
[team ops]
cpu_cores = 160
memory_mb = 900000
[service findings]
team = ops
route = /findings/
replicas = 5
cpu_cores = 2
memory_mb = 2048
latency_target_ms = 300
deadline_ms = 5000
work = answer_ms=15
[service storefront]
team = ops
route = /shop/
replicas = 5
cpu_cores = 2
memory_mb = 2048
latency_target_ms = 300
deadline_ms = 5000
work = answer_ms=10
`;

/** Simulates the operators of a fleet, who apply files, also concurrently. */
export class Operators {
  readonly applies: AcceptedApply[] = [];
  /** Contradictory answers that operators received. */
  readonly inconsistencies: string[] = [];
  readonly #fleet: Fleet;
  readonly #dice: SeededRandom;
  readonly #jobTexts = new Map<string, string>();
  /** Number of tasks of each job that has not been cancelled. */
  readonly #expectedTaskCounts = new Map<string, number>();
  #isSubmitting = true;
  #jobCount = 0;
  #lastApply: Promise<unknown> = Promise.resolve();

  constructor(fleet: Fleet, dice: SeededRandom) {
    this.#fleet = fleet;
    this.#dice = dice;
  }

  /** Names of the tasks that must be done at the end. */
  expectedTasks(): string[] {
    const tasks: string[] = [];
    for (const [job, count] of this.#expectedTaskCounts) {
      for (let index = 0; index < count; index += 1) {
        tasks.push(taskName(job, index));
      }
    }
    return tasks;
  }

  /** Stops submitting jobs; resolves when the last apply is over. */
  async stop(): Promise<void> {
    this.#isSubmitting = false;
    await this.#lastApply;
  }

  /** Three operators apply at once on the same base version. */
  async raceApplies(): Promise<void> {
    const base = await this.#versionInForce();
    if (base === undefined) return;
    await Promise.all([
      this.#apply(base, randomUUID()),
      this.#apply(base, randomUUID()),
      this.#apply(base, randomUUID()),
    ]);
  }

  /**
   * Sends an apply again, with its ID, after another apply. Both answers must
   * name the same version.
   */
  async repeatApply(): Promise<void> {
    const base = await this.#versionInForce();
    if (base === undefined) return;
    const applyId = randomUUID();
    const first = await this.#apply(base, applyId);
    await this.addJob();
    const again = await this.#apply(base, applyId);
    if (first === undefined || again === undefined) return;
    if (first !== again)
      this.inconsistencies.push(
        `apply answered with version ${first}, and with ${again} when repeated`,
      );
  }

  /** Cancels most jobs with a single apply that leaves them out. */
  async cancelMostJobs(): Promise<void> {
    for (const name of [...this.#jobTexts.keys()]) {
      if (this.#dice.chance(0.3)) continue;
      this.#jobTexts.delete(name);
      this.#expectedTaskCounts.delete(name);
    }
    await this.#applyLatest();
  }

  /** Applies a new job every `JOB_INTERVAL_MS` until `stop` is called. */
  async submitJobs(): Promise<void> {
    while (this.#isSubmitting) {
      await pause(JOB_INTERVAL_MS);
      if (this.#isSubmitting) await this.addJob();
    }
  }

  /** Applies the files with one more job. */
  async addJob(isUrgent = false): Promise<void> {
    this.#jobCount += 1;
    const name = `job-${String(this.#jobCount).padStart(3, "0")}`;
    const tasks = isUrgent ? 4 : this.#dice.between(4, 40);
    const cores = isUrgent ? 8 : this.#dice.between(1, 4);
    const runMs = this.#dice.between(300, 4000);
    this.#jobTexts.set(
      name,
      `[job ${name}]\nteam = ops\ntasks = ${tasks}\ncpu_cores = ${cores}\n` +
        `memory_mb = ${this.#dice.between(256, 8192)}\nrun_s = 2\n` +
        `retries = 12\nurgency = ${isUrgent ? "urgent" : "normal"}\n` +
        `work = run_ms=${runMs} noise=0.1 fail=0.03\n`,
    );
    this.#expectedTaskCounts.set(name, tasks);
    await this.#applyLatest();
  }

  /** Applies the current files, repeated until accepted, after earlier applies. */
  async #applyLatest(): Promise<void> {
    const turn = this.#lastApply.then(() => this.#applyUntilAccepted());
    this.#lastApply = turn;
    await turn;
  }

  async #applyUntilAccepted(): Promise<void> {
    for (let attempt = 0; attempt < APPLY_ATTEMPTS; attempt += 1) {
      const base = await this.#versionInForce();
      if (base !== undefined) {
        const applyId = randomUUID();
        for (let repeat = 0; repeat < APPLY_REPEATS; repeat += 1) {
          const version = await this.#apply(base, applyId);
          if (version !== undefined) return;
        }
      }
      await pause(APPLY_RETRY_MS);
    }
  }

  /** Sends one apply; resolves with its version, undefined if not accepted. */
  async #apply(base: number, applyId: string): Promise<number | undefined> {
    const text = SERVICES + [...this.#jobTexts.values()].join("");
    const body = { applyId, base, files: [{ file: "run.ini", text }] };
    const answer = await this.#requestScheduler("POST", "/apply", body);
    if (answer === undefined) return undefined;
    const { version } = answer as { version: number };
    this.applies.push({ applyId, version, atMs: Date.now() });
    return version;
  }

  async #versionInForce(): Promise<number | undefined> {
    const answer = await this.#requestScheduler("GET", "/files");
    return (answer as { version: number } | undefined)?.version;
  }

  /** Resolves with the body of a 200 answer, undefined for anything else. */
  async #requestScheduler(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const { host, adminPort } = this.#dice.pick(
      this.#fleet.members(Role.Scheduler),
    );
    try {
      const response = await request(`http://${host}:${adminPort}${path}`, {
        method,
        body: body === undefined ? null : JSON.stringify(body),
        headers: { authorization: `Bearer ${FLEET_TOKEN}` },
        signal: AbortSignal.timeout(SCHEDULER_TIMEOUT_MS),
      });
      const answer = await response.body.json();
      return response.statusCode === 200 ? answer : undefined;
    } catch {
      return undefined;
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
