/** An index, or the first and last of consecutive indices. */
export type IndexRange = number | readonly [first: number, last: number];

/** Consecutive indices from which a pair is shorter than the indices. */
const MIN_PAIR_LENGTH = 3;

/** Sorted set of indices that are mostly consecutive. */
export class IndexRanges {
  /** Disjoint, ascending, and not adjacent to each other. */
  readonly #ranges: [first: number, last: number][] = [];

  /** Number of indices. */
  get size(): number {
    return this.#ranges.reduce(
      (sum, [first, last]) => sum + last - first + 1,
      0,
    );
  }

  has(index: number): boolean {
    return this.#ranges.some(
      ([first, last]) => first <= index && index <= last,
    );
  }

  /** Adds the indices from `first` to `last`. */
  add(first: number, last = first): void {
    let from = first;
    let to = last;
    let place = 0;
    while ((this.#ranges[place]?.[1] ?? from) < from - 1) place += 1;
    let end = place;
    for (; end < this.#ranges.length; end += 1) {
      const range = this.#ranges[end];
      if (range === undefined || range[0] > to + 1) break;
      from = Math.min(from, range[0]);
      to = Math.max(to, range[1]);
    }
    this.#ranges.splice(place, end - place, [from, to]);
  }

  /**
   * The indices in a compact form that can be stored; that many consecutive ones
   * are a pair.
   */
  list(minPairLength = MIN_PAIR_LENGTH): IndexRange[] {
    const list: IndexRange[] = [];
    for (const [first, last] of this.#ranges) {
      if (last - first + 1 >= minPairLength) list.push([first, last]);
      else for (let index = first; index <= last; index += 1) list.push(index);
    }
    return list;
  }
}

/**
 * Reads stored indices; those that are not whole numbers from 0 to below `limit`
 * are left out.
 */
export function readRanges(stored: unknown, limit: number): IndexRanges {
  const ranges = new IndexRanges();
  if (!Array.isArray(stored)) return ranges;
  for (const range of stored) {
    const [first, last] = Array.isArray(range) ? range : [range, range];
    const isValid =
      Number.isInteger(first) &&
      Number.isInteger(last) &&
      0 <= first &&
      first <= last &&
      last < limit;
    if (isValid) ranges.add(first, last);
  }
  return ranges;
}
