import type { Step } from "./job";

interface PlacementFailure {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly costLimit: number;
}

/**
 * Steps that could not be placed in the current planning round. A step that
 * needs at least as much, with the same constraints, cannot be placed either,
 * so the planner skips the search for it.
 */
export class PlacementFailures {
  readonly #byKey = new Map<string, PlacementFailure[]>();

  /** Records that no worker of the pool can take a task of the step. */
  add(pool: string, step: Step, costLimit: number): void {
    const { cpuMilli, memoryMb } = step.resources;
    const key = keyOf(pool, step);
    const failures = this.#byKey.get(key);
    const failure = { cpuMilli, memoryMb, costLimit };
    if (failures === undefined) this.#byKey.set(key, [failure]);
    else failures.push(failure);
  }

  /** Whether it is known that no worker of the pool can take such a task. */
  has(pool: string, step: Step, costLimit: number): boolean {
    const { cpuMilli, memoryMb } = step.resources;
    const failures = this.#byKey.get(keyOf(pool, step)) ?? [];
    return failures.some(
      (failure) =>
        failure.cpuMilli <= cpuMilli &&
        failure.memoryMb <= memoryMb &&
        failure.costLimit >= costLimit,
    );
  }
}

/** Steps with equal keys have the same constraints on their placement. */
function keyOf(pool: string, step: Step): string {
  const { isFiller, image, requiredLabel, resources } = step;
  const fillerImage = isFiller ? image : "";
  return `${pool} ${isFiller} ${fillerImage} ${requiredLabel} ${resources.accelerators}`;
}
