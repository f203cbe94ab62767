import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { Endpoint } from "@laburnumtrack/routing/endpoint";

/** Why an attempt has no response. */
export enum AttemptFailure {
  /** Never written to a connection, or refused by the endpoint unprocessed. */
  NotRun = "not_run",
  /** Written to a connection, but no response arrived. */
  Lost = "lost",
}

/** Status and headers of an endpoint's response, and its body as a stream. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Emits `error` when the response breaks off midway. */
  readonly body: Readable;
  /**
   * Resolves when the response ends: true if it is complete, false if it broke
   * off.
   */
  readonly ended: Promise<boolean>;
}

/** A request as it is sent to an endpoint. */
export interface OutgoingRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer | Readable | null;
}

/** One request sent once to one endpoint. */
export abstract class Attempt {
  /** Resolves with the head of the response, or with the failure. */
  abstract readonly head: Promise<ResponseHead | AttemptFailure>;
  /**
   * Whether the gateway aborted the attempt. How such an attempt ends says
   * nothing about the endpoint.
   */
  abstract readonly isAborted: boolean;
  /** Aborts the attempt and closes its connection. */
  abstract abort(): void;
}

/** Sends requests to endpoints. */
export abstract class EndpointSender {
  /** Sends a request once, without retries. */
  abstract send(endpoint: Endpoint, request: OutgoingRequest): Attempt;
}
