import assert from "node:assert/strict";
import { test } from "node:test";
import { RowPrefix } from "@laburnumtrack/jobs/job_rows";
import { EntryWorld } from "./entry_world";

/** Age from which a count of waiting jobs is of no use to callers, in ms. */
const MAX_AGE_MS = 5000;

const CASES: readonly {
  readonly name: string;
  /** Whether the table refuses the entry's calls; false by default. */
  readonly isRefused?: boolean;
  /** Whether no leader can read jobs; false by default. */
  readonly isJobReadRefused?: boolean;
  readonly pending: number | undefined;
}[] = [
  { name: "an entry counts the jobs", pending: 40 },
  {
    name: "an entry that the table refuses gives no count from before them",
    isRefused: true,
    pending: undefined,
  },
  {
    name: "no count is given while leaders take over that cannot read jobs",
    isJobReadRefused: true,
    pending: undefined,
  },
];

/** What happens to the leader's calls to the table before jobs come. */
const LEADER_CASES: readonly {
  readonly name: string;
  readonly disturb: (world: EntryWorld, leader: string) => void;
  /** Times after that at which the leader is asked, in ms, and its answers. */
  readonly counts: readonly (readonly [ms: number, count: "all" | "none"])[];
}[] = [
  {
    name: "the table refuses its commits",
    disturb: ({ table }, leader) => table.refusedCommits.add(leader),
    counts: [
      [600, "all"],
      [1000, "all"],
      [4000, "all"],
      [8000, "all"],
    ],
  },
  {
    name: "the table refuses all its calls",
    disturb: ({ table }, leader) => table.refused.add(leader),
    counts: [
      [4500, "none"],
      [8000, "none"],
      [12_000, "none"],
    ],
  },
];

for (const { name, disturb, counts } of LEADER_CASES) {
  // Guards against a leader that gives the counts of its last commit as new ones
  // while it cannot commit.
  test(`waiting jobs: the leader is asked while ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 1 });
    await world.advance(2000);
    const { leader } = world;
    assert.ok(leader !== undefined);
    disturb(world, leader.name);
    await world.submitTogether(200, "work=60000&fail=0");
    let askedMs = 50;
    for (const [ms, expected] of counts) {
      await world.advance(ms - askedMs);
      askedMs = ms;
      const count = leader.leadership.countPending("q");
      if (expected === "none") assert.equal(count, undefined);
      else assert.ok((count ?? 0) >= 92, `${count} after ${ms} ms`);
    }
  });
}

for (const given of CASES) {
  const { name, isRefused, isJobReadRefused, pending } = given;
  // Guards against entries that say that few jobs wait, as few did a while ago.
  test(`waiting jobs: ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 1 });
    await world.advance(2000);
    if (isJobReadRefused) {
      world.table.refusedPrefixes.add(RowPrefix.Jobs);
      const former = world.leader;
      assert.ok(former !== undefined);
      const stopping = former.stop();
      await world.advance(1000);
      await stopping;
      world.restartEntry(former);
    }
    const entry = world.entries.find((each) => each !== world.leader);
    assert.ok(entry !== undefined);
    if (isRefused) world.table.refused.add(entry.name);
    // More than a worker can run, all but those that have room wait.
    await world.submitTogether(200, "work=60000&fail=0");
    await world.advance(MAX_AGE_MS);
    const count = entry.leadership.countPending("q");
    if (pending === undefined) assert.equal(count, undefined);
    else assert.ok(count !== undefined && count >= pending, `${count}`);
  });
}
