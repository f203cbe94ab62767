import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { Role } from "@laburnumtrack/core/rows";
import { request } from "undici";
import { CallEnd, Caller } from "./caller";
import { Fleet, SHORT_TIMES } from "./fleet";

const PROGRAMS = "dist";
const EXAMPLES = ["examples/smil", "examples/xochicalli"];

let fleet: Fleet;
const folder = mkdtempSync(join(tmpdir(), "laburnumtrack-test-"));

before(async () => {
  fleet = await Fleet.start({
    programs: PROGRAMS,
    failureDomains: ["north", "south"],
    entryVms: 1,
    workers: 8,
    times: SHORT_TIMES,
  });
});

after(async () => {
  await fleet.stop();
  rmSync(folder, { recursive: true, force: true });
});

function writeFile(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

const BAD_FILES = writeFile(
  "bad.ini",
  "[team t]\ncpu_cores = lots\n[job a]\nteam = nobody\ntasks = 0\n[job a]\n",
);

/** Commands in order; later ones depend on what earlier ones applied. */
const COMMANDS: readonly {
  readonly args: readonly string[];
  readonly status: number;
  readonly expected: readonly RegExp[];
}[] = [
  { args: ["--help"], status: 0, expected: [/laburnumtrack apply PATH/] },
  { args: ["--version"], status: 0, expected: [/laburnumtrack \d/] },
  { args: ["frobnicate"], status: 2, expected: [/frobnicate/] },
  { args: ["apply", "--colour"], status: 2, expected: [/--colour/] },
  { args: ["check", ...EXAMPLES], status: 0, expected: [/2 services, 6 jobs/] },
  {
    args: ["check", BAD_FILES],
    status: 2,
    expected: [
      /bad.ini:2: \[team t\] cpu_cores: expected a number/,
      /bad.ini:1: \[team t\] memory_mb/,
      /bad.ini:4: \[job a\] team/,
      /bad.ini:5: \[job a\] tasks/,
      /bad.ini:6: \[job a\]: expected a name not used before/,
    ],
  },
  { args: ["check", folder], status: 2, expected: [/bad.ini/] },
  { args: ["apply", BAD_FILES], status: 2, expected: [/errors/] },
  { args: ["diff", ...EXAMPLES], status: 0, expected: [/\+ service findings/] },
  {
    args: ["apply", "--wait", ...EXAMPLES],
    status: 0,
    expected: [/applied: version 1/, /in force on 4 members/],
  },
  { args: ["diff", ...EXAMPLES], status: 0, expected: [/no change/] },
  {
    args: ["apply", "--base", "0", "examples/smil"],
    status: 1,
    expected: [/another version was applied first/, /\+ service storefront/],
  },
  {
    args: ["status"],
    status: 0,
    expected: [/findings/, /catalogue-render-3d +refused/, /fits_nowhere/],
  },
  {
    args: ["explain", "storefront"],
    status: 0,
    expected: [/"kind": "service"/],
  },
  { args: ["explain", "no-such"], status: 1, expected: [/not found/] },
  { args: ["dump", "127.0.0.1:1"], status: 1, expected: [/does not answer/] },
];

test("programs: operator command, from check to dump", async () => {
  for (const { args, status, expected } of COMMANDS) {
    const result = await fleet.runOperatorCommand(args);
    const name = args.join(" ");
    assert.equal(result.status, status, `${name}: ${result.output}`);
    for (const pattern of expected) assert.match(result.output, pattern, name);
  }
});

test("programs: callers get correct responses through every gateway", async () => {
  const caller = new Caller();
  const addresses = fleet.callerAddresses();
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const ends: CallEnd[] = [];
    for (const gateway of addresses) {
      const path = `/findings/span-${attempt}`;
      const plan = { gateway, method: "GET" as const, path, body: "", key: "" };
      ends.push((await caller.call(plan)).end);
    }
    assert.ok(!ends.includes(CallEnd.Wrong));
    if (ends.every((end) => end === CallEnd.Right)) break;
    assert.notEqual(attempt, 99, `not every gateway answered: ${ends}`);
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  await caller.close();
});

test("programs: /dump without the operator token answers 401", async () => {
  for (const { host, adminPort } of fleet.members(Role.Gateway)) {
    for (const authorization of ["", "Bearer", "Bearer wrong"]) {
      const response = await request(`http://${host}:${adminPort}/dump`, {
        headers: { authorization },
      });
      assert.equal(response.statusCode, 401);
      await response.body.dump();
    }
    const metrics = await request(`http://${host}:${adminPort}/metrics`);
    assert.match(await metrics.body.text(), /laburnumtrack_config_version 1/);
  }
});

test("programs: gateway and scheduler exit with status 0 on SIGTERM", async () => {
  for (const role of [Role.Gateway, Role.Scheduler]) {
    const [name = ""] = fleet.running(role);
    await fleet.signal(name, "SIGTERM");
    assert.equal(fleet.lastExitCodeOf(name), 0, name);
  }
});

/** Arguments that end a program at once, and what it prints. */
const ONE_SHOT_STARTS: readonly {
  readonly args: readonly string[];
  readonly status: number;
  readonly expected: RegExp;
}[] = [
  { args: [], status: 2, expected: /usage/ },
  { args: ["--help"], status: 0, expected: /operator_token/ },
  { args: ["--settings", "no-such.ini"], status: 2, expected: /can be read/ },
  {
    args: ["--settings", BAD_FILES, "--check-settings"],
    status: 2,
    expected: /bad.ini:1: \[team t\]: expected one of: member, platform/,
  },
];

for (const program of ["gateway", "scheduler"]) {
  for (const { args, status, expected } of ONE_SHOT_STARTS) {
    test(`programs: ${program} ${args[0] ?? "without arguments"}`, () => {
      const path = join(PROGRAMS, `laburnumtrack-${program}.cjs`);
      const result = spawnSync("node", [path, ...args], { encoding: "utf8" });
      assert.equal(result.status, status);
      assert.match(result.stdout + result.stderr, expected);
    });
  }
}
