/** A run in a stored row: its task and its number. */
export type StoredRun = readonly [
  jobId: string,
  occurrence: number,
  step: number,
  index: number,
  run: number,
  /** Time in ms that it had worked by the worker's last report. */
  workedMs: number,
];

/** What a leader knows of the runs on a worker. */
export interface WorkerRuns {
  /** Unix ms of its last known start; 0 if unknown. */
  readonly bornMs: number;
  /** All runs that may be active on it. */
  readonly runs: readonly StoredRun[];
  /** Time until its lease has expired in ms; absent where it stands elsewhere. */
  readonly leaseLeftMs?: number;
}

/** Row with the runs on workers when a leadership was released. */
export interface RunsRow {
  /** Epoch of the leader that released it. */
  readonly epoch: number;
  /** By worker id; the runs of a worker that is missing are not known. */
  readonly workers: Readonly<Record<string, WorkerRuns>>;
}

/** Row that the leading scheduler writes with every commit. */
export interface Leadership {
  /** Name of the current leader, or of the last one. */
  readonly holder: string;
  /** Distinguishes incarnations of the same member. */
  readonly instance: string;
  /** CPU capacity of the holder's VM in cores. */
  readonly capacity: number;
  /** Instance that the holder hands over to; empty if any may take over. */
  readonly successor: string;
  /** Increases with each leader; workers reject lower epochs than they know. */
  readonly epoch: number;
  /** Increases with each commit of a leader. */
  readonly sequence: number;
  /**
   * Longest lease in ms that a worker may hold from the holder or from leaders
   * before it; absent in rows of versions that grant what workers accept.
   */
  readonly leaseMs?: number;
  /**
   * Time in ms for which leaders before the holder may still send orders; absent
   * in rows of versions that do not keep it.
   */
  readonly formerRightMs?: number;
  /**
   * Lowest epoch since which all leaders store the placement of a long-running
   * task before they order its start; absent in rows of versions that don't.
   */
  readonly placementsSince?: number;
  /** The holder has stopped sending orders to workers. */
  readonly isReleased: boolean;
  /**
   * Workers that do not answer, with the ms until their leases expire. A listed
   * worker gets no lease until a commit leaves it out.
   */
  readonly silent: Readonly<Record<string, number>>;
  /**
   * Runs on workers of `silent`. The runs of a worker that is missing here are
   * not known.
   */
  readonly silentRuns?: Readonly<Record<string, WorkerRuns>>;
  /** Number of jobs that have not started, by queue. */
  readonly pending: Readonly<Record<string, number>>;
  /**
   * Time in ms for which jobs may have been stored that `pending` lacks; absent
   * in rows of versions that do not keep it.
   */
  readonly pendingAgeMs?: number;
  /**
   * Load that entries admit jobs by, read with `readLoadDigest`; absent if
   * unknown. Unchecked here: an unreadable one must not stop the election.
   */
  readonly load?: unknown;
}

/** Request of a candidate on a VM with more CPU to take over leadership. */
export interface Bid {
  readonly member: string;
  readonly instance: string;
  /** Epoch of the leader that should hand over. */
  readonly epoch: number;
  /** CPU capacity of the candidate's VM in cores. */
  readonly capacity: number;
}
