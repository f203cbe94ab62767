import { readFileSync } from "node:fs";
import { constants } from "node:os";

/**
 * Whether a process has a handler for the signal, from the mask `SigCgt` of
 * Linux's `/proc/PID/status`; false once the process has ended.
 */
export function catchesSignal(pid: number, signal: NodeJS.Signals): boolean {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, "utf8");
  } catch {
    // The process has ended.
    return false;
  }
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? "0";
  const bit = BigInt(constants.signals[signal] - 1);
  return ((BigInt(`0x${mask}`) >> bit) & 1n) === 1n;
}
