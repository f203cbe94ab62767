import assert from "node:assert/strict";
import { test } from "node:test";
import { KeyPrefix } from "@laburnumtrack/core/rows";
import { Ok } from "ts-results";
import { PlacerFence } from "./placer_fence";
import { Draft, type Edit, EditSink } from "./row_editor";

/** Applies edits to fixed rows. */
class FixedSink extends EditSink {
  readonly #rows: Map<string, string>;

  constructor(rows: Map<string, string>) {
    super();
    this.#rows = rows;
  }

  override edit(edit: Edit) {
    return Promise.resolve(Ok(edit.apply(new Draft(this.#rows))));
  }
}

const CASES = [
  {
    name: "holds the placer's row, newest version",
    holder: "me",
    newest: 3,
    isApplied: true,
  },
  {
    name: "another scheduler holds the placer's row",
    holder: "other",
    newest: 3,
    isApplied: false,
  },
  {
    name: "a newer version has been applied",
    holder: "me",
    newest: 4,
    isApplied: false,
  },
  {
    name: "the head row is older than the configuration",
    holder: "me",
    newest: 2,
    isApplied: false,
  },
];

for (const { name, holder, newest, isApplied } of CASES) {
  test(`placer fence: ${name}`, async () => {
    const rows = new Map([
      [KeyPrefix.Placer as string, JSON.stringify({ instance: holder })],
      [KeyPrefix.Head as string, JSON.stringify({ version: newest })],
    ]);
    const context = () => ({ instance: "me", version: 3 });
    const fence = new PlacerFence(new FixedSink(rows), context);
    const edit = { keys: [], apply: () => true };
    assert.equal((await fence.edit(edit)).val, isApplied);
  });
}
