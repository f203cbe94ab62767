import type { Clock } from "@laburnumtrack/core/clock";
import type { IdGenerator } from "@laburnumtrack/core/ids";
import { RowCache } from "@laburnumtrack/core/row_cache";
import {
  KeyPrefix,
  MemberPhase,
  type MemberRow,
  type PlacerRow,
  readRow,
} from "@laburnumtrack/core/rows";
import type { Row, Table } from "@laburnumtrack/core/table";
import type { TokenCommitter } from "@laburnumtrack/core/token_committer";
import type { VmList } from "@laburnumtrack/core/vm_list";
import type { Worker } from "@laburnumtrack/core/worker";
import { Membership } from "@laburnumtrack/peers/membership";
import { ClusterView } from "@laburnumtrack/policy/cluster_view";
import type { Configuration } from "@laburnumtrack/process/config_watch";
import { watchFreezes } from "@laburnumtrack/process/freeze_watch";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { KeeperGroup } from "./keeper_group";
import { Placer } from "./placer";
import { RowEditor } from "./row_editor";
import type { StatusSources } from "./status";
import { Sweeper } from "./sweeper";
import { VmDirectory } from "./vm_directory";
import { UPDATE_KEY_PREFIX, type WorkerUpdate } from "./worker_update";

/** Time settings of a scheduler, in ms except for `clockDrift`. */
export interface SchedulerTimes {
  /** Interval between heartbeats of a member. */
  readonly beatMs: number;
  /** A member without a heartbeat for this long is evicted. */
  readonly deadAfterMs: number;
  /** Length of a worker's lease. */
  readonly leaseMs: number;
  /** Interval between renewals of a lease. */
  readonly renewMs: number;
  /** How long after its last heartbeat a scheduler may still renew leases. */
  readonly rideThroughMs: number;
  /** Interval between placement rounds. */
  readonly placeMs: number;
  /** How long batch tasks of a lost worker wait until placed again. */
  readonly lostGraceMs: number;
  /** Largest relative error between two clocks. */
  readonly clockDrift: number;
}

/** The ports and settings of a scheduler. */
export interface SchedulerOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly vmList: VmList;
  readonly worker: Worker;
  readonly ring: TokenCommitter;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** The fields of this scheduler's member row that do not change. */
  readonly self: Omit<
    MemberRow,
    "instance" | "phase" | "beat" | "configVersion"
  >;
  readonly times: SchedulerTimes;
  /** Returns the configuration in force. */
  readonly configuration: () => Configuration;
  /** Generates instance ids; random ones if undefined. */
  readonly ids?: IdGenerator | undefined;
  /** Called with the rows of each commit, to push them to peers. */
  readonly onCommitted: (rows: readonly Row[]) => void;
  /** Pushes a row to the member with this instance. */
  readonly pushRow: (instance: string, row: Row) => void;
  /** Called when the members may have changed. */
  readonly onMembersChanged: () => void;
  /** Called when another process uses this one's name. */
  readonly onReplaced: () => void;
}

const VM_POLL_MS = 1000;
const KEEPER_UPDATE_MS = 500;
// Pushes of peers may be lost, so changed rows are also polled.
const ROW_POLL_MS = 5000;
const FULL_SCAN_INTERVAL_MS = 600_000;
const SWEEP_INTERVAL_MS = 3_600_000;

const SCANNED_PREFIXES = [
  KeyPrefix.Worker,
  KeyPrefix.Task,
  KeyPrefix.Finished,
  KeyPrefix.Placer,
  KeyPrefix.Head,
];

/**
 * Places tasks and renews the workers' leases. It reaches table, VM list and
 * workers through abstract ports and does not depend on a platform.
 */
export class Scheduler {
  readonly membership: Membership;
  readonly placer: Placer;
  readonly keepers: KeeperGroup;
  readonly vms: VmDirectory;
  readonly view = new ClusterView();
  readonly #options: SchedulerOptions;
  readonly #cache = new RowCache();
  /** Highest revision that scans of each prefix have returned. */
  readonly #scannedRevisions = new Map<string, number>();
  #lastFullScanMs = Number.NEGATIVE_INFINITY;
  /** Aborted when the workers have been handed over. */
  readonly #stopped = new AbortController();
  /** Aborted when the shutdown begins: no more tasks are placed. */
  readonly #stopping = new AbortController();

  constructor(options: SchedulerOptions) {
    this.#options = options;
    const { clock, table, ring, journal, metrics, times } = options;
    const cache = this.#cache;
    const { view } = this;
    view.follow(cache);
    this.vms = new VmDirectory(options.vmList, clock);
    this.membership = new Membership({
      clock,
      table,
      ring,
      self: options.self,
      beatMs: times.beatMs,
      deadAfterMs: times.deadAfterMs,
      configVersion: () => options.configuration().version,
      ...(options.ids === undefined ? {} : { ids: options.ids }),
      onReplaced: options.onReplaced,
    });
    const { membership, vms } = this;
    const editor = new RowEditor({
      clock,
      table,
      ring,
      cache,
      onCommitted: (rows) => {
        options.onCommitted(rows);
        this.placer.wake();
      },
    });
    this.placer = new Placer({
      clock,
      cache,
      view,
      editor,
      membership,
      vms,
      journal: journal.forComponent("placer"),
      metrics,
      configuration: options.configuration,
      placeMs: times.placeMs,
      refresh: (key) => this.#refresh(key),
      refreshAll: () => this.refreshAll(),
    });
    this.keepers = new KeeperGroup({
      clock,
      worker: options.worker,
      view,
      editor,
      membership,
      vms,
      journal: journal.forComponent("keeper"),
      leaseMs: times.leaseMs,
      renewMs: times.renewMs,
      rideThroughMs: times.rideThroughMs,
      clockDrift: times.clockDrift,
      lostGraceMs: times.lostGraceMs,
      onUpdate: (update) => this.#sendToPlacer(update),
      refresh: (key) => this.#refresh(key),
    });
    cache.onRow(({ key }) => {
      if (!key.startsWith(KeyPrefix.Worker)) return;
      this.keepers.wake(key.slice(KeyPrefix.Worker.length));
    });
  }

  /** Runs until {@linkcode shutDown} has ended. */
  async run(): Promise<void> {
    const { clock, journal } = this.#options;
    await Promise.all([
      this.#sendHeartbeats(),
      this.#pollVms(),
      this.#pollRows(),
      this.#updateKeepers(),
      this.#sweep(),
      this.placer.run(this.#stopping.signal),
      watchFreezes(
        clock,
        (pausedMs) => {
          journal.warn(
            "The process was paused; it sends a heartbeat and reads all rows again.",
            {
              pausedMs: Math.round(pausedMs),
            },
          );
          void this.membership.sendHeartbeat().then(() => this.refreshAll());
        },
        this.#stopped.signal,
      ),
    ]);
  }

  /** Hands the workers over to other schedulers and announces its departure. */
  async shutDown(): Promise<void> {
    this.#stopping.abort();
    this.placer.wake();
    await this.membership.writePhase(MemberPhase.Leaving);
    await this.keepers.handOverAll();
    this.#stopped.abort();
    await this.membership.writePhase(MemberPhase.Left);
  }

  /** Receives rows and worker updates that a peer has pushed. */
  onPushedRows(rows: readonly Row[]): void {
    for (const row of rows) {
      if (row.key.startsWith(UPDATE_KEY_PREFIX)) {
        this.placer.onWorkerUpdate(JSON.parse(row.value) as WorkerUpdate);
      } else {
        this.#cache.merge(row);
      }
    }
    this.placer.wake();
  }

  /** Reads all rows into the cache; false when the table does not answer. */
  async refreshAll(): Promise<boolean> {
    const { table, clock } = this.#options;
    const startMs = clock.nowMs();
    for (const prefix of SCANNED_PREFIXES) {
      const asOf = this.#cache.highestRevision;
      const read = await table.scan(prefix);
      if (read.err) return false;
      this.#cache.mergeScan(prefix, read.val, asOf);
      this.#recordScanned(prefix, read.val);
    }
    this.#lastFullScanMs = startMs;
    return true;
  }

  /**
   * Reads the rows that changed since the last scan. Deletions do not show up
   * there: they are learnt from peers and from a full scan every
   * `FULL_SCAN_INTERVAL_MS`.
   */
  async #refreshChanged(): Promise<void> {
    const { table, clock } = this.#options;
    if (clock.nowMs() - this.#lastFullScanMs >= FULL_SCAN_INTERVAL_MS) {
      await this.refreshAll();
      return;
    }
    for (const prefix of SCANNED_PREFIXES) {
      const above = this.#scannedRevisions.get(prefix) ?? 0;
      const read = await table.scan(prefix, { above });
      if (read.err) return;
      for (const row of read.val) this.#cache.merge(row);
      this.#recordScanned(prefix, read.val);
    }
  }

  #recordScanned(prefix: string, rows: readonly Row[]): void {
    let highest = this.#scannedRevisions.get(prefix) ?? 0;
    for (const { revision } of rows) highest = Math.max(highest, revision);
    this.#scannedRevisions.set(prefix, highest);
  }

  /** Refreshes rows and members if the table answers; returns the state. */
  async readSources(): Promise<StatusSources> {
    await this.#refreshChanged();
    await this.membership.readAll();
    return {
      configuration: this.#options.configuration(),
      view: this.view,
      cache: this.#cache,
      plan: this.placer.plan(),
      members: this.membership.all(),
    };
  }

  async #sendHeartbeats(): Promise<void> {
    const { clock, journal, times, onMembersChanged } = this.#options;
    while (!this.#stopped.signal.aborted) {
      const result = await this.membership.sendHeartbeat();
      if (result.err) {
        journal.warn(
          "The heartbeat failed; other members evict this process after dead_after_ms without one.",
          {
            fault: result.val.message,
          },
        );
      }
      const evicted = await this.membership.evictSilent();
      if (evicted.length > 0) {
        journal.warn(
          "Members without heartbeats were evicted; workers of evicted schedulers are taken over.",
          { evicted },
        );
      }
      onMembersChanged();
      await clock.sleep(times.beatMs, this.#stopped.signal);
    }
  }

  async #pollVms(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      if (await this.vms.poll()) this.placer.wake();
      await this.#options.clock.sleep(VM_POLL_MS, this.#stopped.signal);
    }
  }

  async #pollRows(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await this.#refreshChanged();
      await this.#options.clock.sleep(ROW_POLL_MS, this.#stopped.signal);
    }
  }

  async #sweep(): Promise<void> {
    const { clock, journal, table, ring, configuration } = this.#options;
    const sweeper = new Sweeper({
      clock,
      table,
      ring,
      isDeclared: (job) => configuration().files.jobs.has(job),
    });
    while (!this.#stopped.signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MS, this.#stopped.signal);
      if (!this.placer.isActive) continue;
      const deleted = await sweeper.sweepOnce();
      if (deleted > 0)
        journal.info("Expired rows were deleted from the table.", { deleted });
    }
  }

  async #updateKeepers(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await this.keepers.updateOnce();
      await this.#options.clock.sleep(KEEPER_UPDATE_MS, signal);
    }
  }

  async #refresh(key: string): Promise<void> {
    const read = await this.#options.table.get([key]);
    if (read.err) return;
    for (const row of read.val) this.#cache.merge(row);
  }

  #sendToPlacer(update: WorkerUpdate): void {
    if (this.placer.isActive) {
      this.placer.onWorkerUpdate(update);
      return;
    }
    const holder = this.#cache.get(KeyPrefix.Placer);
    if (holder === undefined) return;
    const { instance } = readRow<PlacerRow>(holder);
    const key = UPDATE_KEY_PREFIX + update.worker;
    const value = JSON.stringify(update);
    this.#options.pushRow(instance, { key, revision: 1, value });
  }
}
