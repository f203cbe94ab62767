/** How the jobs of a queue are run. */
export interface QueueSettings {
  readonly name: string;
  /** Name of the pool of workers that run its tasks. */
  readonly pool: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of a task after which its job fails. */
  readonly attemptLimit: number;
  /** A job should complete within `stretch` * its longest chain + `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
  /** Undefined if any worker of the pool may run its tasks. */
  readonly advice?: AdvisorTimes | undefined;
}

/** A queue that callers submit jobs to. */
export interface Queue extends QueueSettings {
  /** In lower case: names of hosts do not differ by case. */
  readonly host: string;
  readonly pathPrefix: string;
}

/** The settings of a queue without what only concerns its callers. */
export function settingsOf(queue: Queue): QueueSettings {
  const { host: _host, pathPrefix: _pathPrefix, ...settings } = queue;
  return settings;
}

/** Times of the advisor that decides where tasks of a queue may run. */
export interface AdvisorTimes {
  /** Fixed time of a decision. */
  readonly decisionMs: number;
  /** Additional time of a decision for each worker. */
  readonly perWorkerMs: number;
  /** Time for which a ticket is valid. */
  readonly validityMs: number;
}

/** A pool of workers. */
export interface Pool {
  readonly name: string;
  /** Whether its workers refuse tasks that do not fit. */
  readonly isGuarded: boolean;
  /** Whether its VMs stay off until they are assigned to another pool. */
  readonly isStandby: boolean;
  /** Time for which a worker is slow after its start, in ms; 0 by default. */
  readonly coldStartMs?: number;
  /**
   * Time for which a worker is slow for each ms that it was without new work,
   * at most `coldStartMs` in all; 0 by default.
   */
  readonly coldingRate?: number;
}

/** A version of the queues and pools. */
export interface QueueConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
}

/**
 * Priority of the most urgent queues; undefined if all queues have the same one.
 */
export function mostUrgentPriority({
  queues,
}: QueueConfig): number | undefined {
  const priorities = queues.map(({ priority }) => priority);
  const first = Math.min(...priorities);
  return first < Math.max(...priorities) ? first : undefined;
}

/** Finds the queue of the host, in lower case, with the longest prefix of the path. */
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
