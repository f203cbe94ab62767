import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { renderReference } from "./settings_reference";

test("settings reference: docs/SETTINGS.md matches the definitions in the code", () => {
  const written = readFileSync("docs/SETTINGS.md", "utf8");
  assert.equal(written, renderReference(), "run: npm run docs");
});
