import assert from "node:assert/strict";
import { test } from "node:test";
import { IndexRanges, readRanges } from "./index_ranges";

const CASES: readonly {
  readonly name: string;
  readonly added: readonly (readonly [number, number])[];
  readonly list: readonly unknown[];
}[] = [
  { name: "none", added: [], list: [] },
  {
    name: "single ones",
    added: [
      [4, 4],
      [1, 1],
    ],
    list: [1, 4],
  },
  {
    name: "two neighbours",
    added: [
      [2, 2],
      [1, 1],
    ],
    list: [1, 2],
  },
  {
    name: "consecutive ones",
    added: [
      [0, 0],
      [2, 2],
      [1, 1],
    ],
    list: [[0, 2]],
  },
  {
    name: "the same twice",
    added: [
      [0, 3],
      [1, 2],
      [0, 3],
    ],
    list: [[0, 3]],
  },
  {
    name: "one that joins two",
    added: [
      [0, 3],
      [8, 9],
      [4, 7],
    ],
    list: [[0, 9]],
  },
  {
    name: "one that covers others",
    added: [
      [3, 4],
      [6, 6],
      [1, 9],
    ],
    list: [[1, 9]],
  },
];

// Guards against finished work that is lost, or taken for more than it is, when
// it is stored in a compact form.
for (const { name, added, list } of CASES) {
  test(`index ranges: ${name}`, () => {
    const ranges = new IndexRanges();
    const expected = new Set<number>();
    for (const [first, last] of added) {
      ranges.add(first, last);
      for (let index = first; index <= last; index += 1) expected.add(index);
    }
    assert.deepEqual(ranges.list(), list);
    assert.equal(ranges.size, expected.size);
    for (let index = 0; index < 12; index += 1) {
      assert.equal(ranges.has(index), expected.has(index));
    }
    assert.deepEqual(readRanges(ranges.list(), 12).list(), list);
  });
}

test("index ranges: what is not an index of the job is left out", () => {
  const odd = [1, "2", -1, 1.5, [3, 2], [4], null, [5, 6], [7, 900], {}, 2];
  assert.deepEqual(readRanges(odd, 10).list(), [1, 2, 5, 6]);
  assert.deepEqual(readRanges("x", 10).list(), []);
});
