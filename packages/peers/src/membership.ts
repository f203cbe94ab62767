import type { Clock } from "@laburnumtrack/core/clock";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";
import { generateRandomId, type IdGenerator } from "@laburnumtrack/core/ids";
import {
  KeyPrefix,
  MemberPhase,
  type MemberRow,
  type Role,
  readRow,
} from "@laburnumtrack/core/rows";
import type { Row, Table } from "@laburnumtrack/core/table";
import type { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { Ok, type Result } from "ts-results";

/** Options of {@linkcode Membership}. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly ring: TokenCommitter;
  /** Fixed fields of the own row. */
  readonly self: Omit<
    MemberRow,
    "instance" | "phase" | "beat" | "configVersion"
  >;
  /** Interval of heartbeats, and time-out of writes of member rows, in ms. */
  readonly beatMs: number;
  /** A member whose row stays unchanged this long counts as dead, in ms. */
  readonly deadAfterMs: number;
  /** Returns the version of the configuration in force in this process. */
  readonly configVersion: () => number;
  /** Generates instance ids; random by default. */
  readonly ids?: IdGenerator;
  /** Called when another process with the same name has written the row. */
  readonly onReplaced: () => void;
}

/** Row of a member as it was last read. */
interface ObservedMember {
  readonly row: MemberRow;
  readonly revision: number;
  /** Monotonic ms at which this revision was first read. */
  changedMs: number;
}

/**
 * Tracks the members of the system by their rows in the table. Each member
 * rewrites its row as a heartbeat; one whose row stays unchanged counts as dead
 * and can be evicted. Missing heartbeats count only while this process itself
 * can read the table.
 */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #observedMembers = new Map<string, ObservedMember>();
  /** Monotonic ms at which each ended instance was first seen as ended. */
  readonly #endedMs = new Map<string, number>();
  readonly #knownInstances = new Set<string>();
  readonly #ids: IdGenerator;
  #instance: string;
  #isJoined = false;
  #pendingHeartbeat: Promise<Result<void, Fault>> | undefined;
  #firstReadMs: number | undefined;
  #revision = 0;
  #beatCount = 0;
  #phase = MemberPhase.Live;
  #lastReadMs = Number.NEGATIVE_INFINITY;
  #confirmedMs = Number.NEGATIVE_INFINITY;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#ids = options.ids ?? generateRandomId;
    this.#instance = this.#ids();
  }

  /**
   * Instance id of this process. It changes after an eviction, since what other
   * members assume about the evicted instance must stay true.
   */
  get instance(): string {
    return this.#instance;
  }

  /**
   * Monotonic ms at which the last successful heartbeat was sent. The right to
   * renew leases lasts for a time from here.
   */
  get confirmedMs(): number {
    return this.#confirmedMs;
  }

  /** Whether the member rows were read within the last `deadAfterMs`. */
  get isFresh(): boolean {
    const { clock, deadAfterMs } = this.#options;
    return clock.nowMs() - this.#lastReadMs < deadAfterMs;
  }

  /**
   * Writes the own row once and reads all rows. Overlapping calls share one
   * heartbeat: two concurrent writes of the row would conflict, and each writer
   * would take the other for another process.
   */
  sendHeartbeat(): Promise<Result<void, Fault>> {
    this.#pendingHeartbeat ??= this.#heartbeat().finally(() => {
      this.#pendingHeartbeat = undefined;
    });
    return this.#pendingHeartbeat;
  }

  async #heartbeat(): Promise<Result<void, Fault>> {
    const sentMs = this.#options.clock.nowMs();
    const written = await this.#writeOwnRow();
    if (written.ok && this.#phase === MemberPhase.Live) {
      this.#confirmedMs = sentMs;
    }
    const read = await this.readAll();
    return written.err ? written : read;
  }

  /** Writes a new phase: leaving when a shutdown starts, left when it ends. */
  async writePhase(
    phase: MemberPhase.Leaving | MemberPhase.Left,
  ): Promise<Result<void, Fault>> {
    this.#phase = phase;
    await this.#pendingHeartbeat;
    return await this.#writeOwnRow();
  }

  /** Members of a role that are alive, including this process if it is. */
  live(role: Role): MemberRow[] {
    const members: MemberRow[] = [];
    for (const observed of this.#observedMembers.values()) {
      const { row } = observed;
      if (row.role !== role || row.phase !== MemberPhase.Live) continue;
      if (!this.#isSilent(observed)) members.push(row);
    }
    return members;
  }

  /** All members, whatever their phase. */
  all(): MemberRow[] {
    return [...this.#observedMembers.values()].map(({ row }) => row);
  }

  /**
   * Latest time at which an instance may still renew leases without reading the
   * table, in monotonic ms of this process: 0 when it stopped by itself,
   * undefined while no limit is known.
   */
  leaseRenewalLimitMs(
    instance: string,
    rideThroughMs: number,
  ): number | undefined {
    for (const { row } of this.#observedMembers.values()) {
      if (row.instance !== instance) continue;
      if (row.phase === MemberPhase.Left) return 0;
      if (row.phase !== MemberPhase.Evicted) return undefined;
    }
    // An instance that was never seen had ended before the first read.
    const endedMs = this.#endedMs.get(instance) ?? this.#firstReadMs;
    return endedMs === undefined ? undefined : endedMs + rideThroughMs;
  }

  /**
   * Marks members without recent heartbeats as evicted, which makes their later
   * heartbeats fail. Returns the names of the evicted members.
   */
  async evictSilent(): Promise<string[]> {
    const evicted: string[] = [];
    for (const observed of [...this.#observedMembers.values()]) {
      const { row, revision } = observed;
      if (row.instance === this.instance || !this.#isSilent(observed)) continue;
      if (hasEnded(row.phase)) continue;
      const value: MemberRow = { ...row, phase: MemberPhase.Evicted };
      const key = KeyPrefix.Member + row.name;
      const result = await this.#options.ring.commit(
        {
          checks: [{ key, revision }],
          writes: [{ key, value: JSON.stringify(value) }],
        },
        { timeoutMs: this.#options.beatMs },
      );
      if (result.ok) evicted.push(row.name);
    }
    return evicted;
  }

  async #writeOwnRow(): Promise<Result<void, Fault>> {
    const { self, ring, beatMs, configVersion } = this.#options;
    this.#beatCount += 1;
    const value: MemberRow = {
      ...self,
      instance: this.#instance,
      phase: this.#phase,
      beat: this.#beatCount,
      configVersion: configVersion(),
    };
    const key = KeyPrefix.Member + self.name;
    const result = await ring.commit(
      {
        checks: [{ key, revision: this.#revision }],
        writes: [{ key, value: JSON.stringify(value) }],
      },
      { timeoutMs: beatMs },
    );
    if (result.ok) {
      this.#revision = result.val.revision;
      this.#isJoined = true;
      return Ok(undefined);
    }
    if (result.val.code === FaultCode.Conflict) await this.#handleConflict(key);
    return result;
  }

  /** Handles a conflict: an eviction, or another process with the same name. */
  async #handleConflict(key: string): Promise<void> {
    const read = await this.#options.table.get([key]);
    if (read.err) return;
    const [row] = read.val;
    const member = row === undefined ? undefined : readRow<MemberRow>(row);
    this.#revision = row?.revision ?? 0;
    if (!this.#isJoined || member === undefined) return;
    if (member.instance !== this.#instance) {
      this.#options.onReplaced();
      return;
    }
    if (member.phase !== MemberPhase.Evicted) return;
    this.#instance = this.#ids();
    this.#confirmedMs = Number.NEGATIVE_INFINITY;
  }

  /** Reads the rows of all members. */
  async readAll(): Promise<Result<void, Fault>> {
    const read = await this.#options.table.scan(KeyPrefix.Member);
    if (read.err) return read;
    const nowMs = this.#options.clock.nowMs();
    const { deadAfterMs } = this.#options;
    const wasStale = nowMs - this.#lastReadMs >= deadAfterMs;
    this.#lastReadMs = nowMs;
    this.#firstReadMs ??= nowMs;
    const present = new Set<string>();
    for (const row of read.val) present.add(this.#observe(row, nowMs));
    for (const instance of this.#knownInstances) {
      if (!present.has(instance)) this.#recordEnd(instance, nowMs);
    }
    for (const [name, { row }] of this.#observedMembers) {
      if (!present.has(row.instance)) this.#observedMembers.delete(name);
    }
    if (wasStale) {
      // After an outage each member gets the full time for its next heartbeat.
      for (const observed of this.#observedMembers.values()) {
        observed.changedMs = nowMs;
      }
    }
    return Ok(undefined);
  }

  #observe(row: Row, nowMs: number): string {
    const member = readRow<MemberRow>(row);
    const previous = this.#observedMembers.get(member.name);
    this.#knownInstances.add(member.instance);
    if (previous === undefined || previous.revision !== row.revision) {
      this.#observedMembers.set(member.name, {
        row: member,
        revision: row.revision,
        changedMs: nowMs,
      });
    }
    if (hasEnded(member.phase)) this.#recordEnd(member.instance, nowMs);
    return member.instance;
  }

  #recordEnd(instance: string, nowMs: number): void {
    if (!this.#endedMs.has(instance)) this.#endedMs.set(instance, nowMs);
  }

  #isSilent({ changedMs }: ObservedMember): boolean {
    return this.#lastReadMs - changedMs >= this.#options.deadAfterMs;
  }
}

function hasEnded(phase: MemberPhase): boolean {
  return phase === MemberPhase.Left || phase === MemberPhase.Evicted;
}
