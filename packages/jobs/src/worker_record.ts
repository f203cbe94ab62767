import type { Attempt } from "./task";
import type { EndedRun, RegisteredWorker } from "./task_worker";

/** Part of its reservation that a serving task leaves unused on the mean. */
const IDLE_SHARE = 0.5;

/** A worker in the leading scheduler's memory. */
export class WorkerRecord {
  readonly id: string;
  info: RegisteredWorker;
  /** Whether the registry lists it now. */
  isRegistered = true;
  /** Whether the stored roster has it: only then may it be given a lease. */
  isRostered = false;
  /** Its last renewal was not answered. */
  isSilent = false;
  /** The leader's row may list it as silent. */
  isListedSilent = false;
  /** Life that its reports are of; 0: none was received. */
  bornMs = 0;
  /** Whether it has answered this leader. */
  hasReported = false;
  /** Monotonic ms at which its last answered renewal was sent. */
  reportMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms after which no lease that was granted is valid. */
  lapseMs = Number.NEGATIVE_INFINITY;
  /** Highest end that was taken in. */
  lastEnd = 0;
  /** Highest end whose effect is stored. */
  storedEnd = 0;
  /** Ends of runs whose jobs are not known yet. */
  orphans: EndedRun[] = [];
  readonly attempts = new Set<Attempt>();
  /** Grows when something changes that bears on its tasks' tails. */
  change = 0;
  /** Processor time reserved, in thousandths of a core. */
  cpuMilli = 0;
  memoryMb = 0;
  accelerators = 0;
  /** Part of it that serving tasks have reserved. */
  servingMilli = 0;
  /** What fillers would use, in thousandths of a core. */
  fillerMilli = 0;
  /** Attempts that serve and have a target. */
  readonly serving = new Set<Attempt>();
  /** Attempts that use what others leave. */
  readonly fillers = new Set<Attempt>();
  /** Monotonic ms until which it gets no new task. */
  asideUntilMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms at which fillers last gave way here. */
  relievedMs = Number.NEGATIVE_INFINITY;

  constructor(info: RegisteredWorker) {
    this.id = info.id;
    this.info = info;
  }

  /** Whether a lease may be granted that the next leader takes into account. */
  get mayLease(): boolean {
    return this.isRostered && !this.isSilent && !this.isListedSilent;
  }

  /** Counts an attempt in. */
  add(attempt: Attempt): void {
    this.attempts.add(attempt);
    const { isFiller, targetMs } = attempt.task.stepRun.step;
    if (isFiller) this.fillers.add(attempt);
    if (targetMs > 0) this.serving.add(attempt);
    this.#count(attempt, 1);
  }

  /** Counts an attempt out. */
  remove(attempt: Attempt): void {
    if (!this.attempts.delete(attempt)) return;
    this.fillers.delete(attempt);
    this.serving.delete(attempt);
    this.#count(attempt, -1);
  }

  /** Highest end up to which all are of known jobs. */
  get knownEnd(): number {
    const numbers = this.orphans.map(({ number }) => number - 1);
    return Math.min(this.lastEnd, ...numbers);
  }

  /** Processor time that is likely to be left over, in thousandths of a core. */
  get leftoverMilli(): number {
    const usedMilli = this.cpuMilli - IDLE_SHARE * this.servingMilli;
    return this.info.capacity.cpuMilli - usedMilli - this.fillerMilli;
  }

  /** What its tasks do, or how fast, has changed. */
  touch(): void {
    this.change += 1;
  }

  #count({ task }: Attempt, sign: 1 | -1): void {
    this.touch();
    const { resources, isFiller, targetMs } = task.stepRun.step;
    if (isFiller) this.fillerMilli += sign * resources.cpuMilli;
    else this.cpuMilli += sign * resources.cpuMilli;
    if (targetMs > 0) this.servingMilli += sign * resources.cpuMilli;
    this.memoryMb += sign * resources.memoryMb;
    this.accelerators += sign * resources.accelerators;
  }
}
