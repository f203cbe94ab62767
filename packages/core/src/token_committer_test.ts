import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import fc from "fast-check";
import { Err, type Result } from "ts-results";
import { Fault, FaultCode } from "./fault";
import { type Commit, Table, type Transaction } from "./table";
import { TokenCommitter } from "./token_committer";

/** Outcome of a commit that is sent. */
enum Outcome {
  Answered = "answered",
  /** It takes effect, but the reply is lost. */
  ReplyLost = "reply_lost",
  /** It never arrives. */
  Lost = "lost",
  /** It takes effect after the sender has stopped waiting for the reply. */
  Late = "late",
  /** It is rejected, and the sender receives the rejection. */
  Refused = "refused",
}

const LATE_DELAY_MS = 300;

/** A table whose first commits have the given outcomes; later ones succeed. */
class ScriptedTable extends Table {
  readonly inner = new MemoryTable();
  readonly #clock: VirtualClock;
  readonly #outcomes: Outcome[];

  constructor(clock: VirtualClock, outcomes: readonly Outcome[]) {
    super();
    this.#clock = clock;
    this.#outcomes = [...outcomes];
  }

  override get(keys: readonly string[]) {
    return this.inner.get(keys);
  }

  override scan(prefix: string) {
    return this.inner.scan(prefix);
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    const unknown = Err(new Fault(FaultCode.OutcomeUnknown));
    switch (this.#outcomes.shift() ?? Outcome.Answered) {
      case Outcome.Answered:
        return this.inner.commitNow(transaction);
      case Outcome.ReplyLost:
        this.inner.commitNow(transaction);
        return unknown;
      case Outcome.Lost:
        return unknown;
      case Outcome.Late:
        this.#clock.at(this.#clock.nowMs() + LATE_DELAY_MS, () => {
          this.inner.commitNow(transaction);
        });
        return unknown;
      case Outcome.Refused:
        return Err(new Fault(FaultCode.StoreUnavailable));
    }
  }
}

async function commitTwice(
  outcomes: readonly Outcome[],
  timeoutMs: number,
): Promise<{
  readonly result: Result<Commit, Fault>;
  readonly effects: number;
  readonly next: Result<Commit, Fault>;
}> {
  const clock = new VirtualClock();
  const table = new ScriptedTable(clock, outcomes);
  let effects = 0;
  table.inner.onCommit = ({ writes }) => {
    if (writes.some(({ key }) => key === "row")) effects += 1;
  };
  const committer = new TokenCommitter(table, clock);
  // It has no checks, so that a second commit would take effect and be counted.
  const change: Transaction = {
    checks: [],
    writes: [{ key: "row", value: "1" }],
  };
  const committing = committer.commit(change, { timeoutMs });
  await clock.run(60_000);
  const result = await committing;
  const after = committer.commit(
    { checks: [], writes: [{ key: "other", value: "1" }] },
    { timeoutMs },
  );
  await clock.run(120_000);
  return { result, effects, next: await after };
}

test("token committer: the result matches the outcome, and nothing commits twice", async () => {
  const outcome = fc.constantFrom(...Object.values(Outcome));
  await fc.assert(
    fc.asyncProperty(fc.array(outcome, { maxLength: 8 }), async (outcomes) => {
      const { result, effects } = await commitTwice(outcomes, 5000);
      if (result.ok) assert.equal(effects, 1);
      else if (result.val.code === FaultCode.OutcomeUnknown) {
        assert.ok(effects <= 1);
      } else assert.equal(effects, 0);
    }),
    { seed: 1, numRuns: 300 },
  );
});

const CASES = [
  {
    name: "answered",
    outcomes: [Outcome.Answered],
    code: undefined,
    effects: 1,
  },
  {
    name: "reply lost",
    outcomes: [Outcome.ReplyLost],
    code: undefined,
    effects: 1,
  },
  {
    name: "never arrived",
    outcomes: [Outcome.Lost],
    code: undefined,
    effects: 1,
  },
  {
    name: "arrives after the retry",
    outcomes: [Outcome.Late, Outcome.Answered],
    code: undefined,
    effects: 1,
  },
  {
    name: "refused at once",
    outcomes: [Outcome.Refused],
    code: FaultCode.StoreUnavailable,
    effects: 0,
  },
  {
    name: "in doubt, then refused, then answered",
    outcomes: [Outcome.Lost, Outcome.Refused],
    code: undefined,
    effects: 1,
  },
];

for (const { name, outcomes, code, effects } of CASES) {
  test(`token committer: ${name}`, async () => {
    const ran = await commitTwice(outcomes, 5000);
    const actual = ran.result.ok ? undefined : ran.result.val.code;
    assert.equal(actual, code);
    assert.equal(ran.effects, effects);
    assert.ok(ran.next.ok, "a later commit succeeds");
  });
}

test("token committer: concurrent commits use separate tokens", async () => {
  const clock = new VirtualClock();
  const random = new SeededRandom(3);
  const outcomes = Array.from({ length: 40 }, () =>
    random.pick(Object.values(Outcome)),
  );
  const table = new ScriptedTable(clock, outcomes);
  const committer = new TokenCommitter(table, clock);
  const all = Promise.all(
    Array.from({ length: 20 }, (_, at) =>
      committer.commit(
        {
          checks: [{ key: `row-${at}`, revision: 0 }],
          writes: [{ key: `row-${at}`, value: "1" }],
        },
        { timeoutMs: 20_000 },
      ),
    ),
  );
  await clock.run(100_000);
  for (const [at, result] of (await all).entries()) {
    const exists = table.inner.readNow([`row-${at}`]).length === 1;
    assert.equal(result.ok, exists);
  }
});

test("token committer: a commit that took effect is not reported as a conflict", async () => {
  const clock = new VirtualClock();
  const table = new ScriptedTable(clock, [Outcome.ReplyLost]);
  const committer = new TokenCommitter(table, clock);
  const committing = committer.commit(
    {
      checks: [{ key: "row", revision: 0 }],
      writes: [{ key: "row", value: "mine" }],
    },
    { timeoutMs: 5000 },
  );
  // Another process changes the row before the retry.
  clock.at(10, () => {
    table.inner.commitNow({
      checks: [],
      writes: [{ key: "row", value: "theirs" }],
    });
  });
  await clock.run(60_000);
  assert.ok((await committing).ok);
});
