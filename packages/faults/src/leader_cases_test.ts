import assert from "node:assert/strict";
import { test } from "node:test";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { EntryWorld } from "./entry_world";

interface Case {
  readonly name: string;
  /** Causes the disturbance while jobs run. */
  readonly disturb: (world: EntryWorld) => Promise<void>;
  /** Time after the disturbance within which all jobs must finish, in ms. */
  readonly recoveryMs: number;
  /** Most runs whose lease may expire; 0 by default. */
  readonly maxLapses?: number;
  /** Work of a task in ms; `WORK_MS`, longer than a takeover, by default. */
  readonly workMs?: number;
  /** Times that each task fails before it completes; 0 by default. */
  readonly failures?: number;
}

const WORK_MS = 3000;
const JOBS = 6;

const CASES: readonly Case[] = [
  {
    name: "nothing happens",
    disturb: (world) => world.advance(100),
    recoveryMs: 10_000,
  },
  {
    name: "the leader releases the leadership",
    disturb: async (world) => {
      const stopping = world.leader?.stop();
      await world.advance(3000);
      await stopping;
    },
    recoveryMs: 12_000,
  },
  {
    name: "the leader is paused and resumes while another leads",
    disturb: async (world) => {
      world.leader?.clock.freeze(5000);
      await world.advance(8000);
    },
    recoveryMs: 12_000,
  },
  {
    name: "the table rejects calls of the leader only",
    disturb: async (world) => {
      const { name } = world.leader ?? { name: "" };
      world.table.refused.add(name);
      await world.advance(6000);
      world.table.refused.delete(name);
    },
    recoveryMs: 12_000,
  },
  {
    name: "the table rejects calls of the leader just before runs end",
    disturb: async (world) => {
      await world.advance(700);
      const { name } = world.leader ?? { name: "" };
      world.table.refused.add(name);
      await world.advance(6000);
      world.table.refused.delete(name);
    },
    recoveryMs: 12_000,
  },
  {
    name: "a worker is cut off while the leader hands over",
    disturb: async (world) => {
      world.fleet.unreachable.add("w0");
      const stopping = world.leader?.stop();
      await world.advance(9000);
      await stopping;
      world.fleet.unreachable.delete("w0");
    },
    recoveryMs: 12_000,
    maxLapses: 8,
  },
  {
    name: "a worker that is cut off leaves the registry during a handover",
    disturb: async (world) => {
      world.fleet.unreachable.add("w0");
      const stopping = world.leader?.stop();
      // Before the next leader reads the registry.
      await world.unregister("w0");
      await world.advance(9000);
      await stopping;
    },
    recoveryMs: 12_000,
    maxLapses: 8,
  },
  {
    name: "a worker answers again after the leadership row listed it as silent",
    workMs: 14_000,
    disturb: async (world) => {
      world.fleet.unreachable.add("w0");
      await world.advance(5000);
      const { name } = world.leader ?? { name: "" };
      world.table.refused.add(name);
      world.fleet.unreachable.delete("w0");
      await world.advance(900);
      world.fleet.unreachable.add("w0");
      await world.advance(12_000);
      world.table.refused.delete(name);
      world.fleet.unreachable.delete("w0");
    },
    recoveryMs: 40_000,
    maxLapses: 12,
  },
  {
    name: "an unresponsive worker's lease expires under the next leader",
    disturb: async (world) => {
      world.fleet.unreachable.add("w0");
      await world.advance(1500);
      const stopping = world.leader?.stop();
      await world.advance(9000);
      await stopping;
      world.fleet.unreachable.delete("w0");
    },
    recoveryMs: 12_000,
    maxLapses: 8,
  },
  {
    name: "the table is down for 5 s",
    disturb: async (world) => {
      world.table.fault = TableFault.Down;
      await world.advance(5000);
      world.table.fault = TableFault.None;
    },
    recoveryMs: 12_000,
  },
  {
    name: "the table does not answer for 5 s",
    disturb: async (world) => {
      world.table.fault = TableFault.Silent;
      await world.advance(5000);
      world.table.fault = TableFault.None;
    },
    recoveryMs: 15_000,
  },
  {
    name: "answers of the table are lost",
    disturb: async (world) => {
      world.table.fault = TableFault.AnswerLost;
      await world.advance(4000);
      world.table.fault = TableFault.None;
    },
    recoveryMs: 15_000,
  },
  {
    name: "commits take effect late",
    disturb: async (world) => {
      world.table.fault = TableFault.Late;
      await world.advance(4000);
      world.table.fault = TableFault.None;
    },
    recoveryMs: 20_000,
  },
  {
    name: "the table drops its history and reads are outdated after jobs finish",
    disturb: async (world) => {
      world.table.saveStaleSnapshot();
      await world.advance(6000);
      world.table.fault = TableFault.Stale;
      await world.advance(3000);
      world.table.fault = TableFault.None;
    },
    recoveryMs: 12_000,
  },
  {
    name: "reads are outdated while the leader hands over",
    disturb: async (world) => {
      world.table.saveStaleSnapshot();
      await world.advance(4000);
      world.table.fault = TableFault.Stale;
      const stopping = world.leader?.stop();
      await world.advance(2000);
      world.table.fault = TableFault.None;
      await world.advance(2000);
      await stopping;
    },
    recoveryMs: 12_000,
  },
  {
    name: "a worker restarts under its id",
    disturb: async (world) => {
      world.fleet.restart("w0");
      await world.advance(100);
    },
    recoveryMs: 12_000,
  },
  {
    name: "a worker is cut off for longer than its lease",
    disturb: async (world) => {
      world.fleet.unreachable.add("w0");
      await world.advance(12_000);
      world.fleet.unreachable.delete("w0");
    },
    recoveryMs: 12_000,
    maxLapses: 8,
  },
  {
    name: "orders to a worker are carried out seconds later",
    disturb: async (world) => {
      world.fleet.delayed.add("w0");
      await world.advance(3000);
      world.fleet.delayed.delete("w0");
    },
    recoveryMs: 25_000,
    maxLapses: 8,
  },
  {
    name: "a worker's answers are lost",
    disturb: async (world) => {
      world.fleet.answersLost.add("w0");
      await world.advance(3000);
      world.fleet.answersLost.delete("w0");
    },
    recoveryMs: 15_000,
  },
  {
    name: "tasks fail as often as allowed, and the leader changes in between",
    failures: 2,
    disturb: async (world) => {
      await world.advance(3050);
      const stopping = world.leader?.stop();
      await world.advance(3000);
      await stopping;
    },
    recoveryMs: 20_000,
  },
  {
    name: "the leader is paused just when runs end",
    disturb: async (world) => {
      await world.advance(2900);
      world.leader?.clock.freeze(4000);
      await world.advance(8000);
    },
    recoveryMs: 15_000,
  },
];

for (const given of CASES) {
  const { name, disturb, recoveryMs, maxLapses = 0, failures = 0 } = given;
  test(`leader: ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 4 });
    await world.advance(2000);
    assert.ok(world.leader, "an entry leads");
    for (let job = 0; job < JOBS; job += 1) {
      const spec = `work=${given.workMs ?? WORK_MS}&fail=${failures}`;
      const id = `${job}`.padStart(16, "0");
      await world.submit(id, spec, [{}, { count: 2, after: [0] }]);
    }
    await disturb(world);
    await world.advance(recoveryMs);
    assert.deepEqual(world.findViolations(), []);
    const phases = await world.readPhases();
    const expected = new Array(JOBS).fill(JobPhase.Completed);
    assert.deepEqual(phases, expected);
    assert.ok(
      world.countEnds(RunEnd.Lapsed) <= maxLapses,
      `${world.countEnds(RunEnd.Lapsed)} leases expired`,
    );
  });
}

test("leader: a cancelled job stops and stays cancelled over a takeover", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  await world.submit("00000000000000aa", "work=60000", [{}]);
  await world.advance(500);
  const done = await world.cancel("00000000000000aa");
  assert.ok(done.ok);
  const stopping = world.leader?.stop();
  await world.advance(3000);
  await stopping;
  assert.deepEqual(await world.readPhases(), [JobPhase.Cancelled]);
  const open = world.fleet.history.filter(({ endMs }) => endMs === undefined);
  assert.equal(open.length, 0);
});

test("leader: a job whose tasks fail too often is shown as failed", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  await world.submit("00000000000000ab", "work=200&fail=3", [{ count: 1 }]);
  await world.advance(5000);
  assert.deepEqual(await world.readPhases(), [JobPhase.Failed]);
  assert.equal(world.fleet.history.length, 3);
});

test("leader: new jobs start while a worker's runs are not known", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  await world.submit("00000000000000ba", "work=60000", [{ count: 8 }]);
  world.fleet.unreachable.add("w0");
  const stopping = world.leader?.stop();
  await world.advance(800);
  await world.submit("00000000000000bb", "work=300", [{}]);
  await world.advance(2500);
  const [, phase] = await world.readPhases();
  assert.equal(phase, JobPhase.Completed);
  await world.advance(9000);
  await stopping;
  assert.deepEqual(world.findViolations(), []);
});

test("leader: ends after a worker's restart are not acknowledged before they are seen", async () => {
  const world = new EntryWorld({ entries: 1, workers: 1 });
  await world.advance(2000);
  await world.submitTogether(12, "work=100");
  await world.advance(3000);
  // The renewal under way belongs to the former process of the worker; the next
  // start reaches the new one.
  world.fleet.restart("w0");
  await world.submit("00000000000000bb", "work=100", [{ count: 1 }]);
  await world.advance(6000);
  assert.deepEqual(world.findViolations(), []);
  assert.equal(world.countEnds(RunEnd.Done), 13);
});

test("leader: jobs that finished before its term are not started again", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  await world.submitTogether(24, "work=250");
  await world.advance(400);
  const former = world.leader;
  const stopping = former?.stop();
  while (world.leader === former || world.leader === undefined) {
    await world.advance(10);
  }
  // The rows of finished jobs are closed one by one. Each time the history is
  // dropped, the leader reads all rows again, also those not closed yet.
  for (let drop = 0; drop < 10; drop += 1) {
    await world.advance(35);
    world.table.dropHistory();
  }
  await world.advance(5000);
  await stopping;
  assert.deepEqual(world.findViolations(), []);
});

test("leader: a job that a lost leader may have started waits", async () => {
  const world = new EntryWorld({ entries: 3, workers: 2 });
  await world.advance(2000);
  const former = world.leader?.name;
  assert.ok(former);
  // The former leader can read the table and reach w0 but not commit; the other
  // entries reach w1 only.
  world.table.refusedCommits.add(former);
  world.fleet.unreachablePairs.add(`${former} w1`);
  for (const { name } of world.entries) {
    if (name !== former) world.fleet.unreachablePairs.add(`${name} w0`);
  }
  await world.advance(2500);
  await world.submit("00000000000000bd", "work=4000", [{ count: 1 }]);
  await world.advance(30_000);
  assert.deepEqual(world.findViolations(), []);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
});

test("leader: a released leadership is taken over within half a second", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  await world.submit("00000000000000bc", "work=60000", [{ count: 8 }]);
  const former = world.leader;
  const stopping = former?.stop();
  await world.advance(500);
  const isTaken = world.entries.some(
    ({ name, leadership }) => leadership.term && name !== former?.name,
  );
  assert.ok(isTaken);
  await world.advance(2000);
  await stopping;
});
