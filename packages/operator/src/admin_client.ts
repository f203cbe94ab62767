import { readFileSync } from "node:fs";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";
import { request } from "undici";

/** A response of an operators' interface. */
export interface AdminResponse {
  readonly status: number;
  readonly body: unknown;
}

const REQUEST_TIMEOUT_MS = 15_000;

/** Calls the operators' interface of the first process that is reachable. */
export class AdminClient {
  readonly #addresses: readonly string[];
  readonly #token: string;

  private constructor(addresses: readonly string[], token: string) {
    this.#addresses = addresses;
    this.#token = token;
  }

  /**
   * Creates a client. Reads the operator token from `tokenFile`, or from the
   * environment variable `LABURNUMTRACK_TOKEN`.
   */
  static create(
    addresses: readonly string[],
    tokenFile?: string,
  ): Result<AdminClient, Fault> {
    if (addresses.length === 0) {
      return Err(new Fault(FaultCode.Usage, "--scheduler is missing"));
    }
    let token = process.env.LABURNUMTRACK_TOKEN ?? "";
    if (tokenFile !== undefined) {
      try {
        token = readFileSync(tokenFile, "utf8").trim();
      } catch {
        return Err(new Fault(FaultCode.Usage, `cannot read ${tokenFile}`));
      }
    }
    return Ok(new AdminClient(addresses, token));
  }

  /** Sends a GET request; tries the next address after each failure. */
  async get(path: string): Promise<Result<AdminResponse, Fault>> {
    return await this.#sendToFirstReachable("GET", path);
  }

  /**
   * Sends a POST request. Tries the next address only if the previous process
   * certainly did not receive the request.
   */
  async post(
    path: string,
    body: unknown,
  ): Promise<Result<AdminResponse, Fault>> {
    return await this.#sendToFirstReachable("POST", path, JSON.stringify(body));
  }

  async #sendToFirstReachable(
    method: "GET" | "POST",
    path: string,
    body?: string,
  ): Promise<Result<AdminResponse, Fault>> {
    let fault = new Fault(FaultCode.PeerUnreachable);
    for (const address of this.#addresses) {
      const result = await this.#sendTo(`http://${address}${path}`, {
        method,
        body,
      });
      if (result.ok) return result;
      fault = result.val;
      if (fault.code === FaultCode.OutcomeUnknown && method === "POST") break;
    }
    return Err(fault);
  }

  async #sendTo(
    url: string,
    call: { readonly method: "GET" | "POST"; readonly body?: string },
  ): Promise<Result<AdminResponse, Fault>> {
    try {
      const response = await request(url, {
        method: call.method,
        body: call.body ?? null,
        headers: {
          authorization: `Bearer ${this.#token}`,
          "content-type": "application/json",
        },
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const text = await response.body.text();
      return Ok({ status: response.statusCode, body: parseBody(text) });
    } catch (error) {
      const isConnectionRefused =
        (error as { code?: string }).code === "ECONNREFUSED";
      const code = isConnectionRefused
        ? FaultCode.PeerUnreachable
        : FaultCode.OutcomeUnknown;
      return Err(new Fault(code, url));
    }
  }
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
