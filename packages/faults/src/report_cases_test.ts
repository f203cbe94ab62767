import assert from "node:assert/strict";
import { test } from "node:test";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { EntryWorld } from "./entry_world";

interface Case {
  readonly name: string;
  /** Whether the leader is lost during the outage. */
  readonly losesLeader: boolean;
}

/** Jobs of one task each, more than the workers complete during the outage. */
const JOBS = 400;
/** Ends in one report; each worker ends several times as many runs meanwhile. */
const ENDS_PER_REPORT = 5;
/** Leaders may send orders for 3.5 s without the table. */
const OUTAGE_MS = 4000;

const CASES: readonly Case[] = [
  { name: "the leader goes on", losesLeader: false },
  { name: "the leader is lost with it", losesLeader: true },
];

for (const { name, losesLeader } of CASES) {
  // Guards against tasks that start again although they are done: their ends
  // do not fit into the reports while no end can be acknowledged.
  test(`reports: tasks run once when workers have more ends than a report holds, and ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 3 });
    world.fleet.endsPerReport = ENDS_PER_REPORT;
    await world.advance(2000);
    await world.submitTogether(JOBS, "work=400");
    await world.advance(300);
    world.table.fault = TableFault.Down;
    await world.advance(OUTAGE_MS / 2);
    if (losesLeader) world.leader?.clock.freeze(10_000);
    await world.advance(OUTAGE_MS / 2);
    world.table.fault = TableFault.None;
    await world.advance(20_000);
    assert.deepEqual(world.findViolations(), []);
    assert.equal(world.countEnds(RunEnd.Done), JOBS);
  });
}
