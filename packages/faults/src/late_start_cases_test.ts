import assert from "node:assert/strict";
import { test } from "node:test";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { EntryWorld } from "./entry_world";

const JOB_ID = "00000000000000c1";
/** Time after which a start order without an answer is carried out, in ms. */
const LATE_MS = 8000;

interface Case {
  readonly name: string;
  /** Behaviour of the tasks. */
  readonly spec: string;
  /** Number of tasks, and of starts that are carried out late; 1 by default. */
  readonly count?: number;
  /** Time from the confirmed start until the worker crashes, in ms. */
  readonly crashAfterMs: number;
  /** Time after which the worker is back, in ms. */
  readonly downMs: number;
  /** What else happens after the worker has crashed. */
  readonly act?: (world: EntryWorld, worker: string) => Promise<void>;
}

const CASES: readonly Case[] = [
  {
    name: "the worker crashes and is back under its id",
    spec: "work=20000",
    crashAfterMs: 500,
    downMs: 1500,
  },
  {
    name: "it is one of many on the crashed worker",
    spec: "work=20000",
    count: 24,
    crashAfterMs: 500,
    downMs: 1500,
  },
  {
    name: "the worker crashes a second time while the task runs elsewhere",
    spec: "work=20000",
    crashAfterMs: 300,
    downMs: 1000,
    act: async (world, worker) => {
      await world.advance(3500);
      world.fleet.crash(worker);
    },
  },
  {
    name: "the worker crashes again before it has answered the stop",
    spec: "work=20000",
    crashAfterMs: 300,
    downMs: 1000,
    act: async (world, worker) => {
      await world.advance(1000);
      world.fleet.answersLost.add(worker);
      await world.advance(1000);
      world.fleet.crash(worker);
      world.fleet.answersLost.delete(worker);
    },
  },
  {
    name: "the worker is down for longer than its lease",
    spec: "work=20000",
    crashAfterMs: 100,
    downMs: 6800,
  },
  {
    name: "the worker leaves the registry and comes back under its id",
    spec: "work=20000",
    crashAfterMs: 100,
    downMs: 6800,
    act: async (world, worker) => {
      await world.advance(6600);
      await world.writeEntry(worker, null);
      await world.advance(100);
      await world.writeEntry(worker, worker);
    },
  },
  {
    name: "the run has ended before the worker crashes",
    spec: "work=300",
    crashAfterMs: 1500,
    downMs: 1500,
  },
  {
    name: "the leader is stopped after the task has started elsewhere",
    spec: "work=20000",
    crashAfterMs: 500,
    downMs: 1500,
    act: async (world) => {
      await world.advance(3500);
      void world.leader?.stop();
    },
  },
  {
    name: "the leader is paused while the worker is down",
    spec: "work=20000",
    crashAfterMs: 500,
    downMs: 1500,
    act: async (world) => {
      world.leader?.clock.freeze(7000);
      await world.advance(100);
    },
  },
];

for (const { name, spec, count = 1, crashAfterMs, downMs, act } of CASES) {
  // Guards against tasks that run twice: a start order without an answer was
  // carried out by a later incarnation of its worker.
  test(`late start: a task runs once when its start is carried out late and ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 2 });
    world.fleet.lateOrderDelayMs = LATE_MS;
    world.fleet.restartDelayMs = downMs;
    await world.advance(2000);
    world.fleet.lateStarts = count;
    await world.submit(JOB_ID, spec, [{ count }]);
    await world.advance(600);
    const [first] = world.fleet.history;
    assert.ok(first, "the task does not start");
    await world.advance(crashAfterMs);
    world.fleet.crash(first.worker);
    await act?.(world, first.worker);
    await world.advance(50_000);
    assert.deepEqual(world.findViolations(), []);
    const done = world.fleet.history.filter(({ end }) => end === RunEnd.Done);
    assert.equal(done.length, count);
  });
}
