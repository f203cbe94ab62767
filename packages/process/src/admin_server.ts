import type { IncomingMessage, ServerResponse } from "node:http";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { H3, toNodeHandler } from "h3";
import { sendJson } from "./http_body";
import { type Listener, listenHttp } from "./http_listener";
import { RequestOutcome, sendProblem } from "./http_problem";
import type { Metrics } from "./metrics";
import { nodeRoute } from "./node_route";
import { hasOperatorToken } from "./operator_access";

/** A route of the operators' interface; requires the operators' token. */
export interface AdminRoute {
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Sends the response; never throws or rejects. */
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void> | void;
}

/** Options of {@linkcode startAdminServer}. */
export interface AdminOptions {
  readonly address: string;
  readonly token: string;
  readonly metrics: Metrics;
  /** False while the platform's load balancer must not send requests here. */
  readonly isReady: () => boolean;
  /** State of the process for `/dump`, without secrets. */
  readonly dump: () => unknown;
  readonly routes: readonly AdminRoute[];
}

/** Starts the operators' interface; `/ready` and `/metrics` need no token. */
export async function startAdminServer(
  options: AdminOptions,
): Promise<Listener> {
  const app = new H3();
  app.get(
    "/ready",
    nodeRoute((_request, response) => {
      const isReady = options.isReady();
      sendText(response, isReady ? 200 : 503, isReady ? "ready" : "not ready");
    }),
  );
  app.get(
    "/metrics",
    nodeRoute((_request, response) => {
      sendText(response, 200, options.metrics.render());
    }),
  );
  const dump: AdminRoute = {
    method: "GET",
    path: "/dump",
    handle: (_request, response) => sendJson(response, 200, options.dump()),
  };
  for (const route of [dump, ...options.routes]) {
    const handler = nodeRoute(async (request, response) => {
      if (!hasOperatorToken(request, options.token)) {
        const fault = new Fault(FaultCode.Unauthorized);
        sendProblem(response, fault, { outcome: RequestOutcome.NotRun });
        return;
      }
      await route.handle(request, response);
    });
    app.on(route.method, route.path, handler);
  }
  return await listenHttp(options.address, toNodeHandler(app));
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, {
    "content-type": "text/plain; charset=utf-8",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
