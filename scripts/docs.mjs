// Writes docs/SETTINGS.md from the checks in the code.
import { writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { build } from "esbuild";
import { BUNDLE } from "./bundle.mjs";

await build({
  ...BUNDLE,
  entryPoints: ["packages/fileset/src/settings_reference.ts"],
  outdir: "dist",
});
const require = createRequire(import.meta.url);
const { renderReference } = require("../dist/settings_reference.cjs");
writeFileSync("docs/SETTINGS.md", renderReference());
