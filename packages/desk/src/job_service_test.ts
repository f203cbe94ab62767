import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultCode } from "@laburnumtrack/core/fault";
import type { Job } from "@laburnumtrack/jobs/job";
import {
  encodeClosedJobRow,
  encodeEndedJob,
  encodeRefusedJobRow,
  endedKey,
  jobKey,
  stateKey,
  TABLE_ROW_LIMIT_BYTES,
} from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { createStep } from "@laburnumtrack/jobs/test_samples";
import {
  FeedTableStandin,
  TableFault,
} from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import type { Result } from "ts-results";
import { JobService } from "./job_service";

const JOB: Job = {
  id: "00000000000000aa",
  queue: "q",
  spec: "",
  steps: [createStep()],
  repeat: undefined,
  submittedMs: 0,
};
const WAIT_MS = 3000;

interface Setup {
  readonly desk: JobService;
  readonly table: FeedTableStandin;
  readonly clock: VirtualClock;
}

const CASES: readonly {
  readonly name: string;
  /** Calls made one after the other; the last answer is compared. */
  readonly calls: readonly ((setup: Setup) => Promise<unknown>)[];
  readonly answer: unknown;
}[] = [
  { name: "a job is stored", calls: [submit], answer: "stored" },
  {
    name: "a repeated job is one job",
    calls: [submit, submit],
    answer: "known",
  },
  {
    name: "a job is queued",
    calls: [submit, readPhase],
    answer: JobPhase.Queued,
  },
  { name: "an unknown job", calls: [readPhase], answer: FaultCode.NotFound },
  {
    name: "cancelling an unknown job",
    calls: [cancel],
    answer: FaultCode.NotFound,
  },
  {
    name: "a cancelled job",
    calls: [submit, cancel, readPhase],
    answer: JobPhase.Cancelled,
  },
  {
    name: "a running job that is cancelled, before a leader sees the cancellation",
    calls: [submit, storeRunning, cancel, readPhase],
    answer: JobPhase.Cancelled,
  },
  {
    name: "a running job",
    calls: [submit, storeRunning, readPhase],
    answer: JobPhase.Running,
  },
  {
    name: "a job that is over, whose state was moved",
    calls: [submit, closeRow, storeOutcome, readPhase],
    answer: JobPhase.Failed,
  },
  {
    name: "a job whose outcome was removed",
    calls: [submit, closeRow, readPhase],
    answer: FaultCode.NotFound,
  },
  {
    name: "a job that was cancelled after it failed",
    calls: [submit, cancel, storeOutcome, readPhase],
    answer: JobPhase.Failed,
  },
  {
    name: "a job is cancelled twice",
    calls: [submit, cancel, cancel],
    answer: undefined,
  },
  {
    name: "a cancelled job that is sent again stays cancelled",
    calls: [submit, cancel, submit, readPhase],
    answer: JobPhase.Cancelled,
  },
  {
    name: "an unknown job is cancelled twice",
    calls: [cancel, cancel],
    answer: undefined,
  },
  {
    // Guards against jobs that start after their cancellation: the submission was
    // still under way when the cancellation found no row.
    name: "a job that was cancelled before it is sent stays cancelled",
    calls: [cancel, submit, readPhase],
    answer: JobPhase.Cancelled,
  },
  {
    name: "a refused job that was cancelled stays cancelled when it is sent again",
    calls: [refuse, cancel, submit, readPhase],
    answer: JobPhase.Cancelled,
  },
  {
    // Guards against callers that repeat a job for ever which no row can hold:
    // they were told to try again.
    name: "a job that does not fit into a row is refused",
    calls: [submitSteps(300)],
    answer: FaultCode.TooLarge,
  },
  {
    name: "a job that is refused for its size is not stored",
    calls: [submitSteps(300), readPhase],
    answer: FaultCode.NotFound,
  },
  {
    name: "a large job that fits into a row is stored",
    calls: [submitSteps(200)],
    answer: "stored",
  },
  {
    name: "a stored job is known, whatever its size is when it is sent again",
    calls: [submit, submitSteps(300)],
    answer: "known",
  },
  {
    name: "a table that rejects calls: not stored",
    calls: [setTrouble(TableFault.Down), submit],
    answer: FaultCode.StoreUnavailable,
  },
  {
    name: "a lost answer: the row proves that the job is stored",
    calls: [setTrouble(TableFault.AnswerLost), submit],
    answer: "known",
  },
  {
    name: "a refused job is not found",
    calls: [refuse, readPhase],
    answer: FaultCode.NotFound,
  },
  {
    name: "a refused job cannot be cancelled",
    calls: [refuse, cancel],
    answer: FaultCode.NotFound,
  },
  {
    name: "a refused job that is sent again is stored and queued",
    calls: [refuse, submit, readPhase],
    answer: JobPhase.Queued,
  },
  {
    name: "a table that does not answer: unknown, not rejected",
    calls: [setTrouble(TableFault.Silent), submit],
    answer: FaultCode.OutcomeUnknown,
  },
  {
    name: "unknown at first, rejected later: still unknown",
    calls: [
      setTrouble(TableFault.Silent),
      async (setup) => {
        const done = submit(setup);
        await setup.clock.run(setup.clock.nowMs() + 500);
        setup.table.fault = TableFault.Down;
        return await done;
      },
    ],
    answer: FaultCode.OutcomeUnknown,
  },
  {
    name: "the answer was lost and the table has recovered: known",
    calls: [
      setTrouble(TableFault.AnswerLost),
      async (setup) => {
        const done = submit(setup);
        await setup.clock.run(setup.clock.nowMs() + 500);
        setup.table.fault = TableFault.None;
        return await done;
      },
    ],
    answer: "known",
  },
];

for (const { name, calls, answer } of CASES) {
  test(`job service: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    table.rowLimitBytes = TABLE_ROW_LIMIT_BYTES;
    const setup = {
      clock,
      table,
      desk: new JobService({ clock, table, isTableReachable: () => true }),
    };
    let last: unknown;
    for (const call of calls) {
      const done = call(setup);
      for (let step = 0; step < 8; step += 1) {
        await clock.run(clock.nowMs() + 500);
      }
      last = await done;
    }
    assert.equal(last, answer);
  });
}

async function submit({ desk, clock }: Setup): Promise<unknown> {
  return outcomeOf(await desk.submit(JOB, clock.nowMs() + WAIT_MS));
}

/** Submits the job with that many steps. */
function submitSteps(count: number) {
  const steps = Array.from({ length: count }, () => createStep());
  return async ({ desk, clock }: Setup): Promise<unknown> =>
    outcomeOf(await desk.submit({ ...JOB, steps }, clock.nowMs() + WAIT_MS));
}

async function cancel({ desk, clock }: Setup): Promise<unknown> {
  return outcomeOf(await desk.cancel(JOB.id, clock.nowMs() + WAIT_MS));
}

async function readPhase({ desk, clock }: Setup): Promise<unknown> {
  return outcomeOf(await desk.readPhase(JOB.id, clock.nowMs() + WAIT_MS));
}

/** Stores what a refused submission leaves behind. */
async function refuse({ table }: Setup): Promise<void> {
  const value = encodeRefusedJobRow({ atMs: 0, submissions: ["earlier"] });
  await table.commit({ checks: [], writes: [{ key: jobKey(JOB.id), value }] });
}

/** Stores the state that a leader stores once a task has started. */
async function storeRunning({ table }: Setup): Promise<void> {
  const value = JSON.stringify({
    phase: JobPhase.Running,
    queue: "q",
    sinceMs: 0,
    steps: [],
  });
  await table.commit({
    checks: [],
    writes: [{ key: stateKey(JOB.id), value }],
  });
}

/** Closes the row, as a leader does once the job is over. */
async function closeRow({ table }: Setup): Promise<void> {
  const value = encodeClosedJobRow({ isCancelled: false });
  await table.commit({ checks: [], writes: [{ key: jobKey(JOB.id), value }] });
}

async function storeOutcome({ table }: Setup): Promise<void> {
  const value = encodeEndedJob({ phase: JobPhase.Failed, sinceMs: 0 });
  const writes = [{ key: endedKey(JOB.id), value }];
  await table.commit({ checks: [], writes });
}

function setTrouble(kind: TableFault): (setup: Setup) => Promise<void> {
  return async ({ table }) => {
    table.fault = kind;
  };
}

function outcomeOf(result: Result<unknown, { code: FaultCode }>): unknown {
  return result.ok ? result.val : result.val.code;
}

test("job service: a table known to be unreachable is not called", async () => {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const desk = new JobService({ clock, table, isTableReachable: () => false });
  const done = await desk.submit(JOB, clock.nowMs() + WAIT_MS);
  assert.equal(outcomeOf(done), FaultCode.StoreUnavailable);
  await clock.run(WAIT_MS);
  const rows = table.snapshot("");
  await clock.run(2 * WAIT_MS);
  assert.equal((await rows).unwrap().rows.length, 0);
});

test("job service: a table that does not answer fails the call by the deadline", async () => {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  table.fault = TableFault.Silent;
  const desk = new JobService({ clock, table, isTableReachable: () => true });
  let answeredMs = 0;
  const done = desk.submit(JOB, 1700).then((result) => {
    answeredMs = clock.nowMs();
    return result;
  });
  await clock.run(5000);
  assert.equal(outcomeOf(await done), FaultCode.OutcomeUnknown);
  assert.ok(answeredMs <= 1700, `answered after ${answeredMs} ms`);
});
