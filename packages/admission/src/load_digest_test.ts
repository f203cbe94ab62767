import assert from "node:assert/strict";
import { test } from "node:test";
import { readLoadDigest } from "./load_digest";
import { createDigest, createPoolLoad, createQueueLoad } from "./test_digests";

const VALID = createDigest();
const POOL = createPoolLoad();
const QUEUE = createQueueLoad();

const CASES: readonly { readonly name: string; readonly value: unknown }[] = [
  { name: "none", value: undefined },
  { name: "null", value: null },
  { name: "text", value: "load" },
  { name: "an empty object", value: {} },
  { name: "no age", value: { ...VALID, ageMs: undefined } },
  { name: "an infinite limit", value: { ...VALID, limitBytes: Infinity } },
  { name: "pools that are no list", value: { ...VALID, pools: {} } },
  { name: "a pool that is null", value: { ...VALID, pools: [null] } },
  {
    name: "a pool without a name",
    value: { ...VALID, pools: [{ ...POOL, pool: 1 }] },
  },
  {
    name: "a pool with a text for a number",
    value: { ...VALID, pools: [{ ...POOL, freeMilli: "1" }] },
  },
  {
    name: "a queue without ends",
    value: { ...VALID, queues: [{ ...QUEUE, endingMilli: undefined }] },
  },
  {
    name: "a queue with a priority that is no number",
    value: { ...VALID, queues: [{ ...QUEUE, priority: null }] },
  },
  {
    name: "too many queues",
    value: { ...VALID, queues: Array(17).fill(QUEUE) },
  },
];

for (const { name, value } of CASES) {
  // Guards against an entry that fails, or refuses jobs, by a damaged row.
  test(`load digest: ${name} cannot be read`, () => {
    assert.equal(readLoadDigest(value), undefined);
  });
}

test("load digest: a stored digest is read unchanged", () => {
  const stored = JSON.parse(JSON.stringify(VALID));
  assert.deepEqual(readLoadDigest(stored), VALID);
});
