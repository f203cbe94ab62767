import type { Job } from "./job";
import { createJobRecord, findTask } from "./job_record";
import { isFinal, JobPhase, type JobState } from "./job_state";
import type { Queue } from "./queue_config";
import {
  type Attempt,
  AttemptPhase,
  isStepDone,
  type JobRecord,
  type Task,
} from "./task";
import {
  type EndedRun,
  type RegisteredWorker,
  RunEnd,
  type RunningRun,
  type TaskName,
  type WorkerReport,
} from "./task_worker";
import { WorkerRecord } from "./worker_record";

/** A run that a worker shall stop. */
export interface StopRequest {
  readonly worker: WorkerRecord;
  readonly task: TaskName;
  readonly run: number;
  readonly reason: string;
}

/** What the board tells its owner. */
export interface BoardListener {
  /** The job's state is to be stored. */
  readonly onChanged: (record: JobRecord) => void;
  readonly onStop: (stop: StopRequest) => void;
  /** A run's end was taken in. */
  readonly onEnd: (task: Task, ended: EndedRun, worker: WorkerRecord) => void;
}

/** How a board is set up. */
export interface BoardOptions {
  /** Runs get numbers above this. */
  readonly runFloor: number;
  /** Monotonic ms from which every job that may have run is known. */
  readonly completeMs: number;
}

/** Pause before a task is started again after a failure, in ms. */
const RETRY_PAUSE_MS = 100;
/** A start without an answer is given up after this long, in ms. */
const UNCONFIRMED_MS = 1500;
/** Reports without a run that was confirmed before it is given up. */
const MISSING_REPORTS = 2;
/** A figure is worked out anew about this often, in ms. */
const FIGURE_MS = 300;
/** A run of a job that is not known is stopped after this long, in ms. */
const STRANGER_MS = 2000;

/**
 * What the leading scheduler knows: jobs, workers, and which runs may be at
 * work. Workers' reports are the truth about runs; the board only follows.
 */
export class JobBoard {
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, WorkerRecord>();
  readonly #listener: BoardListener;
  readonly #options: BoardOptions;
  /** Runs of unknown jobs, with the time at which they were first seen. */
  readonly #strangers = new Map<string, number>();

  constructor(listener: BoardListener, options: BoardOptions) {
    this.#listener = listener;
    this.#options = options;
  }

  /** Takes in a job; a job that is known already stays as it is. */
  addJob(
    job: Job,
    revision: number,
    options: { queue?: Queue | undefined; state?: JobState | undefined } = {},
  ): JobRecord {
    const known = this.jobs.get(job.id);
    if (known !== undefined) return known;
    const record = createJobRecord(job, {
      revision,
      queue: options.queue,
      state: options.state,
      runFloor: this.#options.runFloor,
    });
    this.jobs.set(job.id, record);
    return record;
  }

  /** The job's row is gone: a caller cancelled it. */
  cancelJob(id: string, wallMs: number): JobRecord | undefined {
    const record = this.jobs.get(id);
    if (record === undefined || isFinal(record.phase)) return undefined;
    this.#finish(record, JobPhase.Cancelled, wallMs);
    return record;
  }

  /** Forgets a job that is over, once that is stored. */
  dropJob(id: string): void {
    this.jobs.delete(id);
  }

  /** Takes in what the registry says of a worker. */
  addWorker(info: RegisteredWorker): WorkerRecord {
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

  /** Records that a start is being sent. */
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

  /** The worker will not do, and never does, what a start asked for. */
  onRefused(attempt: Attempt, notBeforeMs: number): void {
    this.#detach(attempt);
    attempt.task.notBeforeMs = Math.max(attempt.task.notBeforeMs, notBeforeMs);
  }

  /** Takes in a worker's report; `sentMs` is when it was asked for. */
  onReport(
    worker: WorkerRecord,
    report: WorkerReport,
    times: { sentMs: number; nowMs: number; wallMs: number },
  ): void {
    if (report.bornMs !== worker.bornMs) {
      if (worker.bornMs !== 0) this.#onOtherLife(worker, times.sentMs);
      worker.bornMs = report.bornMs;
    }
    worker.hasReported ||= !report.hasMore;
    const isComplete = times.nowMs >= this.#options.completeMs;
    this.#adoptOrphans(worker, { ...times, isComplete });
    worker.reportMs = times.sentMs;
    for (const ended of report.ended) {
      if (ended.number <= worker.lastEnd) continue;
      worker.lastEnd = ended.number;
      const isKnown = this.jobs.has(ended.task.jobId);
      if (isKnown) this.#onEnded(worker, ended, times);
      else if (!isComplete) worker.orphans.push(ended);
    }
    const listed = new Set<Attempt>();
    for (const running of report.running) {
      const attempt = this.#onRunning(worker, running, times);
      if (attempt !== undefined) listed.add(attempt);
    }
    for (const attempt of [...worker.attempts]) {
      if (!listed.has(attempt)) this.#onMissing(attempt, times.sentMs);
    }
  }

  /** Nothing that was started on the worker runs any more. */
  onLost(worker: WorkerRecord): void {
    for (const attempt of [...worker.attempts]) this.#detach(attempt);
    this.#forgetEnds(worker);
  }

  /**
   * Another life of the worker answers. A start that was not confirmed before
   * it was asked may have met, or yet meet, the new life: it stays counted.
   */
  #onOtherLife(worker: WorkerRecord, sentMs: number): void {
    for (const attempt of [...worker.attempts]) {
      const confirmedMs = attempt.confirmedMs ?? Number.POSITIVE_INFINITY;
      if (confirmedMs < sentMs) this.#detach(attempt);
    }
    this.#forgetEnds(worker);
  }

  #forgetEnds(worker: WorkerRecord): void {
    worker.lastEnd = 0;
    worker.storedEnd = 0;
    worker.orphans = [];
    worker.bornMs = 0;
  }

  /** Takes in ends of jobs that were not known when they were reported. */
  #adoptOrphans(
    worker: WorkerRecord,
    times: { nowMs: number; wallMs: number; isComplete: boolean },
  ): void {
    if (worker.orphans.length === 0) return;
    const { orphans } = worker;
    worker.orphans = [];
    for (const ended of orphans) {
      const isKnown = this.jobs.has(ended.task.jobId);
      if (isKnown) this.#onEnded(worker, ended, times);
      else if (!times.isComplete) worker.orphans.push(ended);
    }
  }

  #onRunning(
    worker: WorkerRecord,
    running: RunningRun,
    { sentMs, nowMs }: { sentMs: number; nowMs: number },
  ): Attempt | undefined {
    const record = this.jobs.get(running.task.jobId);
    if (record === undefined) {
      this.#onStranger(worker, running, nowMs);
      return undefined;
    }
    const task = findTask(record, running.task);
    if (task === undefined) return undefined;
    let attempt = task.attempts.find(
      (one) => one.worker === worker && one.run === running.run,
    );
    attempt ??= this.#attach(task, running.run, worker, sentMs);
    attempt.missing = 0;
    if (attempt.percent !== running.percent || attempt.pacePercent < 100) {
      attempt.progressMs = nowMs;
    }
    attempt.percent = running.percent;
    recordFigure(attempt, running.figure, nowMs);
    const { targetMs } = task.stepRun.step;
    if (targetMs === 0 || running.figure <= targetMs) {
      attempt.overSinceMs = undefined;
    } else attempt.overSinceMs ??= nowMs;
    if (running.checkpoint !== "") task.checkpoint = running.checkpoint;
    const isUnwanted = isFinal(record.phase) || task.isDone;
    if (isUnwanted || attempt.phase === AttemptPhase.Stopping) {
      this.stop(attempt, "not wanted any more");
    } else {
      this.onStarted(attempt, nowMs);
    }
    return attempt;
  }

  #onStranger(worker: WorkerRecord, running: RunningRun, nowMs: number): void {
    const { jobId, occurrence, step, index } = running.task;
    const key = `${jobId}/${occurrence}/${step}/${index}/${running.run}`;
    const sinceMs = this.#strangers.get(key);
    if (sinceMs === undefined) {
      this.#strangers.set(key, nowMs);
      return;
    }
    if (nowMs - sinceMs < STRANGER_MS) return;
    this.#strangers.delete(key);
    this.#listener.onStop({
      worker,
      task: running.task,
      run: running.run,
      reason: "no such job",
    });
  }

  /** Orders a run to stop; it counts until its end is reported. */
  stop(attempt: Attempt, reason: string): void {
    attempt.phase = AttemptPhase.Stopping;
    attempt.worker.touch();
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

  #onMissing(attempt: Attempt, sentMs: number): void {
    // After an answered stop a run that is not there never will be.
    if (attempt.stoppedMs !== undefined && attempt.stoppedMs < sentMs) {
      this.#detach(attempt);
      return;
    }
    const knownMs = attempt.confirmedMs ?? attempt.sentMs + UNCONFIRMED_MS;
    // A report that was asked for before the start took effect says nothing.
    if (knownMs >= sentMs) return;
    attempt.missing += 1;
    if (attempt.missing >= MISSING_REPORTS) this.stop(attempt, "not listed");
  }

  #onEnded(
    worker: WorkerRecord,
    ended: EndedRun,
    { nowMs, wallMs }: { nowMs: number; wallMs: number },
  ): void {
    const record = this.jobs.get(ended.task.jobId);
    const task = record && findTask(record, ended.task);
    if (record === undefined || task === undefined) return;
    task.lastRun = Math.max(task.lastRun, ended.run);
    if (ended.checkpoint !== "") task.checkpoint = ended.checkpoint;
    const attempt = task.attempts.find(
      (one) => one.worker === worker && one.run === ended.run,
    );
    if (attempt !== undefined) this.#detach(attempt);
    this.#listener.onEnd(task, ended, worker);
    if (isFinal(record.phase) || task.isDone) return;
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
      // Such a task runs until its job is cancelled, however it ends.
      return;
    }
    const finished = step.isGang ? stepRun.tasks : [task];
    for (const one of finished) {
      if (one.isDone) continue;
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
    task.notBeforeMs = Math.max(task.notBeforeMs, nowMs + RETRY_PAUSE_MS);
    if (step.isLongRunning) return;
    task.failedRuns.add(run);
    const limit = record.queue?.attemptLimit ?? Number.POSITIVE_INFINITY;
    // A copy that is still at work may yet be done.
    if (task.failedRuns.size >= limit && task.attempts.length === 0) {
      this.#finish(record, JobPhase.Failed, wallMs);
    } else {
      this.#listener.onChanged(record);
    }
  }

  #finish(record: JobRecord, phase: JobPhase, wallMs: number): void {
    record.phase = phase;
    record.sinceMs = wallMs;
    for (const stepRun of record.occurrences.flat()) {
      for (const task of stepRun.tasks) {
        for (const attempt of [...task.attempts]) {
          this.stop(attempt, `job is ${phase}`);
        }
      }
    }
    this.#listener.onChanged(record);
  }

  /** A start was confirmed by its answer. */
  onStarted(attempt: Attempt, nowMs: number): void {
    attempt.confirmedMs ??= nowMs;
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
    const attempt: Attempt = {
      task,
      run,
      worker,
      phase: AttemptPhase.Running,
      sentMs,
      confirmedMs: undefined,
      pacePercent: 100,
      pausedMs: undefined,
      figure: 0,
      figureMs: sentMs,
      formerFigure: 0,
      overSinceMs: undefined,
      percent: 0,
      progressMs: sentMs,
      missing: 0,
      stoppedMs: undefined,
    };
    task.lastRun = Math.max(task.lastRun, run);
    task.attempts.push(attempt);
    worker.add(attempt);
    return attempt;
  }

  #detach(attempt: Attempt): void {
    const { attempts } = attempt.task;
    const place = attempts.indexOf(attempt);
    if (place >= 0) attempts.splice(place, 1);
    attempt.worker.remove(attempt);
  }
}

/** Reports may repeat a figure: it is compared with the last other one. */
function recordFigure(attempt: Attempt, figure: number, nowMs: number): void {
  const isRepeated = figure === attempt.figure;
  if (isRepeated && nowMs - attempt.figureMs < FIGURE_MS) return;
  attempt.formerFigure = attempt.figure;
  attempt.figure = figure;
  attempt.figureMs = nowMs;
}
