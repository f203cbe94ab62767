import assert from "node:assert/strict";
import { test } from "node:test";
import type { Term } from "@laburnumtrack/leader/term";
import { EntryWorld } from "./entry_world";

const ID = "00000000000000aa";
/** After this time, the table has answered the last poll that it took, in ms. */
const POLL_MS = 1010;
/** Tasks must have ended this long after the cancellation of their job, in ms. */
const STOP_LIMIT_MS = 3200;

const CASES: readonly {
  readonly name: string;
  /** Time for which each leader leads from the cancellation on, in ms. */
  readonly termMs: number;
}[] = [
  { name: "by one leader", termMs: 60_000 },
  { name: "when a leader is stopped each 1.4 s", termMs: 1400 },
  { name: "when a leader is stopped each 0.9 s", termMs: 900 },
];

for (const { name, termMs } of CASES) {
  // Guards against tasks that run on for as long as leaders change: each one that
  // took over waited anew for the job of these tasks to turn up.
  test(`cancelled job: its tasks are stopped in time ${name}`, async () => {
    const world = new EntryWorld({ entries: 4, workers: 4 });
    await world.advance(2000);
    await world.submit(ID, "work=60000&fail=0", [{ count: 6 }]);
    await world.advance(1000);
    assert.equal(countRuns(world), 6);
    // The first leader does not see the cancellation.
    world.table.refused.add(world.leader?.name ?? "");
    await world.advance(POLL_MS);
    const cancelledMs = world.clock.nowMs();
    const cancelling = world.cancel(ID);
    await cancelling;
    while (world.entries.every(({ leadership }) => !isNew(leadership.term))) {
      await world.advance(10);
    }
    while (world.clock.nowMs() < cancelledMs + STOP_LIMIT_MS) {
      const leftMs = cancelledMs + STOP_LIMIT_MS - world.clock.nowMs();
      await world.advance(Math.min(termMs, leftMs));
      if (termMs < leftMs) await stopLeader(world);
    }
    assert.equal(countRuns(world), 0);
  });
}

/** Stops the leader in order and starts its process again. */
async function stopLeader(world: EntryWorld): Promise<void> {
  const leader = world.entries.find(({ leadership }) => isNew(leadership.term));
  if (leader === undefined) return;
  let isStopped = false;
  const stopping = leader.stop().then(() => {
    isStopped = true;
  });
  while (!isStopped) await world.advance(10);
  await stopping;
  world.restartEntry(leader);
}

/** Whether it is not the term of the first leader. */
function isNew(term: Term | undefined): boolean {
  return term !== undefined && term.row.epoch > 1;
}

function countRuns({ fleet }: EntryWorld): number {
  return fleet.history.filter(({ endMs }) => endMs === undefined).length;
}
