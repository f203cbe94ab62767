/** A kind of jobs, each of one step. */
export interface JobKind {
  readonly name: string;
  /** Share of the pool's load. */
  readonly share: number;
  /** Tasks of a job, least and most. */
  readonly tasks: readonly [least: number, most: number];
  /** Cores of a task, least and most. */
  readonly cores: readonly [least: number, most: number];
  /** Work of a task in ms, least and most. */
  readonly workMs: readonly [least: number, most: number];
  readonly isGang?: boolean;
}

/** A pattern of load on a pool. */
export interface LookaheadPattern {
  readonly name: string;
  /** Demand as a fraction of the pool's cores. */
  readonly load: number;
  readonly kinds: readonly JobKind[];
  /** Fraction of the tasks that take seven times as long. */
  readonly longFraction: number;
  /** Factors by which estimates are wrong, least and most. */
  readonly estimates: readonly [least: number, most: number];
}

const SMALL: JobKind = {
  name: "small",
  share: 0.7,
  tasks: [1, 8],
  cores: [1, 3],
  workMs: [300, 1500],
};
const LARGE: JobKind = {
  name: "large",
  share: 0.3,
  tasks: [1, 2],
  cores: [12, 14],
  workMs: [600, 2000],
};

const MIXED: LookaheadPattern = {
  name: "small_over_large_0.9",
  load: 0.9,
  kinds: [SMALL, LARGE],
  longFraction: 0,
  estimates: [1, 1],
};

const WIDE: JobKind = { ...LARGE, tasks: [20, 30], cores: [4, 6] };

export const LOOKAHEAD_PATTERNS: readonly LookaheadPattern[] = [
  { ...MIXED, name: "small_over_large_0.7", load: 0.7 },
  MIXED,
  { ...MIXED, name: "small_over_large_1.1", load: 1.1 },
  // Steps that need a part of all workers at a time.
  { ...MIXED, name: "wide_waves", kinds: [SMALL, WIDE] },
  {
    ...MIXED,
    name: "wide_gangs",
    kinds: [SMALL, { ...WIDE, tasks: [8, 12], isGang: true }],
  },
  { ...MIXED, name: "long_tail", longFraction: 0.03 },
  { ...MIXED, name: "wrong_estimates", estimates: [0.5, 2] },
];
