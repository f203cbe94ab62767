import assert from "node:assert/strict";
import { test } from "node:test";
import type { EntryStatus } from "@laburnumtrack/leader/entry_status";
import { isEntryStatus, renderEntryStatus } from "./entry_status_text";

const BASE = { member: "e1", configVersion: 3, leader: "e2", isLeading: true };
const EVACUATION = {
  domain: "z1",
  revision: 9,
  sinceMs: 0,
  lastStartMs: 41.7,
  workers: 80,
  runs: 12,
  longRunning: 3,
  reasons: { no_room: 10, stopping: 2 },
};

const CASES: readonly {
  readonly name: string;
  readonly status: EntryStatus;
  readonly lines: readonly string[];
}[] = [
  {
    name: "requests are ignored",
    status: BASE,
    lines: [
      "entry e1, version 3, led by e2",
      "requests for evacuations are ignored (evacuate_ms is 0)",
    ],
  },
  {
    name: "no domain is evacuated and no leader is known",
    status: { ...BASE, leader: undefined, evacuations: [] },
    lines: [
      "entry e1, version 3, led by nobody known",
      "no failure domain is evacuated",
    ],
  },
  {
    name: "the leader tells what is left and what delays it",
    status: { ...BASE, evacuations: [EVACUATION] },
    lines: [
      "entry e1, version 3, led by e2",
      "",
      "EVACUATIONS",
      "domain  since                     runs left  long-running  last start after  delayed by",
      "z1      1970-01-01T00:00:00.000Z  12         3             42 ms             no_room 10, stopping 2",
    ],
  },
  {
    name: "another entry does not know what is left",
    status: {
      ...BASE,
      isLeading: false,
      evacuations: [{ domain: "z1", revision: 9, sinceMs: 0 }],
    },
    lines: [
      "entry e1, version 3, led by e2",
      "",
      "EVACUATIONS",
      "domain  since                     runs left  long-running  last start after  delayed by",
      "z1      1970-01-01T00:00:00.000Z  ?          ?",
      "",
      "ask the leader for what is left",
    ],
  },
];

for (const { name, status, lines } of CASES) {
  // Guards against a status from which operators cannot tell what to wait for.
  test(`entry status: ${name}`, () => {
    assert.ok(isEntryStatus(JSON.parse(JSON.stringify(status))));
    assert.deepEqual(renderEntryStatus(status).split("\n"), lines);
  });
}

// Guards against the status of a scheduler that is taken for that of an entry.
test("entry status: other answers are none", () => {
  for (const body of [null, "x", 7, {}, { version: 1, services: [] }]) {
    assert.equal(isEntryStatus(body), false);
  }
});
