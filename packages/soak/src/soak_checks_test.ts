import assert from "node:assert/strict";
import { test } from "node:test";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import type { RunRecord } from "@laburnumtrack/standins/task_fleet_standin";
import type { CallerJob } from "./soak_caller";
import { checkSoak } from "./soak_checks";

const ID = "00000000000000aa";

const CASES: readonly {
  readonly name: string;
  readonly job?: Partial<CallerJob>;
  /** Final state; `completed` by default. */
  readonly state?: string;
  /** Runs of the task as start and end in ms; an undefined end is still running. */
  readonly runs: readonly (readonly [number, number | undefined])[];
  /** Number of first runs that ended with their worker; 0 by default. */
  readonly lost?: number;
  /** Whether the completion of the first run was acknowledged. */
  readonly isAcknowledged?: boolean;
  readonly violations: readonly RegExp[];
}[] = [
  { name: "one completed run", runs: [[0, 5]], violations: [] },
  {
    name: "two runs at a time",
    runs: [
      [0, 5],
      [4, 9],
    ],
    violations: [/twice at a time/],
  },
  {
    name: "a run after an acknowledged end",
    runs: [
      [0, 5],
      [6, 9],
    ],
    isAcknowledged: true,
    violations: [/again after it was done/],
  },
  {
    name: "a lost job",
    state: "running",
    runs: [],
    violations: [/final state is running/],
  },
  {
    name: "a job that failed without a crash",
    state: "failed",
    job: { impossibleStates: ["failed"] },
    runs: [[0, 5]],
    violations: [/final state is failed/, /reported as failed/],
  },
  {
    name: "a job that failed after two workers crashed under its task",
    state: "failed",
    runs: [
      [0, 5],
      [6, 9],
    ],
    lost: 2,
    violations: [/final state is failed/],
  },
  {
    name: "a job that failed after three workers crashed under its task",
    state: "failed",
    job: { impossibleStates: ["failed"] },
    runs: [
      [0, 5],
      [6, 9],
      [10, 12],
    ],
    lost: 3,
    violations: [],
  },
  {
    name: "a job that is not over after three workers crashed under its task",
    state: "running",
    runs: [
      [0, 5],
      [6, 9],
      [10, 12],
    ],
    lost: 3,
    violations: [/final state is running/],
  },
  {
    name: "every submission refused, but it ran",
    job: { isAccepted: false },
    runs: [[0, 5]],
    violations: [/every submission was refused/],
  },
  {
    name: "a submission with unknown outcome, and it ran",
    job: { isAccepted: false, isOutcomeUnknown: true },
    runs: [[0, 5]],
    violations: [],
  },
  {
    name: "cancelled, but a run continues",
    job: { isCancelSent: true, cancelledMs: 3 },
    state: "cancelled",
    runs: [[0, undefined]],
    violations: [/still runs a task/],
  },
  {
    name: "cancelled, but a task started long after",
    job: { isCancelSent: true, cancelledMs: 3 },
    state: "cancelled",
    runs: [[20_000, 20_001]],
    violations: [/started a task after/],
  },
  {
    name: "an accepted job reported as unknown",
    job: { impossibleStates: ["unknown"] },
    runs: [],
    violations: [/reported as unknown/],
  },
];

for (const given of CASES) {
  test(`soak checks: ${given.name}`, () => {
    const job: CallerJob = {
      id: ID,
      isAccepted: true,
      isOutcomeUnknown: false,
      cancelledMs: undefined,
      isCancelSent: false,
      impossibleStates: [],
      ...given.job,
    };
    const history = given.runs.map(
      ([startMs, endMs], at): RunRecord => ({
        task: `${ID}/0/0/0`,
        run: at + 1,
        worker: "w",
        startMs,
        endMs,
        end:
          endMs === undefined || at < (given.lost ?? 0)
            ? undefined
            : RunEnd.Done,
      }),
    );
    const [first] = history;
    const acknowledged = new Set(
      given.isAcknowledged && first !== undefined ? [first] : [],
    );
    const states = new Map([[ID, given.state ?? "completed"]]);
    const violations = checkSoak({
      jobs: [job],
      states,
      history,
      acknowledged,
    });
    assert.equal(
      violations.length,
      given.violations.length,
      violations.join("; "),
    );
    for (const [at, pattern] of given.violations.entries()) {
      assert.match(violations[at] ?? "", pattern);
    }
  });
}
