import assert from "node:assert/strict";
import { test } from "node:test";
import { EntryWorld } from "./entry_world";
import { findLongGaps } from "./run_violations";

/** How workers are taken away, one after the other. */
enum Removal {
  /** Each announces that it leaves, and another one is added. */
  Replacement = "are replaced",
  /** Each ends without notice. */
  Crash = "crash",
}

interface Case {
  readonly removal: Removal;
  /** Whether entries are stopped and started again at the same time. */
  readonly restartsEntries: boolean;
  /** Longest lease that workers accept, in ms. */
  readonly leaseMs: number;
}

/** Time that a long-running task may be without a run in calm times, in ms. */
const MAX_GAP_MS = 9000;
const WORKERS = 10;
const REMOVED = 8;
const REMOVAL_INTERVAL_MS = 700;
/** Time from the announcement of a worker to its end, in ms. */
const DRAIN_MS = 6000;
const RESTART_INTERVAL_MS = 2000;
const RESTARTS = 8;
/** Time after which everything has settled, in ms. */
const END_MS = 45_000;
/** Tasks that never end by themselves. */
const SPEC = "work=1000000";
const STEPS = [{ count: 6, isLongRunning: true }];

const CASES: readonly Case[] = [
  {
    removal: Removal.Replacement,
    restartsEntries: false,
    leaseMs: 6000,
  },
  {
    removal: Removal.Replacement,
    restartsEntries: false,
    leaseMs: 10_000,
  },
  {
    removal: Removal.Replacement,
    restartsEntries: true,
    leaseMs: 6000,
  },
  {
    removal: Removal.Replacement,
    restartsEntries: true,
    leaseMs: 10_000,
  },
  {
    removal: Removal.Crash,
    restartsEntries: false,
    leaseMs: 6000,
  },
  {
    removal: Removal.Crash,
    restartsEntries: false,
    leaseMs: 10_000,
  },
  {
    removal: Removal.Crash,
    restartsEntries: true,
    leaseMs: 6000,
  },
  {
    removal: Removal.Crash,
    restartsEntries: true,
    leaseMs: 10_000,
  },
];

for (const { removal, restartsEntries, leaseMs } of CASES) {
  const restarts = restartsEntries ? " while entries restart" : "";
  // Guards against long-running tasks that stay down after a worker has gone.
  test(`worker loss: long-running tasks are soon back when workers ${removal}${restarts}, leases of ${leaseMs} ms`, async () => {
    const world = new EntryWorld({ entries: 4, workers: WORKERS, leaseMs });
    await world.advance(2000);
    for (let job = 0; job < 4; job += 1) {
      await world.submit(`${job}`.padStart(16, "0"), SPEC, STEPS);
    }
    const removing = removeWorkers(world, removal);
    const restarting = restartsEntries ? restartEntries(world) : undefined;
    await world.advance(END_MS);
    await removing;
    await restarting;
    const { history } = world.fleet;
    assert.deepEqual(world.findViolations(), []);
    assert.deepEqual(
      findLongGaps(history, world.clock.nowMs(), MAX_GAP_MS),
      [],
    );
    if (removal === Removal.Replacement) {
      const lost = history.filter(
        ({ endMs, end }) => endMs !== undefined && end === undefined,
      );
      assert.equal(lost.length, 0, "runs that ended with their worker");
    }
  });
}

/** Takes workers away one after the other, beside the caller's advance of time. */
async function removeWorkers(
  world: EntryWorld,
  removal: Removal,
): Promise<void> {
  const { clock } = world;
  const ends: Promise<void>[] = [];
  for (let index = 0; index < REMOVED; index += 1) {
    await clock.sleep(REMOVAL_INTERVAL_MS);
    const id = `w${index}`;
    if (removal === Removal.Replacement) {
      ends.push(world.addWorker(`n${index}`), drainAndRemove(world, id));
    } else world.fleet.leave(id);
  }
  await Promise.all(ends);
}

async function drainAndRemove(world: EntryWorld, id: string): Promise<void> {
  await world.drainWorker(id);
  await world.clock.sleep(DRAIN_MS);
  await world.removeWorker(id);
}

/** Stops the leader and starts its process again, at intervals. */
async function restartEntries(world: EntryWorld): Promise<void> {
  for (let count = 0; count < RESTARTS; count += 1) {
    await world.clock.sleep(RESTART_INTERVAL_MS);
    const { leader } = world;
    if (leader === undefined) continue;
    void leader.stop();
    void world.clock.sleep(RESTART_INTERVAL_MS / 2).then(() => {
      world.restartEntry(leader);
    });
  }
}
