import { createHash } from "node:crypto";
import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type ClaimRow,
  ClaimState,
  KeyPrefix,
  readRow,
} from "@laburnumtrack/core/rows";
import type { Table } from "@laburnumtrack/core/table";
import type { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { Err, Ok, type Result } from "ts-results";

/** A request with an idempotency key. */
export interface ClaimRequest {
  readonly service: string;
  /** The caller's `Idempotency-Key`. */
  readonly key: string;
  readonly requestId: string;
  /** Hash of method, path and body, see {@linkcode fingerprintOf}. */
  readonly fingerprint: string;
}

/** A claim on an idempotency key that this gateway holds. */
export interface Claim {
  readonly rowKey: string;
  readonly revision: number;
  readonly row: ClaimRow;
}

/** A response stored for repetitions of a request. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Limits one write of a claim row, in ms. */
const CLAIM_WRITE_TIMEOUT_MS = 3000;

/** Largest body of a response that is stored for repetitions, in bytes. */
export const STORED_RESPONSE_LIMIT_BYTES = 16 * 1024;

/**
 * Claims on idempotency keys, stored as rows of the table. When several
 * gateways receive requests with the same key, only the one that holds the
 * claim sends the request to an endpoint.
 */
export class Claims {
  readonly #table: Table;
  readonly #ring: TokenCommitter;
  readonly #clock: Clock;

  constructor(table: Table, ring: TokenCommitter, options: { clock: Clock }) {
    this.#table = table;
    this.#ring = ring;
    this.#clock = options.clock;
  }

  /**
   * Claims a key. Returns the stored response instead if the key has one.
   * Fails with `DuplicateRequest` if the key is claimed and has no stored
   * response, or was used for a request with another fingerprint.
   */
  async claim(
    request: ClaimRequest,
  ): Promise<Result<Claim | StoredResponse, Fault>> {
    const rowKey = claimRowKey(request);
    const read = await this.#table.get([rowKey]);
    if (read.err) return read;
    const [existing] = read.val;
    if (existing !== undefined) {
      const row = readRow<ClaimRow>(existing);
      if (row.fingerprint !== request.fingerprint) {
        const detail =
          "Idempotency-Key was used with another method, path or body";
        return Err(new Fault(FaultCode.DuplicateRequest, detail));
      }
      if (row.state !== ClaimState.Released) return readStoredResponse(row);
    }
    const row: ClaimRow = {
      state: ClaimState.Claimed,
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      claimedAtMs: this.#clock.wallMs(),
      status: 0,
      contentType: "",
      body: null,
    };
    const written = await this.#write(rowKey, existing?.revision ?? 0, row);
    if (written.ok) return Ok({ rowKey, revision: written.val, row });
    if (written.val.code !== FaultCode.Conflict) return written;
    return Err(new Fault(FaultCode.DuplicateRequest));
  }

  /** Releases the key of a request that is known not to have run. */
  async release(claim: Claim): Promise<void> {
    const row = { ...claim.row, state: ClaimState.Released };
    await this.#write(claim.rowKey, claim.revision, row);
  }

  /**
   * Records that the request was answered. A status alone is given if the
   * response cannot be stored; repetitions then fail with `DuplicateRequest`.
   */
  async storeResponse(
    claim: Claim,
    response: StoredResponse | number,
  ): Promise<void> {
    const stored = typeof response === "number" ? undefined : response;
    const row: ClaimRow = {
      ...claim.row,
      state: ClaimState.Answered,
      status: stored?.status ?? Number(response),
      contentType: stored?.contentType ?? "",
      body: stored?.body.toString("base64") ?? null,
    };
    await this.#write(claim.rowKey, claim.revision, row);
  }

  async #write(
    key: string,
    revision: number,
    row: ClaimRow,
  ): Promise<Result<number, Fault>> {
    const result = await this.#ring.commit(
      {
        checks: [{ key, revision }],
        writes: [{ key, value: JSON.stringify(row) }],
      },
      { timeoutMs: CLAIM_WRITE_TIMEOUT_MS },
    );
    return result.ok ? Ok(result.val.revision) : result;
  }
}

/** Whether the value is a claim rather than a stored response. */
export function isClaim(value: Claim | StoredResponse): value is Claim {
  return "rowKey" in value;
}

/** Hash that tells apart different requests with the same idempotency key. */
export function fingerprintOf(
  method: string,
  path: string,
  body: Buffer | null,
): string {
  const hash = createHash("sha256").update(`${method} ${path}\n`);
  return hash.update(body ?? "").digest("base64url");
}

function readStoredResponse(row: ClaimRow): Result<StoredResponse, Fault> {
  if (row.state !== ClaimState.Answered || row.body === null) {
    return Err(new Fault(FaultCode.DuplicateRequest));
  }
  const body = Buffer.from(row.body, "base64");
  return Ok({ status: row.status, contentType: row.contentType, body });
}

function claimRowKey({ service, key }: ClaimRequest): string {
  const digest = createHash("sha256").update(key).digest("base64url");
  return `${KeyPrefix.Claim}${service}/${digest}`;
}
