import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results";
import { readFields, SectionValues } from "./field";
import {
  type FileError,
  readSections,
  type Section,
  type SourceFile,
} from "./ini_sections";
import { listSettings } from "./settings_fields";

/** Validated settings of a program, by section name. */
export type Settings = ReadonlyMap<string, SectionValues>;

/** Reads a program's settings from a file. Fails with all errors if any. */
export function loadSettings(
  program: string,
  path: string,
): Result<Settings, FileError[]> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch {
    const expected = "a settings file that can be read";
    return Err([{ file: path, line: 0, section: "", key: "", expected }]);
  }
  return readSettings(program, { file: path, text });
}

/** Reads a program's settings from text. Fails with all errors if any. */
export function readSettings(
  program: string,
  source: SourceFile,
): Result<Settings, FileError[]> {
  const { sections, errors } = readSections(source);
  const byName = new Map<string, Section>();
  const definitions = listSettings(program);
  for (const section of sections) {
    const isKnown = definitions.some(({ name }) => name === section.name);
    if (!isKnown || byName.has(section.name)) {
      const names = definitions.map(({ name }) => name).join(", ");
      const expected = isKnown ? "each section once" : `one of: ${names}`;
      const { file, line, name } = section;
      errors.push({ file, line, section: name, key: "", expected });
    }
    byName.set(section.name, section);
  }
  const settings = new Map<string, SectionValues>();
  for (const { name, fields } of definitions) {
    const section = byName.get(name) ?? emptySection(source.file, name);
    const result = readFields(section, fields);
    errors.push(...result.errors);
    settings.set(name, result.values);
  }
  if (errors.length === 0) errors.push(...checkCombinations(source, settings));
  return errors.length > 0 ? Err(errors) : Ok(settings);
}

/** Returns the values of a section; empty if the program has no such section. */
export function getSection(settings: Settings, name: string): SectionValues {
  return settings.get(name) ?? new SectionValues(new Map());
}

/** Reports values that are valid alone but not in combination. */
function checkCombinations(
  source: SourceFile,
  settings: Settings,
): FileError[] {
  const errors: FileError[] = [];
  const report = (section: string, key: string, expected: string) => {
    errors.push({ file: source.file, line: 0, section, key, expected });
  };
  const membership = getSection(settings, "membership");
  if (membership.number("dead_after_ms") < 2 * membership.number("beat_ms")) {
    report("membership", "dead_after_ms", "at least twice beat_ms");
  }
  const scheduler = settings.get("scheduler");
  if (
    scheduler !== undefined &&
    scheduler.number("lease_ms") < 3 * scheduler.number("renew_ms")
  ) {
    report("scheduler", "lease_ms", "at least three times renew_ms");
  }
  return errors;
}

function emptySection(file: string, name: string): Section {
  return { file, line: 0, name, entries: new Map() };
}
