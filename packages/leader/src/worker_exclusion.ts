/** Why a worker gets no new task. */
export enum WorkerExclusion {
  /** It has left the registry. */
  Unregistered = "unregistered",
  /** Another worker has taken its place. */
  Replaced = "replaced",
  /** It has not answered this leader, or not for some time. */
  NoReport = "no_report",
  /** It may not be granted a lease. */
  NoLease = "no_lease",
  Draining = "draining",
  /** Its failure domain is evacuated. */
  Evacuated = "evacuated",
  /** Its machine crashed repeatedly. */
  FaultyMachine = "faulty_machine",
  /** Runs keep failing on it. */
  SetAside = "set_aside",
  /** The outcome of the task that probes it is not known yet. */
  Probed = "probed",
  /** It restarted and may still carry out starts that were sent before. */
  LateStarts = "late_starts",
  /** It refused a start a moment ago. */
  Backoff = "backoff",
}
