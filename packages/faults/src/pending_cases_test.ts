import assert from "node:assert/strict";
import { test } from "node:test";
import { EntryWorld } from "./entry_world";

/** Age from which a count of waiting jobs is of no use to callers, in ms. */
const MAX_AGE_MS = 5000;

const CASES: readonly {
  readonly name: string;
  readonly isRefused: boolean;
  readonly pending: number | undefined;
}[] = [
  { name: "an entry counts the jobs", isRefused: false, pending: 40 },
  {
    name: "an entry that the table refuses gives no count from before them",
    isRefused: true,
    pending: undefined,
  },
];

for (const { name, isRefused, pending } of CASES) {
  // Guards against entries that say that few jobs wait, as few did a while ago.
  test(`waiting jobs: ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 1 });
    await world.advance(2000);
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
