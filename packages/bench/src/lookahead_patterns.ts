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
  /** Priority of its queue and objective of its jobs; 0, twice its work and 1 s. */
  readonly queue?: {
    readonly priority: number;
    readonly stretch: number;
    readonly targetMs: number;
  };
  /** Fraction of its jobs that save checkpoints; 0 by default. */
  readonly checkpointing?: number;
  /** Factor on its demand during the burst; 1 by default. */
  readonly burst?: number;
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

const URGENT: JobKind = {
  name: "urgent",
  share: 0.2,
  tasks: [8, 10],
  cores: [7, 8],
  workMs: [600, 1000],
  queue: { priority: 0, stretch: 1.5, targetMs: 302 },
  burst: 1.7,
};
const LAZY: JobKind = {
  name: "lazy",
  share: 0.8,
  tasks: [15, 20],
  cores: [6, 7],
  workMs: [1400, 2000],
  queue: { priority: 2, stretch: 2.5, targetMs: 1000 },
  checkpointing: 0.85,
  burst: 2.6,
};

/** Urgent steps in a pool that is full of less urgent ones. */
export const BURST_PATTERNS: readonly LookaheadPattern[] = [
  { ...MIXED, name: "urgent_in_burst", load: 0.86, kinds: [URGENT, LAZY] },
  // No end of a single less urgent run makes room for an urgent task.
  {
    ...MIXED,
    name: "larger_urgent_in_burst",
    load: 0.86,
    kinds: [
      { ...URGENT, cores: [8, 8] },
      { ...LAZY, cores: [7, 7] },
    ],
  },
];

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
