/** Every way in which an operation of the system can fail. */
export enum FaultCode {
  /** The table refused the transaction: a checked row had changed. */
  Conflict = "conflict",
  /** The table or object store did not take the call. */
  StoreUnavailable = "store_unavailable",
  /** The call was sent, no answer came: it may have taken effect. */
  OutcomeUnknown = "outcome_unknown",
  /** The object that was asked for does not exist. */
  NotFound = "not_found",
  /** A worker did not answer. */
  WorkerUnreachable = "worker_unreachable",
  /** A worker refused a message of an older generation, lease or revision. */
  StaleLease = "stale_lease",
  /** A peer did not answer. */
  PeerUnreachable = "peer_unreachable",
  /** A file set or a settings file has errors. */
  InvalidFile = "invalid_file",
  /** The command line was not understood. */
  Usage = "usage",
  /** The operator's token is missing or wrong. */
  Unauthorized = "unauthorized",
  /** Another operator's version was applied first. */
  VersionConflict = "version_conflict",
  /** The request was not run: the gateway's queue is full. */
  QueueFull = "queue_full",
  /** The request was not run: its deadline would pass in the queue. */
  DeadlineExceeded = "deadline_exceeded",
  /** The request was not run: the service has no endpoint now. */
  NoEndpoint = "no_endpoint",
  /** No service has a route for the path. */
  NoRoute = "no_route",
  /** The request was not run: this process is shutting down. */
  ShuttingDown = "shutting_down",
  /** A claim for this idempotency key exists already. */
  DuplicateRequest = "duplicate_request",
  /** The request was sent to an endpoint and its answer was lost. */
  AnswerLost = "answer_lost",
  /** An answer or a body is larger than its limit. */
  TooLarge = "too_large",
  /** The changes asked for are no longer kept by the table. */
  HistoryLost = "history_lost",
  /** The call was turned away because too many were made; it had no effect. */
  RateLimited = "rate_limited",
  /** A worker has seen a newer leader. */
  Fenced = "fenced",
  /** Another instance answers at a worker's address. */
  OtherInstance = "other_instance",
  /** The peer's message or the platform's answer could not be read. */
  Malformed = "malformed",
}

const MESSAGES: Record<FaultCode, string> = {
  [FaultCode.Conflict]: "a row changed since it was read",
  [FaultCode.StoreUnavailable]: "the platform's store is not available",
  [FaultCode.OutcomeUnknown]: "the outcome of the call is unknown",
  [FaultCode.NotFound]: "not found",
  [FaultCode.WorkerUnreachable]: "the worker does not answer",
  [FaultCode.StaleLease]: "the worker has seen a newer keeper or lease",
  [FaultCode.PeerUnreachable]: "the peer does not answer",
  [FaultCode.InvalidFile]: "the file has errors",
  [FaultCode.Usage]: "the command line was not understood, see --help",
  [FaultCode.Unauthorized]: "the operator token is missing or wrong",
  [FaultCode.VersionConflict]: "another version was applied first",
  [FaultCode.QueueFull]: "the queue is full",
  [FaultCode.DeadlineExceeded]: "the deadline would pass before an endpoint",
  [FaultCode.NoEndpoint]: "the service has no endpoint now",
  [FaultCode.NoRoute]: "no service has a route for this path",
  [FaultCode.ShuttingDown]: "this process is shutting down",
  [FaultCode.DuplicateRequest]: "this idempotency key was used before",
  [FaultCode.AnswerLost]: "the endpoint's answer was lost",
  [FaultCode.TooLarge]: "larger than the limit",
  [FaultCode.HistoryLost]: "the changes asked for are no longer kept",
  [FaultCode.RateLimited]: "too many calls are made",
  [FaultCode.Fenced]: "the worker has seen a newer leader",
  [FaultCode.OtherInstance]: "another instance answers at the address",
  [FaultCode.Malformed]: "the message could not be read",
};

/** A typed failure; `detail` names the thing concerned. */
export class Fault {
  constructor(
    readonly code: FaultCode,
    readonly detail = "",
  ) {}

  /** The failure as one sentence for people. */
  get message(): string {
    const text = MESSAGES[this.code];
    return this.detail === "" ? text : `${text}: ${this.detail}`;
  }
}
