import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";

/** The body of a caller's request. */
export interface RequestBody {
  /** The body if it is small; null if it is streamed. */
  readonly buffered: Buffer | null;
  /** The body if it is large; it can be read only once. */
  readonly stream: Readable | null;
}

/** Larger bodies are streamed and their requests cannot be retried. */
const BUFFERED_LIMIT_BYTES = 64 * 1024;

/**
 * Buffers a small body before the request takes a slot: a slow caller then
 * occupies none, and the request can be retried. Returns undefined if the caller
 * disconnects before the end of the body.
 */
export async function readRequestBody(
  request: IncomingMessage,
): Promise<RequestBody | undefined> {
  const { headers } = request;
  const hasBody =
    headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  if (!hasBody) return { buffered: Buffer.alloc(0), stream: null };
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for (;;) {
      const chunk = await readChunk(request);
      if (chunk === null) break;
      chunks.push(chunk);
      length += chunk.length;
      if (length > BUFFERED_LIMIT_BYTES) {
        return {
          buffered: null,
          stream: Readable.from(concatBody(chunks, request)),
        };
      }
    }
  } catch {
    return undefined;
  }
  return { buffered: Buffer.concat(chunks), stream: null };
}

/** Yields the chunks, then the rest of the request's body. */
async function* concatBody(
  chunks: readonly Buffer[],
  rest: IncomingMessage,
): AsyncGenerator<Buffer> {
  yield* chunks;
  for (;;) {
    const chunk = await readChunk(rest);
    if (chunk === null) return;
    yield chunk;
  }
}

/**
 * Reads the next chunk; null at the end of the body. Rejects if the caller
 * disconnects before.
 */
function readChunk(request: IncomingMessage): Promise<Buffer | null> {
  return new Promise((resolve, reject) => {
    const tryRead = () => {
      const chunk = request.read() as Buffer | null;
      if (chunk !== null) finish(() => resolve(chunk));
      else if (request.readableEnded) finish(() => resolve(null));
    };
    const onEnd = () => finish(() => resolve(null));
    const onClose = () => {
      if (request.readableEnded) onEnd();
      else
        finish(() =>
          reject(
            new Error("the caller disconnected before the end of the body"),
          ),
        );
    };
    const finish = (settle: () => void) => {
      request.off("readable", tryRead);
      request.off("end", onEnd);
      request.off("close", onClose);
      request.off("error", onClose);
      settle();
    };
    request.on("readable", tryRead);
    request.on("end", onEnd);
    request.on("close", onClose);
    request.on("error", onClose);
    if (request.destroyed && !request.readableEnded) onClose();
    else tryRead();
  });
}
