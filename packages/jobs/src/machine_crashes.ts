/** Crashes of one machine. */
interface CrashRecord {
  /** Monotonic ms of the crashes that no task explains. */
  readonly crashesMs: number[];
  /** End of its quarantine on the monotonic clock, in ms. */
  quarantinedUntilMs: number;
}

/** A crash, as far as it is known. */
export interface MachineCrash {
  /** Monotonic ms at which it was proven. */
  readonly nowMs: number;
  /** Whether a task that crashed other workers, or this one before, explains it. */
  readonly isExplained: boolean;
  /** Number of machines among which this is one. */
  readonly machineCount: number;
}

/** Unexplained crashes that show that a machine is faulty. */
const FAULTY_CRASHES = 2;
/** Time for which a crash counts against its machine, in ms. */
const CRASH_WINDOW_MS = 120_000;
/** First quarantine of a faulty machine, in ms; it doubles with each crash. */
const FIRST_QUARANTINE_MS = 2000;
const LONGEST_QUARANTINE_MS = 16_000;
/** Crashes on more machines than this have another cause than the machines. */
const MAX_QUARANTINED_FRACTION = 0.25;

/**
 * Crashes by machine, whatever ran there and under whichever id a worker is
 * back. A machine that crashes repeatedly without a task that explains it is
 * faulty: it is quarantined with back-off.
 */
export class MachineCrashes {
  readonly #records = new Map<string, CrashRecord>();

  /** Records a crash; returns whether the machine is found to be faulty by it. */
  onCrash(
    address: string,
    { nowMs, isExplained, machineCount }: MachineCrash,
  ): boolean {
    if (isExplained) return false;
    const record = this.#records.get(address) ?? {
      crashesMs: [],
      quarantinedUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.#records.set(address, record);
    record.crashesMs.push(nowMs);
    const recent = countRecent(record, nowMs);
    if (recent < FAULTY_CRASHES) return false;
    const limit = Math.max(1, machineCount * MAX_QUARANTINED_FRACTION);
    if (this.#countQuarantined(nowMs) >= limit) return true;
    record.quarantinedUntilMs =
      nowMs +
      Math.min(
        FIRST_QUARANTINE_MS * 2 ** (recent - FAULTY_CRASHES),
        LONGEST_QUARANTINE_MS,
      );
    return true;
  }

  /** Whether the machine crashed repeatedly without a task that explains it. */
  isFaulty(address: string, nowMs: number): boolean {
    const record = this.#records.get(address);
    return record !== undefined && countRecent(record, nowMs) >= FAULTY_CRASHES;
  }

  /** Whether no task may be placed on the machine for now. */
  isQuarantined(address: string, nowMs: number): boolean {
    const record = this.#records.get(address);
    return record !== undefined && record.quarantinedUntilMs > nowMs;
  }

  #countQuarantined(nowMs: number): number {
    let count = 0;
    for (const { quarantinedUntilMs } of this.#records.values()) {
      if (quarantinedUntilMs > nowMs) count += 1;
    }
    return count;
  }
}

/** Drops crashes that do not count any more and returns the number of others. */
function countRecent({ crashesMs }: CrashRecord, nowMs: number): number {
  while ((crashesMs[0] ?? nowMs) < nowMs - CRASH_WINDOW_MS) crashesMs.shift();
  return crashesMs.length;
}
