import type { Step } from "./job";

interface Misfit {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly harmLimit: number;
}

/**
 * Remembers, for one round of planning, what found no worker: what asks for
 * as much or more and is as particular finds none either.
 */
export class Misfits {
  readonly #known = new Map<string, Misfit[]>();

  /** A task of the step found no worker of the pool. */
  add(pool: string, step: Step, harmLimit: number): void {
    const { cpuMilli, memoryMb } = step.resources;
    const key = keyOf(pool, step);
    const misfits = this.#known.get(key);
    const misfit = { cpuMilli, memoryMb, harmLimit };
    if (misfits === undefined) this.#known.set(key, [misfit]);
    else misfits.push(misfit);
  }

  /** Whether a task of the step is known to find no worker of the pool. */
  has(pool: string, step: Step, harmLimit: number): boolean {
    const { cpuMilli, memoryMb } = step.resources;
    const misfits = this.#known.get(keyOf(pool, step)) ?? [];
    return misfits.some(
      (known) =>
        known.cpuMilli <= cpuMilli &&
        known.memoryMb <= memoryMb &&
        known.harmLimit >= harmLimit,
    );
  }
}

/** Steps with one key differ in what they ask for, not where they may go. */
function keyOf(pool: string, step: Step): string {
  const { isFiller, image, requiredLabel, resources } = step;
  const presses = isFiller ? image : "";
  return `${pool} ${isFiller} ${presses} ${requiredLabel} ${resources.accelerators}`;
}
