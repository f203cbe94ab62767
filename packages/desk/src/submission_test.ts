import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultCode } from "@laburnumtrack/core/fault";
import type { Job } from "@laburnumtrack/jobs/job";
import { jobKey, readJobRow } from "@laburnumtrack/jobs/job_rows";
import { createStep } from "@laburnumtrack/jobs/test_samples";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import fc from "fast-check";
import { CallFate, FaultyTable } from "./faulty_table";
import { JobService } from "./job_service";
import { SubmitOutcome } from "./submission";

const { Answered, AnswerLost, Dropped, Late, Rejected, RejectedSlowly, Slow } =
  CallFate;

const JOB: Job = {
  id: "00000000000000aa",
  queue: "q",
  spec: "",
  steps: [createStep()],
  repeat: undefined,
  submittedMs: 0,
};
/** Time that callers leave for an answer, less the margin of the response. */
const CALLER_MS = 2850;
/** Time after which no late commit is on its way any more. */
const QUIET_MS = 20_000;

/** What is stored under the job's key. */
enum Stored {
  Nothing = "nothing",
  Job = "job",
  Tombstone = "tombstone",
}

/** An attempt of the caller at one of the entries. */
interface Attempt {
  readonly entry: number;
  readonly atMs: number;
  readonly answer: SubmitOutcome | FaultCode;
}

const CASES: readonly {
  readonly name: string;
  /** Fates of the commits in order; the last one repeats. */
  readonly commits: readonly CallFate[];
  /** Fates of the reads in order; the last one repeats. */
  readonly reads?: readonly CallFate[];
  readonly attempts: readonly Attempt[];
  readonly stored: Stored;
  /** Latest answer of the first attempt, in ms; the caller's time by default. */
  readonly withinMs?: number;
}[] = [
  {
    name: "a late commit and a table that answers again: stored",
    commits: [Late, Answered],
    attempts: [{ entry: 0, atMs: 0, answer: SubmitOutcome.Stored }],
    stored: Stored.Job,
    withinMs: 600,
  },
  {
    name: "late commits up to the end: refused, and they store nothing later",
    commits: [Late, Late, Late, Late, Late, Answered],
    attempts: [{ entry: 0, atMs: 0, answer: FaultCode.NotStored }],
    stored: Stored.Tombstone,
  },
  {
    name: "dropped commits up to the end: refused",
    commits: [Dropped, Dropped, Dropped, Dropped, Dropped, Answered],
    attempts: [{ entry: 0, atMs: 0, answer: FaultCode.NotStored }],
    stored: Stored.Tombstone,
  },
  {
    name: "a refused job is stored by the caller's next try at another entry, and known to a late repetition",
    commits: [Late, Late, Late, Late, Late, Answered],
    attempts: [
      { entry: 0, atMs: 0, answer: FaultCode.NotStored },
      { entry: 1, atMs: 2900, answer: SubmitOutcome.Stored },
      { entry: 0, atMs: 8000, answer: SubmitOutcome.Known },
    ],
    stored: Stored.Job,
  },
  {
    name: "a job that was refused twice is stored by the third try",
    commits: [
      ...Array(5).fill(Late),
      Answered,
      ...Array(5).fill(Late),
      Answered,
    ],
    attempts: [
      { entry: 0, atMs: 0, answer: FaultCode.NotStored },
      { entry: 0, atMs: 2900, answer: FaultCode.NotStored },
      { entry: 0, atMs: 5800, answer: SubmitOutcome.Stored },
    ],
    stored: Stored.Job,
  },
  {
    name: "the answer was lost: the row proves that the job is stored",
    commits: [AnswerLost],
    attempts: [{ entry: 0, atMs: 0, answer: SubmitOutcome.Known }],
    stored: Stored.Job,
    withinMs: 500,
  },
  {
    name: "the answer was lost, and reads are rejected: unknown, not refused",
    commits: [AnswerLost],
    reads: [Rejected],
    attempts: [{ entry: 0, atMs: 0, answer: FaultCode.OutcomeUnknown }],
    stored: Stored.Job,
  },
  {
    name: "a late commit, then a table that rejects: unknown, not refused",
    commits: [Late, Rejected],
    attempts: [{ entry: 0, atMs: 0, answer: FaultCode.OutcomeUnknown }],
    stored: Stored.Job,
  },
  {
    name: "an unknown outcome, then a try that the table rejects: unknown, not refused",
    commits: [Late, Rejected],
    attempts: [
      { entry: 0, atMs: 0, answer: FaultCode.OutcomeUnknown },
      { entry: 0, atMs: 2900, answer: FaultCode.OutcomeUnknown },
    ],
    stored: Stored.Job,
  },
  {
    name: "a table that rejects all calls: refused at once",
    commits: [Rejected],
    reads: [Rejected],
    attempts: [{ entry: 0, atMs: 0, answer: FaultCode.StoreUnavailable }],
    stored: Stored.Nothing,
    withinMs: 1200,
  },
  {
    name: "a table that rejects slowly: every call is known to have no effect",
    commits: [RejectedSlowly, RejectedSlowly, Rejected],
    reads: [Rejected],
    attempts: [{ entry: 0, atMs: 0, answer: FaultCode.StoreUnavailable }],
    stored: Stored.Nothing,
  },
  {
    name: "a slow table: the first answer counts while the next call is open",
    commits: [Slow],
    reads: [Dropped],
    attempts: [{ entry: 0, atMs: 0, answer: SubmitOutcome.Stored }],
    stored: Stored.Job,
    withinMs: 800,
  },
  {
    name: "two tries at the same time, of which one stores: the other does not refuse",
    commits: [Dropped, Answered],
    attempts: [
      { entry: 0, atMs: 0, answer: SubmitOutcome.Known },
      { entry: 1, atMs: 10, answer: SubmitOutcome.Stored },
    ],
    stored: Stored.Job,
  },
];

for (const { name, commits, reads = [Answered], ...expected } of CASES) {
  // Guards against jobs lost by a 504 that callers do not retry, and against
  // late commits that store a job which was answered with 503.
  test(`submission: ${name}`, async () => {
    const world = createWorld({
      commit: listFates(commits),
      read: listFates(reads),
    });
    const answers = await world.makeAttempts(expected.attempts);
    assert.deepEqual(
      answers.map(({ answer }) => answer),
      expected.attempts.map(({ answer }) => answer),
    );
    const { withinMs = CALLER_MS } = expected;
    const [first] = answers;
    assert.ok(first !== undefined && first.tookMs <= withinMs, first?.answer);
    assert.equal(world.stored(), expected.stored);
  });
}

// Guards against any order of lost, late and rejected calls after which the
// caller's last answer contradicts what is stored.
test("submission: no answer contradicts what is stored in the end", async () => {
  const anyFate = fc.constantFrom(...Object.values(CallFate));
  const anyAttempt = fc.record({
    entry: fc.nat({ max: 2 }),
    pauseMs: fc.nat({ max: 1000 }),
  });
  const plan = fc.record({
    commits: fc.array(anyFate, { minLength: 1, maxLength: 20 }),
    reads: fc.array(anyFate, { minLength: 1, maxLength: 10 }),
    attempts: fc.array(anyAttempt, { minLength: 1, maxLength: 4 }),
  });
  await fc.assert(
    fc.asyncProperty(plan, async ({ commits, reads, attempts }) => {
      const world = createWorld({
        commit: listFates(commits),
        read: listFates(reads),
      });
      let last: string | undefined;
      let isUnknown = false;
      for (const { entry, pauseMs } of attempts) {
        const { answer, tookMs } = await world.attempt(entry);
        assert.ok(tookMs <= CALLER_MS, `answered after ${tookMs} ms`);
        last = answer;
        isUnknown ||= answer === FaultCode.OutcomeUnknown;
        if (isAccepted(answer)) break;
        await world.clock.run(world.clock.nowMs() + pauseMs);
      }
      await world.clock.run(world.clock.nowMs() + QUIET_MS);
      if (last !== undefined && isAccepted(last)) {
        assert.equal(world.stored(), Stored.Job);
      } else if (!isUnknown) {
        assert.notEqual(world.stored(), Stored.Job);
      }
    }),
    { numRuns: 300, seed: 7 },
  );
});

function isAccepted(answer: string): boolean {
  return answer === SubmitOutcome.Stored || answer === SubmitOutcome.Known;
}

/** Returns the fates one after the other, then the last one repeatedly. */
function listFates(fates: readonly CallFate[]): () => CallFate {
  let next = 0;
  return () => {
    const fate = fates[Math.min(next, fates.length - 1)] ?? Answered;
    next += 1;
    return fate;
  };
}

/** Three entries with one table; the fates are those of all their calls. */
function createWorld(fates: { commit: () => CallFate; read: () => CallFate }) {
  const clock = new VirtualClock();
  const rows = new MemoryTable();
  const entries = Array.from({ length: 3 }, () => {
    const table = new FaultyTable(clock, rows);
    table.commitFate = fates.commit;
    table.readFate = fates.read;
    return new JobService({ clock, table, isTableReachable: () => true });
  });
  const submit = async (entry: number) => {
    const sentMs = clock.nowMs();
    const done = await entries[entry]?.submit(JOB, sentMs + CALLER_MS);
    assert.ok(done !== undefined);
    const answer = done.ok ? done.val : done.val.code;
    return { answer, tookMs: clock.nowMs() - sentMs };
  };
  return {
    clock,
    /** Makes one attempt and waits for its answer. */
    attempt: async (entry: number) => {
      let isOver = false;
      const done = submit(entry).finally(() => {
        isOver = true;
      });
      while (!isOver) await clock.run(clock.nowMs() + 1);
      return await done;
    },
    /** Makes attempts at given times and waits until nothing is on its way. */
    makeAttempts: async (attempts: readonly Attempt[]) => {
      const answers = [];
      for (const { entry, atMs } of attempts) {
        await clock.run(atMs);
        answers.push(submit(entry));
      }
      await clock.run(clock.nowMs() + QUIET_MS);
      return await Promise.all(answers);
    },
    stored: () => {
      const [row] = rows.readNow([jobKey(JOB.id)]);
      if (row === undefined) return Stored.Nothing;
      const { job } = readJobRow(row).unwrap();
      return job === undefined ? Stored.Tombstone : Stored.Job;
    },
  };
}
