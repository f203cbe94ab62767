import type { Clock } from "@laburnumtrack/core/clock";
import type { FeedTable, Snapshot } from "@laburnumtrack/core/feed_table";
import { NO_RESOURCES } from "@laburnumtrack/core/resources";
import type { JobBoard, StopRequest } from "@laburnumtrack/jobs/job_board";
import { ROSTER_KEY, readRoster } from "@laburnumtrack/jobs/job_rows";
import type { Attempt } from "@laburnumtrack/jobs/task";
import type { RegisteredWorker } from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import type { WorkerRegistry } from "@laburnumtrack/jobs/worker_registry";
import type { Journal } from "@laburnumtrack/process/journal";
import { RowFollower } from "@laburnumtrack/process/row_follower";
import type { BackgroundTasks } from "./background_tasks";
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
  /**
   * Monotonic ms by which leases that former leaders granted to a worker have
   * expired.
   */
  readonly initialExpiryMs: (id: string) => number;
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
   * Adds workers that the roster lists and the registry does not: they may still
   * hold a lease. Returns false when the table cannot be read.
   */
  async loadRoster(): Promise<boolean> {
    const { table, board, journal } = this.#options;
    const read = await table.get([ROSTER_KEY]);
    if (read.err) return false;
    const [row] = read.val;
    if (row === undefined) return true;
    const roster = readRoster(row);
    if (roster.err) {
      const cause = roster.val.message;
      journal.error(
        "The stored roster cannot be decoded; earlier jobs wait until all leases of former leaders have expired.",
        { cause },
      );
      this.#unlistedExpiryMs = this.#options.maxExpiryMs;
      return true;
    }
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
    return true;
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
      if (!worker.hasReported && !isSettled) continue;
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
    const { initialExpiryMs, link: shared, background } = this.#options;
    // Leases that this leader grants extend it.
    worker.leaseExpiryMs = initialExpiryMs(worker.id);
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
