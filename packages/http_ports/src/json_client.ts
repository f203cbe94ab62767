import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";
import { Agent, type Dispatcher, request } from "undici";

/** An HTTP request; the body is sent as JSON, or unchanged if a string. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time limit for the complete response, in ms; default: the client's. */
  readonly timeoutMs?: number;
}

/** A response with its body as text. */
export interface HttpResponse {
  readonly status: number;
  readonly text: string;
  /** Empty when the response has none. */
  readonly etag: string;
}

/** Options of {@linkcode JsonClient}. */
export interface JsonClientOptions {
  /** Time limit for connecting, and for the complete response, in ms. */
  readonly timeoutMs: number;
  /** Largest number of connections to one origin. */
  readonly connections: number;
  /** Name of this process, sent as `user-agent`. */
  readonly name: string;
}

/** Errors of requests that failed before they were sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** HTTP client for JSON services, with a time limit on each request. */
export class JsonClient {
  readonly #agent: Agent;
  readonly #timeoutMs: number;
  readonly #userAgent: string;
  /** Length of all bodies in UTF-16 code units, and number of requests. */
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
   * Sends one request, without retries. Fails with `StoreUnavailable` when it
   * was never sent, with `OutcomeUnknown` when it may have been sent and no
   * complete response arrived.
   */
  async call(call: HttpRequest): Promise<Result<HttpResponse, Fault>> {
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
      const code = isConnectError(error)
        ? FaultCode.StoreUnavailable
        : FaultCode.OutcomeUnknown;
      return Err(new Fault(code, call.url));
    }
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #readAnswer(response: Dispatcher.ResponseData): Promise<HttpResponse> {
    const text = await response.body.text();
    this.bytes.received += text.length;
    const etag = String(response.headers.etag ?? "");
    return { status: response.statusCode, text, etag };
  }
}

/** Parses JSON without checking its shape; fails with `Malformed`. */
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

function isConnectError(error: unknown): boolean {
  const { code } = error as { code?: string };
  if (code !== undefined) return CONNECT_ERROR_CODES.has(code);
  // Several addresses were tried: all of them must have failed to connect.
  const { errors } = error as { errors?: readonly { code?: string }[] };
  return (
    errors?.every((cause) => CONNECT_ERROR_CODES.has(cause.code ?? "")) ?? false
  );
}
