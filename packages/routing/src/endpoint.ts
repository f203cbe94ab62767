/** A running replica of a service. */
export interface Endpoint {
  /** Identifies this run of the replica by task and epoch. */
  readonly id: string;
  /** `host:port` at which it accepts requests. */
  readonly address: string;
  readonly failureDomain: string;
  /** Limit of concurrent requests from all gateways. */
  readonly slots: number;
  /** Limit of open connections from all gateways. */
  readonly connections: number;
}

/** How an attempt ended. */
export enum AttemptOutcome {
  /** A complete answer arrived. */
  Answered = "answered",
  /** The endpoint answered with a server error (5xx). */
  Failed = "failed",
  /** The request was not written, or was refused before it ran. */
  NotRun = "not_run",
  /** The answer was lost after the request was written. */
  Lost = "lost",
  /** The caller left or a hedge won; not a failure of the endpoint. */
  Cancelled = "cancelled",
}
