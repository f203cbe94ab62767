import type { FileError, Section } from "./ini_sections";

/** Type of a key's value. */
export enum FieldKind {
  /** A whole number. */
  Integer = "integer",
  /** A number that may have decimals. */
  Decimal = "decimal",
  /** Text on one line. */
  Text = "text",
  /** Letters, digits, dots, dashes and underscores. */
  Name = "name",
  /** A path that begins and ends with a slash. */
  Path = "path",
  /** Comma-separated paths. */
  Paths = "paths",
  /** An IP address and a port. */
  Address = "address",
  /** `http://` followed by an IP address and a port. */
  Url = "url",
  /** An ISO 8601 date and time such as 2026-12-05T06:00:00Z. */
  Time = "time",
  /** One of the words in {@linkcode Field.choices}. */
  Choice = "choice",
}

/** Definition of a section's key: type, unit, default and limits. */
export interface Field {
  readonly key: string;
  readonly kind: FieldKind;
  /** Description in the settings reference. */
  readonly help: string;
  /** Unit of a number; undefined for a plain count. */
  readonly unit?: string;
  /** Default value as text; undefined if the key is required. */
  readonly defaultText?: string;
  readonly min?: number;
  readonly max?: number;
  readonly choices?: readonly string[];
}

/** Validated values of a section, by key. */
export class SectionValues {
  readonly #values: ReadonlyMap<string, string>;

  constructor(values: ReadonlyMap<string, string>) {
    this.#values = values;
  }

  /** The value as text; empty if the section has no such key. */
  text(key: string): string {
    return this.#values.get(key) ?? "";
  }

  /** The value of an integer or decimal field. */
  number(key: string): number {
    return Number(this.text(key));
  }

  /** The elements of a comma-separated list. */
  list(key: string): string[] {
    return splitList(this.text(key));
  }

  /** The value of a time field in ms since the Unix epoch; 0 if it is empty. */
  timeMs(key: string): number {
    const text = this.text(key);
    return text === "" ? 0 : Date.parse(text);
  }
}

/** Valid names of sections, workloads and members. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d+)$/;
const PATH_PATTERN = /^\/(?:[A-Za-z0-9._~-]+\/)*$/;
const TIME_PATTERN = /^\d{4}-\d\d-\d\dT\d\d:\d\d(?::\d\d)?(?:Z|[+-]\d\d:\d\d)$/;

/** Reads a section's values and validates them against `fields`. */
export function readFields(
  section: Section,
  fields: readonly Field[],
): { readonly values: SectionValues; readonly errors: FileError[] } {
  const errors: FileError[] = [];
  const values = new Map<string, string>();
  const report = (key: string, expected: string) => {
    const line = section.entries.get(key)?.line ?? section.line;
    const { file, name } = section;
    errors.push({ file, line, section: name, key, expected });
  };
  for (const field of fields) {
    const text = findText(section, field);
    if (text === undefined) {
      report(field.key, `this key, ${describeField(field)}`);
      continue;
    }
    const isDefault = text === field.defaultText;
    if (!isDefault && !isValid(field, text)) {
      report(field.key, describeField(field));
      continue;
    }
    values.set(field.key, text);
  }
  const known = new Set(fields.map((field) => field.key));
  for (const key of section.entries.keys()) {
    if (!known.has(key)) report(key, `one of: ${[...known].join(", ")}`);
  }
  return { values: new SectionValues(values), errors };
}

/**
 * The text of a value, or its default. An empty number stands for its default: a
 * template leaves a value empty that a deployment does not have.
 */
function findText(
  { entries }: Section,
  { key, kind, defaultText }: Field,
): string | undefined {
  const text = entries.get(key)?.value;
  const isNumber = kind === FieldKind.Integer || kind === FieldKind.Decimal;
  const isMissing = text === undefined || (text === "" && isNumber);
  return isMissing ? (defaultText ?? text) : text;
}

/** Describes the values that a field accepts, for errors and the reference. */
export function describeField(field: Field): string {
  const unit = field.unit === undefined ? "" : ` in ${field.unit}`;
  switch (field.kind) {
    case FieldKind.Integer:
      return `a whole number${unit}${describeRange(field)}`;
    case FieldKind.Decimal:
      return `a number${unit}${describeRange(field)}`;
    case FieldKind.Choice:
      return `one of ${(field.choices ?? []).join(", ")}`;
    case FieldKind.Name:
      return "a name of letters, digits, '.', '_', '-' (at most 63)";
    case FieldKind.Path:
      return "a path such as /findings/";
    case FieldKind.Paths:
      return "paths such as /a/, /b/";
    case FieldKind.Address:
      return "an IP number and a port such as 10.0.0.1:7000";
    case FieldKind.Url:
      return "a URL such as http://10.0.0.1:9000";
    case FieldKind.Time:
      return "a time such as 2026-12-05T06:00:00Z";
    case FieldKind.Text:
      return "text on one line, at most 1000 characters";
  }
}

function describeRange(field: Field): string {
  if (field.min === undefined && field.max === undefined) return "";
  return ` from ${field.min ?? "any"} to ${field.max ?? "any"}`;
}

function isValid(field: Field, text: string): boolean {
  switch (field.kind) {
    case FieldKind.Integer:
      return /^-?\d{1,15}$/.test(text) && isInRange(field, Number(text));
    case FieldKind.Decimal:
      return /^-?\d{1,12}(\.\d+)?$/.test(text) && isInRange(field, +text);
    case FieldKind.Choice:
      return (field.choices ?? []).includes(text);
    case FieldKind.Name:
      return NAME_PATTERN.test(text);
    case FieldKind.Path:
      return PATH_PATTERN.test(text);
    case FieldKind.Paths:
      return splitList(text).every((path) => PATH_PATTERN.test(path));
    case FieldKind.Address:
      return isAddress(text);
    case FieldKind.Url:
      return text.startsWith("http://") && isAddress(text.slice(7));
    case FieldKind.Time:
      return TIME_PATTERN.test(text) && !Number.isNaN(Date.parse(text));
    case FieldKind.Text:
      return text.length <= 1000;
  }
}

function isInRange(field: Field, value: number): boolean {
  if (field.min !== undefined && value < field.min) return false;
  return field.max === undefined || value <= field.max;
}

function isAddress(text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) return false;
  const port = Number(match[2]);
  const parts = (match[1] ?? "").split(".");
  const isV4 = parts.length === 4 && parts.every((part) => Number(part) < 256);
  return port < 65536 && (isV4 || (match[1] ?? "").startsWith("["));
}

function splitList(text: string): string[] {
  const parts = text.split(",").map((part) => part.trim());
  return parts.filter((part) => part !== "");
}
