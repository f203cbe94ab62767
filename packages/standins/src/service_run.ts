import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Action, type Assignment, RunState } from "@laburnumtrack/core/worker";
import { readText } from "@laburnumtrack/process/http_body";
import {
  type Listener,
  listenHttp,
} from "@laburnumtrack/process/http_listener";
import { nodeRoute } from "@laburnumtrack/process/node_route";
import { H3, toNodeHandler } from "h3";
import { EventKind, type History } from "./history";
import { readWork } from "./work_text";

/** Time after which a drain stops the endpoint despite open requests, in ms. */
const DRAIN_TIMEOUT_MS = 5000;
/** Number of last requests over which the latency percentile is taken. */
const LATENCY_WINDOW_REQUESTS = 200;
/** Marks an answer to a request that the endpoint did not process. */
const REFUSED_HEADER = "x-laburnumtrack-refused";

/** Answer to a request: its hash, so that callers can verify the answer. */
export function answerTo(method: string, path: string, body: string): string {
  return createHash("sha256")
    .update(`${method} ${path}\n${body}`)
    .digest("hex");
}

/** A run of a service replica at a stand-in worker; serves an HTTP endpoint. */
export class ServiceRun {
  readonly #assignment: Assignment;
  readonly #history: History;
  readonly #worker: string;
  readonly #slowdown: () => number;
  readonly #latencies: number[] = [];
  #listener: Listener | undefined;
  #state = RunState.Running;
  #isDraining = false;
  #inProgress = 0;

  constructor(
    assignment: Assignment,
    history: History,
    options: { readonly worker: string; readonly slowdown: () => number },
  ) {
    this.#worker = options.worker;
    this.#assignment = assignment;
    this.#history = history;
    this.#slowdown = options.slowdown;
  }

  get state(): RunState {
    return this.#state;
  }

  /** `host:port` of the endpoint; empty before it listens and after it stopped. */
  get endpoint(): string {
    return this.#listener?.address ?? "";
  }

  /** 99th percentile of the latency of recent requests in ms; 0 without any. */
  get latencyMs(): number {
    const sorted = [...this.#latencies].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
  }

  /** Starts to listen, unless the run was stopped in the meantime. */
  async start(): Promise<void> {
    const app = new H3();
    app.all(
      "/**",
      nodeRoute((request, response) => this.#serve(request, response)),
    );
    const listener = await listenHttp("127.0.0.1:0", toNodeHandler(app));
    if (this.#state === RunState.Running) this.#listener = listener;
    else await listener.close();
  }

  /** Applies an ordered action: `Evict` and `Stop` drain the endpoint. */
  setAction(action: Action): void {
    const isShutdown = action === Action.Evict || action === Action.Stop;
    if (isShutdown && !this.#isDraining) void this.#drain();
  }

  /** Stops at once and closes all connections, as when the lease expires. */
  stop(): void {
    if (this.#state !== RunState.Running) return;
    this.#state = RunState.Stopped;
    this.#listener?.server.closeAllConnections();
    void this.#listener?.close();
    this.#listener = undefined;
  }

  /** Refuses new requests, waits for those in progress, then stops. */
  async #drain(): Promise<void> {
    this.#isDraining = true;
    const deadlineMs = Date.now() + DRAIN_TIMEOUT_MS;
    while (this.#inProgress > 0 && Date.now() < deadlineMs) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    if (this.#inProgress > 0) {
      this.#record(EventKind.RequestAborted, String(this.#inProgress));
    }
    this.stop();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#isDraining) {
      response.writeHead(503, { [REFUSED_HEADER]: "1", connection: "close" });
      response.end();
      return;
    }
    const startMs = performance.now();
    this.#inProgress += 1;
    response.once("close", () => {
      this.#inProgress -= 1;
      this.#latencies.push(performance.now() - startMs);
      if (this.#latencies.length > LATENCY_WINDOW_REQUESTS)
        this.#latencies.shift();
    });
    if (this.#inProgress > this.#assignment.slots) {
      this.#record(EventKind.SlotsExceeded, String(this.#inProgress));
    }
    await this.#answer(request, response);
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const method = request.method ?? "";
    const path = request.url ?? "";
    const id = String(request.headers["x-request-id"] ?? "");
    let body: string;
    try {
      body = (await readText(request, 16 * 1024 * 1024)) ?? "";
    } catch {
      return;
    }
    const key = String(request.headers["idempotency-key"] ?? "");
    this.#history.add({
      kind: EventKind.RequestRun,
      place: this.#worker,
      subject: id,
      epoch: this.#assignment.epoch,
      detail: `${method} ${key}`,
    });
    const { answerMs } = readWork(this.#assignment.work);
    const durationMs =
      answerMs * (0.7 + 0.6 * Math.random()) * this.#slowdown();
    await new Promise((resolve) => setTimeout(resolve, durationMs));
    const text = `${answerTo(method, path, body)}\n`;
    const padding = Number(/[?&]size=(\d+)/.exec(path)?.[1] ?? "0");
    const answer = text + "x".repeat(Math.min(padding, 4_000_000));
    response.writeHead(200, {
      "content-type": "text/plain",
      "content-length": Buffer.byteLength(answer),
      "x-request-id": id,
    });
    response.end(answer);
  }

  #record(kind: EventKind, detail: string): void {
    const { task, epoch } = this.#assignment;
    this.#history.add({ kind, place: task, subject: "", epoch, detail });
  }
}
