import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { ObjectStore } from "@laburnumtrack/core/object_store";
import { type HeadRow, KeyPrefix, readRow } from "@laburnumtrack/core/rows";
import { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { applyFileSet } from "./apply";

class MemoryObjects extends ObjectStore {
  readonly #objects = new Map<string, string>();

  override put(key: string, text: string): Promise<Result<void, Fault>> {
    this.#objects.set(key, text);
    return Promise.resolve(Ok(undefined));
  }

  override get(key: string): Promise<Result<string, Fault>> {
    const text = this.#objects.get(key);
    if (text === undefined) {
      return Promise.resolve(Err(new Fault(FaultCode.NotFound, key)));
    }
    return Promise.resolve(Ok(text));
  }
}

/** Applies commits but reports their outcome as unknown on request. */
class LossyTable extends MemoryTable {
  losesAnswers = false;

  override commit(...args: Parameters<MemoryTable["commit"]>) {
    const result = super.commit(...args);
    if (!this.losesAnswers) return result;
    return Promise.resolve(Err(new Fault(FaultCode.OutcomeUnknown)));
  }

  override get(...args: Parameters<MemoryTable["get"]>) {
    if (!this.losesAnswers) return super.get(...args);
    return Promise.resolve(Err(new Fault(FaultCode.StoreUnavailable)));
  }
}

const filesWithCores = (cores: number) => [
  { file: "f", text: `[team t]\ncpu_cores = ${cores}\nmemory_mb = 1\n` },
];

class ApplyFixture {
  readonly clock = new VirtualClock();
  readonly table = new LossyTable();
  readonly #objects = new MemoryObjects();

  async apply(applyId: string, base: number, cores = 1) {
    const { clock, table } = this;
    const applying = applyFileSet(
      { applyId, base, files: filesWithCores(cores) },
      {
        clock,
        table,
        objects: this.#objects,
        ring: new TokenCommitter(table, clock),
      },
    );
    await clock.run(clock.nowMs() + 60_000);
    const result = await applying;
    if (result.ok) return `version ${result.val.version}`;
    const { fault, changes, version } = result.val;
    const parts = changes.map(({ part }) => part).join();
    return `${fault.code} at ${version} ${parts}`.trim();
  }

  version(): number {
    const [row] = this.table.readNow([KeyPrefix.Head]);
    return row === undefined ? 0 : readRow<HeadRow>(row).version;
  }
}

test("apply: each apply commits the next version", async () => {
  const fixture = new ApplyFixture();
  assert.equal(await fixture.apply("apply-one", 0), "version 1");
  assert.equal(await fixture.apply("apply-two", 1), "version 2");
});

test("apply: an outdated base is refused with the differences", async () => {
  const fixture = new ApplyFixture();
  await fixture.apply("apply-one", 0, 1);
  const outcome = await fixture.apply("apply-two", 0, 2);
  assert.equal(outcome, "version_conflict at 1 team t");
  assert.equal(fixture.version(), 1);
});

test("apply: a repeated request has no further effect", async () => {
  const fixture = new ApplyFixture();
  const [first, other] = ["apply-one", "apply-two"];
  assert.equal(await fixture.apply(first, 0), "version 1");
  assert.equal(await fixture.apply(other, 1, 2), "version 2");
  assert.equal(await fixture.apply(first, 0), "version 1");
  assert.equal(fixture.version(), 2);
});

test("apply: a commit without an answer is reported as unknown", async () => {
  const fixture = new ApplyFixture();
  const applying = fixture.apply("apply-one", 0);
  fixture.table.losesAnswers = false;
  assert.equal(await applying, "version 1");
  const lost = new ApplyFixture();
  const { table } = lost;
  const commit = table.commit.bind(table);
  table.commit = (transaction) => {
    table.losesAnswers = true;
    return commit(transaction);
  };
  assert.equal(await lost.apply("apply-one", 0), "outcome_unknown at 0");
  table.losesAnswers = false;
  table.commit = commit;
  assert.equal(lost.version(), 1);
  assert.equal(await lost.apply("apply-one", 0), "version 1");
});

const INVALID_REQUESTS = [
  { name: "invalid apply id", applyId: "x", base: 0, code: "malformed" },
  {
    name: "base is not an integer",
    applyId: "apply-one",
    base: 0.5,
    code: "malformed",
  },
];

for (const { name, applyId, base, code } of INVALID_REQUESTS) {
  test(`apply: ${name}`, async () => {
    const fixture = new ApplyFixture();
    assert.equal(await fixture.apply(applyId, base), `${code} at 0`);
    assert.equal(fixture.version(), 0);
  });
}
