import type { Clock } from "@laburnumtrack/core/clock";
import type { FeedTable, Snapshot } from "@laburnumtrack/core/feed_table";
import { NO_RESOURCES } from "@laburnumtrack/core/resources";
import type { Row } from "@laburnumtrack/core/table";
import type { JobBoard, StopRequest } from "@laburnumtrack/jobs/job_board";
import { RowPrefix, RUNS_PREFIX, readRuns } from "@laburnumtrack/jobs/job_rows";
import type {
  Leadership,
  WorkerRuns,
} from "@laburnumtrack/jobs/leadership_row";
import { releaseRoom } from "@laburnumtrack/jobs/reservations";
import { adoptRuns } from "@laburnumtrack/jobs/stored_runs";
import type { Attempt } from "@laburnumtrack/jobs/task";
import type { RegisteredWorker } from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { WorkerRegistry } from "@laburnumtrack/jobs/worker_registry";
import type { Journal } from "@laburnumtrack/process/journal";
import { RowFollower } from "@laburnumtrack/process/row_follower";
import type { BackgroundTasks } from "./background_tasks";
import { readRosterRows } from "./stored_roster";
import { WorkerLink, type WorkerLinkOptions } from "./worker_link";

/** Options of a worker group. */
export interface WorkerGroupOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly registry: WorkerRegistry;
  readonly journal: Journal;
  readonly board: JobBoard;
  readonly background: BackgroundTasks;
  /** Revision of the leadership; reads older than it are rejected. */
  readonly minRevision: number;
  /** The leadership row that acquired the leadership. */
  readonly held: Leadership;
  /**
   * Monotonic ms by which a lease has expired that had `leftMs` left by the
   * former leader's row.
   */
  readonly silentExpiryMs: (leftMs: number) => number;
  /** Monotonic ms at which all leases of former leaders have expired. */
  readonly maxExpiryMs: number;
  /** Options that all links share. */
  readonly link: WorkerLinkOptions;
  /** Aborted at the end of the term. */
  readonly termSignal: AbortSignal;
}

/** A link and the controller that ends it. */
interface OpenLink {
  readonly link: WorkerLink;
  readonly removal: AbortController;
}

/** Pause before a link that failed unexpectedly runs again, in ms. */
const LINK_RESTART_PAUSE_MS = 100;

/**
 * The workers of a term, each with a link. They come from the registry and from
 * the roster, which lists workers that may hold a lease.
 */
export class WorkerGroup {
  readonly follower: RowFollower;
  readonly #options: WorkerGroupOptions;
  readonly #links = new Map<string, OpenLink>();
  #unansweredStarts = 0;
  #unlistedExpiryMs = Number.NEGATIVE_INFINITY;
  /** Ids of the workers that may hold a former leader's lease; undefined if unknown. */
  #formerRoster: ReadonlySet<string> | undefined;

  constructor(options: WorkerGroupOptions) {
    this.#options = options;
    const { clock, table, journal, registry, minRevision, link } = options;
    const { prefix } = registry;
    this.follower = new RowFollower({
      clock,
      table,
      journal,
      minRevision: minRevision,
      prefix,
      listener: {
        onSnapshot: (snapshot) => this.#onSnapshot(snapshot),
        onRow: ({ key, value }) => {
          this.#onEntry(key.slice(prefix.length), value);
          link.onBoardChanged();
        },
      },
    });
  }

  /**
   * Monotonic ms until which workers that neither the registry nor the roster
   * lists may hold a lease; in the past unless the roster was unreadable.
   */
  get unlistedExpiryMs(): number {
    return this.#unlistedExpiryMs;
  }

  /** Number of start orders that are not answered yet. */
  get unansweredStarts(): number {
    return this.#unansweredStarts;
  }

  /**
   * Loads what former leaders stored of the runs on workers: which workers may
   * hold a lease, also some that are not registered, and what may run on them.
   * Returns false when the table cannot be read.
   */
  async loadFormerRuns(): Promise<boolean> {
    const { table, clock, board, minRevision } = this.#options;
    const read = await table.snapshot(RowPrefix.Leader);
    // Outdated rows may lack workers to which leases were granted since.
    if (read.err || read.val.revision < minRevision) return false;
    const { rows } = read.val;
    this.#applyRoster(rows);
    const stored = this.#readFormerRuns(rows);
    for (const [id, { leaseLeftMs }] of stored) {
      const worker = board.workers.get(id);
      if (worker === undefined || leaseLeftMs === undefined) continue;
      const expiryMs = this.#options.silentExpiryMs(leaseLeftMs);
      worker.leaseExpiryMs = Math.min(worker.leaseExpiryMs, expiryMs);
    }
    adoptRuns(board, stored, clock.nowMs());
    return true;
  }

  /** Runs that the former leader stored with its last commit, by worker. */
  #readFormerRuns(rows: readonly Row[]): Map<string, WorkerRuns> {
    const { held, journal } = this.#options;
    const stored = new Map(Object.entries(held.silentRuns ?? {}));
    for (const row of rows) {
      if (!row.key.startsWith(RUNS_PREFIX)) continue;
      const read = readRuns(row);
      if (read.err) {
        const cause = read.val.message;
        journal.warn(
          "Stored runs cannot be decoded; their workers have to report first.",
          { key: row.key, cause },
        );
        continue;
      }
      // Leaders since then may have started other runs.
      if (read.val.epoch !== held.epoch - 1) continue;
      for (const [id, runs] of Object.entries(read.val.workers)) {
        stored.set(id, runs);
      }
    }
    return stored;
  }

  #applyRoster(rows: readonly Row[]): void {
    const { board, journal } = this.#options;
    const roster = readRosterRows(rows);
    if (roster.err) {
      const cause = roster.val.message;
      journal.error(
        "The stored roster cannot be decoded; earlier jobs wait until all leases of former leaders have expired.",
        { cause },
      );
      this.#unlistedExpiryMs = this.#options.maxExpiryMs;
      return;
    }
    this.#formerRoster = new Set(Object.keys(roster.val));
    for (const worker of board.workers.values()) this.#inheritRuns(worker);
    for (const [id, address] of Object.entries(roster.val)) {
      const known = board.workers.get(id);
      if (known !== undefined) {
        known.isRostered = true;
        continue;
      }
      const worker = board.addWorker(unlistedWorker(id, address));
      worker.isRegistered = false;
      worker.isRostered = true;
      this.#openLink(worker);
    }
  }

  /** A worker without a lease of a former leader runs nothing. */
  #inheritRuns(worker: WorkerRecord): void {
    if (this.#formerRoster === undefined) return;
    if (this.#formerRoster.has(worker.id)) return;
    worker.areRunsInherited = true;
    worker.leaseExpiryMs = Number.NEGATIVE_INFINITY;
  }

  /** Sends the start of an attempt that is on the board. */
  sendStart(attempt: Attempt): void {
    const { board, clock, background, link: shared } = this.#options;
    const link = this.#links.get(attempt.worker.id)?.link;
    if (link === undefined) {
      board.onRefused(attempt, clock.nowMs());
      return;
    }
    this.#unansweredStarts += 1;
    background.add(
      link.start(attempt).finally(() => {
        this.#unansweredStarts -= 1;
        shared.onBoardChanged();
      }),
    );
  }

  /** Sends a stop order, unless the worker is gone. */
  sendStop(stop: StopRequest): void {
    const link = this.#links.get(stop.worker.id)?.link;
    if (link !== undefined) this.#options.background.add(link.stop(stop));
  }

  /** Sets the pace of a run, in percent of full speed. */
  sendPace(attempt: Attempt, percent: number): void {
    const link = this.#links.get(attempt.worker.id)?.link;
    if (link === undefined) return;
    this.#options.background.add(link.pace(attempt, percent));
  }

  /** Removes workers that left the registry and have nothing at work. */
  removeDeparted({ isSettled }: { isSettled: boolean }): void {
    const { board } = this.#options;
    for (const worker of board.workers.values()) {
      if (worker.isRegistered || worker.mayHaveRuns) continue;
      // It may still run tasks of a former leader.
      if (!worker.areRunsKnown && !isSettled) continue;
      for (const task of worker.reservations) releaseRoom(task);
      board.workers.delete(worker.id);
      this.#links.get(worker.id)?.removal.abort();
      this.#links.delete(worker.id);
    }
  }

  #onSnapshot({ rows }: Snapshot): void {
    const { registry, board } = this.#options;
    const { length } = registry.prefix;
    const registered = new Set(rows.map(({ key }) => key.slice(length)));
    for (const worker of board.workers.values()) {
      if (!registered.has(worker.id)) this.#onEntry(worker.id, undefined);
    }
  }

  #onEntry(id: string, value: string | undefined): void {
    const { clock, registry, journal, board } = this.#options;
    const known = board.workers.get(id);
    if (value === undefined) {
      if (known === undefined || !known.isRegistered) return;
      known.isRegistered = false;
      journal.info("A worker left the registry; it gets no new tasks.", {
        worker: id,
      });
      return;
    }
    const info = registry.decode(id, value);
    if (info.err) {
      const cause = info.val.message;
      journal.warn(
        "Leader ignores a registry entry that cannot be decoded as a worker.",
        { entry: id, cause },
      );
      return;
    }
    if (known !== undefined && info.val.isDraining !== known.info.isDraining) {
      journal.info("A worker started or stopped draining.", {
        worker: id,
        isDraining: info.val.isDraining,
        remainingMs: info.val.remainingMs,
        attempts: known.attempts.size,
      });
      known.leavesAtMs = clock.nowMs() + info.val.remainingMs;
    }
    const worker = board.addWorker(info.val);
    if (known === undefined) this.#openLink(worker);
  }

  #openLink(worker: WorkerRecord): void {
    const { held, silentExpiryMs, maxExpiryMs } = this.#options;
    const { link: shared, background } = this.#options;
    const wasSilent = Object.hasOwn(held.silent, worker.id);
    // Leases that this leader grants extend it.
    worker.leaseExpiryMs = wasSilent
      ? silentExpiryMs(held.silent[worker.id] ?? 0)
      : maxExpiryMs;
    // It stays listed as silent until it has answered this leader.
    worker.isSilent = wasSilent;
    worker.isListedSilent = wasSilent;
    this.#inheritRuns(worker);
    const link = new WorkerLink(worker, shared);
    const removal = new AbortController();
    this.#links.set(worker.id, { link, removal });
    background.add(this.#runLink(link, removal));
  }

  async #runLink(link: WorkerLink, removal: AbortController): Promise<void> {
    const { clock, termSignal, background } = this.#options;
    const stop = () => removal.abort();
    termSignal.addEventListener("abort", stop);
    if (termSignal.aborted) stop();
    while (!removal.signal.aborted) {
      try {
        await link.run(removal.signal);
      } catch (error) {
        // Keep renewing: without it, the lease expires and all runs on the
        // worker end.
        background.logFailure(error);
        await clock.sleep(LINK_RESTART_PAUSE_MS, removal.signal);
      }
    }
    termSignal.removeEventListener("abort", stop);
  }
}

/** A worker known by its address only; as draining, it gets no new task. */
function unlistedWorker(id: string, address: string): RegisteredWorker {
  return {
    id,
    address,
    pool: "",
    failureDomain: "",
    isDraining: true,
    remainingMs: 0,
    capacity: NO_RESOURCES,
    labels: [],
    rack: "",
    bornMs: 0,
  };
}
