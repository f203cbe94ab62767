import { parse } from "ini";

/** An error at a position in a file. */
export interface FileError {
  readonly file: string;
  /** Line number from 1; 0 if the error concerns the whole file. */
  readonly line: number;
  readonly section: string;
  readonly key: string;
  /** Description of what is valid here. */
  readonly expected: string;
}

/** Name and content of a file. */
export interface SourceFile {
  readonly file: string;
  readonly text: string;
}

/** A key's value and its line number. */
export interface Entry {
  readonly value: string;
  readonly line: number;
}

/** A section of an INI file. */
export interface Section {
  readonly file: string;
  readonly line: number;
  readonly name: string;
  readonly entries: Map<string, Entry>;
}

/** The sections of a file in order, and its syntax errors. */
export interface Sections {
  readonly sections: Section[];
  readonly errors: FileError[];
}

const KEY_PATTERN = /^[a-z][a-z0-9_]*$/;

/**
 * Parses an INI file into sections.
 *
 * The `ini` library is used for single lines only. It reports no line numbers
 * and silently merges duplicate sections and keys, but operators need both the
 * line numbers and errors for duplicates.
 */
export function readSections(source: SourceFile): Sections {
  const sections: Section[] = [];
  const errors: FileError[] = [];
  let current: Section | undefined;
  const lines = source.text.replace(/^\uFEFF/, "").split(/\r?\n/);
  for (const [index, text] of lines.entries()) {
    const line = index + 1;
    const trimmed = text.trim();
    if (trimmed === "" || trimmed.startsWith(";") || trimmed.startsWith("#")) {
      continue;
    }
    const report = (key: string, expected: string) => {
      const section = current?.name ?? "";
      errors.push({ file: source.file, line, section, key, expected });
    };
    if (trimmed.startsWith("[")) {
      const name = parseHeader(trimmed);
      if (name === undefined) {
        report("", "a section header such as [job nightly]");
        // The keys that follow must not be added to the previous section.
        current = undefined;
        continue;
      }
      current = { file: source.file, line, name, entries: new Map() };
      sections.push(current);
      continue;
    }
    const pair = parsePair(trimmed);
    if (pair === undefined) {
      report("", "a line such as key = value");
    } else if (current === undefined) {
      report(pair.key, "a section header before the first key");
    } else if (current.entries.has(pair.key)) {
      report(pair.key, "each key once in a section");
    } else {
      current.entries.set(pair.key, { value: pair.value, line });
    }
  }
  return { sections, errors };
}

function parseHeader(text: string): string | undefined {
  const match = /^\[([^\]]+)\]\s*(?:[;#].*)?$/.exec(text);
  return match?.[1]?.trim().replace(/\s+/g, " ");
}

function parsePair(
  text: string,
): { readonly key: string; readonly value: string } | undefined {
  const [pair] = Object.entries(parse(text));
  if (pair === undefined || !text.includes("=")) return undefined;
  const [key, value] = pair;
  if (!KEY_PATTERN.test(key)) return undefined;
  return { key, value: String(value) };
}

/** Formats an error as one line: its position and what was expected. */
export function describeError(error: FileError): string {
  const position = error.line > 0 ? `${error.file}:${error.line}` : error.file;
  const section = error.section === "" ? "" : ` [${error.section}]`;
  const key = error.key === "" ? "" : ` ${error.key}`;
  return `${position}:${section}${key}: expected ${error.expected}`;
}
