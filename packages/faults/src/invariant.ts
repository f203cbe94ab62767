/** Properties that must hold in every run; the checks look for violations. */
export enum Invariant {
  /** No VM is committed beyond its capacity. */
  NoOvercommit = "noOvercommit",
  /** A task never runs in two places at once. */
  OnePlace = "onePlace",
  /** Evicted work resumes once and is never dropped or duplicated. */
  ResumeOnce = "resumeOnce",
  /** A caller receives a complete response, and to its own request. */
  WholeAnswers = "wholeAnswers",
  /** A request that was reported as not run was not run by any endpoint. */
  NotRunIsTrue = "notRunIsTrue",
  /** A non-idempotent request runs at most once. */
  AtMostOnce = "atMostOnce",
  /** A VM that is being removed receives no new requests after a few seconds. */
  LeavingIsQuiet = "leavingIsQuiet",
  /** A planned stop aborts no request in progress. */
  GracefulStop = "gracefulStop",
  /**
   * An accepted configuration is in force on every member within seconds, and
   * no member returns to an older one.
   */
  ConfigInForce = "configInForce",
}

/** A violation of an invariant, found in the record of a run. */
export interface Violation {
  readonly invariant: Invariant;
  readonly detail: string;
}
