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
