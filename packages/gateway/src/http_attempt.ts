import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import type { Dispatcher, Pool } from "undici";
import {
  Attempt,
  AttemptFailure,
  type OutgoingRequest,
  type ResponseHead,
} from "./attempt";

/** Header of a 503 response of an endpoint that did not begin the request. */
export const REFUSED_HEADER = "x-laburnumtrack-refused";

/** Header with the id of a request, repeated in the response. */
export const REQUEST_ID_HEADER = "x-request-id";

/** Reading from the endpoint pauses while this much of a body is buffered. */
const RESPONSE_BUFFER_BYTES = 256 * 1024;

/** An attempt over a pooled HTTP connection. */
export class HttpAttempt extends Attempt {
  override readonly head: Promise<ResponseHead | AttemptFailure>;
  #controller: Dispatcher.DispatchController | undefined;
  #isWritten = false;
  #isAborted = false;
  #hasHead = false;
  #resolveHead: (head: ResponseHead | AttemptFailure) => void = () => {};
  #resolveEnded: (isComplete: boolean) => void = () => {};
  #body: Readable | undefined;
  readonly #requestId: string;

  constructor(pool: Pool, request: OutgoingRequest) {
    super();
    this.#requestId = request.requestId;
    this.head = new Promise((resolve) => {
      this.#resolveHead = resolve;
    });
    pool.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as Record<string, string>,
        body: request.body,
        // Keeps undici from retrying the request itself.
        idempotent: false,
      },
      this.#createHandler(),
    );
  }

  override get isAborted(): boolean {
    return this.#isAborted;
  }

  override abort(): void {
    this.#isAborted = true;
    this.#controller?.abort(new Error("the gateway aborted the attempt"));
    if (!this.#hasHead && !this.#isWritten) {
      this.#resolveHead(AttemptFailure.NotRun);
    }
  }

  #createHandler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.#controller = controller;
        // Aborted while waiting for a connection: nothing was written.
        if (this.#isAborted)
          controller.abort(new Error("the gateway aborted the attempt"));
        else this.#isWritten = true;
      },
      onResponseStart: (controller, status, headers) => {
        if (status >= 200) this.#onHead(controller, status, headers);
      },
      onResponseData: (controller, chunk) => {
        if (this.#body?.push(chunk) === false) controller.pause();
      },
      onResponseEnd: () => {
        this.#body?.push(null);
        this.#resolveEnded(true);
      },
      onResponseError: (_controller, error) => this.#onError(error),
    };
  }

  #onHead(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status === 503 && headers[REFUSED_HEADER] !== undefined) {
      this.#resolveHead(AttemptFailure.NotRun);
      return;
    }
    const responseId = headers[REQUEST_ID_HEADER];
    if (responseId !== undefined && responseId !== this.#requestId) {
      // The response belongs to another request: the connection is out of sync.
      controller.abort(
        new Error("the response has the x-request-id of another request"),
      );
      return;
    }
    this.#hasHead = true;
    const body = new Readable({
      highWaterMark: RESPONSE_BUFFER_BYTES,
      read: () => controller.resume(),
    });
    // Without a listener, an error before the relay starts reading would be
    // uncaught and end the process.
    body.on("error", () => {});
    this.#body = body;
    const ended = new Promise<boolean>((resolve) => {
      this.#resolveEnded = resolve;
    });
    this.#resolveHead({ status, headers, body, ended });
  }

  #onError(error: Error): void {
    this.#resolveEnded(false);
    this.#body?.destroy(error);
    if (this.#hasHead) return;
    this.#resolveHead(
      this.#isWritten ? AttemptFailure.Lost : AttemptFailure.NotRun,
    );
  }
}
