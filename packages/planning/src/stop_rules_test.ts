import assert from "node:assert/strict";
import { test } from "node:test";
import type { Step } from "@laburnumtrack/jobs/job";
import { type Attempt, AttemptPhase } from "@laburnumtrack/jobs/task";
import { StopReason, StopRule, StopRules } from "./stop_rules";
import { TestBoard } from "./test_boards";

const NOW_MS = 100_000;
const ALL = Object.values(StopReason);
const { Preempted, Copied, Evacuated, Straggling, Relieved, Leaving } =
  StopReason;

/** A situation in which one rule alone may forbid a stop. */
interface Row {
  readonly rule: StopRule;
  readonly step: Partial<Step>;
  readonly prepare?: (situation: Situation) => void;
  /** Reasons for which the run must not be stopped; all others may stop it. */
  readonly forbids: readonly StopReason[];
}

interface Situation {
  readonly attempt: Attempt;
  readonly others: readonly Attempt[];
  readonly rules: StopRules;
}

const LASTING = { isLongRunning: true, disruptionLimit: 1, count: 2 };

const ROWS: readonly Row[] = [
  {
    rule: StopRule.Running,
    step: {},
    prepare: ({ attempt }) => {
      attempt.phase = AttemptPhase.Stopping;
    },
    forbids: ALL,
  },
  { rule: StopRule.Gang, step: { isGang: true }, forbids: ALL },
  {
    rule: StopRule.LongRunning,
    step: { isLongRunning: true },
    forbids: [Preempted, Copied, Straggling],
  },
  {
    rule: StopRule.Serving,
    step: { targetMs: 100 },
    forbids: [Preempted, Straggling, Relieved],
  },
  {
    rule: StopRule.Checkpoint,
    step: { isCheckpointing: false },
    forbids: [Preempted, Evacuated, Straggling, Relieved, Leaving],
  },
  {
    rule: StopRule.Disruption,
    step: LASTING,
    prepare: ({ others: [other] }) => {
      assert.ok(other);
      other.phase = AttemptPhase.Stopping;
    },
    forbids: ALL,
  },
  {
    rule: StopRule.Recent,
    step: {},
    prepare: ({ attempt, rules }) => rules.onStopped(attempt, NOW_MS - 4900),
    forbids: [Preempted, Straggling],
  },
  {
    rule: StopRule.Copy,
    step: { isSpeculative: false },
    forbids: [Copied],
  },
];

for (const row of ROWS) {
  for (const reason of ALL) {
    const isForbidden = row.forbids.includes(reason);
    // Guards against stops that lose work, break a gang or take a service down.
    test(`stop rules: ${reason}, rule ${row.rule}: ${isForbidden ? "stays" : "may stop"}`, () => {
      const situation = createSituation(row);
      row.prepare?.(situation);
      const { rules, attempt } = situation;
      assert.equal(rules.mayStop(attempt, reason, NOW_MS), !isForbidden);
    });
  }
}

const RECENT_CASES = [
  { name: "stopped once, 4.9 s ago", stops: 1, agoMs: 4900, may: false },
  { name: "stopped once, 5 s ago", stops: 1, agoMs: 5000, may: true },
  { name: "stopped twice, 9 s ago", stops: 2, agoMs: 9000, may: false },
  { name: "stopped twice, 10 s ago", stops: 2, agoMs: 10_000, may: true },
];

for (const { name, stops, agoMs, may } of RECENT_CASES) {
  // Guards against a task that is preempted again and again and never ends.
  test(`stop rules: a task that was ${name}, ${may ? "may stop" : "stays"}`, () => {
    const { rules, attempt } = createSituation({ step: {} });
    for (let stop = 0; stop < stops; stop += 1) {
      rules.onStopped(attempt, NOW_MS - agoMs);
    }
    assert.equal(rules.mayStop(attempt, Preempted, NOW_MS), may);
  });
}

// Guards against a second preemption by a new leader that knows of no stop.
test("stop rules: a task of a former leader is not preempted in the first 5 s", () => {
  const { rules, attempt } = createSituation({ step: {} });
  assert.equal(rules.mayStop(attempt, Preempted, 4900), false);
  assert.equal(rules.mayStop(attempt, Preempted, 5000), true);
  const late = createSituation({ step: {}, revision: 8 });
  assert.equal(late.rules.mayStop(late.attempt, Preempted, 100), true);
});

// Guards against a copy that is stopped although it is the only run.
test("stop rules: the last copy of a task stays until the task is done", () => {
  const { rules, attempt, board } = createSituation({ step: {} });
  const copy = attempt.task.attempts[1];
  assert.ok(copy);
  assert.equal(rules.mayStop(attempt, Copied, NOW_MS), true);
  board.stop(copy, "copied");
  assert.equal(rules.mayStop(attempt, Copied, NOW_MS), false);
});

function createSituation({
  step,
  revision,
}: {
  readonly step: Partial<Step>;
  readonly revision?: number;
}): Situation & { readonly board: TestBoard["board"] } {
  const world = new TestBoard();
  const worker = world.addWorker("w", 16);
  const defaults = { isCheckpointing: true, isSpeculative: true, count: 2 };
  const stepRun = world.addJob({
    id: "a",
    step: { ...defaults, ...step },
    revision,
  });
  const attempts = stepRun.tasks.map((_, index) =>
    world.start(stepRun, index, worker),
  );
  for (const one of attempts) one.percent = 100;
  const [attempt, ...others] = attempts;
  assert.ok(attempt);
  // A copy of the first task, so that a stop as a copy depends on the rule only.
  world.start(stepRun, 0, world.addWorker("x", 16)).percent = 0;
  const rules = new StopRules({ startMs: 0, revision: 7 });
  return { attempt, others, rules, board: world.board };
}
