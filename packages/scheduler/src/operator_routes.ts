import type { IncomingMessage, ServerResponse } from "node:http";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { MAX_FILE_SET_BYTES } from "@laburnumtrack/fileset/file_set";
import type { AdminRoute } from "@laburnumtrack/process/admin_server";
import { readText, sendJson } from "@laburnumtrack/process/http_body";
import {
  RequestOutcome,
  sendProblem,
} from "@laburnumtrack/process/http_problem";
import type { Result } from "ts-results";
import type { Applied, ApplyRefusal, ApplyRequest } from "./apply";
import { explainWorkload, type StatusSources, summarizeStatus } from "./status";

/** Dependencies of {@linkcode createOperatorRoutes}. */
export interface OperatorRoutesOptions {
  readonly apply: (
    request: ApplyRequest,
  ) => Promise<Result<Applied, ApplyRefusal>>;
  /** Refreshes the cached rows if the table answers, and returns the state. */
  readonly sources: () => Promise<StatusSources>;
}

/** Creates the HTTP routes that apply file sets and read the system's state. */
export function createOperatorRoutes(
  options: OperatorRoutesOptions,
): AdminRoute[] {
  return [
    {
      method: "POST",
      path: "/apply",
      handle: (request, response) => handleApply(request, response, options),
    },
    {
      method: "GET",
      path: "/status",
      handle: async (_request, response) => {
        sendJson(response, 200, summarizeStatus(await options.sources()));
      },
    },
    {
      method: "GET",
      path: "/files",
      handle: async (_request, response) => {
        const { configuration } = await options.sources();
        const { version, text } = configuration;
        sendJson(response, 200, { version, files: JSON.parse(text) });
      },
    },
    {
      method: "GET",
      path: "/explain/**",
      handle: async (request, response) => {
        const name = workloadNameOf(request.url ?? "");
        const found = explainWorkload(name, await options.sources());
        if (found === undefined) {
          const fault = new Fault(FaultCode.NotFound, name);
          sendProblem(response, fault, { outcome: RequestOutcome.NotRun });
          return;
        }
        sendJson(response, 200, found);
      },
    },
  ];
}

async function handleApply(
  request: IncomingMessage,
  response: ServerResponse,
  { apply }: OperatorRoutesOptions,
): Promise<void> {
  const refuse = (fault: Fault, details?: unknown) => {
    // A commit without an answer may have taken effect; a repeated request
    // with the same apply id finds out.
    const outcome =
      fault.code === FaultCode.OutcomeUnknown
        ? RequestOutcome.Unknown
        : RequestOutcome.NotRun;
    sendProblem(response, fault, { outcome, details });
  };
  const text = await readText(request, 2 * MAX_FILE_SET_BYTES);
  if (text === undefined) {
    refuse(new Fault(FaultCode.TooLarge, "body of POST /apply"));
    return;
  }
  const body = parseApply(text);
  if (body === undefined) {
    refuse(new Fault(FaultCode.Malformed, "body of POST /apply"));
    return;
  }
  const result = await apply(body);
  if (result.ok) {
    sendJson(response, 200, result.val);
    return;
  }
  const { fault, errors, changes, version } = result.val;
  refuse(fault, { errors, changes, version });
}

function parseApply(text: string): ApplyRequest | undefined {
  try {
    const body = JSON.parse(text) as Partial<ApplyRequest>;
    const { applyId, base, files } = body;
    if (typeof applyId !== "string" || typeof base !== "number") {
      return undefined;
    }
    if (!Array.isArray(files) || !files.every(isSourceFile)) return undefined;
    return { applyId, base, files };
  } catch {
    return undefined;
  }
}

function isSourceFile(value: unknown): boolean {
  const { file, text } = (value ?? {}) as { file?: unknown; text?: unknown };
  return typeof file === "string" && typeof text === "string";
}

function workloadNameOf(url: string): string {
  const path = url.split("?", 1)[0] ?? "";
  try {
    return decodeURIComponent(path.slice("/explain/".length));
  } catch {
    return "";
  }
}
