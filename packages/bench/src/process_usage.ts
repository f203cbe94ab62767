import { readFileSync } from "node:fs";

/** Processor time and memory used by a process since its start. */
export interface ProcessUsage {
  /** Processor time, user and system, in ms. */
  readonly cpuMs: number;
  /** Resident memory in MiB. */
  readonly residentMb: number;
}

/** Clock ticks per second in /proc/PID/stat; fixed on Linux. */
const TICKS_PER_S = 100;
// Zero-based positions of utime and stime in /proc/PID/stat.
const USER_TICKS_INDEX = 13;
const SYSTEM_TICKS_INDEX = 14;

/** Reads the usage of a process from /proc; throws if it does not exist. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The process name may contain spaces, so fields are split after its ")".
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const user = Number(fields[USER_TICKS_INDEX - 2]);
  const system = Number(fields[SYSTEM_TICKS_INDEX - 2]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? "0");
  return {
    cpuMs: ((user + system) * 1000) / TICKS_PER_S,
    residentMb: residentKb / 1024,
  };
}
