// Bundles every *_test.ts and runs the bundles with node:test.
import { spawnSync } from "node:child_process";
import { readdirSync, rmSync } from "node:fs";
import { build } from "esbuild";
import { BUNDLE } from "./bundle.mjs";

const OUT = "dist/tests";

function listTests(folder) {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith("_test.ts"))
    .map((entry) => `${entry.parentPath ?? entry.path}/${entry.name}`)
    .sort();
}

const given = process.argv.slice(2);
const sources =
  given.length > 0
    ? given
    : [...listTests("packages"), ...listTests("platform")];
rmSync(OUT, { recursive: true, force: true });
await build({
  ...BUNDLE,
  entryPoints: sources,
  outdir: OUT,
  outbase: ".",
  sourcemap: "inline",
});
const bundles = readdirSync(OUT, { recursive: true })
  .map(String)
  .filter((path) => path.endsWith(".cjs"))
  .map((path) => `${OUT}/${path}`)
  .sort();
const result = spawnSync(
  process.execPath,
  [
    "--enable-source-maps",
    "--test",
    "--test-concurrency=4",
    "--test-timeout=300000",
    ...bundles,
  ],
  { stdio: "inherit" },
);
process.exit(result.status ?? 1);
