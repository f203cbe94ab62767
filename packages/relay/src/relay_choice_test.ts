import assert from "node:assert/strict";
import { test } from "node:test";
import { assignRelay, chooseRelays } from "./relay_choice";
import type { RelayEntry } from "./relay_directory";
import { readRelay } from "./relay_directory";

function entry(name: string, failureDomain: string, capacity = 1): RelayEntry {
  return { name, address: "10.0.0.1:7720", failureDomain, capacity };
}

const CHOICES: readonly {
  readonly name: string;
  readonly entries: readonly RelayEntry[];
  readonly workers: number;
  readonly expected: readonly string[];
}[] = [
  { name: "none is listed", entries: [], workers: 400, expected: [] },
  {
    name: "one serves 100 workers",
    entries: [entry("a", "x"), entry("b", "x"), entry("c", "x")],
    workers: 200,
    expected: ["a", "b"],
  },
  {
    name: "larger VMs go first",
    entries: [entry("a", "x", 0.3), entry("b", "x", 1.3)],
    workers: 100,
    expected: ["b"],
  },
  {
    name: "failure domains take turns",
    entries: [entry("a", "x", 2), entry("b", "x", 2), entry("c", "y", 1)],
    workers: 200,
    expected: ["a", "c"],
  },
];

for (const { name, entries, workers, expected } of CHOICES) {
  test(`relay choice: ${name}`, () => {
    const chosen = chooseRelays(entries, workers);
    assert.deepEqual(
      chosen.map((one) => one.name),
      expected,
    );
  });
}

test("relay choice: a worker's relay is in its failure domain", () => {
  const relays = [entry("a", "x"), entry("b", "y"), entry("c", "y")];
  for (let index = 0; index < 50; index += 1) {
    const near = assignRelay({ id: `w${index}`, failureDomain: "x" }, relays);
    assert.equal(near?.name, "a");
    const far = assignRelay({ id: `w${index}`, failureDomain: "z" }, relays);
    assert.ok(far);
  }
});

test("relay choice: when a relay fails, only its workers move", () => {
  const relays = ["a", "b", "c"].map((name) => entry(name, "x"));
  for (let index = 0; index < 50; index += 1) {
    const worker = { id: `w${index}`, failureDomain: "x" };
    const before = assignRelay(worker, relays);
    const after = assignRelay(worker, relays.slice(0, 2));
    if (before?.name !== "c") assert.equal(after, before);
  }
  assert.equal(assignRelay({ id: "w" }, []), undefined);
});

const ROWS: readonly {
  readonly name: string;
  readonly value: string;
  readonly isUsable: boolean;
}[] = [
  {
    name: "complete",
    value: JSON.stringify(entry("a", "x")),
    isUsable: true,
  },
  { name: "null", value: "null", isUsable: false },
  { name: "not JSON", value: "{", isUsable: false },
  {
    name: "an address without a port",
    value: JSON.stringify({ ...entry("a", "x"), address: "10.0.0.1" }),
    isUsable: false,
  },
  {
    name: "a port out of range",
    value: JSON.stringify({ ...entry("a", "x"), address: "10.0.0.1:99999" }),
    isUsable: false,
  },
  {
    name: "an address out of range",
    value: JSON.stringify({ ...entry("a", "x"), address: "999.1.1.1:80" }),
    isUsable: false,
  },
  {
    name: "a capacity too large",
    value: JSON.stringify(entry("a", "x", 7)).replace("7}", "1e999}"),
    isUsable: false,
  },
  {
    name: "a name nested deeply",
    value: JSON.stringify(entry("a", "x")).replace(
      '"a"',
      `${"[".repeat(100_000)}${"]".repeat(100_000)}`,
    ),
    isUsable: false,
  },
  {
    name: "an administration address",
    value: JSON.stringify({ ...entry("a", "x"), adminAddress: "10.0.0.1:80" }),
    isUsable: true,
  },
  {
    name: "an administration address of another type",
    value: JSON.stringify({ ...entry("a", "x"), adminAddress: 7 }),
    isUsable: false,
  },
  {
    name: "a capacity of another type",
    value: JSON.stringify({ ...entry("a", "x"), capacity: "1" }),
    isUsable: false,
  },
];

for (const { name, value, isUsable } of ROWS) {
  test(`relay row: ${name}`, () => {
    const read = readRelay({ key: "relays/a", revision: 1, value });
    assert.equal(read.ok, isUsable);
  });
}
