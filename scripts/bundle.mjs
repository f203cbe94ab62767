// Options that all bundles share.
export const BUNDLE = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outExtension: { ".js": ".cjs" },
  // ts-results is UMD where `main` points, which cannot be bundled.
  mainFields: ["module", "main"],
  // An optional native part of bunyan; it does without.
  external: ["dtrace-provider"],
  logLevel: "warning",
};
