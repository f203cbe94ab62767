import assert from "node:assert/strict";
import { test } from "node:test";
import { readFileSet } from "./file_set";
import { ChangeKind, diffFileSets } from "./file_set_diff";

const TEAM = "[team t]\ncpu_cores = 8\nmemory_mb = 1000\n";
const JOB = "team = t\ntasks = 2\ncpu_cores = 1\nmemory_mb = 10\n";
const SERVICE =
  "team = t\nroute = /a/\nreplicas = 1\ncpu_cores = 1\nmemory_mb = 10\n" +
  "latency_target_ms = 10\n";

interface Case {
  readonly name: string;
  readonly text: string;
  /** `line section key` of each error, in order. */
  readonly errors: readonly string[];
}

const CASES: readonly Case[] = [
  { name: "empty", text: "", errors: [] },
  { name: "a job", text: `${TEAM}[job j]\n${JOB}`, errors: [] },
  {
    name: "comments and CRLF",
    text: `; x\r\n# y\r\n${TEAM.replaceAll("\n", "\r\n")}`,
    errors: [],
  },
  {
    name: "two jobs of one name",
    text: `${TEAM}[job j]\n${JOB}[job j]\n${JOB}`,
    errors: ["9 job j "],
  },
  {
    name: "a service and a job of one name",
    text: `${TEAM}[job j]\n${JOB}[service j]\n${SERVICE}`,
    errors: ["9 service j "],
  },
  {
    name: "a key twice",
    text: `${TEAM}[job j]\n${JOB}tasks = 3\n`,
    errors: ["9 job j tasks"],
  },
  {
    name: "an unknown key, a bad number and a missing key at once",
    text: `${TEAM}[job j]\nteam = t\ntasks = many\ncpu_cores = 1\ncolour = 3\n`,
    errors: ["4 job j memory_mb", "6 job j tasks", "8 job j colour"],
  },
  {
    name: "a team that is not declared",
    text: `[job j]\n${JOB}`,
    errors: ["2 job j team"],
  },
  {
    name: "a route twice",
    text: `${TEAM}[service a]\n${SERVICE}[service b]\n${SERVICE}`,
    errors: ["13 service b route"],
  },
  {
    name: "an invalid character in a name",
    text: `${TEAM}[job a/b]\n${JOB}`,
    errors: ["4 job a/b "],
  },
  {
    name: "__proto__ as a name",
    text: `${TEAM}[job __proto__]\n${JOB}`,
    errors: ["4 job __proto__ "],
  },
  { name: "a key before a section", text: "a = 1\n", errors: ["1  a"] },
  {
    name: "a section header without a closing bracket",
    text: "[job j\nx = 1",
    errors: ["1  ", "2  x"],
  },
  { name: "an unknown kind", text: "[cron c]\n", errors: ["1 cron c "] },
  {
    name: "a window that ends before it begins",
    text:
      `${TEAM}[job j]\n${JOB}start_after = 2026-01-02T00:00:00Z\n` +
      "finish_by = 2026-01-01T00:00:00Z\n",
    errors: ["10 job j finish_by"],
  },
  {
    name: "an invalid date",
    text: `${TEAM}[job j]\n${JOB}finish_by = 2026-13-01T00:00:00Z\n`,
    errors: ["9 job j finish_by"],
  },
];

for (const { name, text, errors } of CASES) {
  test(`file set: ${name}`, () => {
    const result = readFileSet([{ file: "f.ini", text }]);
    const found = result.ok
      ? []
      : result.val.map((e) => `${e.line} ${e.section} ${e.key}`);
    assert.deepEqual(found, errors);
  });
}

test("file set: the difference lists sections by name", () => {
  const read = (text: string) => readFileSet([{ file: "f", text }]).unwrap();
  const before = read(`${TEAM}[job a]\n${JOB}[job b]\n${JOB}`);
  const after = read(
    `${TEAM}[job b]\n${JOB.replace("= 2", "= 3")}[job c]\n${JOB}`,
  );
  assert.deepEqual(diffFileSets(before, after), [
    { kind: ChangeKind.Removed, part: "job a", details: [] },
    { kind: ChangeKind.Changed, part: "job b", details: ["tasks: 2 -> 3"] },
    { kind: ChangeKind.Added, part: "job c", details: [] },
  ]);
});
