// Bundles each program into one file under dist/. A long-running program gets a
// second, small file that installs its first signal handlers and then loads the
// bundle, because reading the bundle takes a considerable part of the start.
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

/** Programs that handle signals from their first statement on. */
const SERVICES = [
  "laburnumtrack-entry",
  "laburnumtrack-gateway",
  "laburnumtrack-scheduler",
];
const EARLY_SIGNALS = "./packages/process/src/early_signals";

function bundleNameOf(name) {
  return SERVICES.includes(name) ? `${name}.main` : name;
}

const { values, positionals: wanted } = parseArgs({
  allowPositionals: true,
  options: { out: { type: "string", default: "dist" } },
});
const entries = Object.entries(PROGRAMS).filter(
  ([name]) => wanted.length === 0 || wanted.includes(name),
);
const OPTIONS = {
  ...BUNDLE,
  // Less text to read at each start; names stay, for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  banner: { js: "#!/usr/bin/env node" },
};
await build({
  ...OPTIONS,
  entryPoints: entries.map(([name, source]) => ({
    in: source,
    out: bundleNameOf(name),
  })),
  outdir: values.out,
});
for (const [name] of entries.filter(([name]) => SERVICES.includes(name))) {
  const bundle = `./${bundleNameOf(name)}.cjs`;
  const contents = `import "${EARLY_SIGNALS}";\nrequire("${bundle}");`;
  await build({
    ...OPTIONS,
    stdin: { contents, resolveDir: ".", loader: "ts" },
    external: [bundle],
    outfile: `${values.out}/${name}.cjs`,
    outExtension: {},
  });
}
for (const [name] of entries) chmodSync(`${values.out}/${name}.cjs`, 0o755);
