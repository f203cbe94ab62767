import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";
import { Agent } from "undici";
import { HttpExchange, type HttpResponse } from "./http_exchange";

/** An HTTP request; the body is sent as JSON, or unchanged if a string. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time limit for the complete response, in ms; default: the client's. */
  readonly timeoutMs?: number;
  /**
   * Whether a response of any size is worth waiting for: the time limit then
   * covers its beginning, and after that each wait without progress.
   */
  readonly isOpenEnded?: boolean;
  /** A larger response is not received; default: any size is. */
  readonly maxBytes?: number | undefined;
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

/** HTTP client for JSON services, with time limits on each request. */
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
      // Each exchange has its own time limit.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Sends one request, without retries. Fails with `StoreUnavailable` when it
   * was never sent, with `OutcomeUnknown` when it may have been sent and no
   * complete response arrived, with `TooLarge` when it exceeds `maxBytes`; the
   * detail says how far it came.
   */
  async call(call: HttpRequest): Promise<Result<HttpResponse, Fault>> {
    const body = encodeBody(call.body);
    this.bytes.calls += 1;
    this.bytes.sent += body?.length ?? 0;
    const pathStart = call.url.indexOf("/", call.url.indexOf("//") + 2);
    const options = {
      origin: call.url.slice(0, pathStart),
      path: call.url.slice(pathStart),
      method: call.method,
      body: body ?? null,
      headers: {
        "content-type": "application/json",
        "user-agent": this.#userAgent,
        ...call.headers,
      },
    };
    // The dispatcher's own interface costs a third of its `request` function,
    // which creates a stream and an abort signal for each call.
    const timeoutMs = call.timeoutMs ?? this.#timeoutMs;
    const stallMs = call.isOpenEnded ? this.#timeoutMs : undefined;
    const { maxBytes } = call;
    const limits = { timeoutMs, stallMs, maxBytes };
    const exchange = new HttpExchange(call.url, limits);
    try {
      this.#agent.dispatch(options, exchange);
    } catch (error) {
      exchange.onResponseError(undefined, error);
    }
    const response = await exchange.response;
    if (response.ok) this.bytes.received += response.val.text.length;
    return response;
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
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
