import {
  isWithin,
  type Resources,
  subtractResources,
} from "@laburnumtrack/core/resources";
import { parseTaskName, WorkerPhase } from "@laburnumtrack/core/rows";
import {
  Favour,
  type FileSet,
  type Job,
  type Service,
  Urgency,
  WorkloadKind,
} from "@laburnumtrack/core/workload";
import type { WorkerView } from "./cluster_view";
import type { Interference } from "./interference";

/** A worker as one planning round sees it; placements reduce what is free. */
export interface Candidate {
  readonly view: WorkerView;
  /** Capacity not yet committed, placements of this round included. */
  free: Resources;
  /** Number of further tasks that the worker's health allows. */
  taskAllowance: number;
  /** Workload that evictions here make room for; no other is placed. */
  reservedFor: string;
  /** Names of the services that have a replica here. */
  readonly services: Set<string>;
  /** Names of the jobs that have a task here. */
  readonly jobs: Set<string>;
}

/** Creates the candidate for a worker at the start of a planning round. */
export function createCandidate(
  view: WorkerView,
  taskAllowance: number,
): Candidate {
  const services = new Set<string>();
  const jobs = new Set<string>();
  for (const { kind, task } of view.row.assignments) {
    const { workload } = parseTaskName(task);
    (kind === WorkloadKind.Service ? services : jobs).add(workload);
  }
  return {
    view,
    free: view.free,
    taskAllowance,
    reservedFor: "",
    services,
    jobs,
  };
}

/** Whether the worker accepts a task of `workload` and has the resources. */
export function hasRoomFor(
  candidate: Candidate,
  workload: string,
  resources: Resources,
): boolean {
  return (
    candidate.view.row.phase === WorkerPhase.Live &&
    candidate.taskAllowance > 0 &&
    (candidate.reservedFor === "" || candidate.reservedFor === workload) &&
    isWithin(resources, candidate.free)
  );
}

/** Counts the replicas of a service by failure domain and by rack. */
export class ReplicaSpread {
  readonly #byDomain = new Map<string, number>();
  readonly #byRack = new Map<string, number>();

  constructor(service: string, candidates: Iterable<Candidate>) {
    for (const candidate of candidates) {
      if (candidate.services.has(service)) this.add(candidate);
    }
  }

  /** Counts a replica on the candidate. */
  add({ view }: Candidate): void {
    const { failureDomain, rack } = view.row.vm;
    increment(this.#byDomain, failureDomain);
    increment(this.#byRack, rack);
  }

  /**
   * Score of the replicas that share the candidate's failure domain and rack;
   * one in the same domain counts as much as 1000 in the same rack.
   */
  crowdingAt({ view }: Candidate): number {
    const { failureDomain, rack } = view.row.vm;
    const inDomain = this.#byDomain.get(failureDomain) ?? 0;
    return inDomain * 1000 + (this.#byRack.get(rack) ?? 0);
  }
}

/**
 * Picks the worker for a replica. In order of weight: a worker without a
 * replica of the service, the spread over failure domains and racks, little
 * learnt harm from the jobs that run there, few jobs.
 */
export function pickForService(
  service: Service,
  candidates: readonly Candidate[],
  context: {
    readonly resources: Resources;
    readonly spread: ReplicaSpread;
    readonly interference: Interference;
  },
): Candidate | undefined {
  return pickLowest(candidates, (candidate) => {
    if (!hasRoomFor(candidate, service.name, context.resources)) {
      return undefined;
    }
    let harm = 0;
    for (const job of candidate.jobs) {
      harm += context.interference.harmOf(job, service.name);
    }
    const hasReplica = candidate.services.has(service.name) ? 1 : 0;
    const crowding = context.spread.crowdingAt(candidate);
    return (
      hasReplica * 1e9 + crowding * 1000 + harm * 100 + candidate.jobs.size
    );
  });
}

/**
 * Picks the worker for a task of a job: the one with the least capacity left
 * over, the least learnt harm to its services, and no failed run of the task
 * (`avoid` lists the workers that have one). The harm counts for more where
 * the policy favours latency.
 */
export function pickForJob(
  job: Job,
  candidates: readonly Candidate[],
  context: {
    readonly resources: Resources;
    readonly files: FileSet;
    readonly interference: Interference;
    readonly avoid: readonly string[];
  },
): Candidate | undefined {
  const { resources, files, interference, avoid } = context;
  const favoursLatency = files.favour === Favour.Latency;
  const harmWeight = favoursLatency ? 20 : 4;
  // Where throughput is favoured, harm only lowers the score: services may run
  // on every worker, so excluding those workers could leave the job without
  // any. Throttling limits the harm instead.
  const avoidsHarm = favoursLatency && job.urgency !== Urgency.Urgent;
  return pickLowest(candidates, (candidate) => {
    if (!hasRoomFor(candidate, job.name, resources)) return undefined;
    let harm = 0;
    for (const service of candidate.services) {
      if (avoidsHarm && interference.isHarmful(job.name, service)) {
        return undefined;
      }
      harm += interference.harmOf(job.name, service);
    }
    const unusedShare = unusedShareAfter(candidate, resources);
    const hasFailedHere = avoid.includes(candidate.view.id) ? 1 : 0;
    return unusedShare + harmWeight * harm + hasFailedHere * 100;
  });
}

/**
 * Sum of the shares of CPU, memory and accelerators that stay unused, from 0
 * to 4: accelerators count twice.
 */
function unusedShareAfter(
  { view, free }: Candidate,
  resources: Resources,
): number {
  const unused = subtractResources(free, resources);
  const { capacity } = view.row.vm;
  const accelerators =
    capacity.accelerators === 0
      ? 0
      : // Tasks without accelerators would block those that need them.
        (2 * unused.accelerators) / capacity.accelerators;
  return (
    unused.cpuMilli / capacity.cpuMilli +
    unused.memoryMb / capacity.memoryMb +
    accelerators
  );
}

function pickLowest(
  candidates: readonly Candidate[],
  scoreOf: (candidate: Candidate) => number | undefined,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const score = scoreOf(candidate);
    if (score === undefined || score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
