import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import fc from "fast-check";
import { Err, type Result } from "ts-results";
import { Fault, FaultCode } from "./fault";
import { type Commit, Table, type Transaction } from "./table";
import { TokenRing } from "./token_ring";

/** What becomes of a commit that is sent. */
enum Fate {
  Answered = "answered",
  /** It takes effect, the answer is lost. */
  AnswerLost = "answer_lost",
  /** It never arrives. */
  Lost = "lost",
  /** It arrives after the sender has given up waiting. */
  Late = "late",
  /** It is refused, and the sender hears so. */
  Refused = "refused",
}

const LATE_MS = 300;

/** A table whose commits meet the fates of a script, then succeed. */
class ScriptedTable extends Table {
  readonly inner = new MemoryTable();
  readonly #clock: VirtualClock;
  readonly #fates: Fate[];

  constructor(clock: VirtualClock, fates: readonly Fate[]) {
    super();
    this.#clock = clock;
    this.#fates = [...fates];
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
    switch (this.#fates.shift() ?? Fate.Answered) {
      case Fate.Answered:
        return this.inner.commitNow(transaction);
      case Fate.AnswerLost:
        this.inner.commitNow(transaction);
        return unknown;
      case Fate.Lost:
        return unknown;
      case Fate.Late:
        this.#clock.at(this.#clock.nowMs() + LATE_MS, () => {
          this.inner.commitNow(transaction);
        });
        return unknown;
      case Fate.Refused:
        return Err(new Fault(FaultCode.StoreUnavailable));
    }
  }
}

async function play(
  fates: readonly Fate[],
  timeoutMs: number,
): Promise<{
  readonly said: Result<Commit, Fault>;
  readonly times: number;
  readonly later: Result<Commit, Fault>;
}> {
  const clock = new VirtualClock();
  const table = new ScriptedTable(clock, fates);
  let times = 0;
  table.inner.onCommit = ({ writes }) => {
    if (writes.some(({ key }) => key === "row")) times += 1;
  };
  const ring = new TokenRing(table, clock);
  // An append: twice the effect would be seen, whatever the checks say.
  const change: Transaction = {
    checks: [],
    writes: [{ key: "row", value: "1" }],
  };
  const saying = ring.commit(change, { timeoutMs });
  await clock.run(60_000);
  const said = await saying;
  const after = ring.commit(
    { checks: [], writes: [{ key: "other", value: "1" }] },
    { timeoutMs },
  );
  await clock.run(120_000);
  return { said, times, later: await after };
}

test("token ring: what it says is what happened, once", async () => {
  const fate = fc.constantFrom(...Object.values(Fate));
  await fc.assert(
    fc.asyncProperty(fc.array(fate, { maxLength: 8 }), async (fates) => {
      const { said, times } = await play(fates, 5000);
      if (said.ok) assert.equal(times, 1);
      else if (said.val.code === FaultCode.OutcomeUnknown) {
        assert.ok(times <= 1);
      } else assert.equal(times, 0);
    }),
    { seed: 1, numRuns: 300 },
  );
});

const CASES = [
  { name: "answered", fates: [Fate.Answered], code: undefined, times: 1 },
  { name: "answer lost", fates: [Fate.AnswerLost], code: undefined, times: 1 },
  { name: "never arrived", fates: [Fate.Lost], code: undefined, times: 1 },
  {
    name: "arrives after the retry",
    fates: [Fate.Late, Fate.Answered],
    code: undefined,
    times: 1,
  },
  {
    name: "refused at once",
    fates: [Fate.Refused],
    code: FaultCode.StoreUnavailable,
    times: 0,
  },
  {
    name: "in doubt, then refused, then answered",
    fates: [Fate.Lost, Fate.Refused],
    code: undefined,
    times: 1,
  },
];

for (const { name, fates, code, times } of CASES) {
  test(`token ring: ${name}`, async () => {
    const played = await play(fates, 5000);
    const said = played.said.ok ? undefined : played.said.val.code;
    assert.equal(said, code);
    assert.equal(played.times, times);
    assert.ok(played.later.ok, "the ring can be used again");
  });
}

test("token ring: many at a time keep their tokens apart", async () => {
  const clock = new VirtualClock();
  const dice = new SeededRandom(3);
  const fates = Array.from({ length: 40 }, () =>
    dice.pick(Object.values(Fate)),
  );
  const table = new ScriptedTable(clock, fates);
  const ring = new TokenRing(table, clock);
  const all = Promise.all(
    Array.from({ length: 20 }, (_, at) =>
      ring.commit(
        {
          checks: [{ key: `row-${at}`, revision: 0 }],
          writes: [{ key: `row-${at}`, value: "1" }],
        },
        { timeoutMs: 20_000 },
      ),
    ),
  );
  await clock.run(100_000);
  for (const [at, said] of (await all).entries()) {
    const isThere = table.inner.readNow([`row-${at}`]).length === 1;
    assert.equal(said.ok, isThere);
  }
});

test("token ring: a conflict is one only when it had no effect", async () => {
  const clock = new VirtualClock();
  const table = new ScriptedTable(clock, [Fate.AnswerLost]);
  const ring = new TokenRing(table, clock);
  const saying = ring.commit(
    {
      checks: [{ key: "row", revision: 0 }],
      writes: [{ key: "row", value: "mine" }],
    },
    { timeoutMs: 5000 },
  );
  // Somebody else changes the row before the retry.
  clock.at(10, () => {
    table.inner.commitNow({
      checks: [],
      writes: [{ key: "row", value: "theirs" }],
    });
  });
  await clock.run(60_000);
  assert.ok((await saying).ok);
});
