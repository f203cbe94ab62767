import assert from "node:assert/strict";
import { test } from "node:test";
import { MAX_ROW_BYTES, readRoster } from "@laburnumtrack/jobs/job_rows";
import { createRosterRows, readRosterRows } from "./stored_roster";

const CASES: readonly {
  readonly name: string;
  readonly workers: number;
  readonly idLength: number;
  readonly rows: number;
}[] = [
  { name: "no workers", workers: 0, idLength: 10, rows: 1 },
  { name: "workers that fit into a row", workers: 300, idLength: 10, rows: 1 },
  { name: "many workers", workers: 3000, idLength: 20, rows: 4 },
  { name: "long ids", workers: 500, idLength: 190, rows: 4 },
];

for (const { name, workers, idLength, rows: count } of CASES) {
  // Guards against a roster that the table rejects: no worker that is new would
  // get a lease any more.
  test(`stored roster: ${name} are stored and read`, () => {
    const roster = createRoster(workers, idLength);
    const rows = createRows(roster);
    assert.equal(rows.length, count);
    for (const { value } of rows) {
      assert.ok(Buffer.byteLength(value) <= MAX_ROW_BYTES);
    }
    const read = readRosterRows(rows).unwrap();
    assert.deepEqual(new Map(Object.entries(read)), roster);
  });
}

// Guards against a second run: a roster that lacks workers says that they hold no
// lease.
test("stored roster: one of which a row is missing is not read", () => {
  const rows = createRows(createRoster(3000, 20));
  for (const lost of rows.slice(1)) {
    const read = readRosterRows(rows.filter((row) => row !== lost));
    assert.ok(read.err);
  }
});

// Guards against the same with a release that reads one row.
test("stored roster: the first of several rows is no roster", () => {
  const [first] = createRows(createRoster(3000, 20));
  assert.ok(first);
  assert.ok(readRoster(first).err);
});

test("stored roster: none is stored before the first leader", () => {
  assert.deepEqual(readRosterRows([]).unwrap(), {});
});

function createRoster(workers: number, idLength: number): Map<string, string> {
  const roster = new Map<string, string>();
  for (let index = 0; index < workers; index += 1) {
    const id = `w${`${index}`.padStart(4, "0")}`.padEnd(idLength, "x");
    roster.set(id, `10.0.${index % 256}.1:8080`);
  }
  return roster;
}

function createRows(roster: ReadonlyMap<string, string>) {
  return createRosterRows(roster).map(({ key, value }) => ({
    key,
    value: value ?? "",
    revision: 1,
  }));
}
