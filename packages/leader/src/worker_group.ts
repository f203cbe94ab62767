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
import type { TaskSet } from "./task_set";
import { type LinkOptions, WorkerLink } from "./worker_link";

/** How a group is set up. */
export interface WorkerGroupOptions {
  readonly clock: Clock;
  readonly table: FeedTable;
  readonly registry: WorkerRegistry;
  readonly journal: Journal;
  readonly board: JobBoard;
  readonly tasks: TaskSet;
  /** Revision of the leadership: older reads are refused. */
  readonly floor: number;
  /** Monotonic ms at which what the former leader granted has lapsed. */
  readonly lapseMsOf: (id: string) => number;
  /** What all links share. */
  readonly link: LinkOptions;
  /** Ends with the term. */
  readonly over: AbortSignal;
}

interface OpenLink {
  readonly link: WorkerLink;
  readonly gone: AbortController;
}

/** Pause after a fault of this program in a worker's link, in ms. */
const LINK_RESTART_MS = 100;

/** The workers of a term, each with a link, by registry and roster. */
export class WorkerGroup {
  readonly follower: RowFollower;
  readonly #options: WorkerGroupOptions;
  readonly #links = new Map<string, OpenLink>();
  #openStarts = 0;

  constructor(options: WorkerGroupOptions) {
    this.#options = options;
    const { clock, table, journal, registry, floor, link } = options;
    const { prefix } = registry;
    this.follower = new RowFollower({
      clock,
      table,
      journal,
      floor,
      prefix,
      listener: {
        onSnapshot: (snapshot) => this.#onSnapshot(snapshot),
        onChange: ({ key, value }) => {
          this.#onEntry(key.slice(prefix.length), value);
          link.onNews();
        },
      },
    });
  }

  /** Starts that wait for an answer. */
  get openStarts(): number {
    return this.#openStarts;
  }

  /** Takes in workers that may hold a lease though no entry names them. */
  async loadRoster(): Promise<boolean> {
    const { table, board, journal } = this.#options;
    const read = await table.get([ROSTER_KEY]);
    if (read.err) return false;
    const [row] = read.val;
    if (row === undefined) return true;
    const roster = readRoster(row);
    if (roster.err) {
      const cause = roster.val.message;
      journal.error("The roster cannot be read.", { cause });
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

  /** Sends a start that the board has counted. */
  sendStart(attempt: Attempt): void {
    const { board, clock, tasks, link: shared } = this.#options;
    const link = this.#links.get(attempt.worker.id)?.link;
    if (link === undefined) {
      board.onRefused(attempt, clock.nowMs());
      return;
    }
    this.#openStarts += 1;
    tasks.add(
      link.start(attempt).finally(() => {
        this.#openStarts -= 1;
        shared.onNews();
      }),
    );
  }

  /** Sends a stop. */
  sendStop(stop: StopRequest): void {
    const link = this.#links.get(stop.worker.id)?.link;
    if (link !== undefined) this.#options.tasks.add(link.stop(stop));
  }

  /** Changes the pace of a run. */
  sendPace(attempt: Attempt, percent: number): void {
    const link = this.#links.get(attempt.worker.id)?.link;
    if (link === undefined) return;
    this.#options.tasks.add(link.pace(attempt, percent));
  }

  /** Forgets workers that are gone. */
  sweep({ isSettled }: { isSettled: boolean }): void {
    const { board } = this.#options;
    for (const worker of board.workers.values()) {
      if (worker.isRegistered || worker.attempts.size > 0) continue;
      // It may still run what a former leader gave it.
      if (!worker.hasReported && !isSettled) continue;
      board.workers.delete(worker.id);
      this.#links.get(worker.id)?.gone.abort();
      this.#links.delete(worker.id);
    }
  }

  #onSnapshot({ rows }: Snapshot): void {
    const { registry, board } = this.#options;
    const listed = new Set<string>();
    for (const { key, value } of rows) {
      const id = key.slice(registry.prefix.length);
      listed.add(id);
      this.#onEntry(id, value);
    }
    for (const worker of board.workers.values()) {
      if (!listed.has(worker.id)) this.#onEntry(worker.id, undefined);
    }
  }

  #onEntry(id: string, value: string | undefined): void {
    const { registry, journal, board } = this.#options;
    const known = board.workers.get(id);
    if (value === undefined) {
      if (known === undefined || !known.isRegistered) return;
      known.isRegistered = false;
      journal.info("A worker left the registry.", { worker: id });
      return;
    }
    const info = registry.decode(id, value);
    if (info.err) {
      const cause = info.val.message;
      journal.warn("An entry names no worker.", { entry: id, cause });
      return;
    }
    if (known !== undefined && info.val.isDraining !== known.info.isDraining) {
      journal.info("A worker changed its state.", {
        worker: id,
        isDraining: info.val.isDraining,
      });
    }
    const worker = board.addWorker(info.val);
    if (known === undefined) this.#openLink(worker);
  }

  #openLink(worker: WorkerRecord): void {
    const { lapseMsOf, link: shared, tasks } = this.#options;
    // Own grants move it on.
    worker.lapseMs = lapseMsOf(worker.id);
    const link = new WorkerLink(worker, shared);
    const gone = new AbortController();
    this.#links.set(worker.id, { link, gone });
    tasks.add(this.#runLink(link, gone));
  }

  async #runLink(link: WorkerLink, gone: AbortController): Promise<void> {
    const { clock, over, tasks } = this.#options;
    const stop = () => gone.abort();
    over.addEventListener("abort", stop);
    if (over.aborted) stop();
    while (!gone.signal.aborted) {
      try {
        await link.run(gone.signal);
      } catch (error) {
        // Without renewals all that runs on the worker would end.
        tasks.onFailure(error);
        await clock.sleep(LINK_RESTART_MS, gone.signal);
      }
    }
    over.removeEventListener("abort", stop);
  }
}

/** A worker of which only the address is known: it gets no new task. */
function unlistedWorker(id: string, address: string): RegisteredWorker {
  return {
    id,
    address,
    pool: "",
    failureDomain: "",
    isDraining: true,
    capacity: NO_RESOURCES,
    labels: [],
    rack: "",
    bornMs: 0,
  };
}
