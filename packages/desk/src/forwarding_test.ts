import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Job } from "@laburnumtrack/jobs/job";
import {
  encodeOpenJobRow,
  jobKey,
  readJobRow,
} from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { createStep } from "@laburnumtrack/jobs/test_samples";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import fc from "fast-check";
import { Err, type Result } from "ts-results";
import { DeskPeer, type ForwardedCall, ForwardPath } from "./desk_peer";
import { CallFate, FaultyTable } from "./faulty_table";
import { Forwarder } from "./forwarder";
import { JobService } from "./job_service";
import { SubmitOutcome } from "./submission";

const { Answered, AnswerLost, Dropped, Late, Rejected } = CallFate;

const JOB: Job = {
  id: "00000000000000aa",
  queue: "q",
  spec: "",
  steps: [createStep()],
  repeat: undefined,
  submittedMs: 0,
};
const ENTRIES = 3;
const CALLER_MS = 2850;
const QUIET_MS = 20_000;
/** Delay of a call to another entry that is delivered late, in ms. */
const LATE_CALL_MS = 2900;
const LINK_MS = 3;

/** Links between entries, whose calls fail as a test decides for each of them. */
class FaultyLinks extends DeskPeer {
  readonly #clock: VirtualClock;
  readonly #desks: readonly JobService[];
  /** Addresses that were called, in order. */
  readonly called: string[] = [];
  fate: (address: string) => CallFate = () => Answered;

  constructor(clock: VirtualClock, desks: readonly JobService[]) {
    super();
    this.#clock = clock;
    this.#desks = desks;
  }

  override async call(
    address: string,
    call: ForwardedCall,
    timeoutMs: number,
  ): Promise<Result<string, Fault>> {
    this.called.push(address);
    const clock = this.#clock;
    await clock.sleep(LINK_MS);
    const carryOut = () => this.#carryOut(address, call, timeoutMs);
    switch (this.fate(address)) {
      case CallFate.Rejected:
      case CallFate.RejectedSlowly:
        return Err(new Fault(FaultCode.PeerUnreachable));
      case CallFate.AnswerLost:
        void carryOut();
        break;
      case CallFate.Late:
        void clock.sleep(LATE_CALL_MS).then(carryOut);
        break;
      case CallFate.Dropped:
        break;
      default:
        return await carryOut();
    }
    await clock.sleep(timeoutMs);
    return Err(new Fault(FaultCode.AnswerLost));
  }

  async #carryOut(
    address: string,
    call: ForwardedCall,
    timeoutMs: number,
  ): Promise<Result<string, Fault>> {
    const desk = this.#desks[Number(address)];
    if (desk === undefined) return Err(new Fault(FaultCode.PeerUnreachable));
    const deadlineMs = this.#clock.nowMs() + timeoutMs;
    switch (call.path) {
      case ForwardPath.Submit:
        return await desk.submit(call.job, deadlineMs, call);
      case ForwardPath.Cancel:
        return (await desk.cancel(call.id, deadlineMs)).map(() => "");
      default:
        return await desk.readPhase(call.id, deadlineMs);
    }
  }
}

/** Entries with one table, each with its own fates of calls. */
function createWorld() {
  const clock = new VirtualClock();
  const rows = new MemoryTable();
  const unreachable = new Set<number>();
  const tables = Array.from(
    { length: ENTRIES },
    () => new FaultyTable(clock, rows),
  );
  const optionsOf = (table: FaultyTable, index: number) => ({
    clock,
    table,
    isTableReachable: () => !unreachable.has(index),
  });
  const links = new FaultyLinks(
    clock,
    tables.map((table, index) => new JobService(optionsOf(table, index))),
  );
  const desks = tables.map((table, own) => {
    const targets = tables.flatMap((_, index) =>
      index === own ? [] : [{ address: `${index}`, failureDomain: "" }],
    );
    const forwarder = new Forwarder({
      clock,
      journal: createJournal("test", "fatal"),
      metrics: new Metrics(),
      peer: links,
      targets: () => targets,
      failureDomain: "",
      random: () => 0,
    });
    return new JobService({ ...optionsOf(table, own), forwarder });
  });
  const wait = async <T>(call: Promise<T>): Promise<T> => {
    let isOver = false;
    const done = call.finally(() => {
      isOver = true;
    });
    while (!isOver) await clock.run(clock.nowMs() + 1);
    return await done;
  };
  const deskOf = (entry: number) => {
    const desk = desks[entry];
    assert.ok(desk !== undefined);
    return desk;
  };
  return {
    clock,
    rows,
    tables,
    links,
    unreachable,
    submit: async (entry = 0) => {
      const sentMs = clock.nowMs();
      const done = await wait(deskOf(entry).submit(JOB, sentMs + CALLER_MS));
      return { answer: textOf(done), tookMs: clock.nowMs() - sentMs };
    },
    cancel: async () =>
      textOf(await wait(deskOf(0).cancel(JOB.id, clock.nowMs() + CALLER_MS))),
    readPhase: async () =>
      textOf(
        await wait(deskOf(0).readPhase(JOB.id, clock.nowMs() + CALLER_MS)),
      ),
    /** Waits until nothing is on its way; whether the job is stored. */
    settle: async () => {
      await clock.run(clock.nowMs() + QUIET_MS);
      const [row] = rows.readNow([jobKey(JOB.id)]);
      return row !== undefined && readJobRow(row).unwrap().job !== undefined;
    },
  };
}

type World = ReturnType<typeof createWorld>;

function textOf(done: Result<unknown, Fault>): unknown {
  return done.ok ? done.val : done.val.code;
}

function setFates(world: World, entry: number, fate: () => CallFate): void {
  const table = world.tables[entry];
  assert.ok(table !== undefined);
  table.commitFate = fate;
  table.readFate = fate;
}

const CASES: readonly {
  readonly name: string;
  readonly arrange: (world: World) => void;
  readonly answer: SubmitOutcome | FaultCode;
  readonly isStored: boolean;
  readonly withinMs: number;
  /** Entries that were called, in order; unchecked by default. */
  readonly called?: readonly string[];
}[] = [
  {
    name: "a table that serves this entry: nothing is forwarded",
    arrange: () => {},
    answer: SubmitOutcome.Stored,
    isStored: true,
    withinMs: 10,
    called: [],
  },
  {
    name: "a table that rejects this entry: another one stores the job",
    arrange: (world) => setFates(world, 0, () => Rejected),
    answer: SubmitOutcome.Stored,
    isStored: true,
    withinMs: 100,
    called: ["1"],
  },
  {
    name: "a table known to be unreachable from here: another entry stores the job",
    arrange: (world) => {
      world.unreachable.add(0);
      setFates(world, 0, () => Dropped);
    },
    answer: SubmitOutcome.Stored,
    isStored: true,
    withinMs: 20,
    called: ["1"],
  },
  {
    name: "a table that ignores this entry: another one stores the job",
    arrange: (world) => setFates(world, 0, () => Dropped),
    answer: SubmitOutcome.Stored,
    isStored: true,
    withinMs: 500,
  },
  {
    name: "a table that rejects two entries: the third one stores the job",
    arrange: (world) => {
      setFates(world, 0, () => Rejected);
      setFates(world, 1, () => Rejected);
    },
    answer: SubmitOutcome.Stored,
    isStored: true,
    withinMs: 500,
    called: ["1", "2"],
  },
  {
    name: "a table that is unreachable from all entries: refused at once",
    arrange: (world) => {
      for (const entry of [0, 1, 2]) world.unreachable.add(entry);
    },
    answer: FaultCode.StoreUnavailable,
    isStored: false,
    withinMs: 200,
    called: ["1", "2"],
  },
  {
    name: "a peer whose answer is lost: another one finds the job",
    arrange: (world) => {
      setFates(world, 0, () => Rejected);
      world.links.fate = (address) => (address === "1" ? AnswerLost : Answered);
    },
    answer: SubmitOutcome.Known,
    isStored: true,
    withinMs: 600,
  },
  {
    name: "peers that do not answer: unknown, not refused",
    arrange: (world) => {
      setFates(world, 0, () => Rejected);
      world.links.fate = () => AnswerLost;
    },
    answer: FaultCode.OutcomeUnknown,
    isStored: true,
    withinMs: CALLER_MS,
  },
  {
    name: "a forwarded call that is delivered after the refusal stores nothing",
    arrange: (world) => {
      setFates(world, 0, () => Rejected);
      world.links.fate = (address) => (address === "1" ? Late : Answered);
      setFates(world, 2, () => (world.clock.nowMs() < 2000 ? Late : Answered));
    },
    answer: FaultCode.NotStored,
    isStored: false,
    withinMs: CALLER_MS,
  },
  {
    name: "the own outcome is unknown and the table rejects: a peer settles it",
    arrange: (world) => {
      let calls = 0;
      setFates(world, 0, () => {
        calls += 1;
        return calls === 1 ? Late : Rejected;
      });
    },
    answer: SubmitOutcome.Stored,
    isStored: true,
    withinMs: 600,
  },
];

for (const { name, arrange, called, ...expected } of CASES) {
  // Guards against submissions that are refused or lost although the table serves
  // other entries, and against forwarded calls that take effect after a refusal.
  test(`forwarding: ${name}`, async () => {
    const world = createWorld();
    arrange(world);
    const { answer, tookMs } = await world.submit();
    assert.equal(answer, expected.answer);
    assert.ok(tookMs <= expected.withinMs, `answered after ${tookMs} ms`);
    if (called !== undefined) assert.deepEqual(world.links.called, called);
    assert.equal(await world.settle(), expected.isStored);
  });
}

// Guards against cancels that are refused with 503 until they are too late, and
// against status requests that fail, while the table rejects one entry.
test("forwarding: cancels and status requests of an entry that the table rejects", async () => {
  const world = createWorld();
  const key = jobKey(JOB.id);
  world.rows.commitNow({
    checks: [],
    writes: [{ key, value: encodeOpenJobRow(JOB) }],
  });
  setFates(world, 0, () => Rejected);
  assert.equal(await world.readPhase(), JobPhase.Queued);
  world.unreachable.add(0);
  assert.equal(await world.cancel(), undefined);
  assert.equal(await world.readPhase(), JobPhase.Cancelled);
});

test("forwarding: an unknown job is not found by another entry either", async () => {
  const world = createWorld();
  setFates(world, 0, () => Dropped);
  assert.equal(await world.readPhase(), FaultCode.NotFound);
  assert.equal(await world.cancel(), FaultCode.NotFound);
});

// Guards against any order of faults of the table and of the links after which the
// caller's last answer contradicts what is stored.
test("forwarding: no answer contradicts what is stored in the end", async () => {
  const anyFate = fc.constantFrom(...Object.values(CallFate));
  const anyFates = fc.array(anyFate, { minLength: 1, maxLength: 8 });
  const plan = fc.record({
    tables: fc.array(anyFates, { minLength: ENTRIES, maxLength: ENTRIES }),
    links: fc.array(anyFate, { minLength: 1, maxLength: 12 }),
    attempts: fc.array(fc.nat({ max: ENTRIES - 1 }), {
      minLength: 1,
      maxLength: 4,
    }),
  });
  await fc.assert(
    fc.asyncProperty(plan, async ({ tables, links, attempts }) => {
      const world = createWorld();
      for (const [entry, fates] of tables.entries()) {
        setFates(world, entry, listFates(fates));
      }
      world.links.fate = listFates(links);
      let last: unknown;
      for (const entry of attempts) {
        const { answer, tookMs } = await world.submit(entry);
        assert.ok(tookMs <= CALLER_MS, `answered after ${tookMs} ms`);
        last = answer;
        // Callers repeat neither an accepted job nor one with unknown outcome.
        if (isAccepted(last) || last === FaultCode.OutcomeUnknown) break;
      }
      const isStored = await world.settle();
      if (isAccepted(last)) assert.ok(isStored);
      else if (last !== FaultCode.OutcomeUnknown) assert.ok(!isStored);
    }),
    { numRuns: 300, seed: 11 },
  );
});

function isAccepted(answer: unknown): boolean {
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
