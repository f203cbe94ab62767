import { randomUUID } from "node:crypto";
import { answerTo } from "@laburnumtrack/standins/service_run";
import { Agent, request } from "undici";

/** Outcome of a request as its caller observed it. */
export enum CallEnd {
  /** A complete and correct response. */
  Right = "right",
  /** A response with status 200 that is incomplete or incorrect. */
  Wrong = "wrong",
  /** The system reports that the request was not run. */
  NotRun = "not_run",
  /** The system reports an unknown outcome. */
  Unknown = "unknown",
  /** No connection, a broken connection, or a time-out. */
  Broken = "broken",
}

/** A request that was sent, and its outcome. */
export interface Call {
  readonly requestId: string;
  readonly key: string;
  readonly gateway: string;
  readonly method: string;
  readonly path: string;
  readonly end: CallEnd;
  readonly startMs: number;
  readonly endMs: number;
  /** Whether the connection was refused, so that nothing was sent. */
  readonly isRefused: boolean;
  readonly detail: string;
}

/** A request to send. */
export interface CallPlan {
  readonly gateway: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body: string;
  /** Value of the `Idempotency-Key` header; empty for none. */
  readonly key: string;
}

/** Time after which a caller aborts its request. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Sends requests through gateways and checks the responses. */
export class Caller {
  readonly calls: Call[] = [];
  readonly #agent = new Agent({ connections: 64, pipelining: 1 });

  /** Sends one request and records its outcome. */
  async call(plan: CallPlan): Promise<Call> {
    const requestId = randomUUID();
    const startMs = Date.now();
    const { end, isRefused, detail } = await this.#send(plan, requestId);
    const { gateway, method, path, key } = plan;
    const call: Call = {
      requestId,
      key,
      gateway,
      method,
      path,
      end,
      startMs,
      endMs: Date.now(),
      isRefused,
      detail,
    };
    this.calls.push(call);
    return call;
  }

  /** Number of calls by outcome. */
  countByEnd(): Record<CallEnd, number> {
    const counts = {
      [CallEnd.Right]: 0,
      [CallEnd.Wrong]: 0,
      [CallEnd.NotRun]: 0,
      [CallEnd.Unknown]: 0,
      [CallEnd.Broken]: 0,
    };
    for (const { end } of this.calls) counts[end] += 1;
    return counts;
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    plan: CallPlan,
    requestId: string,
  ): Promise<Pick<Call, "end" | "isRefused" | "detail">> {
    const { gateway, method, path, body, key } = plan;
    try {
      const response = await request(`http://${gateway}${path}`, {
        method,
        body: body === "" ? null : body,
        headers: {
          "x-request-id": requestId,
          ...(key === "" ? {} : { "idempotency-key": key }),
        },
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const text = await response.body.text();
      const end = classifyAnswer(plan, response.statusCode, text);
      const detail = end === CallEnd.Right ? "" : text.slice(0, 200);
      return { end, isRefused: false, detail };
    } catch (error) {
      const { code = "", message } = error as Error & { code?: string };
      const isRefused = code === "ECONNREFUSED";
      return { end: CallEnd.Broken, isRefused, detail: `${code} ${message}` };
    }
  }
}

function classifyAnswer(plan: CallPlan, status: number, text: string): CallEnd {
  if (status === 200) {
    const expected = `${answerTo(plan.method, plan.path, plan.body)}\n`;
    const size = Number(/[?&]size=(\d+)/.exec(plan.path)?.[1] ?? "0");
    const isWhole = text.length === expected.length + size;
    const isRight = text.startsWith(expected) && isWhole;
    return isRight ? CallEnd.Right : CallEnd.Wrong;
  }
  const { outcome } = JSON.parse(text) as { outcome?: string };
  return outcome === "not run" ? CallEnd.NotRun : CallEnd.Unknown;
}
