import { describeField, type Field } from "./field";
import {
  JOB_FIELDS,
  POLICY_FIELDS,
  SERVICE_FIELDS,
  TEAM_FIELDS,
} from "./file_set_fields";
import { listSettings, type SettingsSection } from "./settings_fields";

const INTRODUCTION = `# Settings and files

Made from the checks in the code by \`npm run docs\`; a test compares the two.

Both are INI: a line \`[section]\`, then lines \`key = value\`. Comments begin with
\`;\` or \`#\`. A section or key that stands twice, an unknown key and a bad value
are refused, all at once, each with file, line, section and key.
`;

/** Renders docs/SETTINGS.md: all settings and all keys of operators' files. */
export function renderReference(): string {
  const seen = new Set<string>();
  const parts = [INTRODUCTION, "## Settings of the programs\n"];
  for (const program of ["gateway", "scheduler", "entry"]) {
    for (const section of listSettings(program)) {
      if (seen.has(section.name)) continue;
      seen.add(section.name);
      parts.push(renderSettings(section));
    }
  }
  parts.push("## Operators' files\n");
  const kinds: readonly (readonly [string, readonly Field[]])[] = [
    ["service NAME", SERVICE_FIELDS],
    ["job NAME", JOB_FIELDS],
    ["team NAME", TEAM_FIELDS],
    ["policy", POLICY_FIELDS],
  ];
  for (const [name, fields] of kinds) {
    parts.push(`### [${name}]\n`, renderFields(fields));
  }
  return parts.join("\n");
}

function renderSettings({ name, help, fields }: SettingsSection): string {
  return `### [${name}]\n\n${help}\n\n${renderFields(fields)}`;
}

function renderFields(fields: readonly Field[]): string {
  const lines = [
    "| key | value | default | meaning |",
    "| --- | --- | --- | --- |",
  ];
  for (const field of fields) {
    const { key, help, defaultText } = field;
    const shownDefault =
      defaultText === undefined ? "required" : defaultText || "none";
    lines.push(
      `| \`${key}\` | ${describeField(field)} | ${shownDefault} | ${help} |`,
    );
  }
  return `${lines.join("\n")}\n`;
}
