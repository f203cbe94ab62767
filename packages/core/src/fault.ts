/** Error codes of all operations of the system. */
export enum FaultCode {
  /** The table rejected the transaction because a checked row had changed. */
  Conflict = "conflict",
  /** The table or object store did not accept the call; it had no effect. */
  StoreUnavailable = "store_unavailable",
  /** The call was sent but no reply arrived; it may have taken effect. */
  OutcomeUnknown = "outcome_unknown",
  /** The job is not stored, and commits that were sent for it cannot store it. */
  NotStored = "not_stored",
  /** The requested object does not exist. */
  NotFound = "not_found",
  /** A worker did not answer. */
  WorkerUnreachable = "worker_unreachable",
  /** A worker rejected a message with an old generation, lease or revision. */
  StaleLease = "stale_lease",
  /** A peer did not answer. */
  PeerUnreachable = "peer_unreachable",
  /** A file set or a settings file contains errors. */
  InvalidFile = "invalid_file",
  /** The command line is invalid. */
  Usage = "usage",
  /** The operator token is missing or wrong. */
  Unauthorized = "unauthorized",
  /** Another configuration version was applied first. */
  VersionConflict = "version_conflict",
  /** The request was not run because the gateway's queue is full. */
  QueueFull = "queue_full",
  /** The request was not run because its deadline would expire in the queue. */
  DeadlineExceeded = "deadline_exceeded",
  /** The request was not run because the service has no endpoint at present. */
  NoEndpoint = "no_endpoint",
  /** No service has a route that matches the path. */
  NoRoute = "no_route",
  /** The request was not run because this process is shutting down. */
  ShuttingDown = "shutting_down",
  /** A request with this idempotency key was already accepted. */
  DuplicateRequest = "duplicate_request",
  /** The request was sent to an endpoint, but its response was lost. */
  AnswerLost = "answer_lost",
  /** A request or response body exceeds its size limit. */
  TooLarge = "too_large",
  /** The table no longer retains the requested changes. */
  HistoryLost = "history_lost",
  /** The call was rejected by a rate limit; it had no effect. */
  RateLimited = "rate_limited",
  /** A job was refused because it cannot be served usefully at present. */
  Overloaded = "overloaded",
  /** A worker rejected the call because it has seen a newer leader. */
  Fenced = "fenced",
  /** A different instance answers at the worker's address. */
  OtherInstance = "other_instance",
  /** A newer configuration may be in force than the one known here. */
  ConfigOutdated = "config_outdated",
  /** A request, message or reply could not be parsed or is invalid. */
  Malformed = "malformed",
}

const MESSAGES: Record<FaultCode, string> = {
  [FaultCode.Conflict]: "a row changed since it was read",
  [FaultCode.StoreUnavailable]: "the platform's store is unavailable",
  [FaultCode.OutcomeUnknown]: "the outcome of the call is unknown",
  [FaultCode.NotStored]: "the job is not stored and will not be",
  [FaultCode.NotFound]: "not found",
  [FaultCode.WorkerUnreachable]: "the worker does not answer",
  [FaultCode.StaleLease]:
    "the worker has seen a newer generation, lease or revision",
  [FaultCode.PeerUnreachable]: "the peer does not answer",
  [FaultCode.InvalidFile]: "the file contains errors",
  [FaultCode.Usage]: "invalid command line, see --help",
  [FaultCode.Unauthorized]: "the operator token is missing or wrong",
  [FaultCode.VersionConflict]: "another version was applied first",
  [FaultCode.QueueFull]: "the gateway's queue is full",
  [FaultCode.DeadlineExceeded]:
    "the deadline would expire before an endpoint is free",
  [FaultCode.NoEndpoint]: "the service has no endpoint at present",
  [FaultCode.NoRoute]: "no service has a route that matches the path",
  [FaultCode.ShuttingDown]: "this process is shutting down",
  [FaultCode.DuplicateRequest]:
    "a request with this idempotency key was already accepted",
  [FaultCode.AnswerLost]: "the endpoint's response was lost",
  [FaultCode.TooLarge]: "the body exceeds the size limit",
  [FaultCode.HistoryLost]: "the requested changes are no longer retained",
  [FaultCode.RateLimited]: "rate limit exceeded",
  [FaultCode.Overloaded]: "the job cannot be served usefully at present",
  [FaultCode.Fenced]: "the worker has seen a newer leader",
  [FaultCode.OtherInstance]:
    "a different instance answers at the worker's address",
  [FaultCode.ConfigOutdated]:
    "the configuration known here may be outdated; try again or elsewhere",
  [FaultCode.Malformed]: "the message is malformed",
};

/** An error with a code; `detail` names what it concerns. */
export class Fault {
  constructor(
    readonly code: FaultCode,
    readonly detail = "",
  ) {}

  /** Readable text of the error, with its detail. */
  get message(): string {
    const text = MESSAGES[this.code];
    return this.detail === "" ? text : `${text}: ${this.detail}`;
  }
}
