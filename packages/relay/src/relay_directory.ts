import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { isHostPort } from "@laburnumtrack/core/host_port";
import type { Row, Table } from "@laburnumtrack/core/table";
import type { Journal } from "@laburnumtrack/process/journal";
import { Err, Ok, type Result } from "ts-results";

/** An entry process, which relays calls for the leader. */
export interface RelayEntry {
  readonly name: string;
  /** `host:port` of its relay server. */
  readonly address: string;
  /**
   * `host:port` where it tells other processes its configuration; undefined for
   * a process of an earlier release.
   */
  readonly adminAddress?: string | undefined;
  readonly failureDomain: string;
  /** Processing capacity of its VM in cores. */
  readonly capacity: number;
}

/** Key prefix of the rows in which relays are listed. */
export const RELAY_PREFIX = "relays/";
/** Longest delay of the first write, so that many starts do not coincide. */
const MAX_ADVERTISE_DELAY_MS = 2000;
const RETRY_PAUSE_MS = 1000;

/** Options of {@linkcode advertiseRelay}. */
export interface AdvertiseOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  /** From 0 to 1: part of the longest delay. */
  readonly jitter: number;
}

/** Lists this process as a relay; ends once that is stored. */
export async function advertiseRelay(
  entry: RelayEntry,
  options: AdvertiseOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, table, journal, jitter } = options;
  const writes = [
    { key: `${RELAY_PREFIX}${entry.name}`, value: JSON.stringify(entry) },
  ];
  await clock.sleep(jitter * MAX_ADVERTISE_DELAY_MS, signal);
  while (!signal.aborted) {
    const done = await table.commit({ checks: [], writes });
    if (done.ok) return;
    journal.debug("This process cannot be listed as a relay yet.", {
      cause: done.val.message,
    });
    await clock.sleep(RETRY_PAUSE_MS, signal);
  }
}

/** Reads all entries; rows that cannot be decoded are logged and left out. */
export async function readRelays(
  table: Table,
  journal: Journal,
): Promise<Result<RelayEntry[], Fault>> {
  const read = await table.scan(RELAY_PREFIX);
  return read.map((rows) => {
    const entries: RelayEntry[] = [];
    for (const row of rows) {
      const entry = readRelay(row);
      if (entry.ok) entries.push(entry.val);
      else {
        journal.warn("A relay's row cannot be decoded and is ignored.", {
          cause: entry.val.message,
        });
      }
    }
    return entries;
  });
}

/** Parses a relay's row. Fault: `Malformed`. */
export function readRelay({ key, value }: Row): Result<RelayEntry, Fault> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value);
  } catch {
    return Err(new Fault(FaultCode.Malformed, key));
  }
  const entry = (parsed ?? {}) as Partial<RelayEntry>;
  const isValid =
    typeof entry.name === "string" &&
    typeof entry.address === "string" &&
    isHostPort(entry.address) &&
    isOptionalAddress(entry.adminAddress) &&
    typeof entry.failureDomain === "string" &&
    Number.isFinite(entry.capacity);
  return isValid
    ? Ok(entry as RelayEntry)
    : Err(new Fault(FaultCode.Malformed, key));
}

function isOptionalAddress(value: unknown): boolean {
  return (
    value === undefined || (typeof value === "string" && isHostPort(value))
  );
}
