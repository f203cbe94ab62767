import type { IncomingMessage, ServerResponse } from "node:http";
import { type EventHandler, fromNodeHandler, type NodeHandler } from "h3";

/** Adapts a handler of Node's request and response to an h3 route. */
export function nodeRoute(
  handle: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void> | void,
): EventHandler {
  // h3's types also allow HTTP/2; all servers here speak only HTTP/1.1.
  const handler = (request: unknown, response: unknown) =>
    handle(request as IncomingMessage, response as ServerResponse);
  return fromNodeHandler(handler as NodeHandler);
}
