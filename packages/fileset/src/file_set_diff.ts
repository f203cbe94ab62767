import type { FileSet } from "@laburnumtrack/core/workload";

/** How a section differs between two file sets. */
export enum ChangeKind {
  Added = "added",
  Removed = "removed",
  Changed = "changed",
}

/** A section that differs. */
export interface Change {
  readonly kind: ChangeKind;
  /** Name of the section, such as `job nightly`. */
  readonly part: string;
  /** Values that differ, as `name: before -> after`; empty unless changed. */
  readonly details: readonly string[];
}

/** Lists the sections that differ between two file sets, by kind and name. */
export function diffFileSets(before: FileSet, after: FileSet): Change[] {
  const changes = [
    ...diffSections("team", before.teams, after.teams),
    ...diffSections("service", before.services, after.services),
    ...diffSections("job", before.jobs, after.jobs),
  ];
  if (before.favour !== after.favour) {
    const details = [`favour: ${before.favour} -> ${after.favour}`];
    changes.push({ kind: ChangeKind.Changed, part: "policy", details });
  }
  return changes;
}

function diffSections(
  kind: string,
  before: ReadonlyMap<string, object>,
  after: ReadonlyMap<string, object>,
): Change[] {
  const changes: Change[] = [];
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  for (const name of names) {
    const old = before.get(name);
    const current = after.get(name);
    const part = `${kind} ${name}`;
    if (old === undefined) {
      changes.push({ kind: ChangeKind.Added, part, details: [] });
    } else if (current === undefined) {
      changes.push({ kind: ChangeKind.Removed, part, details: [] });
    } else {
      const details = diffValues(old, current);
      if (details.length === 0) continue;
      changes.push({ kind: ChangeKind.Changed, part, details });
    }
  }
  return changes;
}

function diffValues(before: object, after: object): string[] {
  const details: string[] = [];
  const old = new Map(Object.entries(before));
  for (const [key, value] of Object.entries(after)) {
    const oldText = JSON.stringify(old.get(key));
    const newText = JSON.stringify(value);
    if (oldText !== newText) details.push(`${key}: ${oldText} -> ${newText}`);
  }
  return details;
}
