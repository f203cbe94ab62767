// Bundles each program into one file under dist/.
import { chmodSync } from "node:fs";
import { parseArgs } from "node:util";
import { build } from "esbuild";
import { BUNDLE } from "./bundle.mjs";

const PROGRAMS = {
  laburnumtrack: "packages/operator/src/operator_main.ts",
  "laburnumtrack-entry": "platform/src/entry_main.ts",
  "laburnumtrack-gateway": "packages/gateway/src/gateway_main.ts",
  "laburnumtrack-scheduler": "packages/scheduler/src/scheduler_main.ts",
  demo: "packages/faults/src/demo_main.ts",
  faults: "packages/faults/src/faults_main.ts",
  soak: "packages/soak/src/soak_main.ts",
  bench: "packages/bench/src/bench_main.ts",
};

const { values, positionals: wanted } = parseArgs({
  allowPositionals: true,
  options: { out: { type: "string", default: "dist" } },
});
const entries = Object.entries(PROGRAMS).filter(
  ([name]) => wanted.length === 0 || wanted.includes(name),
);
await build({
  ...BUNDLE,
  entryPoints: entries.map(([out, source]) => ({ in: source, out })),
  outdir: values.out,
  // Less text to read at each start; names stay, for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  banner: { js: "#!/usr/bin/env node" },
});
for (const [name] of entries) chmodSync(`${values.out}/${name}.cjs`, 0o755);
