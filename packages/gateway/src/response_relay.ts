import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { ResponseHead } from "./attempt";
import { HOP_BY_HOP_HEADERS } from "./hop_by_hop_headers";
import { REQUEST_ID_HEADER } from "./http_attempt";

/** How relaying a response to the caller ended. */
export enum RelayEnd {
  /** The caller was sent the complete response. */
  Complete = "whole",
  /** The endpoint broke off; the caller's connection was closed midway. */
  Broken = "broken",
  /** The caller disconnected or read nothing for `stallMs`. */
  CallerGone = "caller_gone",
}

/** Options of {@linkcode relayResponse}. */
export interface RelayOptions {
  readonly requestId: string;
  /** Longest wait for the caller to read buffered data, in ms. */
  readonly stallMs: number;
  /** Whether to send `connection: close`. */
  readonly isClosing: boolean;
  /** Called with each chunk of the body. */
  readonly onChunk?: (chunk: Buffer) => void;
}

/**
 * Streams an endpoint's response to the caller. If the endpoint breaks off, the
 * caller's connection is destroyed, so that a partial body never looks complete.
 */
export async function relayResponse(
  head: ResponseHead,
  response: ServerResponse,
  options: RelayOptions,
): Promise<RelayEnd> {
  response.writeHead(head.status, createHeaders(head, options));
  response.flushHeaders();
  try {
    for await (const chunk of head.body) {
      options.onChunk?.(chunk as Buffer);
      if (response.write(chunk)) continue;
      if (!(await waitForDrain(response, options.stallMs))) {
        response.destroy();
        return RelayEnd.CallerGone;
      }
    }
  } catch {
    // The final chunk or part of the content length is missing, so the caller
    // detects the truncation.
    response.destroy();
    return RelayEnd.Broken;
  }
  if (response.destroyed) return RelayEnd.CallerGone;
  response.end();
  return RelayEnd.Complete;
}

function createHeaders(
  { headers }: ResponseHead,
  options: RelayOptions,
): OutgoingHttpHeaders {
  const forwarded: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name)) forwarded[name] = value;
  }
  forwarded[REQUEST_ID_HEADER] = options.requestId;
  if (options.isClosing) forwarded.connection = "close";
  return forwarded;
}

function waitForDrain(
  response: ServerResponse,
  stallMs: number,
): Promise<boolean> {
  if (response.destroyed) return Promise.resolve(false);
  return new Promise((resolve) => {
    const finish = (isDrained: boolean) => {
      clearTimeout(timer);
      response.off("drain", onDrain);
      response.off("close", onClose);
      resolve(isDrained);
    };
    const onDrain = () => finish(true);
    const onClose = () => finish(false);
    const timer = setTimeout(onClose, stallMs);
    response.on("drain", onDrain);
    response.on("close", onClose);
  });
}
