import { randomUUID } from "node:crypto";
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from "node:http";
import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Service } from "@laburnumtrack/core/workload";
import type { Configuration } from "@laburnumtrack/process/config_watch";
import {
  RequestOutcome,
  sendProblem,
} from "@laburnumtrack/process/http_problem";
import type { Metrics } from "@laburnumtrack/process/metrics";
import type { OutgoingRequest } from "./attempt";
import {
  type Claim,
  type Claims,
  fingerprintOf,
  isClaim,
  STORED_RESPONSE_LIMIT_BYTES,
  type StoredResponse,
} from "./claims";
import type { Delivery, Dispatch } from "./dispatch";
import type { EndpointDirectory } from "./endpoint_directory";
import { HOP_BY_HOP_HEADERS } from "./hop_by_hop_headers";
import { REQUEST_ID_HEADER } from "./http_attempt";
import { readRequestBody } from "./request_body";
import { RelayEnd, relayResponse } from "./response_relay";
import { findService, isIdempotent, isSafe } from "./routes";

/** Dependencies and limits of {@linkcode RequestServer}. */
export interface RequestServerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly configuration: () => Configuration;
  readonly directory: EndpointDirectory;
  readonly dispatch: Dispatch;
  readonly claims: Claims;
  /** Longest wait for a caller to read buffered data, in ms. */
  readonly stallMs: number;
  /** Resolves when requests may be served; delays them after a pause. */
  readonly whenReady: () => Promise<void>;
}

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** A valid request of a caller and its response. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly service: Service;
  readonly requestId: string;
  readonly path: string;
  /** The caller's `Idempotency-Key`. */
  readonly key: string | undefined;
  /** Time on the monotonic clock, in ms. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
}

/**
 * Serves callers. Each request is answered by an endpoint's response or by a
 * problem document (RFC 9457) that says whether the request may have run.
 */
export class RequestServer {
  readonly #options: RequestServerOptions;
  #inProgress = 0;
  #isClosing = false;

  constructor(options: RequestServerOptions) {
    this.#options = options;
  }

  /** Number of requests whose response has not ended. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** From now on, responses ask callers to close their connections. */
  startClosing(): void {
    this.#isClosing = true;
  }

  /** Serves one request; resolves when it has been answered. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, metrics, whenReady } = this.#options;
    const startMs = clock.nowMs();
    this.#inProgress += 1;
    response.once("close", () => {
      this.#inProgress -= 1;
    });
    await whenReady();
    const exchange = this.#parseRequest(request, response, startMs);
    if (exchange === undefined) return;
    const body = await readRequestBody(request);
    if (body === undefined) {
      response.destroy();
      return;
    }
    const outgoing: OutgoingRequest = {
      requestId: exchange.requestId,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: createHeaders(exchange),
      body: body.stream ?? (body.buffered?.length ? body.buffered : null),
    };
    if (exchange.key === undefined) await this.#forward(exchange, outgoing);
    else await this.#forwardClaimed(exchange, outgoing, body.buffered);
    metrics.recordMs("request", clock.nowMs() - startMs);
  }

  #parseRequest(
    request: IncomingMessage,
    response: ServerResponse,
    startMs: number,
  ): Exchange | undefined {
    const url = request.url ?? "/";
    const path = url.split("?", 1)[0] ?? "/";
    const received = request.headers[REQUEST_ID_HEADER];
    const requestId =
      typeof received === "string" && REQUEST_ID_PATTERN.test(received)
        ? received
        : randomUUID();
    const refuse = (code: FaultCode, detail: string) => {
      this.#refuse(response, new Fault(code, detail), requestId);
      return undefined;
    };
    const { files } = this.#options.configuration();
    const service = findService(files, path);
    if (service === undefined) return refuse(FaultCode.NoRoute, path);
    const key = request.headers["idempotency-key"];
    if (key !== undefined && (Array.isArray(key) || !isValidKey(key))) {
      const detail = `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
      return refuse(FaultCode.Malformed, detail);
    }
    const timeoutMs = readTimeoutMs(request, service);
    if (timeoutMs === undefined) {
      const detail = "x-deadline-ms must be a positive integer";
      return refuse(FaultCode.Malformed, detail);
    }
    const disconnected = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) disconnected.abort();
    });
    return {
      request,
      response,
      service,
      requestId,
      path,
      key,
      deadlineMs: startMs + timeoutMs,
      callerGone: disconnected.signal,
    };
  }

  async #forwardClaimed(
    exchange: Exchange,
    outgoing: OutgoingRequest,
    bufferedBody: Buffer | null,
  ): Promise<void> {
    const { service, requestId, response, key = "" } = exchange;
    const { claims } = this.#options;
    const fingerprint = fingerprintOf(
      outgoing.method,
      outgoing.path,
      bufferedBody,
    );
    const claim = await claims.claim({
      service: service.name,
      key,
      requestId,
      fingerprint,
    });
    if (claim.err) {
      this.#refuseClaim(exchange, claim.val);
      return;
    }
    if (!isClaim(claim.val)) {
      sendStoredResponse(response, claim.val, requestId);
      return;
    }
    await this.#forward(exchange, outgoing, claim.val);
  }

  #refuseClaim({ response, requestId }: Exchange, fault: Fault): void {
    // This copy of a duplicate did not run, but the earlier one may have.
    const isDuplicate = fault.code === FaultCode.DuplicateRequest;
    const outcome = isDuplicate
      ? RequestOutcome.Unknown
      : RequestOutcome.NotRun;
    const code = isDuplicate ? fault.code : FaultCode.StoreUnavailable;
    const reported = new Fault(code, fault.detail);
    sendProblem(response, reported, { outcome, requestId });
  }

  async #forward(
    exchange: Exchange,
    outgoing: OutgoingRequest,
    claim?: Claim,
  ): Promise<void> {
    const { service, response, requestId, path, callerGone } = exchange;
    const { claims, directory, dispatch, metrics } = this.#options;
    const { method } = outgoing;
    const hasKey = claim !== undefined;
    const delivery = await dispatch.deliver(outgoing, {
      router: directory.routerOf(service),
      deadlineMs: exchange.deadlineMs,
      isIdempotent: isIdempotent(service, { method, path, hasKey }),
      isSafe: isSafe(method) && !hasKey,
      callerGone,
    });
    if (delivery.err) {
      const { fault, outcome } = delivery.val;
      const isNotRun = outcome === RequestOutcome.NotRun;
      if (claim !== undefined && isNotRun) await claims.release(claim);
      metrics.count(`refused{code="${fault.code}"}`);
      if (response.destroyed) return;
      const isClosing = this.#isClosing;
      sendProblem(response, fault, { outcome, requestId, isClosing });
      return;
    }
    if (claim === undefined) await this.#relay(exchange, delivery.val);
    else await this.#relayAndStore(exchange, delivery.val, claim);
  }

  async #relay(
    { response, requestId }: Exchange,
    delivery: Delivery,
    onChunk?: (chunk: Buffer) => void,
  ): Promise<RelayEnd> {
    const end = await relayResponse(delivery.head, response, {
      requestId,
      stallMs: this.#options.stallMs,
      isClosing: this.#isClosing,
      ...(onChunk === undefined ? {} : { onChunk }),
    });
    if (end !== RelayEnd.Complete) delivery.abort();
    this.#options.metrics.count(`answers{end="${end}"}`);
    return end;
  }

  async #relayAndStore(
    exchange: Exchange,
    delivery: Delivery,
    claim: Claim,
  ): Promise<void> {
    const { claims } = this.#options;
    const chunks: Buffer[] = [];
    let length = 0;
    const end = await this.#relay(exchange, delivery, (chunk) => {
      length += chunk.length;
      if (length <= STORED_RESPONSE_LIMIT_BYTES) chunks.push(chunk);
    });
    const { status, headers } = delivery.head;
    const isStored =
      end === RelayEnd.Complete && length <= STORED_RESPONSE_LIMIT_BYTES;
    const body = Buffer.concat(chunks);
    const contentType = String(headers["content-type"] ?? "");
    await claims.storeResponse(
      claim,
      isStored ? { status, contentType, body } : status,
    );
  }

  #refuse(response: ServerResponse, fault: Fault, requestId: string): void {
    this.#options.metrics.count(`refused{code="${fault.code}"}`);
    const outcome = RequestOutcome.NotRun;
    // The body was not read, so the connection cannot be reused.
    sendProblem(response, fault, { outcome, requestId, isClosing: true });
  }
}

function createHeaders({ request, requestId }: Exchange): OutgoingHttpHeaders {
  const headers: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name) && name !== "content-length") {
      headers[name] = value;
    }
  }
  const length = request.headers["content-length"];
  if (length !== undefined) headers["content-length"] = length;
  headers[REQUEST_ID_HEADER] = requestId;
  return headers;
}

function sendStoredResponse(
  response: ServerResponse,
  { status, contentType, body }: StoredResponse,
  requestId: string,
): void {
  response.writeHead(status, {
    ...(contentType === "" ? {} : { "content-type": contentType }),
    "content-length": body.length,
    "x-laburnumtrack-replayed": "1",
    [REQUEST_ID_HEADER]: requestId,
  });
  response.end(body);
}

function isValidKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_IDEMPOTENCY_KEY_LENGTH;
}

function readTimeoutMs(
  request: IncomingMessage,
  service: Service,
): number | undefined {
  const text = request.headers["x-deadline-ms"];
  if (text === undefined) return service.deadlineMs;
  const ms = Number(text);
  if (!Number.isInteger(ms) || ms <= 0) return undefined;
  return Math.min(ms, service.deadlineMs);
}
