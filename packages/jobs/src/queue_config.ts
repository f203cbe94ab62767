/** A queue that callers hand jobs to. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Pool of workers that runs its tasks. */
  readonly pool: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Runs of a task that may fail. */
  readonly attemptLimit: number;
  /** Objective of a job: `stretch` times its longest chain + `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
  /** Undefined: any worker of the pool may run its tasks. */
  readonly advice: AdviceTerms | undefined;
}

/** How an advisor answers for a queue. */
export interface AdviceTerms {
  readonly decisionMs: number;
  readonly perWorkerMs: number;
  /** A ticket is valid this long. */
  readonly validityMs: number;
}

/** A pool of workers. */
export interface Pool {
  readonly name: string;
  /** Its workers refuse tasks that do not fit. */
  readonly isGuarded: boolean;
  /** Its VMs are off until they are moved elsewhere. */
  readonly isStandby: boolean;
}

/** A version of the queues and pools. */
export interface QueueConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
}

/** The queue that a request goes to: its host, then the longest prefix. */
export function findQueue(
  config: QueueConfig,
  host: string,
  path: string,
): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of config.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    const length = found?.pathPrefix.length ?? -1;
    if (queue.pathPrefix.length > length) found = queue;
  }
  return found;
}
