import { createAttempt, isFurthest, recordMeasurement } from "./attempt";
import type {
  AddJobOptions,
  BoardListener,
  BoardOptions,
} from "./board_options";
import { CrashLosses, LossEvidence } from "./crash_losses";
import type { Job } from "./job";
import { createJobRecord, findTask } from "./job_record";
import { isFinal, JobPhase } from "./job_state";
import { LateStarts } from "./late_starts";
import { MachineCrashes } from "./machine_crashes";
import { listStepRuns } from "./occurrences";
import {
  type Attempt,
  AttemptPhase,
  isStepDone,
  type JobRecord,
  type Task,
  taskNameOf,
} from "./task";
import {
  type EndedRun,
  isReported,
  isSameTask,
  type RegisteredWorker,
  RunEnd,
  type RunningRun,
  type TaskName,
  type WorkerReport,
} from "./task_worker";
import { WorkerRecord } from "./worker_record";

/** Request to stop a run on a worker. */
export interface StopRequest {
  readonly worker: WorkerRecord;
  readonly task: TaskName;
  readonly run: number;
  /** Why the run is stopped. */
  readonly reason: string;
}

/** Delay before a failed task starts again, in ms. */
const RETRY_DELAY_MS = 100;
/** Reports must list a run this long after its unconfirmed start, in ms. */
const START_CONFIRM_MS = 1500;
/** Number of consecutive reports without a run after which it is stopped. */
const MAX_MISSED_REPORTS = 2;
/** A run of an unknown job is stopped after this time, in ms. */
const UNKNOWN_RUN_LIMIT_MS = 2000;

/**
 * The leading scheduler's view of jobs, workers and the runs that may be
 * active. Workers' reports decide which runs exist; the board follows them.
 */
export class JobBoard {
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, WorkerRecord>();
  /** Runs that ended with their workers. */
  readonly losses: CrashLosses;
  readonly machines = new MachineCrashes();
  /** Starts that workers may still carry out, whatever became of the runs. */
  readonly lateStarts = new LateStarts();
  readonly #listener: BoardListener;
  readonly #options: BoardOptions;
  /** Jobs that are over, according to their rows; they may be unknown. */
  readonly #closedJobs = new Set<string>();
  /** Runs of unknown jobs: monotonic ms of their first report, by run. */
  readonly #unknownRuns = new Map<string, number>();

  constructor(listener: BoardListener, options: BoardOptions) {
    this.#listener = listener;
    this.#options = options;
    this.losses = new CrashLosses({
      onChanged: (record) => listener.onChanged(record),
      onLoss: (task, loss, change) => listener.onLoss?.(task, loss, change),
    });
  }

  /**
   * Adds a job with the runs and ends of it that workers have reported before.
   * If the job is known already, returns its record unchanged.
   */
  addJob(job: Job, revision: number, options: AddJobOptions): JobRecord {
    const known = this.jobs.get(job.id);
    if (known !== undefined) return known;
    const record = createJobRecord(job, {
      revision,
      queue: options.queue,
      state: options.state,
      runFloor: this.#options.runFloor,
    });
    this.jobs.set(job.id, record);
    this.losses.adopt(record);
    for (const worker of this.workers.values()) {
      this.#applyEarlierReports(worker, options);
      this.losses.onRegistered(worker.info);
      this.losses.onReport(worker);
    }
    return record;
  }

  /** Notes that none of a job's tasks may run any more. */
  onClosed(id: string): void {
    this.#closedJobs.add(id);
  }

  /** Notes that the id of a closed job is free again, or is in use again. */
  onReopened(id: string): void {
    this.#closedJobs.delete(id);
  }

  /** Cancels a job and stops its runs; undefined if unknown or over. */
  cancelJob(id: string, wallMs: number): JobRecord | undefined {
    const record = this.jobs.get(id);
    if (record === undefined || isFinal(record.phase)) return undefined;
    this.#finish(record, JobPhase.Cancelled, wallMs);
    return record;
  }

  /** Removes a finished job once its final state is stored. */
  dropJob(id: string): void {
    const record = this.jobs.get(id);
    if (record !== undefined) this.losses.forget(record);
    this.jobs.delete(id);
  }

  /** Gives up the jobs with a task under which workers keep crashing. */
  giveUpCrashLoops(nowMs: number, wallMs: number): Task[] {
    const tasks = this.losses.listCrashLoops(nowMs);
    return tasks.filter(({ stepRun: { record } }) => {
      if (isFinal(record.phase)) return false;
      this.#finish(record, JobPhase.Failed, wallMs);
      return true;
    });
  }

  /** Adds a worker from the registry, or updates it. */
  addWorker(info: RegisteredWorker): WorkerRecord {
    this.losses.onRegistered(info);
    const known = this.workers.get(info.id);
    if (known !== undefined) {
      known.info = info;
      known.isRegistered = true;
      return known;
    }
    const worker = new WorkerRecord(info);
    this.workers.set(info.id, worker);
    return worker;
  }

  /** Records that a start order is being sent. */
  onSent(
    task: Task,
    run: number,
    worker: WorkerRecord,
    nowMs: number,
  ): Attempt {
    const attempt = this.#attach(task, run, worker, nowMs);
    attempt.phase = AttemptPhase.Starting;
    return attempt;
  }

  /** Records that a worker has refused a start and will never carry it out. */
  onRefused(attempt: Attempt, notBeforeMs: number): void {
    this.#detach(attempt);
    attempt.task.notBeforeMs = Math.max(attempt.task.notBeforeMs, notBeforeMs);
  }

  /** Applies a worker's report; `sentMs` is when it was requested. */
  onReport(
    worker: WorkerRecord,
    report: WorkerReport,
    times: { sentMs: number; nowMs: number; wallMs: number },
  ): void {
    if (report.bornMs !== worker.bornMs) {
      if (worker.bornMs !== 0) this.#onNewIncarnation(worker, times);
      worker.bornMs = report.bornMs;
      worker.upSinceMs = times.nowMs;
    }
    worker.silentSinceMs = undefined;
    worker.isReplaced = false;
    worker.hasReported ||= !report.hasMore;
    const isComplete = times.nowMs >= this.#options.allJobsKnownMs;
    this.#applyDeferredEnds(worker, { ...times, isComplete });
    worker.lastReportMs = times.sentMs;
    for (const ended of report.ended) {
      if (ended.number <= worker.lastEndNumber) continue;
      worker.lastEndNumber = ended.number;
      const isKnown = this.jobs.has(ended.task.jobId);
      if (isKnown) this.#onEnded(worker, ended, times);
      else if (!isComplete) worker.deferredEnds.push(ended);
    }
    // Runs of unknown jobs may have ended among the ends that follow.
    worker.unknownRuns = report.hasMore
      ? worker.unknownRuns.filter((run) => !isReported(run, report))
      : [];
    const listed = new Set<Attempt>();
    for (const running of report.running) {
      const attempt = this.#onRunning(worker, running, times);
      if (attempt !== undefined) listed.add(attempt);
    }
    for (const attempt of [...worker.attempts]) {
      if (listed.has(attempt)) attempt.isInherited = false;
      // Its end may be among those that follow, so nothing is known of it.
      else if (report.hasMore) attempt.progressMs = times.nowMs;
      // The worker answers this leader, so it refuses a start of a former one.
      else if (attempt.isInherited) this.#detach(attempt);
      else this.#onMissing(attempt, times.sentMs);
    }
    this.#refuseLateStarts(worker, report, times);
    this.losses.onReport(worker);
  }

  /** Has a new incarnation refuse the starts that it may still carry out. */
  #refuseLateStarts(
    worker: WorkerRecord,
    report: WorkerReport,
    times: { sentMs: number; nowMs: number },
  ): void {
    const starts = this.lateStarts.onReport(worker.id, report, times);
    worker.hasLateStarts = starts.length > 0;
    for (const { task, run } of starts) {
      const reason = "its start may be carried out late";
      this.#listener.onStop({ worker, task, run, reason });
    }
  }

  /** Records that a worker has answered the stop of a run. */
  onStopped(worker: WorkerRecord, name: TaskName, run: number, nowMs: number) {
    this.lateStarts.onStopped(worker.id, { task: name, run }, nowMs);
    for (const attempt of worker.attempts) {
      const isMatch =
        attempt.phase === AttemptPhase.Stopping &&
        attempt.run === run &&
        isSameTask(taskNameOf(attempt.task), name);
      if (isMatch) attempt.stoppedMs ??= nowMs;
    }
  }

  /** Records that a worker does not answer; its runs may be lost. */
  onSilent(worker: WorkerRecord, nowMs: number): void {
    worker.silentSinceMs ??= nowMs;
    for (const attempt of worker.attempts) {
      this.losses.recordAttempt(attempt, LossEvidence.Open, nowMs);
    }
  }

  /** Attaches a run that a former leader knew to its worker. */
  adoptRun(
    worker: WorkerRecord,
    name: TaskName,
    { run, workedMs, nowMs }: { run: number; workedMs: number; nowMs: number },
  ): void {
    const record = this.jobs.get(name.jobId);
    const task = record && findTask(record, name);
    if (record === undefined || task === undefined) return;
    if (isFinal(record.phase) || task.isDone) return;
    const isListed = task.attempts.some(
      (one) => one.worker === worker && one.run === run,
    );
    if (isListed) return;
    const attempt = this.#attach(task, run, worker, nowMs);
    attempt.confirmedMs = nowMs;
    attempt.isInherited = true;
    attempt.inheritedWorkMs = workedMs;
    task.wasAtWork = true;
  }

  /** Records that no run is left on a lost worker. */
  onLost(worker: WorkerRecord): void {
    for (const attempt of [...worker.attempts]) {
      this.#detachLost(attempt, LossEvidence.Unresponsive);
    }
    this.#resetReports(worker);
  }

  /**
   * Records that another instance answers at the worker's address. The worker
   * runs nothing any more if a later one is registered there. Without such an
   * entry, the worker may have moved to another address.
   */
  onOtherInstance(worker: WorkerRecord, nowMs: number): void {
    this.losses.onReplaced(worker);
    if (worker.isReplaced || !this.#hasSuccessor(worker)) return;
    worker.isReplaced = true;
    this.onLost(worker);
    this.losses.onReplaced(worker);
    this.#onCrashProven(worker, nowMs);
  }

  /** Counts a crash, whose losses are recorded, towards its machine's health. */
  #onCrashProven(worker: WorkerRecord, nowMs: number): void {
    const { address, isDraining } = worker.info;
    if (isDraining) return;
    this.machines.onCrash(address, {
      nowMs,
      isExplained: this.losses.isCrashExplained(worker),
      machineCount: this.workers.size,
    });
    const isFaulty = this.machines.isFaulty(address, nowMs);
    this.losses.setMachineFaulty(address, isFaulty);
  }

  /** Whether a worker that was born later is registered at the same address. */
  #hasSuccessor({ id, info, bornMs }: WorkerRecord): boolean {
    const formerBornMs = Math.max(info.bornMs, bornMs);
    for (const other of this.workers.values()) {
      const isLater =
        other.id !== id &&
        other.isRegistered &&
        other.info.address === info.address &&
        other.info.bornMs > formerBornMs;
      if (isLater) return true;
    }
    return false;
  }

  /**
   * Handles a new incarnation of the worker. A start that was not confirmed
   * before the report was requested may have reached the new incarnation, and one
   * with a try that was not answered may still reach it: their attempts are kept.
   */
  #onNewIncarnation(
    worker: WorkerRecord,
    { sentMs, nowMs }: { sentMs: number; nowMs: number },
  ): void {
    this.lateStarts.onNewIncarnation(worker.id);
    for (const attempt of [...worker.attempts]) {
      // Only the former incarnation is known to have carried out a stop.
      attempt.stoppedMs = undefined;
      if (!isConfirmedBefore(attempt, sentMs)) continue;
      const noticedMs = worker.silentSinceMs ?? nowMs;
      this.losses.recordAttempt(attempt, LossEvidence.Restarted, noticedMs);
      const start = { task: taskNameOf(attempt.task), run: attempt.run };
      if (!this.lateStarts.has(worker.id, start)) this.#remove(attempt);
    }
    this.#onCrashProven(worker, nowMs);
    this.#resetReports(worker);
  }

  /** Forgets the ends that the worker has reported so far. */
  #resetReports(worker: WorkerRecord): void {
    worker.resetEnds();
    worker.unknownRuns = [];
    worker.bornMs = 0;
  }

  /**
   * Applies what the worker's reports said of jobs that were not known then. A
   * former leader may have started a job that reaches this leader only after
   * the reports: it must not count as waiting until the next one.
   */
  #applyEarlierReports(
    worker: WorkerRecord,
    { nowMs, wallMs }: { nowMs: number; wallMs: number },
  ): void {
    this.#applyDeferredEnds(worker, { nowMs, wallMs, isComplete: false });
    const { unknownRuns, lastReportMs: sentMs } = worker;
    if (unknownRuns.length === 0) return;
    worker.unknownRuns = [];
    for (const running of unknownRuns) {
      this.#onRunning(worker, running, { sentMs, nowMs });
    }
  }

  /** Applies deferred ends whose jobs are known by now. */
  #applyDeferredEnds(
    worker: WorkerRecord,
    times: { nowMs: number; wallMs: number; isComplete: boolean },
  ): void {
    if (worker.deferredEnds.length === 0) return;
    const { deferredEnds } = worker;
    worker.deferredEnds = [];
    for (const ended of deferredEnds) {
      const isKnown = this.jobs.has(ended.task.jobId);
      if (isKnown) this.#onEnded(worker, ended, times);
      else if (!times.isComplete) worker.deferredEnds.push(ended);
    }
  }

  #onRunning(
    worker: WorkerRecord,
    running: RunningRun,
    { sentMs, nowMs }: { sentMs: number; nowMs: number },
  ): Attempt | undefined {
    const record = this.jobs.get(running.task.jobId);
    if (record === undefined) {
      worker.unknownRuns.push(running);
      this.#onUnknownRun(worker, running, nowMs);
      return undefined;
    }
    const task = findTask(record, running.task);
    if (task === undefined) return undefined;
    let attempt = task.attempts.find(
      (one) => one.worker === worker && one.run === running.run,
    );
    attempt ??= this.#attach(task, running.run, worker, sentMs);
    attempt.missedReports = 0;
    attempt.bornMs = worker.bornMs;
    if (attempt.percent !== running.percent || attempt.pacePercent < 100) {
      attempt.progressMs = nowMs;
    }
    attempt.percent = running.percent;
    attempt.wasAtFullSpeed ||= running.percent >= 100;
    recordMeasurement(attempt, running.measurement, nowMs);
    const { targetMs } = task.stepRun.step;
    if (targetMs === 0 || running.measurement <= targetMs) {
      attempt.overSinceMs = undefined;
    } else attempt.overSinceMs ??= nowMs;
    if (running.checkpoint !== "" && isFurthest(attempt)) {
      task.checkpoint = running.checkpoint;
    }
    const isOver = isFinal(record.phase) || task.isDone;
    if (isOver || attempt.phase === AttemptPhase.Stopping) {
      this.stop(attempt, "its job or task is over");
    } else {
      this.onStarted(attempt, nowMs);
      this.losses.onListed(attempt);
      this.losses.onRunning(attempt, sentMs);
      this.#stopDuplicates(task);
    }
    return attempt;
  }

  /** Stops all runs but one of a task that must not run several times at once. */
  #stopDuplicates({ attempts, stepRun: { step } }: Task): void {
    if (step.isSpeculative || attempts.length < 2) return;
    const [kept, ...others] = attempts
      .filter(({ phase }) => phase !== AttemptPhase.Stopping)
      .sort((a, b) =>
        // The runs of a gang only work together with those of the same number.
        step.isGang ? b.run - a.run : b.percent - a.percent || b.run - a.run,
      );
    for (const other of kept === undefined ? [] : others) {
      this.stop(other, "another run of its task is at work");
    }
  }

  /** Stops a run whose job is over, or stays unknown for too long. */
  #onUnknownRun(
    worker: WorkerRecord,
    running: RunningRun,
    nowMs: number,
  ): void {
    const { jobId, occurrence, step, index } = running.task;
    const key = `${jobId}/${occurrence}/${step}/${index}/${running.run}`;
    const isClosed = this.#closedJobs.has(jobId);
    const sinceMs = this.#unknownRuns.get(key);
    if (sinceMs === undefined && !isClosed) {
      this.#unknownRuns.set(key, nowMs);
      return;
    }
    const isWaitOver =
      sinceMs !== undefined && nowMs - sinceMs >= UNKNOWN_RUN_LIMIT_MS;
    if (!isClosed && !isWaitOver) return;
    this.#unknownRuns.delete(key);
    this.#listener.onStop({
      worker,
      task: running.task,
      run: running.run,
      reason: isClosed ? "its job is over" : "its job is unknown",
    });
  }

  /** Requests the stop of a run; the attempt is kept until the run ends. */
  stop(attempt: Attempt, reason: string): void {
    attempt.phase = AttemptPhase.Stopping;
    attempt.stopReason ??= reason;
    attempt.worker.markChanged();
    const { stepRun, index } = attempt.task;
    this.#listener.onStop({
      worker: attempt.worker,
      task: {
        jobId: stepRun.record.job.id,
        occurrence: stepRun.occurrence,
        step: stepRun.number,
        index,
      },
      run: attempt.run,
      reason,
    });
  }

  /** Handles a report that does not list the attempt. */
  #onMissing(attempt: Attempt, sentMs: number): void {
    // After an answered stop, a run that is not listed can never appear.
    if (attempt.stoppedMs !== undefined && attempt.stoppedMs < sentMs) {
      // The order may have reached the former incarnation.
      if (attempt.bornMs === attempt.worker.bornMs) this.#detach(attempt);
      else this.#detachLost(attempt, LossEvidence.Restarted);
      return;
    }
    const { worker, bornMs, confirmedMs } = attempt;
    const isOfFormer = bornMs !== 0 && bornMs !== worker.bornMs;
    if (isOfFormer && isConfirmedBefore(attempt, sentMs)) {
      this.stop(attempt, "its start may be carried out late");
      return;
    }
    const knownMs = confirmedMs ?? attempt.sentMs + START_CONFIRM_MS;
    // A report requested before the start took effect cannot list the run.
    if (knownMs >= sentMs) return;
    attempt.missedReports += 1;
    if (attempt.missedReports >= MAX_MISSED_REPORTS)
      this.stop(attempt, "missing from reports");
  }

  #onEnded(
    worker: WorkerRecord,
    ended: EndedRun,
    { nowMs, wallMs }: { nowMs: number; wallMs: number },
  ): void {
    const record = this.jobs.get(ended.task.jobId);
    const task = record && findTask(record, ended.task);
    if (record === undefined || task === undefined) return;
    worker.onEndApplied(ended);
    task.wasAtWork = true;
    task.lastRun = Math.max(task.lastRun, ended.run);
    const attempt = task.attempts.find(
      (one) => one.worker === worker && one.run === ended.run,
    );
    const isBehind = attempt !== undefined && !isFurthest(attempt);
    if (ended.checkpoint !== "" && !isBehind) {
      task.checkpoint = ended.checkpoint;
    }
    if (attempt !== undefined) this.#detach(attempt);
    this.#listener.onEnd(task, ended, worker, attempt?.stopReason);
    if (isFinal(record.phase) || task.isDone) return;
    if (ended.end === RunEnd.Stopped) record.stoppedRuns += 1;
    switch (ended.end) {
      case RunEnd.Done:
        this.#onDone(task, wallMs);
        break;
      case RunEnd.Failed:
        task.failedOn.add(worker.id);
        this.#onFailed(task, ended.run, { nowMs, wallMs });
        break;
      default:
        task.notBeforeMs = Math.max(task.notBeforeMs, nowMs);
    }
  }

  #onDone(task: Task, wallMs: number): void {
    const { stepRun } = task;
    const { record, step } = stepRun;
    if (step.isLongRunning) {
      // A long-running task restarts until its job is cancelled.
      return;
    }
    const finished = step.isGang ? stepRun.tasks : [task];
    for (const one of finished) {
      if (one.isDone) continue;
      this.losses.clear(one);
      one.isDone = true;
      stepRun.doneCount += 1;
      for (const copy of [...one.attempts]) this.stop(copy, "task is done");
    }
    if (isStepDone(stepRun)) record.openSteps -= 1;
    if (record.openSteps === 0) {
      this.#finish(record, JobPhase.Completed, wallMs);
    } else {
      this.#listener.onChanged(record);
    }
  }

  #onFailed(
    task: Task,
    run: number,
    { nowMs, wallMs }: { nowMs: number; wallMs: number },
  ): void {
    const { record, step } = task.stepRun;
    task.notBeforeMs = Math.max(task.notBeforeMs, nowMs + RETRY_DELAY_MS);
    if (step.isLongRunning) return;
    task.failedRuns.add(run);
    const limit = record.queue?.attemptLimit ?? Number.POSITIVE_INFINITY;
    // Another copy of the task that is still running may succeed.
    if (task.failedRuns.size >= limit && task.attempts.length === 0) {
      this.#finish(record, JobPhase.Failed, wallMs);
    } else {
      this.#listener.onChanged(record);
    }
  }

  #finish(record: JobRecord, phase: JobPhase, wallMs: number): void {
    record.phase = phase;
    record.sinceMs = wallMs;
    for (const stepRun of listStepRuns(record)) {
      if (!stepRun.hasTasks) continue;
      for (const task of stepRun.tasks) {
        for (const attempt of [...task.attempts]) {
          this.stop(attempt, `job is ${phase}`);
        }
      }
    }
    this.#listener.onChanged(record);
  }

  /** Records that a worker has confirmed a start. */
  onStarted(attempt: Attempt, nowMs: number): void {
    attempt.confirmedMs ??= nowMs;
    attempt.task.wasAtWork = true;
    if (attempt.phase === AttemptPhase.Starting) {
      attempt.phase = AttemptPhase.Running;
    }
    const { record } = attempt.task.stepRun;
    if (record.phase !== JobPhase.Queued) return;
    record.phase = JobPhase.Running;
    this.#listener.onChanged(record);
  }

  #attach(
    task: Task,
    run: number,
    worker: WorkerRecord,
    sentMs: number,
  ): Attempt {
    const attempt = createAttempt(task, run, worker, sentMs);
    task.lastRun = Math.max(task.lastRun, run);
    task.attempts.push(attempt);
    worker.add(attempt);
    return attempt;
  }

  /** Removes a run that was lost with its worker. */
  #detachLost(
    attempt: Attempt,
    evidence: LossEvidence,
    noticedMs?: number,
  ): void {
    this.losses.recordAttempt(attempt, evidence, noticedMs);
    this.#remove(attempt);
  }

  /** Removes a run that ended, or was not started. */
  #detach(attempt: Attempt): void {
    this.losses.onEndKnown(attempt);
    this.#remove(attempt);
  }

  #remove(attempt: Attempt): void {
    const { attempts } = attempt.task;
    const place = attempts.indexOf(attempt);
    if (place >= 0) attempts.splice(place, 1);
    attempt.worker.remove(attempt);
  }
}

/** Whether the worker confirmed the start before that time. */
function isConfirmedBefore(
  { confirmedMs }: Attempt,
  beforeMs: number,
): boolean {
  return confirmedMs !== undefined && confirmedMs < beforeMs;
}
