import type { Resources } from "./resources";

/** Kind of a workload that an operator declares. */
export enum WorkloadKind {
  /** Replicas that serve requests until they are removed. */
  Service = "service",
  /** Tasks that run to completion. */
  Job = "job",
}

/** How soon a job's tasks must start. */
export enum Urgency {
  /** Ordered by time window, then by arrival. */
  Normal = "normal",
  /** Started before all other batch work, which is evicted where needed. */
  Urgent = "urgent",
}

/** What placement favours where throughput and latency conflict. */
export enum Favour {
  /** Pack batch work densely; evict it late. */
  Throughput = "throughput",
  /** Keep batch work away from services; throttle and evict it early. */
  Latency = "latency",
}

interface Workload {
  readonly name: string;
  readonly team: string;
  /** Passed to the worker unchanged. */
  readonly work: string;
  readonly resources: Resources;
}

/** A latency-critical service. */
export interface Service extends Workload {
  readonly kind: WorkloadKind.Service;
  /** Path prefix of the service's requests. */
  readonly route: string;
  readonly replicas: number;
  /** Target for the 99th percentile of response times, in ms. */
  readonly latencyTargetMs: number;
  /** Deadline of requests that set none, in ms. */
  readonly deadlineMs: number;
  /** Concurrent requests that an endpoint runs. */
  readonly slots: number;
  /** Connections that an endpoint accepts from all gateways together. */
  readonly connections: number;
  /** Path prefixes on which POST and PATCH are idempotent. */
  readonly idempotentPaths: readonly string[];
}

/** A batch job. */
export interface Job extends Workload {
  readonly kind: WorkloadKind.Job;
  readonly tasks: number;
  /** Declared run time of a task in s; often very inaccurate. */
  readonly declaredRunS: number;
  readonly urgency: Urgency;
  /** Failed runs of a task that are retried; one more and the task fails. */
  readonly retries: number;
  /** Wall time in ms before which no task starts; 0 if not set. */
  readonly startAfterMs: number;
  /** Wall time in ms by which the job must end; 0 if not set. */
  readonly finishByMs: number;
}

/** A team and its quota. */
export interface Team {
  readonly name: string;
  /** Resources that the team's batch tasks may hold at once. */
  readonly quota: Resources;
}

/** Everything that the operators have declared, in one version. */
export interface FileSet {
  readonly favour: Favour;
  readonly teams: ReadonlyMap<string, Team>;
  readonly services: ReadonlyMap<string, Service>;
  readonly jobs: ReadonlyMap<string, Job>;
}

/** A file set that declares nothing. */
export const EMPTY_FILE_SET: FileSet = {
  favour: Favour.Throughput,
  teams: new Map(),
  services: new Map(),
  jobs: new Map(),
};

/** Finds a service or job by name. */
export function findWorkload(
  files: FileSet,
  name: string,
): Service | Job | undefined {
  return files.services.get(name) ?? files.jobs.get(name);
}
