import type { Fault } from "@laburnumtrack/core/fault";
import type { Row, Write } from "@laburnumtrack/core/table";
import {
  MAX_ROW_BYTES,
  ROSTER_KEY,
  type Roster,
  readRoster,
  readRosterParts,
} from "@laburnumtrack/jobs/job_rows";
import { fieldBytes, jsonBytes } from "@laburnumtrack/jobs/json_bytes";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { Ok, type Result } from "ts-results";

/** Addresses of workers by id, as stored. */
export type StoredRoster = ReadonlyMap<string, string>;

/**
 * Takes emptied workers off the roster and returns the others, which may hold a
 * lease. An emptied one gets no lease until a commit lists it again, so that the
 * next leader need not wait for it.
 */
export function updateRostered(
  workers: readonly WorkerRecord[],
): WorkerRecord[] {
  for (const worker of workers) {
    if (worker.isEvacuated) worker.isRostered = false;
  }
  return workers.filter(({ isEvacuated }) => !isEvacuated);
}

/** The roster of the workers, as it would be stored. */
export function rosterOf(workers: readonly WorkerRecord[]): StoredRoster {
  return new Map(workers.map(({ id, info }) => [id, info.address]));
}

/** Whether the stored roster, if known, lists just these workers. */
export function isRosterOf(
  stored: StoredRoster | undefined,
  workers: readonly WorkerRecord[],
): boolean {
  return (
    stored?.size === workers.length &&
    workers.every(({ id, info }) => stored.get(id) === info.address)
  );
}

/**
 * Encodes a roster, sorted by id. One that does not fit into a row stands in
 * further rows, and the first one has only their number: releases that read one
 * row find no roster there and wait until all leases have expired.
 */
export function createRosterRows(roster: StoredRoster): Write[] {
  const entries = [...roster].sort(([a], [b]) => (a < b ? -1 : 1));
  const pages: [string, string][][] = [[]];
  const rowBytes = jsonBytes(toRow([]));
  let bytes = rowBytes;
  for (const [id, address] of entries) {
    const size = fieldBytes(id, address);
    if (bytes + size > MAX_ROW_BYTES) {
      pages.push([]);
      bytes = rowBytes;
    }
    pages.at(-1)?.push([id, address]);
    bytes += size;
  }
  const rows = pages.map(toRow);
  const [first] = rows;
  const values =
    rows.length === 1 && first ? [first] : [{ parts: rows.length }, ...rows];
  return values.map((value, part) => ({
    key: rosterKey(part),
    value: JSON.stringify(value),
  }));
}

/**
 * Reads the roster from the rows about the leader; empty if none is stored.
 * Fault: `Malformed`, also if a further row is missing.
 */
export function readRosterRows(rows: readonly Row[]): Result<Roster, Fault> {
  const find = (part: number) =>
    rows.find(({ key }) => key === rosterKey(part));
  const first = find(0);
  if (first === undefined) return Ok({});
  const parts = readRosterParts(first);
  if (parts === undefined) return readRoster(first);
  const pages: Roster[] = [];
  for (let part = 1; part <= parts; part += 1) {
    const row = find(part);
    const read = readRoster(row ?? { value: "" });
    if (read.err) return read;
    pages.push(read.val);
  }
  return Ok(Object.fromEntries(pages.flatMap(Object.entries)));
}

function rosterKey(part: number): string {
  return part === 0 ? ROSTER_KEY : `${ROSTER_KEY}/${part}`;
}

function toRow(entries: readonly [string, string][]): { roster: Roster } {
  return { roster: Object.fromEntries(entries) };
}
