import { parseArgs } from "node:util";
import { describeError } from "@laburnumtrack/fileset/ini_sections";
import { loadSettings, type Settings } from "@laburnumtrack/fileset/settings";
import {
  listSettings,
  type SettingsSection,
} from "@laburnumtrack/fileset/settings_fields";
import { ExitStatus } from "./exit_status";
import { VERSION } from "./version";

/** A long-running program. */
export interface Program {
  /** `gateway`, `scheduler` or `entry`; selects the settings that it reads. */
  readonly name: string;
  /** One line for `--help`. */
  readonly summary: string;
  /** Runs until `signal` is aborted, then shuts down gracefully. */
  readonly run: (settings: Settings, signal: AbortSignal) => Promise<void>;
}

/** Runs a program from the command line; ends the process when it is done. */
export async function runProgram(program: Program): Promise<void> {
  const binary = `laburnumtrack-${program.name}`;
  const args = readArgs();
  if (args === undefined || args.settings === undefined) {
    if (args?.help) exitWith(ExitStatus.Ok, renderHelp(binary, program));
    if (args?.version) exitWith(ExitStatus.Ok, `${binary} ${VERSION}`);
    const usage = `usage: ${binary} --settings FILE (see --help)`;
    exitWith(ExitStatus.Usage, usage);
    return;
  }
  const settings = loadSettings(program.name, args.settings);
  if (settings.err) {
    const lines = settings.val.map(describeError);
    exitWith(ExitStatus.Usage, lines.join("\n"));
    return;
  }
  if (args["check-settings"]) {
    exitWith(ExitStatus.Ok, `${args.settings}: the settings are valid`);
  }
  const stop = new AbortController();
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    const former = process.listeners(name);
    process.on(name, () => stop.abort());
    // Replaces the handler of `early_signals.ts`. Removing it first would drop a
    // signal that is waiting to be delivered.
    for (const listener of former) process.off(name, listener);
  }
  try {
    await program.run(settings.val, stop.signal);
  } catch (error) {
    exitWith(ExitStatus.Failure, `${binary}: ${String(error)}`);
  }
  process.exit(ExitStatus.Ok);
}

function readArgs() {
  try {
    return parseArgs({
      options: {
        settings: { type: "string" },
        "check-settings": { type: "boolean" },
        help: { type: "boolean" },
        version: { type: "boolean" },
      },
    }).values;
  } catch {
    return undefined;
  }
}

function exitWith(status: ExitStatus, text: string): void {
  const stream = status === ExitStatus.Ok ? process.stdout : process.stderr;
  stream.write(`${text}\n`);
  process.exit(status);
}

function renderHelp(binary: string, program: Program): string {
  const lines = [
    `${binary}: ${program.summary}`,
    "",
    "  --settings FILE    settings file in INI format",
    "  --check-settings   check the settings and exit",
    "  --help, --version",
    "",
    "Settings:",
  ];
  for (const section of listSettings(program.name)) {
    lines.push(...renderSection(section));
  }
  return lines.join("\n");
}

function renderSection(section: SettingsSection): string[] {
  const lines = [`  [${section.name}]  ${section.help}`];
  for (const { key, help, unit, defaultText: fallback } of section.fields) {
    const unitText = unit === undefined ? "" : ` (${unit})`;
    const defaultText =
      fallback === undefined ? "required" : `default ${fallback}`;
    lines.push(`    ${key}${unitText}: ${help} [${defaultText}]`);
  }
  return lines;
}
