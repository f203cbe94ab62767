import assert from "node:assert/strict";
import { test } from "node:test";
import { pickOwner } from "./rendezvous";

const CANDIDATES = ["a", "b", "c", "d", "e"];
const KEYS = Array.from({ length: 500 }, (_, at) => `rack-${at}`);

test("rendezvous: removing a candidate moves only its own keys", () => {
  const remaining = CANDIDATES.filter((candidate) => candidate !== "c");
  for (const key of KEYS) {
    const before = pickOwner(key, CANDIDATES);
    if (before !== "c") assert.equal(pickOwner(key, remaining), before);
  }
});

test("rendezvous: the order of the candidates does not matter", () => {
  const reversed = [...CANDIDATES].reverse();
  for (const key of KEYS) {
    assert.equal(pickOwner(key, reversed), pickOwner(key, CANDIDATES));
  }
});

test("rendezvous: without candidates a key has no owner", () => {
  assert.equal(pickOwner("k", []), undefined);
});
