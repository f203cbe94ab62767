import assert from "node:assert/strict";
import { test } from "node:test";
import type { WorkerRow } from "@laburnumtrack/core/rows";
import { EventKind } from "@laburnumtrack/standins/history";
import { VirtualWorld } from "./virtual_world";

const DECLARED_MB = 1000;

/** Memory sizes in MB that a worker's row commits to tasks during a run. */
const CASES = [
  { name: "as much as declared", workOptions: "", committed: [DECLARED_MB] },
  {
    name: "much more than declared",
    workOptions: "uses_mb=9000",
    committed: [DECLARED_MB, 9900],
  },
  {
    name: "less than declared",
    workOptions: "uses_mb=10",
    committed: [DECLARED_MB],
  },
];

for (const { name, workOptions, committed } of CASES) {
  test(`learning: memory committed to tasks that use ${name}`, async () => {
    const work = { tasks: 60, runMs: 4000, hasPushes: true, workOptions };
    const world = new VirtualWorld(1, work);
    await world.start();
    await world.settle();
    const sizes = new Set<number>();
    for (const { kind, detail } of world.platform.list()) {
      if (kind !== EventKind.WorkerRow || detail === "") continue;
      const { assignments } = JSON.parse(detail) as WorkerRow;
      for (const { resources } of assignments) sizes.add(resources.memoryMb);
    }
    assert.deepEqual(
      [...sizes].sort((a, b) => a - b),
      committed,
    );
  });
}
