import type { EntryStatus } from "@laburnumtrack/leader/entry_status";
import { renderTable } from "./table_text";

/** Whether the answer of `/status` is that of an entry. */
export function isEntryStatus(body: unknown): body is EntryStatus {
  return (
    typeof body === "object" &&
    body !== null &&
    "member" in body &&
    "isLeading" in body
  );
}

/** Renders the status of an entry as text. */
export function renderEntryStatus(status: EntryStatus): string {
  const { member, configVersion, leader, isLeading, evacuations } = status;
  const lines = [
    `entry ${member}, version ${configVersion}, led by ${leader ?? "nobody known"}`,
  ];
  if (evacuations === undefined) {
    lines.push("requests for evacuations are ignored (evacuate_ms is 0)");
    return lines.join("\n");
  }
  if (evacuations.length === 0) {
    lines.push("no failure domain is evacuated");
    return lines.join("\n");
  }
  const rows = evacuations.map((evacuation) => [
    evacuation.domain,
    new Date(evacuation.sinceMs).toISOString(),
    count(evacuation.runs),
    count(evacuation.longRunning),
    evacuation.lastStartMs === undefined
      ? ""
      : `${Math.round(evacuation.lastStartMs)} ms`,
    Object.entries(evacuation.reasons ?? {})
      .map(([reason, runs]) => `${reason} ${runs}`)
      .join(", "),
  ]);
  const header = [
    "domain",
    "since",
    "runs left",
    "long-running",
    "last start after",
    "delayed by",
  ];
  lines.push("", "EVACUATIONS", renderTable(header, rows));
  if (!isLeading) lines.push("", "ask the leader for what is left");
  return lines.join("\n");
}

function count(value: number | undefined): string {
  return value === undefined ? "?" : String(value);
}
