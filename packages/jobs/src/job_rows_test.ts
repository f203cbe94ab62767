import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fault } from "@laburnumtrack/core/fault";
import { FaultCode } from "@laburnumtrack/core/fault";
import type { Result } from "ts-results";
import {
  readBid,
  readJobRow,
  readLeadership,
  readLearnt,
  readRoster,
  readRuns,
  readState,
} from "./job_rows";

type Reader = (row: { value: string }) => Result<unknown, Fault>;

const LEADERSHIP = {
  holder: "a",
  instance: "i",
  capacity: 1,
  successor: "",
  epoch: 3,
  sequence: 7,
  isReleased: false,
  silent: { w: 100 },
  silentRuns: { w: { bornMs: 5, runs: [["a", 0, 1, 2, 3, 4]] } },
  leaseMs: 6000,
  pending: { q: 2 },
};

/** Rows that can be read, and values that replace a field so that they cannot. */
const CASES: readonly {
  readonly name: string;
  readonly read: Reader;
  readonly valid: object;
  readonly malformed: readonly object[];
}[] = [
  {
    name: "a job",
    read: readJobRow,
    valid: { isCancelled: false },
    malformed: [{ isCancelled: null }, { isCancelled: "no" }],
  },
  {
    name: "a tombstone of refused submissions",
    read: readJobRow,
    valid: { isCancelled: false, refusal: { atMs: 5, submissions: ["a"] } },
    malformed: [
      { refusal: null },
      { refusal: { atMs: "5", submissions: [] } },
      { refusal: { atMs: 5, submissions: [1] } },
    ],
  },
  {
    name: "a state",
    read: readState,
    valid: { phase: "queued" },
    malformed: [{ phase: null }, { phase: 1 }],
  },
  {
    name: "a leadership of the version before",
    read: readLeadership,
    valid: { ...LEADERSHIP, silentRuns: undefined, leaseMs: undefined },
    malformed: [],
  },
  {
    name: "runs of a released leadership",
    read: readRuns,
    valid: {
      epoch: 3,
      workers: {
        w: { bornMs: 5, leaseLeftMs: 100, runs: [["a", 0, 1, 2, 3, 4]] },
      },
    },
    malformed: [
      { epoch: "3" },
      { workers: [] },
      { workers: { w: { bornMs: 5, leaseLeftMs: "1", runs: [] } } },
      { workers: { w: { bornMs: 5, runs: {} } } },
    ],
  },
  {
    name: "a leadership",
    read: readLeadership,
    valid: LEADERSHIP,
    malformed: [
      { epoch: "3" },
      { epoch: null },
      { sequence: null },
      { instance: 5 },
      { silent: null },
      { silent: { w: "100" } },
      { silentRuns: [] },
      { silentRuns: { w: { runs: [] } } },
      { silentRuns: { w: { bornMs: 5, runs: [["a", 0, 1, 2, 3]] } } },
      { silentRuns: { w: { bornMs: 5, runs: [[1, 0, 1, 2, 3, 4]] } } },
      { leaseMs: "6000" },
      { formerRightMs: null },
      { pending: [] },
    ],
  },
  {
    name: "a bid",
    read: readBid,
    valid: { member: "a", instance: "i", epoch: 3, capacity: 1 },
    malformed: [{ epoch: null }, { capacity: "1" }, { instance: null }],
  },
  {
    name: "a roster",
    read: readRoster,
    valid: { roster: { w: "10.0.0.1:80" } },
    malformed: [{ roster: null }, { roster: { w: 1 } }, { roster: "w" }],
  },
  {
    name: "learnt interference",
    read: readLearnt,
    valid: { pressures: { serving: { bestTailMs: 4, slopes: {} } } },
    malformed: [
      { pressures: null },
      { pressures: { serving: null } },
      { loadPeriodMs: null },
      { loadPeriodMs: "10000" },
    ],
  },
];

for (const { name, read, valid, malformed } of CASES) {
  test(`stored rows: ${name} is read`, () => {
    assert.ok(read({ value: JSON.stringify(valid) }).ok);
  });

  const texts = [
    ...malformed.map((fields) => JSON.stringify({ ...valid, ...fields })),
    "",
    "{",
    "null",
    "[]",
    "5",
    "{}",
  ];
  for (const value of texts) {
    test(`stored rows: ${name} that is malformed is a fault: ${value}`, () => {
      const result = read({ value });
      assert.ok(result.err);
      assert.equal(result.val.code, FaultCode.Malformed);
    });
  }
}
