import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { decodeJson } from "@laburnumtrack/http_ports/json_client";
import type { Job, Step } from "@laburnumtrack/jobs/job";
import { readText, sendJson } from "@laburnumtrack/process/http_body";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { Err, Ok, type Result } from "ts-results";
import {
  type ForwardAnswer,
  ForwardPath,
  type ForwardRequest,
} from "./desk_peer";
import type { JobService } from "./job_service";

/** Options of {@linkcode DeskServer}. */
export interface DeskServerOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Carries calls out without forwarding them again. */
  readonly desk: JobService;
  /** Monotonic ms at which the process ends; infinity if it runs on. */
  readonly endMs: () => number;
}

/** Most calls of other entries that are carried out at a time. */
const MAX_OPEN_CALLS = 48;
/** A larger call is refused; a job of this size fits in no row of the table. */
const BODY_LIMIT_BYTES = 1024 * 1024;
/** Longest time that a call may take, in ms. */
const MAX_TIMEOUT_MS = 30_000;
/** Time before the end of the process by which calls are answered, in ms. */
const END_MARGIN_MS = 100;

const JOB_ID = /^[0-9a-f]{16}$/;

/** Carries out calls for other entries, which the table rejects. */
export class DeskServer {
  readonly #options: DeskServerOptions;
  #openCalls = 0;

  constructor(options: DeskServerOptions) {
    this.#options = options;
  }

  /** Number of calls without a complete response. */
  get openCalls(): number {
    return this.#openCalls;
  }

  /** Handles one request to a {@linkcode ForwardPath}; never rejects. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#openCalls >= MAX_OPEN_CALLS) {
      request.resume();
      this.#refuse(response, new Fault(FaultCode.QueueFull));
      return;
    }
    this.#openCalls += 1;
    try {
      await this.#answer(request, response);
    } catch (error) {
      this.#options.journal.error(
        "A call of another entry failed; connection closed without a response.",
        {
          path: request.url,
          error: error instanceof Error ? error.stack : String(error),
        },
      );
      response.destroy();
    } finally {
      this.#openCalls -= 1;
    }
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, endMs, metrics } = this.#options;
    const path = Object.values(ForwardPath).find((url) => url === request.url);
    if (path === undefined || request.method !== "POST") {
      request.resume();
      this.#refuse(response, new Fault(FaultCode.NoRoute, `${request.url}`));
      return;
    }
    const arrivedMs = clock.nowMs();
    const text = await readText(request, BODY_LIMIT_BYTES);
    const call =
      text === undefined
        ? Err(new Fault(FaultCode.TooLarge))
        : readRequest(path, text);
    if (call.err) {
      this.#refuse(response, call.val);
      return;
    }
    const deadlineMs = Math.min(
      arrivedMs + Math.min(call.val.timeoutMs, MAX_TIMEOUT_MS),
      endMs() - END_MARGIN_MS,
    );
    const done = await this.#carryOut(call.val, deadlineMs);
    const outcome = done.ok ? "ok" : done.val.code;
    metrics.count(`forwarded_calls{path="${path}",outcome="${outcome}"}`);
    sendJson(response, 200, encodeAnswer(done));
  }

  async #carryOut(
    call: ForwardRequest,
    deadlineMs: number,
  ): Promise<Result<string, Fault>> {
    const { desk, journal } = this.#options;
    switch (call.path) {
      case ForwardPath.Submit: {
        const { job, submission, mayBeStored } = call;
        const done = await desk.submit(job, deadlineMs, {
          submission,
          mayBeStored,
        });
        if (done.ok) {
          journal.info("Job submission of another entry accepted.", {
            job: job.id,
            queue: job.queue,
            submission: done.val,
          });
        }
        return done;
      }
      case ForwardPath.Cancel:
        return (await desk.cancel(call.id, deadlineMs)).map(() => "");
      default:
        return await desk.readPhase(call.id, deadlineMs);
    }
  }

  /** Answers a call that is not carried out. */
  #refuse(response: ServerResponse, fault: Fault): void {
    const { journal, metrics } = this.#options;
    metrics.count(`forwarded_refusals{code="${fault.code}"}`);
    const status = fault.code === FaultCode.QueueFull ? 503 : 400;
    if (status === 400) {
      const cause = fault.message;
      journal.warn("A call of another entry cannot be decoded.", { cause });
    }
    sendJson(response, status, { error: fault.code, detail: fault.detail });
  }
}

function encodeAnswer(done: Result<string, Fault>): ForwardAnswer {
  if (done.ok) return { value: done.val };
  const { code, detail } = done.val;
  return { fault: { code, detail } };
}

/** Parses a call of another entry. Fault: `Malformed`. */
function readRequest(
  path: ForwardPath,
  text: string,
): Result<ForwardRequest, Fault> {
  const body = decodeJson<Partial<Record<string, unknown>> | null>(text);
  if (body.err) return body;
  const { timeoutMs, job, submission, mayBeStored, id } = body.val ?? {};
  const isSubmission =
    isJob(job) &&
    typeof submission === "string" &&
    typeof mayBeStored === "boolean";
  const isValid =
    Number.isFinite(timeoutMs) &&
    (path === ForwardPath.Submit ? isSubmission : isJobId(id));
  if (isValid) return Ok({ ...body.val, path } as ForwardRequest);
  return Err(new Fault(FaultCode.Malformed, `${path} ${text.slice(0, 80)}`));
}

/** Whether the value is a job as far as its row and its queue need it. */
function isJob(value: unknown): boolean {
  const { id, queue, spec, steps, submittedMs } = (value ?? {}) as Partial<Job>;
  return (
    isJobId(id) &&
    typeof queue === "string" &&
    typeof spec === "string" &&
    Array.isArray(steps) &&
    steps.length > 0 &&
    steps.every(isStep) &&
    Number.isFinite(submittedMs)
  );
}

function isStep(value: Partial<Step> | null): boolean {
  const { count, resources, estimateMs, after } = value ?? {};
  const { cpuMilli, memoryMb, accelerators } = resources ?? {};
  const numbers = [estimateMs, cpuMilli, memoryMb, accelerators];
  return (
    Number.isInteger(count) &&
    numbers.every((number) => Number.isFinite(number) && Number(number) >= 0) &&
    Array.isArray(after)
  );
}

function isJobId(value: unknown): boolean {
  return typeof value === "string" && JOB_ID.test(value);
}
