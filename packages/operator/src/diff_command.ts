import { EMPTY_FILE_SET, type FileSet } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import {
  type Change,
  ChangeKind,
  diffFileSets,
} from "@laburnumtrack/fileset/file_set_diff";
import type { SourceFile } from "@laburnumtrack/fileset/ini_sections";
import { ExitStatus } from "@laburnumtrack/process/exit_status";
import { type Command, print, printError } from "./command";
import { loadFiles } from "./source_files";
import { readBody } from "./state_commands";

/** `diff`: prints what applying the files would change. */
export async function diffCommand(command: Command): Promise<ExitStatus> {
  const loaded = loadFiles(command.args);
  if (loaded.err) {
    printError(loaded.val);
    return ExitStatus.Usage;
  }
  const client = command.client();
  if (client.err) {
    printError(client.val);
    return ExitStatus.Usage;
  }
  const response = readBody(await client.val.get("/files"));
  if (response.err) {
    printError(response.val);
    return ExitStatus.Failure;
  }
  const { version, files } = response.val as {
    version: number;
    files: SourceFile[];
  };
  const changes = diffFileSets(parseInForce(files), loaded.val.fileSet);
  if (command.options.json) {
    print(JSON.stringify({ base: version, changes }));
    return ExitStatus.Ok;
  }
  print(`against version ${version}:`);
  for (const line of describeChanges(changes)) print(line);
  return ExitStatus.Ok;
}

/** Renders changes as human-readable lines. */
export function describeChanges(changes: readonly Change[]): string[] {
  if (changes.length === 0) return ["  no change"];
  const signs: Record<ChangeKind, string> = {
    [ChangeKind.Added]: "+",
    [ChangeKind.Removed]: "-",
    [ChangeKind.Changed]: "~",
  };
  return changes.flatMap(({ kind, part, details }) => [
    `  ${signs[kind]} ${part}`,
    ...details.map((detail) => `      ${detail}`),
  ]);
}

/** Parses the files in force; an empty file set if they are invalid. */
function parseInForce(files: readonly SourceFile[]): FileSet {
  const fileSet = readFileSet(files);
  return fileSet.ok ? fileSet.val : EMPTY_FILE_SET;
}
