import { QueueConfigWatcher } from "@laburnumtrack/config/queue_config_watcher";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { JobService } from "@laburnumtrack/desk/job_service";
import { DomainEvacuations } from "@laburnumtrack/evacuation/domain_evacuations";
import type { Job, Step } from "@laburnumtrack/jobs/job";
import {
  encodeOpenJobRow,
  jobKey,
  TABLE_ROW_LIMIT_BYTES,
} from "@laburnumtrack/jobs/job_rows";
import type { JobPhase } from "@laburnumtrack/jobs/job_state";
import {
  type Queue,
  type QueueConfig,
  settingsOf,
} from "@laburnumtrack/jobs/queue_config";
import type { RegisteredWorker, RunEnd } from "@laburnumtrack/jobs/task_worker";
import { createStep, createWorkerInfo } from "@laburnumtrack/jobs/test_samples";
import {
  QueueSource,
  WorkerRegistry,
} from "@laburnumtrack/jobs/worker_registry";
import { LeaderElection } from "@laburnumtrack/leader/leader_election";
import {
  NO_FEATURES,
  type PlanningFeatures,
} from "@laburnumtrack/planning/round_planner";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { TaskFleetStandin } from "@laburnumtrack/standins/task_fleet_standin";
import {
  ProcessClock,
  VirtualClock,
} from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { findRunViolations } from "./run_violations";

/** An entry process, which can become the leader, in virtual time. */
export interface EntryPeer {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly leadership: LeaderElection;
  /** The evacuations that it knows; undefined where they are ignored. */
  readonly evacuations: DomainEvacuations | undefined;
  readonly metrics: Metrics;
  /** Stops the process gracefully; resolves when leadership is handed over. */
  readonly stop: () => Promise<void>;
}

/** Size of an entry world. */
export interface EntryWorldOptions {
  readonly entries: number;
  readonly workers: number;
  /** Processing capacities of the entries in cores; one core by default. */
  readonly capacities?: readonly number[];
  /** Longest lease of a worker in ms; 6 s by default. */
  readonly leaseMs?: number;
  /** Time that a leader may order without the table, in ms; 3.5 s by default. */
  readonly rightMs?: number;
  /** Ids of the first workers; the others are `w0`, `w1` and so on. */
  readonly workerIds?: readonly string[];
  /** Time for which a finished job stays known, in ms; longer than a case by default. */
  readonly jobRetentionMs?: number;
  /** Decodes the entries of workers; by default, each key names a worker. */
  readonly registry?: WorkerRegistry;
  /** Time limit of evacuations in ms; requests are ignored by default. */
  readonly evacuateMs?: number;
  /** Parts of planning that are turned on; none by default. */
  readonly planning?: Partial<PlanningFeatures>;
  /** Memory that jobs may occupy in a leader; by default, no load is stored. */
  readonly jobsLimitBytes?: number;
}

const QUEUE: Queue = {
  name: "q",
  host: "h",
  pathPrefix: "/q/",
  pool: "pool",
  priority: 0,
  attemptLimit: 3,
  stretch: 2,
  targetMs: 1000,
  advice: undefined,
};
const CONFIG: QueueConfig = {
  version: 1,
  queues: [QUEUE],
  pools: [{ name: "pool", isGuarded: true, isStandby: false }],
};
const DEFAULT_LEASE_MS = 6000;
/** Longer than any case, whose phases are read at its end. */
const DEFAULT_JOB_RETENTION_MS = 3_600_000;
/** How long the leader may send orders after its last commit. */
const DEFAULT_RIGHT_MS = 3500;
const RESTORE_MS = 100;
/** Step fields that a case does not set. */
const STEP_DEFAULTS = { count: 4, estimateMs: 500 };
/** Parts the name of a machine from the number of its incarnation. */
const INCARNATION_MARK = "+";
/** Deadline of submissions, cancellations and reads of phases. */
const SUBMIT_TIMEOUT_MS = 3000;

/** Entries, workers and a table in virtual time, with a history of the runs. */
export class EntryWorld {
  readonly clock = new VirtualClock();
  readonly table = new FeedTableStandin(this.clock);
  readonly fleet: TaskFleetStandin;
  readonly entries: EntryPeer[] = [];
  /** The configuration that all entries use. */
  config = CONFIG;
  readonly #desk: JobService;
  readonly #registry: WorkerRegistry;
  readonly #jobIds: string[] = [];
  readonly #capacities: readonly number[];
  readonly #leaseMs: number;
  readonly #rightMs: number;
  readonly #planning: Partial<PlanningFeatures> | undefined;
  readonly #evacuateMs: number;
  readonly #jobsLimitBytes: number | undefined;
  readonly #jobRetentionMs: number;
  #processCount = 0;

  constructor({
    entries,
    workers,
    capacities = [],
    leaseMs = DEFAULT_LEASE_MS,
    rightMs = DEFAULT_RIGHT_MS,
    workerIds = [],
    jobRetentionMs = DEFAULT_JOB_RETENTION_MS,
    registry = new RegistryStandin(),
    evacuateMs = 0,
    planning,
    jobsLimitBytes,
  }: EntryWorldOptions) {
    const ids = Array.from(
      { length: workers },
      (_, index) => workerIds[index] ?? `w${index}`,
    );
    this.table.rowLimitBytes = TABLE_ROW_LIMIT_BYTES;
    this.#registry = registry;
    this.#capacities = capacities;
    this.#leaseMs = leaseMs;
    this.#rightMs = rightMs;
    this.#evacuateMs = evacuateMs;
    this.#planning = planning;
    this.#jobsLimitBytes = jobsLimitBytes;
    this.#jobRetentionMs = jobRetentionMs;
    this.fleet = new TaskFleetStandin(this.clock, ids, { maxLeaseMs: leaseMs });
    this.#desk = new JobService({
      clock: this.clock,
      table: this.table,
      isTableReachable: () => true,
    });
    void this.table.commit({
      checks: [],
      writes: ids.map((id) => ({ key: `${registry.prefix}${id}`, value: id })),
    });
    for (let index = 0; index < entries; index += 1) {
      this.#addEntry(`e${index}`, index, capacities[index] ?? 1);
    }
  }

  /** The current leader; undefined while there is none. */
  get leader(): EntryPeer | undefined {
    return this.entries.find(({ leadership }) => leadership.term !== undefined);
  }

  /** Submits a job; its spec defines what its tasks do. */
  async submit(
    id: string,
    spec: string,
    steps: Partial<Step>[],
    queue = QUEUE,
  ): Promise<void> {
    this.submitNow(id, spec, steps, queue);
    await this.advance(SUBMIT_TIMEOUT_MS / 10);
  }

  /** Submits a job without advancing time. */
  submitNow(
    id: string,
    spec: string,
    steps: Partial<Step>[],
    queue = QUEUE,
  ): void {
    const job = this.#createJob(id, spec, steps, queue);
    this.#jobIds.push(id);
    void this.#desk.submit(job, this.clock.nowMs() + SUBMIT_TIMEOUT_MS);
  }

  /** Stores jobs of one task each in one commit, as if submitted at once. */
  async submitTogether(count: number, spec: string): Promise<void> {
    const writes = Array.from({ length: count }, (_, index) => {
      const id = index.toString(16).padStart(16, "0");
      const job = this.#createJob(id, spec, [{ count: 1 }]);
      return { key: jobKey(id), value: encodeOpenJobRow(job) };
    });
    const done = this.table.commit({ checks: [], writes });
    await this.advance(50);
    await done;
  }

  /** Adds a worker; resolves once it is registered. */
  async addWorker(id: string): Promise<void> {
    this.fleet.add(id);
    await this.#commitEntry(id, id);
  }

  /** Announces that a worker will leave; resolves once that is registered. */
  async drainWorker(id: string): Promise<void> {
    await this.#commitEntry(id, DRAINING);
  }

  /** Ends a worker for good; resolves once its registration is removed. */
  async removeWorker(id: string): Promise<void> {
    this.fleet.leave(id);
    await this.#commitEntry(id, null);
  }

  /** Starts a new process of a member whose former process was stopped. */
  restartEntry(former: EntryPeer): void {
    const index = this.entries.indexOf(former);
    this.entries.splice(index, 1);
    this.#addEntry(former.name, index, 1);
  }

  /** Lets workers that crash come back under a new id at their address. */
  renameCrashedWorkers(): void {
    const { prefix } = this.#registry;
    let count = 0;
    this.fleet.onRestarted = (id, bornMs) => {
      count += 1;
      const next = `${machineOf(id)}${INCARNATION_MARK}${count}`;
      void this.table.commit({
        checks: [],
        writes: [
          { key: `${prefix}${id}`, value: null },
          { key: `${prefix}${next}`, value: `${bornMs}` },
        ],
      });
      return next;
    };
  }

  /** Removes a worker from the registry. */
  async unregister(id: string): Promise<void> {
    await this.writeEntry(id, null);
  }

  /** Writes the registry entry of a worker, or deletes it if the value is null. */
  async writeEntry(id: string, value: string | null): Promise<void> {
    await this.writeRow(`${this.#registry.prefix}${id}`, value);
  }

  /** Requests the evacuation of a failure domain. */
  async evacuate(domain: string): Promise<void> {
    await this.writeRow(`${EVACUATION_PREFIX}${domain}`, "{}");
  }

  /** Lifts the evacuation of a failure domain. */
  async liftEvacuation(domain: string): Promise<void> {
    await this.writeRow(`${EVACUATION_PREFIX}${domain}`, null);
  }

  /** Writes a row of the table, or deletes it if the value is null. */
  async writeRow(key: string, value: string | null): Promise<void> {
    const done = this.#commitRow(key, value);
    await this.advance(50);
    await done;
  }

  /** Cancels a job. */
  async cancel(id: string): Promise<Result<void, Fault>> {
    const done = this.#desk.cancel(id, this.clock.nowMs() + SUBMIT_TIMEOUT_MS);
    await this.advance(SUBMIT_TIMEOUT_MS / 10);
    return await done;
  }

  /** Phases of all submitted jobs, as callers read them; failed reads left out. */
  async readPhases(): Promise<JobPhase[]> {
    const phases: JobPhase[] = [];
    for (const id of this.#jobIds) {
      const read = this.#desk.readPhase(
        id,
        this.clock.nowMs() + SUBMIT_TIMEOUT_MS,
      );
      await this.advance(50);
      const phase = await read;
      if (phase.ok) phases.push(phase.val);
    }
    return phases;
  }

  /** Advances virtual time. */
  async advance(ms: number): Promise<void> {
    await this.clock.run(this.clock.nowMs() + ms);
  }

  /** Tasks that ran twice at once, or again after their acknowledged end. */
  findViolations(): string[] {
    return findRunViolations(this.fleet.history, this.fleet.acknowledged);
  }

  /** Number of runs that ended in a given way. */
  countEnds(end: RunEnd): number {
    return this.fleet.history.filter((record) => record.end === end).length;
  }

  async #commitEntry(id: string, value: string | null): Promise<void> {
    await this.#commitRow(`${this.#registry.prefix}${id}`, value);
  }

  async #commitRow(key: string, value: string | null): Promise<void> {
    await this.table.commit({ checks: [], writes: [{ key, value }] });
  }

  #createJob(
    id: string,
    spec: string,
    steps: Partial<Step>[],
    queue = QUEUE,
  ): Job {
    return {
      id,
      queue: queue.name,
      queueSettings: settingsOf(queue),
      spec,
      steps: steps.map((step) => createStep({ ...STEP_DEFAULTS, ...step })),
      repeat: undefined,
      submittedMs: this.clock.wallMs(),
    };
  }

  #addEntry(name: string, index: number, capacity: number): void {
    this.#processCount += 1;
    const clock = new ProcessClock(this.clock);
    const journal = createJournal("test", "fatal");
    const table = this.table.viewOf(name);
    const evacuations =
      this.#evacuateMs === 0
        ? undefined
        : new DomainEvacuations({ clock, journal, limitMs: this.#evacuateMs });
    const watcher = new QueueConfigWatcher({
      clock,
      table,
      journal,
      source: new QueueSourceStandin(),
      evacuations,
    });
    const metrics = new Metrics();
    const leadership = new LeaderElection({
      clock,
      table,
      registry: this.#registry,
      port: this.fleet.viewOf(name),
      journal,
      metrics,
      config: () => this.config,
      evacuations,
      leaseMs: this.#leaseMs,
      leaderLeaseMs: this.#rightMs,
      restoreMs: RESTORE_MS,
      planning: { ...NO_FEATURES, ...this.#planning },
      jobRetentionMs: this.#jobRetentionMs,
      member: name,
      instance: `${name}/${this.#processCount}`,
      capacity,
      largestCapacity: () => Math.max(0, ...this.#capacities),
      // The lower an entry's index, the sooner it tries to become leader.
      timeoutJitter: index / (index + 1),
      isEligible: () => true,
      jobsLimitBytes: this.#jobsLimitBytes,
    });
    const abort = new AbortController();
    if (evacuations !== undefined) void watcher.run(abort.signal);
    const running = leadership.run(abort.signal);
    this.entries.splice(index, 0, {
      name,
      clock,
      leadership,
      evacuations,
      metrics,
      stop: async () => {
        abort.abort();
        await running;
      },
    });
  }
}

/** Value of the row of a worker that drains. */
const DRAINING = "draining";

/** Prefix of the rows that request evacuations. */
const EVACUATION_PREFIX = "op/evacuate/";

/** The machine of a worker, which keeps its address. */
function machineOf(id: string): string {
  return id.split(INCARNATION_MARK)[0] ?? id;
}

/** Rows of the operators; the queues are given to the entries otherwise. */
class QueueSourceStandin extends QueueSource {
  override readonly prefix = "op/";
  override readonly key = "op/config";

  override decode(value: string): Result<QueueConfig, Fault> {
    return Err(new Fault(FaultCode.Malformed, value));
  }

  override evacuatedDomainOf(key: string): string | undefined {
    if (!key.startsWith(EVACUATION_PREFIX)) return undefined;
    return key.slice(EVACUATION_PREFIX.length);
  }
}

/** Registry of identical workers in one pool. */
class RegistryStandin extends WorkerRegistry {
  override readonly prefix = "workers/";

  /**
   * The part of the value after an at sign is the failure domain, or else the
   * part of the id before the first dash.
   */
  override decode(id: string, value: string): Result<RegisteredWorker, Fault> {
    const domainOfId = id.includes("-") ? id.split("-")[0] : "d";
    const failureDomain = value.split("@")[1] ?? domainOfId;
    const bornMs = Number.parseInt(value, 10) || 0;
    const address = `${machineOf(id)}:1`;
    const isDraining = value === DRAINING;
    return Ok(
      createWorkerInfo(id, { address, bornMs, isDraining, failureDomain }),
    );
  }
}
