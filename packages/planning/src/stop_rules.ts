import {
  type Attempt,
  AttemptPhase,
  type Task,
} from "@laburnumtrack/jobs/task";

/** Why a run is to be stopped. */
export enum StopReason {
  /** More urgent work needs its room. */
  Preempted = "preempted",
  /** Another copy of its task is done, or is more useful. */
  Copied = "copied",
  /** Its failure domain is evacuated. */
  Evacuated = "evacuated",
  /** It is much slower than comparable runs. */
  Straggling = "straggling",
  /** It slows serving tasks on its worker. */
  Relieved = "relieved",
  /** Its worker is leaving. */
  Leaving = "leaving",
}

/** A rule that can forbid a stop. */
export enum StopRule {
  /** Only a confirmed run that is not being stopped is stopped. */
  Running = "running",
  /** Stopping one task of a gang breaks the others. */
  Gang = "gang",
  /** Long-running tasks stay where they are. */
  LongRunning = "long_running",
  /** Tasks with a latency target stay where they are. */
  Serving = "serving",
  /** Without checkpoints, a stop loses all work. */
  Checkpoint = "checkpoint",
  /** At most `disruptionLimit` tasks of a long-running step are down. */
  Disruption = "disruption",
  /** A task that was stopped is left alone for a while. */
  Recent = "recent",
  /** Only one of several copies is stopped. */
  Copy = "copy",
}

const { Running, Gang, LongRunning, Serving, Checkpoint, Disruption, Recent } =
  StopRule;

/** Rules that apply to each reason; see docs/design/preemption.md. */
export const STOP_RULES: Readonly<Record<StopReason, readonly StopRule[]>> = {
  [StopReason.Preempted]: [
    Running,
    Gang,
    LongRunning,
    Serving,
    Checkpoint,
    Recent,
  ],
  [StopReason.Copied]: [StopRule.Copy, Gang, LongRunning],
  [StopReason.Evacuated]: [Running, Gang, Checkpoint, Disruption],
  [StopReason.Straggling]: [
    Running,
    Gang,
    LongRunning,
    Serving,
    Checkpoint,
    Recent,
  ],
  [StopReason.Relieved]: [Running, Gang, Serving, Checkpoint, Disruption],
  [StopReason.Leaving]: [Running, Gang, Checkpoint, Disruption],
};

/** A task that was stopped is left alone for this time, in ms; then for longer. */
export const MIN_STOP_INTERVAL_MS = 5000;
/** Most doublings of that time: a task that is stopped often must end too. */
const MAX_DOUBLINGS = 4;

/** Start of the term of the leader that stops runs. */
export interface TermOrigin {
  /** Monotonic ms. */
  readonly startMs: number;
  /** Jobs above this revision were never known to a former leader. */
  readonly revision: number;
}

interface RecentStops {
  readonly atMs: number;
  readonly count: number;
}

/** Decides whether a run may be stopped; all planned stops are decided here. */
export class StopRules {
  readonly #origin: TermOrigin;
  readonly #stops = new WeakMap<Task, RecentStops>();

  constructor(origin: TermOrigin) {
    this.#origin = origin;
  }

  /** Whether the run may be stopped for the reason now. */
  mayStop(attempt: Attempt, reason: StopReason, nowMs: number): boolean {
    return this.findObstacle(attempt, reason, nowMs) === undefined;
  }

  /** The first rule that forbids the stop; undefined if none does. */
  findObstacle(
    attempt: Attempt,
    reason: StopReason,
    nowMs: number,
  ): StopRule | undefined {
    return STOP_RULES[reason].find((rule) =>
      this.#isBroken(rule, attempt, nowMs),
    );
  }

  /** Records a stop of a task that is to resume. */
  onStopped({ task }: Attempt, nowMs: number): void {
    const count = (this.#stops.get(task)?.count ?? 0) + 1;
    this.#stops.set(task, { atMs: nowMs, count });
  }

  #isBroken(rule: StopRule, attempt: Attempt, nowMs: number): boolean {
    const { task, phase } = attempt;
    const { step } = task.stepRun;
    switch (rule) {
      case StopRule.Running:
        return phase !== AttemptPhase.Running;
      case StopRule.Gang:
        return step.isGang;
      case StopRule.LongRunning:
        return step.isLongRunning;
      case StopRule.Serving:
        return step.targetMs > 0;
      case StopRule.Checkpoint:
        return !step.isCheckpointing && !step.isLongRunning;
      case StopRule.Disruption:
        return step.isLongRunning && isDisruptionUsedUp(attempt);
      case StopRule.Recent:
        return this.#isRecent(task, nowMs);
      case StopRule.Copy:
        return (
          !step.isSpeculative ||
          phase === AttemptPhase.Stopping ||
          (!task.isDone && countActive(task) < 2)
        );
    }
  }

  #isRecent(task: Task, nowMs: number): boolean {
    const { startMs, revision } = this.#origin;
    // What a former leader stopped is not known.
    const isKnown = task.stepRun.record.revision > revision;
    if (!isKnown && nowMs - startMs < MIN_STOP_INTERVAL_MS) return true;
    const stops = this.#stops.get(task);
    if (stops === undefined) return false;
    const factor = 2 ** Math.min(MAX_DOUBLINGS, stops.count - 1);
    return nowMs - stops.atMs < MIN_STOP_INTERVAL_MS * factor;
  }
}

function countActive({ attempts }: Task): number {
  return attempts.filter(({ phase }) => phase !== AttemptPhase.Stopping).length;
}

/** Whether another stop exceeds the limit of tasks that are down at a time. */
function isDisruptionUsedUp({ task }: Attempt): boolean {
  const { step, tasks } = task.stepRun;
  if (step.disruptionLimit <= 0) return false;
  const others = tasks.filter((one) => one !== task && !isAvailable(one));
  return others.length >= step.disruptionLimit;
}

/** Whether a long-running task reports full speed and is not being stopped. */
function isAvailable({ attempts }: Task): boolean {
  return attempts.some(
    ({ phase, percent }) => phase === AttemptPhase.Running && percent >= 100,
  );
}
