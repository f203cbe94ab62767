import type { Resources } from "@laburnumtrack/core/resources";
import type { Attempt, StepRun, Task } from "./task";
import type { EndedRun, RegisteredWorker, RunningRun } from "./task_worker";

/** A run that ended, and the job that its end concerns. */
interface JobEnd {
  readonly number: number;
  readonly jobId: string;
}

/**
 * Most ends whose acknowledgement waits until their jobs are stored. A worker
 * lists 500 ends at a time, so those that follow would not be seen.
 */
const MAX_UNSTORED_ENDS = 400;
/**
 * Time after which a run that has not failed on a probed worker makes room for
 * another one, in ms.
 */
export const PROBE_MS = 1000;
/** Average fraction of its reservation that a serving task leaves unused. */
const UNUSED_FRACTION = 0.5;

/** State of a worker, kept by the leading scheduler. */
export class WorkerRecord {
  readonly id: string;
  info: RegisteredWorker;
  /** Whether the registry currently lists it. */
  isRegistered = true;
  /** Whether the stored roster lists it, which a lease requires. */
  isRostered = false;
  /** Whether its last renewal went unanswered. */
  isSilent = false;
  /** Monotonic ms since which no renewal was answered; undefined if one was. */
  silentSinceMs: number | undefined;
  /** Whether the leadership row may list it as silent. */
  isListedSilent = false;
  /** Unix ms of the start of the reporting incarnation; 0 before any report. */
  bornMs = 0;
  /** Monotonic ms at which this incarnation first answered this leader. */
  upSinceMs = Number.POSITIVE_INFINITY;
  /** Whether it has answered this leader. */
  hasReported = false;
  /**
   * Monotonic ms until which it stays for certain if it is leaving; in the past
   * if that is not known.
   */
  leavesAtMs = Number.NEGATIVE_INFINITY;
  /** Whether its failure domain is evacuated. */
  isInEvacuation = false;
  /** Monotonic ms since which it was in an evacuation, the last time. */
  evacuatedSinceMs = Number.NEGATIVE_INFINITY;
  /** Part of its cold time that it has still before it; 0 when it is warm. */
  coldness = 0;
  /** Most tasks that it may have while it is cold. */
  coldTaskLimit = Number.POSITIVE_INFINITY;
  /** Monotonic ms at which an evacuation of its failure domain was lifted. */
  cooledMs = Number.NEGATIVE_INFINITY;
  /** Time for which it is cold from then on, in ms. */
  coldAgainMs = 0;
  /** Monotonic ms at which it was first seen, if its start is not known. */
  firstSeenMs: number | undefined;
  /** Whether a former leader's rows tell which runs may be active on it. */
  areRunsInherited = false;
  /**
   * Whether another worker has taken its place at its address, so that it runs
   * nothing any more.
   */
  isReplaced = false;
  /** Whether it may still begin runs whose starts were sent before. */
  hasLateStarts = false;
  /** Monotonic ms at which its last answered renewal was sent. */
  lastReportMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms after which all granted leases have expired. */
  leaseExpiryMs = Number.NEGATIVE_INFINITY;
  /** Highest end number that was processed. */
  lastEndNumber = 0;
  /** Highest end number up to which the effects of all ends are stored. */
  storedEndNumber = 0;
  /** Ends above it that were applied to their jobs. */
  #appliedEnds: JobEnd[] = [];
  /** Ends of runs whose jobs are not known yet; applied once they are. */
  deferredEnds: EndedRun[] = [];
  /** Active runs, by its last report, whose jobs are not known yet. */
  unknownRuns: RunningRun[] = [];
  readonly attempts = new Set<Attempt>();
  /** Tasks for whose next run its resources are held back. */
  readonly reservations = new Set<Task>();
  /** Counts the changes that affect its tasks' tail latencies. */
  changeCount = 0;
  /** Reserved CPU, in thousandths of a core. */
  cpuMilli = 0;
  memoryMb = 0;
  accelerators = 0;
  /** CPU reserved by serving tasks, in thousandths of a core. */
  servingMilli = 0;
  /** CPU that fillers ask for, in thousandths of a core. */
  fillerMilli = 0;
  /** Attempts of tasks with a latency target. */
  readonly serving = new Set<Attempt>();
  /** Attempts of tasks that use spare CPU only. */
  readonly fillers = new Set<Attempt>();
  /** Attempts of tasks of which runs were lost with their workers. */
  readonly suspects = new Set<Attempt>();
  /**
   * Monotonic ms from which it is probed, because runs kept failing there;
   * undefined if it is not. Until then it is set aside.
   */
  probedFromMs: number | undefined;
  /** Monotonic ms until which no new task is placed on it. */
  backoffUntilMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms at which its fillers were last paused or moved. */
  lastReliefMs = Number.NEGATIVE_INFINITY;

  constructor(info: RegisteredWorker) {
    this.id = info.id;
    this.info = info;
  }

  /** Whether this leader knows all runs that may be active on it. */
  get areRunsKnown(): boolean {
    return this.hasReported || this.areRunsInherited || this.isReplaced;
  }

  /**
   * Whether it is leaving or has left, and has nothing that matters any more: no
   * run is active, none will start, and the ends of all runs are stored.
   */
  get isEvacuated(): boolean {
    return (
      (this.isLeaving || !this.isRegistered) &&
      this.areRunsKnown &&
      !this.mayHaveRuns &&
      this.storedEndNumber >= this.lastEndNumber
    );
  }

  /** Whether it has announced that it ends soon, and is still there. */
  get isLeaving(): boolean {
    return this.isRegistered && this.info.isDraining;
  }

  /** Whether its tasks are to go on elsewhere. */
  get isToBeCleared(): boolean {
    return this.isLeaving || this.isInEvacuation;
  }

  /**
   * Whether it may be granted a lease. Only then does the next leader know of
   * the lease and wait for it to expire.
   */
  get canGrantLease(): boolean {
    return this.isRostered && !this.isSilent && !this.isListedSilent;
  }

  /** Whether runs on it are active, or ended without effect on their job yet. */
  get mayHaveRuns(): boolean {
    return (
      this.attempts.size > 0 ||
      this.unknownRuns.length > 0 ||
      this.deferredEnds.length > 0
    );
  }

  /** Adds an attempt and its resources. */
  add(attempt: Attempt): void {
    this.attempts.add(attempt);
    const { isFiller, targetMs } = attempt.task.stepRun.step;
    if (isFiller) this.fillers.add(attempt);
    if (targetMs > 0) this.serving.add(attempt);
    if (attempt.task.losses.length > 0) this.suspects.add(attempt);
    this.#addResources(attempt.task, 1);
  }

  /** Removes an attempt and its resources. */
  remove(attempt: Attempt): void {
    if (!this.attempts.delete(attempt)) return;
    this.fillers.delete(attempt);
    this.serving.delete(attempt);
    this.suspects.delete(attempt);
    this.#addResources(attempt.task, -1);
  }

  /** Holds back the resources of a task. */
  reserve(task: Task): void {
    this.reservations.add(task);
    this.#addResources(task, 1);
  }

  /** Frees the resources that are held back for a task. */
  release(task: Task): void {
    if (this.reservations.delete(task)) this.#addResources(task, -1);
  }

  /** Resources that long-running tasks and reservations take. */
  lastingResources(): Resources {
    const lasting = [...this.attempts]
      .map(({ task }) => task)
      .filter(({ stepRun }) => stepRun.step.isLongRunning);
    const sum = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
    for (const { stepRun } of [...lasting, ...this.reservations]) {
      const { resources, isFiller } = stepRun.step;
      if (!isFiller) sum.cpuMilli += resources.cpuMilli;
      sum.memoryMb += resources.memoryMb;
      sum.accelerators += resources.accelerators;
    }
    return sum;
  }

  /** Whether it has as many tasks as it may have while it is cold. */
  get isAtColdLimit(): boolean {
    return this.attempts.size + this.reservations.size >= this.coldTaskLimit;
  }

  /** Whether it has a task that may crash it. */
  get hasSuspect(): boolean {
    if (this.suspects.size === 0) return false;
    return [...this.suspects].some(({ task }) => task.losses.length > 0);
  }

  /**
   * Whether it is probed and another task has to wait: one run at a time shows
   * whether runs still fail there. The tasks of a gang probe it together.
   */
  isProbeOpen(nowMs: number, stepRun?: StepRun): boolean {
    if (this.probedFromMs === undefined) return false;
    return [...this.attempts].some(
      (attempt) =>
        this.isProbe(attempt) &&
        nowMs - attempt.sentMs < PROBE_MS &&
        !(attempt.task.stepRun === stepRun && stepRun.step.isGang),
    );
  }

  /** Whether a run was started to probe the worker. */
  isProbe({ sentMs }: Attempt): boolean {
    return this.probedFromMs !== undefined && sentMs >= this.probedFromMs;
  }

  /** Whether it gets no other task for now, as one that may crash it is alone. */
  get isDedicated(): boolean {
    if (this.suspects.size === 0) return false;
    return [...this.suspects].some(
      ({ isIsolated, task }) => isIsolated && task.losses.length > 0,
    );
  }

  /** Highest end number up to which no end is deferred. */
  get processedEndNumber(): number {
    const numbers = this.deferredEnds.map(({ number }) => number - 1);
    return Math.min(this.lastEndNumber, ...numbers);
  }

  /** Records that an end was applied to its job. */
  onEndApplied({ number, task: { jobId } }: EndedRun): void {
    this.#appliedEnds.push({ number, jobId });
  }

  /**
   * Highest end number up to which the effects of all ends are stored once all
   * jobs are, except those that are listed.
   */
  storableEndNumber(unstoredJobs: ReadonlySet<string>): number {
    const processed = this.processedEndNumber;
    if (unstoredJobs.size === 0) return processed;
    const held = this.#appliedEnds
      .filter(({ jobId }) => unstoredJobs.has(jobId))
      .map(({ number }) => number - 1);
    // A job that cannot be stored does not keep ends of other jobs from being seen.
    const least = this.lastEndNumber - MAX_UNSTORED_ENDS;
    return Math.min(processed, Math.max(least, Math.min(processed, ...held)));
  }

  /**
   * Records that ends up to this number are stored. Returns how many of them are
   * not, because their jobs are listed: these are acknowledged all the same.
   */
  onEndsStored(number: number, unstoredJobs: ReadonlySet<string>): number {
    this.storedEndNumber = number;
    let unstored = 0;
    this.#appliedEnds = this.#appliedEnds.filter((end) => {
      if (end.number > number) return true;
      if (unstoredJobs.has(end.jobId)) unstored += 1;
      return false;
    });
    return unstored;
  }

  /** Forgets all ends that it has reported. */
  resetEnds(): void {
    this.lastEndNumber = 0;
    this.storedEndNumber = 0;
    this.#appliedEnds = [];
    this.deferredEnds = [];
  }

  /** CPU to divide by for shares, in thousandths of a core; above zero. */
  get cpuCapacityMilli(): number {
    return Math.max(1, this.info.capacity.cpuMilli);
  }

  /** Expected spare CPU, in thousandths of a core. */
  get spareCpuMilli(): number {
    const usedMilli = this.cpuMilli - UNUSED_FRACTION * this.servingMilli;
    return this.info.capacity.cpuMilli - usedMilli - this.fillerMilli;
  }

  /** Marks values that were derived from its tasks as outdated. */
  markChanged(): void {
    this.changeCount += 1;
  }

  #addResources({ stepRun }: Task, sign: 1 | -1): void {
    this.markChanged();
    const { resources, isFiller, targetMs } = stepRun.step;
    if (isFiller) this.fillerMilli += sign * resources.cpuMilli;
    else this.cpuMilli += sign * resources.cpuMilli;
    if (targetMs > 0) this.servingMilli += sign * resources.cpuMilli;
    this.memoryMb += sign * resources.memoryMb;
    this.accelerators += sign * resources.accelerators;
  }
}
