import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RowCache } from "./row_cache";

test("row cache: the highest revision wins in any order of arrival", () => {
  const revisions = fc.uniqueArray(fc.integer({ min: 1, max: 50 }), {
    minLength: 1,
  });
  fc.assert(
    fc.property(revisions, (order) => {
      const cache = new RowCache();
      for (const revision of order) {
        cache.merge({ key: "k", revision, value: String(revision) });
      }
      assert.equal(cache.get("k")?.value, String(Math.max(...order)));
    }),
    { seed: 1 },
  );
});

const CASES = [
  { name: "a row that the scan lacks is deleted", asOf: 5, exists: false },
  { name: "a row stored during the scan stays", asOf: 4, exists: true },
];

for (const { name, asOf, exists } of CASES) {
  test(`row cache: ${name}`, () => {
    const cache = new RowCache();
    cache.merge({ key: "a/1", revision: 5, value: "x" });
    cache.mergeScan("a/", [], asOf);
    assert.equal(cache.get("a/1") !== undefined, exists);
    cache.merge({ key: "a/1", revision: 6, value: "y" });
    assert.equal(cache.get("a/1")?.value, "y");
  });
}

test("row cache: listeners are called for new and changed rows only", () => {
  const cache = new RowCache();
  const received: string[] = [];
  cache.onRow(({ value }) => received.push(value));
  cache.merge({ key: "k", revision: 2, value: "b" });
  cache.merge({ key: "k", revision: 1, value: "a" });
  cache.merge({ key: "k", revision: 2, value: "b" });
  cache.mergeAbsence("k", 2);
  assert.deepEqual(received, ["b", ""]);
});
