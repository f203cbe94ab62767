import { isFinal } from "./job_state";
import { listStepRuns } from "./occurrences";
import type { Attempt, JobRecord, Task } from "./task";
import type { RegisteredWorker } from "./task_worker";
import type { WorkerRecord } from "./worker_record";

/** What is known of the worker with which a run was lost. */
export enum LossEvidence {
  /** The run may have been started; its fate is not known. */
  Open = "open",
  /** The worker did not answer until its lease had surely expired. */
  Unresponsive = "unresponsive",
  /** Another incarnation answers in its place: the worker crashed. */
  Restarted = "restarted",
}

/** A run that ended with its worker, or may have. */
export interface Loss {
  readonly run: number;
  readonly workerId: string;
  /** `host:port`; a machine may come back under a new id at its address. */
  readonly address: string;
  /** Unix ms of the start of the incarnation that had the run. */
  readonly bornMs: number;
  evidence: LossEvidence;
  /** Whether the worker was lost a while after the start, not just then. */
  isLate: boolean;
  /** Whether the machine crashes repeatedly without a task that explains it. */
  isMachineFault?: boolean;
}

/** What became of a loss. */
export enum LossChange {
  Recorded = "recorded",
  /** The worker did not crash, or the run ended otherwise. */
  Withdrawn = "withdrawn",
}

/** Callbacks from {@linkcode CrashLosses} to its owner. */
export interface LossListener {
  /** The job's losses have changed and must be stored. */
  readonly onChanged: (record: JobRecord) => void;
  /** A loss was recorded, gained evidence or was withdrawn. */
  readonly onLoss: (task: Task, loss: Loss, change: LossChange) => void;
}

/** A task with this many lost runs starts in isolation. */
export const ISOLATION_LOSSES = 2;
/** A run that worked for this time did not crash its worker, in ms. */
export const CLEARING_RUN_MS = 10_000;
/** A loss that is noticed this long after the start is late, in ms. */
const LATE_LOSS_MS = 500;
/** A task is given up once this many workers crashed just after its start. */
const MAX_CRASHES = 3;
/** A task is given up once this many runs are lost. */
const MAX_LOST_RUNS = 5;
/** Machines on which they are lost at least. */
const MIN_MACHINES = 2;
/** Crashes among them, without which the workers are waited for. */
const MIN_CRASHES = 2;
/** How long workers are waited for whose fate is not known, in ms. */
const FATE_WAIT_MS = 10_000;

/** Wait until the fate of lost workers is known. */
interface FateWait {
  /** Number of losses at its start; another loss starts it anew. */
  readonly lossCount: number;
  /** Monotonic ms of its end. */
  readonly untilMs: number;
}

const STRENGTH: Record<LossEvidence, number> = {
  [LossEvidence.Open]: 0,
  [LossEvidence.Unresponsive]: 1,
  [LossEvidence.Restarted]: 2,
};

/** Number of runs that were lost with their worker, besides the given one. */
export function countLostRuns(task: Task, exceptRun = 0): number {
  return task.losses.filter(({ run }) => run !== exceptRun).length;
}

/** Whether the task was lost on that machine before. */
export function wasLostOn(task: Task, { id, info }: WorkerRecord): boolean {
  return task.losses.some(
    ({ workerId, address }) => workerId === id || address === info.address,
  );
}

/** Whether so many runs were lost that the task must not start again. */
export function isOverLossLimit({ losses }: Task): boolean {
  const counted = listCounted(losses);
  return isOverLimit(counted) || isProvenLoop(counted);
}

/**
 * Keeps an account of runs that ended with their worker, which reports nothing
 * of them. A task that has lost runs is suspected of crashing workers until a
 * run of it ends otherwise or works for long.
 */
export class CrashLosses {
  readonly #listener: LossListener;
  readonly #suspects = new Set<Task>();
  /** Addresses of machines whose crashes do not count against tasks. */
  readonly #faultyMachines = new Set<string>();
  /** Tasks that wait until the fate of workers is known. */
  readonly #waits = new Map<Task, FateWait>();

  constructor(listener: LossListener) {
    this.#listener = listener;
  }

  /** Records a lost run, or adds evidence to one that is recorded. */
  record(
    task: Task,
    loss: Omit<Loss, "evidence" | "isLate">,
    evidence: LossEvidence,
    isLate = false,
  ): void {
    if (task.isDone || isFinal(task.stepRun.record.phase)) return;
    const known = task.losses.find(
      ({ run, workerId }) => run === loss.run && workerId === loss.workerId,
    );
    if (known !== undefined) {
      if (isLate && !known.isLate) {
        known.isLate = true;
        this.#listener.onChanged(task.stepRun.record);
      }
      this.#strengthen(task, known, evidence);
      return;
    }
    const isMachineFault = this.#faultyMachines.has(loss.address);
    const added = {
      ...loss,
      evidence,
      isLate,
      ...(isMachineFault ? { isMachineFault } : {}),
    };
    task.losses.push(added);
    task.lastRun = Math.max(task.lastRun, loss.run);
    this.#suspects.add(task);
    this.#onChange(task, added, LossChange.Recorded);
  }

  /**
   * Records that an attempt was lost, or may be, with its worker. `noticedMs` is
   * when the worker stopped answering or another incarnation answered;
   * undefined if that was noticed before.
   */
  recordAttempt(
    attempt: Attempt,
    evidence: LossEvidence,
    noticedMs?: number,
  ): void {
    const { task, run, worker, bornMs, sentMs, confirmedMs } = attempt;
    const { isInherited } = attempt;
    const { info, id: workerId } = worker;
    // A worker that drains is about to leave; its end proves nothing.
    if (info.isDraining || hasWorkedLong(attempt, worker.lastReportMs)) return;
    const { address } = info;
    const startMs = confirmedMs ?? sentMs;
    // When a run that no report has listed started is not known.
    const isLate =
      !isInherited && (noticedMs ?? startMs) - startMs > LATE_LOSS_MS;
    this.record(task, { run, workerId, address, bornMs }, evidence, isLate);
  }

  /** Withdraws the loss of a run that is listed after it was taken for lost. */
  onListed({ task, run, worker, bornMs }: Attempt): void {
    if (task.losses.length === 0) return;
    this.#withdraw(
      task,
      (loss) =>
        loss.evidence !== LossEvidence.Open &&
        loss.run === run &&
        loss.workerId === worker.id &&
        loss.bornMs !== bornMs,
    );
  }

  /** Withdraws the open loss of a run whose end is known. */
  onEndKnown({ task, run, worker }: Attempt): void {
    this.#withdraw(
      task,
      (loss) =>
        loss.evidence === LossEvidence.Open &&
        loss.run === run &&
        loss.workerId === worker.id,
    );
  }

  /** Clears a task whose run is listed as having worked for long. */
  onRunning(attempt: Attempt, nowMs: number): void {
    if (attempt.task.losses.length === 0) return;
    if (hasWorkedLong(attempt, nowMs)) this.clear(attempt.task);
  }

  /** Clears a task of all suspicion. */
  clear(task: Task): void {
    this.#withdraw(task, () => true);
  }

  /** Adds the losses of a job that were stored. */
  adopt(record: JobRecord): void {
    for (const task of tasksOf(record)) {
      if (task.losses.length > 0) this.#suspects.add(task);
    }
  }

  /** Forgets the tasks of a job that is over. */
  forget(record: JobRecord): void {
    for (const task of this.#suspects) {
      if (task.stepRun.record === record) this.#drop(task);
    }
  }

  /**
   * Applies the incarnation that answers under a worker's id, after its runs and
   * ends were applied.
   */
  onReport(worker: WorkerRecord): void {
    const { id, bornMs } = worker;
    if (bornMs === 0) return;
    this.#onIncarnation(bornMs, ({ workerId }) => workerId === id);
  }

  /** Another worker is registered at the address of a lost one. */
  onRegistered({ id, address, bornMs }: RegisteredWorker): void {
    this.#strengthenAll(
      (loss) =>
        loss.address === address &&
        loss.workerId !== id &&
        loss.bornMs < bornMs,
    );
  }

  /** Another instance answers at the worker's address. */
  onReplaced({ id }: WorkerRecord): void {
    this.#strengthenAll(({ workerId }) => workerId === id);
  }

  /**
   * Whether a task explains the crash of a worker: one that was lost on another
   * machine too, or repeatedly just after its start.
   */
  isCrashExplained({ id, info }: WorkerRecord): boolean {
    for (const { losses } of this.#suspects) {
      const loss = losses.findLast(({ workerId }) => workerId === id);
      if (loss === undefined) continue;
      const isElsewhere = losses.some(
        ({ address }) => address !== info.address,
      );
      const isRepeated = !loss.isLate && losses.length > 1;
      if (isElsewhere || isRepeated) return true;
    }
    return false;
  }

  /** Notes whether the losses on a machine count against tasks. */
  setMachineFaulty(address: string, isFaulty: boolean): void {
    if (!isFaulty) {
      this.#faultyMachines.delete(address);
      return;
    }
    this.#faultyMachines.add(address);
    for (const task of this.#suspects) {
      for (const loss of task.losses) {
        if (loss.address !== address || loss.isMachineFault) continue;
        loss.isMachineFault = true;
        this.#listener.onChanged(task.stepRun.record);
      }
    }
  }

  /**
   * Resolves what former leaders left open: workers that could tell have
   * answered by now, so the others were unresponsive.
   */
  resolveOpen(areRunsKnown: (record: JobRecord) => boolean): void {
    for (const task of this.#suspects) {
      if (!areRunsKnown(task.stepRun.record)) continue;
      for (const loss of task.losses) {
        if (loss.evidence !== LossEvidence.Open || isActive(task, loss)) {
          continue;
        }
        this.#strengthen(task, loss, LossEvidence.Unresponsive);
      }
    }
  }

  /** A task of each job that is to be given up. */
  listCrashLoops(nowMs: number): Task[] {
    return [...this.#suspects].filter(
      (task) =>
        !isFinal(task.stepRun.record.phase) && this.#isCrashLoop(task, nowMs),
    );
  }

  #isCrashLoop(task: Task, nowMs: number): boolean {
    const losses = listCounted(task.losses);
    if (isProvenLoop(losses)) return true;
    if (losses.length < MAX_CRASHES) {
      if (this.#waits.delete(task)) task.notBeforeMs = nowMs;
      return false;
    }
    if (losses.some(({ evidence }) => evidence === LossEvidence.Open)) {
      return false;
    }
    const crashes = countCrashes(losses);
    if (crashes === losses.length) return isOverLimit(losses);
    const untilMs = this.#waitFor(task, nowMs);
    if (!isOverLimit(losses)) return false;
    return crashes >= MIN_CRASHES || nowMs >= untilMs;
  }

  /**
   * Keeps a task from starting until the workers that it may have crashed had
   * time to come back; returns the end of the wait.
   */
  #waitFor(task: Task, nowMs: number): number {
    const known = this.#waits.get(task);
    if (known?.lossCount === task.losses.length) return known.untilMs;
    const untilMs = nowMs + FATE_WAIT_MS;
    this.#waits.set(task, { lossCount: task.losses.length, untilMs });
    task.notBeforeMs = Math.max(task.notBeforeMs, untilMs);
    return untilMs;
  }

  #onIncarnation(bornMs: number, isOfWorker: (loss: Loss) => boolean): void {
    this.#strengthenAll((loss) => isOfWorker(loss) && loss.bornMs !== bornMs);
    for (const task of this.#suspects) {
      this.#withdraw(
        task,
        (loss) =>
          isOfWorker(loss) && loss.bornMs === bornMs && !isActive(task, loss),
      );
    }
  }

  #strengthenAll(isProven: (loss: Loss) => boolean): void {
    for (const task of this.#suspects) {
      for (const loss of task.losses) {
        if (isProven(loss)) {
          this.#strengthen(task, loss, LossEvidence.Restarted);
        }
      }
    }
  }

  #strengthen(task: Task, loss: Loss, evidence: LossEvidence): void {
    if (STRENGTH[evidence] <= STRENGTH[loss.evidence]) return;
    loss.evidence = evidence;
    this.#onChange(task, loss, LossChange.Recorded);
  }

  #withdraw(task: Task, isVoid: (loss: Loss) => boolean): void {
    for (const loss of task.losses.filter(isVoid)) {
      task.losses.splice(task.losses.indexOf(loss), 1);
      this.#onChange(task, loss, LossChange.Withdrawn);
    }
    if (task.losses.length === 0) this.#drop(task);
  }

  #drop(task: Task): void {
    this.#suspects.delete(task);
    this.#waits.delete(task);
  }

  #onChange(task: Task, loss: Loss, change: LossChange): void {
    const { record } = task.stepRun;
    if (isFinal(record.phase)) return;
    this.#listener.onLoss(task, loss, change);
    this.#listener.onChanged(record);
  }
}

/** Whether the run has worked for long, by a report at the given time. */
function hasWorkedLong(attempt: Attempt, reportMs: number): boolean {
  return workedMsOf(attempt, reportMs) >= CLEARING_RUN_MS;
}

/** Time in ms that a run had worked by the last report before `reportMs`. */
export function workedMsOf(
  { confirmedMs, inheritedWorkMs }: Attempt,
  reportMs: number,
): number {
  if (confirmedMs === undefined) return inheritedWorkMs;
  return inheritedWorkMs + Math.max(0, reportMs - confirmedMs);
}

function isActive({ attempts }: Task, { run, workerId }: Loss): boolean {
  return attempts.some(
    (attempt) => attempt.run === run && attempt.worker.id === workerId,
  );
}

/**
 * The losses that count against a task. Those on a faulty machine count as one:
 * machines may be taken for faulty because several tasks crash them.
 */
function listCounted(losses: readonly Loss[]): Loss[] {
  const faulty = new Set<string>();
  return losses.filter(({ address, isMachineFault }) => {
    if (!isMachineFault) return true;
    const isFirst = !faulty.has(address);
    faulty.add(address);
    return isFirst;
  });
}

/** Whether so many runs were lost, and not only on one machine. */
function isOverLimit(losses: readonly Loss[]): boolean {
  const machines = new Set(losses.map(({ address }) => address));
  return losses.length >= MAX_LOST_RUNS && machines.size >= MIN_MACHINES;
}

/** Whether enough workers crashed just after a start of the task. */
function isProvenLoop(losses: readonly Loss[]): boolean {
  return countCrashes(losses.filter(({ isLate }) => !isLate)) >= MAX_CRASHES;
}

function countCrashes(losses: readonly Loss[]): number {
  const crashed = losses.filter(
    ({ evidence }) => evidence === LossEvidence.Restarted,
  );
  return crashed.length;
}

function tasksOf(record: JobRecord): Task[] {
  return listStepRuns(record).flatMap((stepRun) =>
    stepRun.hasTasks ? stepRun.tasks : [],
  );
}
