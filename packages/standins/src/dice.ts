import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Number of distinct values that a random fraction can have. */
const FRACTION_STEPS = 1_000_000;

/** Pseudo-random choices that are reproducible from a seed. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A uniformly distributed integer from `least` to `most`, both included. */
  between(least: number, most: number): number {
    return uniformInt(this.#generator, least, most);
  }

  /** A uniformly distributed number from 0 (included) to 1 (excluded). */
  fraction(): number {
    return this.between(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.fraction() < probability;
  }

  /** A random item; throws if there are none. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.between(0, items.length - 1)];
    if (item === undefined)
      throw new Error("cannot pick a random item from an empty list");
    return item;
  }
}
