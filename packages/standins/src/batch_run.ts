import type { Clock } from "@laburnumtrack/core/clock";
import { Action, type Assignment, RunState } from "@laburnumtrack/core/worker";
import { readWork, type Work } from "./work_text";

/** Time from an eviction order until the checkpoint is saved, in ms. */
const CHECKPOINT_DURATION_MS = 100;
/** Progress of a throttled run relative to full speed. */
const THROTTLED_SPEED_RATIO = 0.5;

/** A run of a batch task at a stand-in worker. */
export class BatchRun {
  readonly work: Work;
  readonly #clock: Clock;
  readonly #willFail: boolean;
  #progressMs: number;
  #savedMs: number;
  #action = Action.Run;
  #state = RunState.Running;
  #evictionDueMs = 0;

  constructor(
    assignment: Assignment,
    options: { readonly clock: Clock; readonly failsAll: boolean },
  ) {
    this.#clock = options.clock;
    this.work = readWork(assignment.work);
    this.#progressMs = Number(assignment.checkpoint || "0");
    this.#savedMs = this.#progressMs;
    this.#willFail = options.failsAll || Math.random() < this.work.failureRate;
  }

  get state(): RunState {
    return this.#state;
  }

  /** Reference of the last complete checkpoint; empty if there is none. */
  get checkpoint(): string {
    return this.#savedMs === 0 ? "" : String(this.#savedMs);
  }

  /** Current slowdown of services on the same worker; 1 doubles their latency. */
  get interference(): number {
    if (this.#state !== RunState.Running) return 0;
    return this.#action === Action.Throttle
      ? this.work.interference * THROTTLED_SPEED_RATIO ** 2
      : this.work.interference;
  }

  /** Applies an ordered action; an eviction stops the run after a checkpoint. */
  setAction(action: Action): void {
    if (action === Action.Stop) this.stop();
    if (action === Action.Evict && this.#action !== Action.Evict) {
      this.#evictionDueMs = this.#clock.nowMs() + CHECKPOINT_DURATION_MS;
    }
    this.#action = action;
  }

  /** Stops the run without a checkpoint. */
  stop(): void {
    if (this.#state === RunState.Running) this.#state = RunState.Stopped;
  }

  /** Lets the run make progress for some time, in ms. */
  advance(ms: number): void {
    if (this.#state !== RunState.Running) return;
    const speed = this.#action === Action.Throttle ? THROTTLED_SPEED_RATIO : 1;
    this.#progressMs += ms * speed;
    if (this.#progressMs - this.#savedMs >= this.work.checkpointMs) {
      this.#savedMs = this.#progressMs;
    }
    if (this.#willFail && this.#progressMs > this.work.runMs / 4) {
      this.#state = RunState.Failed;
    } else if (this.#progressMs >= this.work.runMs) {
      this.#state = RunState.Done;
    } else if (
      this.#evictionDueMs > 0 &&
      this.#clock.nowMs() >= this.#evictionDueMs
    ) {
      this.#savedMs = this.#progressMs;
      this.#state = RunState.Stopped;
    }
  }
}
