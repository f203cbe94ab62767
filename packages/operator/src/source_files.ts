import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { FileSet } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import {
  describeError,
  type SourceFile,
} from "@laburnumtrack/fileset/ini_sections";
import { Err, Ok, type Result } from "ts-results";

/** Valid operators' files, as text and parsed. */
export interface ValidFiles {
  readonly sources: readonly SourceFile[];
  readonly fileSet: FileSet;
}

/**
 * Reads and validates files and the `*.ini` files of directories. Writes every
 * error in them to standard error.
 */
export function loadFiles(paths: readonly string[]): Result<ValidFiles, Fault> {
  if (paths.length === 0) {
    return Err(new Fault(FaultCode.Usage, "PATH is missing"));
  }
  const sources: SourceFile[] = [];
  for (const path of paths.flatMap(listFiles)) {
    try {
      sources.push({ file: path, text: readFileSync(path, "utf8") });
    } catch {
      return Err(new Fault(FaultCode.Usage, `cannot read ${path}`));
    }
  }
  if (sources.length === 0) {
    // Applying an empty set would cancel all workloads.
    return Err(new Fault(FaultCode.Usage, "no *.ini file in these paths"));
  }
  const fileSet = readFileSet(sources);
  if (fileSet.ok) return Ok({ sources, fileSet: fileSet.val });
  for (const error of fileSet.val) {
    process.stderr.write(`${describeError(error)}\n`);
  }
  const count = `${fileSet.val.length} errors`;
  return Err(new Fault(FaultCode.InvalidFile, count));
}

function listFiles(path: string): string[] {
  try {
    if (!statSync(path).isDirectory()) return [path];
    const names = readdirSync(path).filter((name) => name.endsWith(".ini"));
    return names.sort().map((name) => join(path, name));
  } catch {
    return [path];
  }
}
