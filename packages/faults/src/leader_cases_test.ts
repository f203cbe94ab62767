import assert from "node:assert/strict";
import { test } from "node:test";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { TableTrouble } from "@laburnumtrack/standins/feed_table_standin";
import { EntryWorld } from "./entry_world";

interface Case {
  readonly name: string;
  /** Brings the trouble about while jobs are at work. */
  readonly act: (world: EntryWorld) => Promise<void>;
  /** Time after the trouble until all jobs have to be over, in ms. */
  readonly restMs: number;
  /** Runs that may lapse or be given up; 0: no lease may be lost. */
  readonly lapses?: number;
  /** Work of a task in ms; else longer than a takeover. */
  readonly workMs?: number;
  /** Tasks fail this often before they are done. */
  readonly failures?: number;
}

const WORK_MS = 3000;
const JOBS = 6;

const CASES: readonly Case[] = [
  {
    name: "nothing happens",
    act: (world) => world.pass(100),
    restMs: 10_000,
  },
  {
    name: "the leader hands over in order",
    act: async (world) => {
      const stopping = world.leader?.stop();
      await world.pass(3000);
      await stopping;
    },
    restMs: 12_000,
  },
  {
    name: "the leader is frozen and wakes while another leads",
    act: async (world) => {
      world.leader?.clock.freeze(5000);
      await world.pass(8000);
    },
    restMs: 12_000,
  },
  {
    name: "the table turns the leader away alone",
    act: async (world) => {
      const { name } = world.leader ?? { name: "" };
      world.table.refused.add(name);
      await world.pass(6000);
      world.table.refused.delete(name);
    },
    restMs: 12_000,
  },
  {
    name: "the table turns the leader away just before runs end",
    act: async (world) => {
      await world.pass(700);
      const { name } = world.leader ?? { name: "" };
      world.table.refused.add(name);
      await world.pass(6000);
      world.table.refused.delete(name);
    },
    restMs: 12_000,
  },
  {
    name: "a worker is cut off while the leader hands over",
    act: async (world) => {
      world.fleet.cut.add("w0");
      const stopping = world.leader?.stop();
      await world.pass(9000);
      await stopping;
      world.fleet.cut.delete("w0");
    },
    restMs: 12_000,
    lapses: 8,
  },
  {
    name: "a worker that is cut off loses its entry during a handover",
    act: async (world) => {
      world.fleet.cut.add("w0");
      const stopping = world.leader?.stop();
      // Before the next leader reads the registry.
      await world.unregister("w0");
      await world.pass(9000);
      await stopping;
    },
    restMs: 12_000,
    lapses: 8,
  },
  {
    name: "a worker comes back whose silence only the next leader reads of",
    workMs: 14_000,
    act: async (world) => {
      world.fleet.cut.add("w0");
      await world.pass(5000);
      const { name } = world.leader ?? { name: "" };
      world.table.refused.add(name);
      world.fleet.cut.delete("w0");
      await world.pass(900);
      world.fleet.cut.add("w0");
      await world.pass(12_000);
      world.table.refused.delete(name);
      world.fleet.cut.delete("w0");
    },
    restMs: 40_000,
    lapses: 12,
  },
  {
    name: "a silent worker's lease lapses under the next leader",
    act: async (world) => {
      world.fleet.cut.add("w0");
      await world.pass(1500);
      const stopping = world.leader?.stop();
      await world.pass(9000);
      await stopping;
      world.fleet.cut.delete("w0");
    },
    restMs: 12_000,
    lapses: 8,
  },
  {
    name: "the table is down for 5 s",
    act: async (world) => {
      world.table.trouble = TableTrouble.Down;
      await world.pass(5000);
      world.table.trouble = TableTrouble.None;
    },
    restMs: 12_000,
  },
  {
    name: "the table is silent for 5 s",
    act: async (world) => {
      world.table.trouble = TableTrouble.Silent;
      await world.pass(5000);
      world.table.trouble = TableTrouble.None;
    },
    restMs: 15_000,
  },
  {
    name: "answers of the table are lost",
    act: async (world) => {
      world.table.trouble = TableTrouble.AnswerLost;
      await world.pass(4000);
      world.table.trouble = TableTrouble.None;
    },
    restMs: 15_000,
  },
  {
    name: "commits take effect late",
    act: async (world) => {
      world.table.trouble = TableTrouble.Late;
      await world.pass(4000);
      world.table.trouble = TableTrouble.None;
    },
    restMs: 20_000,
  },
  {
    name: "the history is dropped and reads are old after jobs are over",
    act: async (world) => {
      world.table.remember();
      await world.pass(6000);
      world.table.trouble = TableTrouble.Stale;
      await world.pass(3000);
      world.table.trouble = TableTrouble.None;
    },
    restMs: 12_000,
  },
  {
    name: "reads are old while the leader hands over",
    act: async (world) => {
      world.table.remember();
      await world.pass(4000);
      world.table.trouble = TableTrouble.Stale;
      const stopping = world.leader?.stop();
      await world.pass(2000);
      world.table.trouble = TableTrouble.None;
      await world.pass(2000);
      await stopping;
    },
    restMs: 12_000,
  },
  {
    name: "a worker starts anew under its id",
    act: async (world) => {
      world.fleet.restart("w0");
      await world.pass(100);
    },
    restMs: 12_000,
  },
  {
    name: "a worker is cut off for longer than its lease",
    act: async (world) => {
      world.fleet.cut.add("w0");
      await world.pass(12_000);
      world.fleet.cut.delete("w0");
    },
    restMs: 12_000,
    lapses: 8,
  },
  {
    name: "orders to a worker are carried out seconds later",
    act: async (world) => {
      world.fleet.late.add("w0");
      await world.pass(3000);
      world.fleet.late.delete("w0");
    },
    restMs: 25_000,
    lapses: 8,
  },
  {
    name: "a worker's answers are lost",
    act: async (world) => {
      world.fleet.mute.add("w0");
      await world.pass(3000);
      world.fleet.mute.delete("w0");
    },
    restMs: 15_000,
  },
  {
    name: "tasks fail as often as they may, and leaders change in between",
    failures: 2,
    act: async (world) => {
      await world.pass(3050);
      const stopping = world.leader?.stop();
      await world.pass(3000);
      await stopping;
    },
    restMs: 20_000,
  },
  {
    name: "the leader is frozen just when runs end",
    act: async (world) => {
      await world.pass(2900);
      world.leader?.clock.freeze(4000);
      await world.pass(8000);
    },
    restMs: 15_000,
  },
];

for (const given of CASES) {
  const { name, act, restMs, lapses = 0, failures = 0 } = given;
  test(`leader: ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 4 });
    await world.pass(2000);
    assert.ok(world.leader, "somebody leads");
    for (let job = 0; job < JOBS; job += 1) {
      const spec = `work=${given.workMs ?? WORK_MS}&fail=${failures}`;
      const id = `${job}`.padStart(16, "0");
      await world.submit(id, spec, [{}, { count: 2, after: [0] }]);
    }
    await act(world);
    await world.pass(restMs);
    assert.deepEqual(world.findFaults(), []);
    const phases = await world.readPhases();
    const expected = new Array(JOBS).fill(JobPhase.Completed);
    assert.deepEqual(phases, expected);
    assert.ok(
      world.countEnds(RunEnd.Lapsed) <= lapses,
      `${world.countEnds(RunEnd.Lapsed)} leases were lost`,
    );
  });
}

test("leader: a cancelled job stops and stays cancelled over a takeover", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.pass(2000);
  await world.submit("00000000000000aa", "work=60000", [{}]);
  await world.pass(500);
  const done = await world.cancel("00000000000000aa");
  assert.ok(done.ok);
  const stopping = world.leader?.stop();
  await world.pass(3000);
  await stopping;
  assert.deepEqual(await world.readPhases(), [JobPhase.Cancelled]);
  const open = world.fleet.history.filter(({ endMs }) => endMs === undefined);
  assert.equal(open.length, 0);
});

test("leader: a job whose tasks fail too often is shown as failed", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.pass(2000);
  await world.submit("00000000000000ab", "work=200&fail=3", [{ count: 1 }]);
  await world.pass(5000);
  assert.deepEqual(await world.readPhases(), [JobPhase.Failed]);
  assert.equal(world.fleet.history.length, 3);
});

test("leader: new jobs start while a worker's runs are not known", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.pass(2000);
  await world.submit("00000000000000ba", "work=60000", [{ count: 8 }]);
  world.fleet.cut.add("w0");
  const stopping = world.leader?.stop();
  await world.pass(800);
  await world.submit("00000000000000bb", "work=300", [{}]);
  await world.pass(2500);
  const [, phase] = await world.readPhases();
  assert.equal(phase, JobPhase.Completed);
  await world.pass(9000);
  await stopping;
  assert.deepEqual(world.findFaults(), []);
});

test("leader: ends of a worker's new life are not acknowledged unseen", async () => {
  const world = new EntryWorld({ entries: 1, workers: 1 });
  await world.pass(2000);
  await world.submitTogether(12, "work=100");
  await world.pass(3000);
  // The renewal under way is of the former life; a start meets the new one.
  world.fleet.restart("w0");
  await world.submit("00000000000000bb", "work=100", [{ count: 1 }]);
  await world.pass(6000);
  assert.deepEqual(world.findFaults(), []);
  assert.equal(world.countEnds(RunEnd.Done), 13);
});

test("leader: jobs that were over before its term are not read as new", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.pass(2000);
  await world.submitTogether(24, "work=250");
  await world.pass(400);
  const former = world.leader;
  const stopping = former?.stop();
  while (world.leader === former || world.leader === undefined) {
    await world.pass(10);
  }
  // Their rows are closed one by one; those still open are read once more.
  for (let drop = 0; drop < 10; drop += 1) {
    await world.pass(35);
    world.table.dropHistory();
  }
  await world.pass(5000);
  await stopping;
  assert.deepEqual(world.findFaults(), []);
});

test("leader: a job that a lost leader may have started waits", async () => {
  const world = new EntryWorld({ entries: 3, workers: 2 });
  await world.pass(2000);
  const former = world.leader?.name;
  assert.ok(former);
  // The former leader reads and reaches w0, the others reach w1.
  world.table.refusedCommits.add(former);
  world.fleet.cutPairs.add(`${former} w1`);
  for (const { name } of world.entries) {
    if (name !== former) world.fleet.cutPairs.add(`${name} w0`);
  }
  await world.pass(2500);
  await world.submit("00000000000000bd", "work=4000", [{ count: 1 }]);
  await world.pass(30_000);
  assert.deepEqual(world.findFaults(), []);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
});

test("leader: a released leadership is taken over within half a second", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.pass(2000);
  await world.submit("00000000000000bc", "work=60000", [{ count: 8 }]);
  const former = world.leader;
  const stopping = former?.stop();
  await world.pass(500);
  const isTaken = world.entries.some(
    ({ name, leadership }) => leadership.term && name !== former?.name,
  );
  assert.ok(isTaken);
  await world.pass(2000);
  await stopping;
});
