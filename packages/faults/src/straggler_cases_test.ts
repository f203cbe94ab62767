import assert from "node:assert/strict";
import { test } from "node:test";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { createQueue } from "@laburnumtrack/jobs/test_samples";
import { EntryWorld } from "./entry_world";

interface Case {
  readonly name: string;
  readonly isSpeculative?: boolean;
  readonly isCopying?: boolean;
  /** What happens while both runs are active. */
  readonly disturb?: (world: EntryWorld) => Promise<void>;
  /** Time within which the job completes, in ms. */
  readonly withinMs: number;
  /** Number of runs of the slow task. */
  readonly runs: number;
}

const JOB_ID = "00000000000000cc";
const TASKS = 6;
/** The first run of task 0 takes seven times as long. */
const SPEC = "work=1500&progress=1&slow=7&slowIndex=0";
const SLOW_TASK = `${JOB_ID}/0/0/0`;
/** Workers are reported about every 900 ms: two reports show a slow run. */
const COPIED_BY_MS = 3600;

const CASES: readonly Case[] = [
  {
    name: "without the setting the job waits for it",
    isCopying: false,
    withinMs: 12_000,
    runs: 1,
  },
  {
    name: "a step that allows no copies waits for it",
    isSpeculative: false,
    withinMs: 12_000,
    runs: 1,
  },
  { name: "a copy ends sooner", withinMs: 6000, runs: 2 },
  {
    name: "both runs go on under a new leader",
    disturb: async (world) => {
      const former = world.leader;
      assert.ok(former);
      world.table.refusedCommits.add(former.name);
    },
    withinMs: 12_000,
    runs: 2,
  },
  {
    name: "both runs go on when the leader is shut down",
    disturb: async (world) => {
      const former = world.leader;
      assert.ok(former);
      const stopped = former.stop();
      await world.advance(2000);
      await stopped;
    },
    withinMs: 8000,
    runs: 2,
  },
];

for (const given of CASES) {
  // Guards against copies where a step allows none, a third run of a task, and
  // a start after the end of the task was acknowledged.
  test(`slow run: ${given.name}`, async () => {
    const { isSpeculative = true, isCopying = true, disturb } = given;
    const world = new EntryWorld({
      entries: 3,
      workers: 8,
      planning: { isCopying },
    });
    await world.advance(2000);
    const fromMs = world.clock.nowMs();
    const estimates = { estimateMs: 1500, isCheckpointing: true };
    const step = { count: TASKS, isSpeculative, ...estimates };
    await world.submit(JOB_ID, SPEC, [step], createQueue({ attemptLimit: 3 }));
    await world.advance(COPIED_BY_MS - 300);
    await disturb?.(world);
    await world.advance(given.withinMs - (world.clock.nowMs() - fromMs));
    assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
    const runs = world.fleet.history.filter(({ task }) => task === SLOW_TASK);
    assert.equal(runs.length, given.runs);
    const stopped = runs.filter(({ end }) => end === RunEnd.Stopped);
    assert.equal(stopped.length, given.runs - 1);
    await world.advance(12_000);
    assert.equal(world.fleet.history.length, TASKS + given.runs - 1);
    assert.equal(new Set(runs.map(({ worker }) => worker)).size, given.runs);
    const others = world.findViolations();
    const expected = given.runs > 1 ? [`${SLOW_TASK} ran twice at a time`] : [];
    assert.deepEqual(others, expected);
  });
}
