import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";
import { Agent, type Dispatcher, request } from "undici";

/** A call and its body, which is sent as JSON unless it is text. */
export interface Call {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Longest wait for a whole answer, in ms; else that of the client. */
  readonly timeoutMs?: number;
}

/** An answer with its body as text. */
export interface Answer {
  readonly status: number;
  readonly text: string;
  readonly etag: string;
}

/** How a client is set up. */
export interface JsonClientOptions {
  /** Longest wait for a whole answer, in ms. */
  readonly timeoutMs: number;
  /** Connections to one address. */
  readonly connections: number;
  /** Name of this process, sent as `user-agent`. */
  readonly name: string;
}

const NEVER_SENT = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Calls to the platform over HTTP, with a limit on their time. */
export class JsonClient {
  readonly #agent: Agent;
  readonly #timeoutMs: number;
  readonly #userAgent: string;
  /** Bytes sent and received, bodies only. */
  readonly bytes = { sent: 0, received: 0, calls: 0 };

  constructor(options: JsonClientOptions) {
    this.#timeoutMs = options.timeoutMs;
    this.#userAgent = `laburnumtrack/${options.name}`;
    this.#agent = new Agent({
      connections: options.connections,
      connect: { timeout: options.timeoutMs },
      keepAliveTimeout: 30_000,
    });
  }

  /**
   * Calls once. `StoreUnavailable` means that the call was never sent,
   * `OutcomeUnknown` that it was and no whole answer came.
   */
  async call(call: Call): Promise<Result<Answer, Fault>> {
    const body = encodeBody(call.body);
    this.bytes.calls += 1;
    this.bytes.sent += body?.length ?? 0;
    try {
      const response = await request(call.url, {
        method: call.method,
        body: body ?? null,
        headers: {
          "content-type": "application/json",
          "user-agent": this.#userAgent,
          ...call.headers,
        },
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(call.timeoutMs ?? this.#timeoutMs),
      });
      return Ok(await this.#readAnswer(response));
    } catch (error) {
      const code = isNeverSent(error)
        ? FaultCode.StoreUnavailable
        : FaultCode.OutcomeUnknown;
      return Err(new Fault(code, call.url));
    }
  }

  /** Closes its connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #readAnswer(response: Dispatcher.ResponseData): Promise<Answer> {
    const text = await response.body.text();
    this.bytes.received += text.length;
    const etag = String(response.headers.etag ?? "");
    return { status: response.statusCode, text, etag };
  }
}

/** Reads JSON; `Malformed` when it is none. */
export function decodeJson<T>(text: string): Result<T, Fault> {
  try {
    return Ok(JSON.parse(text) as T);
  } catch {
    return Err(new Fault(FaultCode.Malformed, text.slice(0, 80)));
  }
}

function encodeBody(body: unknown): string | undefined {
  if (body === undefined || typeof body === "string") return body;
  return JSON.stringify(body);
}

function isNeverSent(error: unknown): boolean {
  const { code } = error as { code?: string };
  if (code !== undefined) return NEVER_SENT.has(code);
  // Several addresses were tried: each of the causes must be of that kind.
  const { errors } = error as { errors?: readonly { code?: string }[] };
  return errors?.every((one) => NEVER_SENT.has(one.code ?? "")) ?? false;
}
