import { performance } from "node:perf_hooks";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";
import type { Dispatcher } from "undici";

/** A response with its body as text. */
export interface HttpResponse {
  readonly status: number;
  readonly text: string;
  /** Size of the body. */
  readonly bytes: number;
  /** Empty when the response has none. */
  readonly etag: string;
}

/** Limits of an exchange. */
export interface ExchangeLimits {
  /**
   * Time until the response is complete, or until it begins if there is a
   * `stallMs`, in ms.
   */
  readonly timeoutMs: number;
  /**
   * A response that has begun may take as long as it needs while it makes
   * progress in each interval of this length, in ms.
   */
  readonly stallMs?: number | undefined;
  /** A response with a larger body is given up as soon as that is known. */
  readonly maxBytes?: number | undefined;
}

/** Bytes that a response must have grown by to count as making progress. */
const MIN_PROGRESS_BYTES = 1024;

/** Errors of requests that failed before they were sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** One request and its response, as a handler of the dispatcher. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  /**
   * Settles once the response is complete. `StoreUnavailable` means that the
   * request was never sent, `OutcomeUnknown` that it may have been sent,
   * `TooLarge` that the response exceeds `maxBytes`.
   */
  readonly response: Promise<Result<HttpResponse, Fault>>;
  #settle: (result: Result<HttpResponse, Fault>) => void = () => {};
  readonly #url: string;
  readonly #limits: ExchangeLimits;
  readonly #startMs = performance.now();
  #timer: NodeJS.Timeout;
  /** Undefined until the request is about to be written to a connection. */
  #controller: Dispatcher.DispatchController | undefined;
  #isExpired = false;
  #status = 0;
  #etag = "";
  readonly #chunks: Buffer[] = [];
  #receivedBytes = 0;
  /** Bytes received when the time limit was last extended. */
  #checkedBytes = 0;

  constructor(url: string, limits: ExchangeLimits) {
    this.#url = url;
    this.#limits = limits;
    this.response = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#timer = this.#schedule(limits.timeoutMs);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // Its caller was told that it was not sent.
    if (this.#isExpired) controller.abort(new Error("request expired"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    this.#status = status;
    this.#etag = String(headers.etag ?? "");
    this.#checkSize(controller, Number(headers["content-length"] ?? 0));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#chunks.push(chunk);
    this.#receivedBytes += chunk.length;
    this.#checkSize(controller, this.#receivedBytes);
  }

  onResponseEnd(): void {
    clearTimeout(this.#timer);
    const [first] = this.#chunks;
    const body =
      this.#chunks.length === 1 ? first : Buffer.concat(this.#chunks);
    this.#settle(
      Ok({
        status: this.#status,
        text: body?.toString("utf8") ?? "",
        bytes: this.#receivedBytes,
        etag: this.#etag,
      }),
    );
  }

  onResponseError(_controller: unknown, error: unknown): void {
    clearTimeout(this.#timer);
    const wasNotSent = this.#controller === undefined || isConnectError(error);
    const { message } = error as { message?: string };
    this.#fail(
      wasNotSent ? FaultCode.StoreUnavailable : FaultCode.OutcomeUnknown,
      message ?? String(error),
    );
  }

  #checkSize(controller: Dispatcher.DispatchController, bytes: number): void {
    const { maxBytes = Number.POSITIVE_INFINITY } = this.#limits;
    if (bytes <= maxBytes || controller.aborted) return;
    this.#fail(FaultCode.TooLarge, `more than ${maxBytes} bytes`);
    controller.abort(new Error("response too large"));
  }

  #schedule(limitMs: number): NodeJS.Timeout {
    return setTimeout(() => this.#onTimeout(), limitMs);
  }

  #onTimeout(): void {
    const { stallMs } = this.#limits;
    if (stallMs !== undefined && this.#hasProgressed()) {
      this.#checkedBytes = this.#receivedBytes;
      this.#timer = this.#schedule(stallMs);
      return;
    }
    const after = `${Math.round(performance.now() - this.#startMs)} ms`;
    if (this.#controller === undefined) {
      this.#isExpired = true;
      this.#fail(FaultCode.StoreUnavailable, `not sent after ${after}`);
      return;
    }
    this.#fail(
      FaultCode.OutcomeUnknown,
      this.#status === 0
        ? `no response after ${after}`
        : `response incomplete after ${after}, ${this.#receivedBytes} bytes received`,
    );
    this.#controller.abort(new Error("request timed out"));
  }

  #hasProgressed(): boolean {
    return this.#receivedBytes - this.#checkedBytes >= MIN_PROGRESS_BYTES;
  }

  #fail(code: FaultCode, cause: string): void {
    this.#settle(Err(new Fault(code, `${this.#url} (${cause})`)));
  }
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
