import type { Clock } from "@laburnumtrack/core/clock";
import type { ChangedRow, Snapshot } from "@laburnumtrack/core/feed_table";
import { SuspensionDetector } from "@laburnumtrack/core/suspension_detector";
import type { DomainEvacuations } from "@laburnumtrack/evacuation/domain_evacuations";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import type { QueueSource } from "@laburnumtrack/jobs/worker_registry";
import type { Journal } from "@laburnumtrack/process/journal";
import {
  RowFollower,
  type RowFollowerOptions,
} from "@laburnumtrack/process/row_follower";

/** Options of a queue configuration watcher. */
export interface QueueConfigWatcherOptions
  extends Omit<RowFollowerOptions, "prefix" | "listener"> {
  /** Where the configuration is stored, and how it is decoded. */
  readonly source: QueueSource;
  /** Receives the requested evacuations; undefined if they are ignored. */
  readonly evacuations?: DomainEvacuations | undefined;
}

/** A configuration that another process has in use. */
export interface SharedConfig {
  readonly version: number;
  /**
   * Monotonic ms of this process up to which no newer version was stored;
   * negative infinity if unknown.
   */
  readonly confirmedMs: number;
  /** As stored; undefined if the version is not newer than the requested one. */
  readonly text: string | undefined;
}

const NO_QUEUES: QueueConfig = { version: 0, queues: [], pools: [] };

/**
 * Follows the queue configuration that operators store, in the table and from
 * other processes. It only ever moves to a higher version.
 */
export class QueueConfigWatcher {
  readonly #source: QueueSource;
  readonly #clock: Clock;
  readonly #journal: Journal;
  readonly #follower: RowFollower;
  /** Undefined if evacuations are ignored. */
  readonly evacuations: DomainEvacuations | undefined;
  readonly #suspensions: SuspensionDetector;
  /** Monotonic ms at which the VM was last resumed. */
  #resumedMs = Number.NEGATIVE_INFINITY;
  #current = NO_QUEUES;
  #text = "";
  #sharedConfirmedMs = Number.NEGATIVE_INFINITY;

  constructor({ source, evacuations, ...options }: QueueConfigWatcherOptions) {
    this.#source = source;
    this.evacuations = evacuations;
    this.#clock = options.clock;
    this.#journal = options.journal;
    this.#suspensions = new SuspensionDetector(options.clock);
    this.#follower = new RowFollower({
      ...options,
      prefix: source.prefix,
      preferSnapshots: true,
      listener: {
        onSnapshot: (snapshot) => this.#onSnapshot(snapshot),
        onRow: (row) => this.#onRow(row),
      },
    });
    evacuations?.follow(this.#follower);
  }

  /**
   * The configuration in use; its version is 0 before the first one was read.
   */
  get current(): QueueConfig {
    return this.#current;
  }

  /** The configuration in use as it is stored; empty before the first one. */
  get text(): string {
    return this.#text;
  }

  /**
   * Time in ms for which newer versions may have been stored without being in
   * use here; infinite before the first one was read.
   */
  get ageMs(): number {
    const nowMs = this.#clock.nowMs();
    if (this.#suspensions.check()) this.#resumedMs = nowMs;
    const confirmedMs = Math.max(
      this.#follower.confirmedMs,
      this.#sharedConfirmedMs,
    );
    // How long ago an earlier confirmation was is not known.
    return confirmedMs > this.#resumedMs
      ? nowMs - confirmedMs
      : Number.POSITIVE_INFINITY;
  }

  /** Whether the table is reachable from this process. */
  get isTableReachable(): boolean {
    return this.#follower.isLoaded && !this.#follower.isTableUnavailable;
  }

  /** Time in ms for which the table has not answered this process; 0 if it does. */
  get tableOutageMs(): number {
    return this.#follower.outageMs;
  }

  /** Follows the configuration until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#follower.run(signal);
  }

  /** Takes over what another process knows, unless it is older. */
  adopt({ version, confirmedMs, text }: SharedConfig): void {
    if (text !== undefined) this.#use(text, { source: "peer" });
    if (version !== this.#current.version) return;
    this.#sharedConfirmedMs = Math.max(this.#sharedConfirmedMs, confirmedMs);
  }

  #onSnapshot({ rows, revision }: Snapshot): void {
    const requests = rows.flatMap((row) => {
      const domain = this.#source.evacuatedDomainOf(row.key);
      return domain === undefined ? [] : [{ domain, revision: row.revision }];
    });
    this.evacuations?.onSnapshot(requests, revision);
  }

  #onRow({ key, value, revision }: ChangedRow): void {
    const domain = this.#source.evacuatedDomainOf(key);
    if (domain !== undefined) {
      // Any value counts as a request.
      const isRequested = value !== undefined;
      this.evacuations?.onChange({ domain, revision }, isRequested);
      return;
    }
    if (key !== this.#source.key || value === undefined) return;
    this.#use(value, { source: "table", revision });
  }

  #use(text: string, origin: object): void {
    const config = this.#source.decode(text);
    if (config.err) {
      const cause = config.val.message;
      this.#journal.error(
        "A stored queue configuration cannot be decoded; the former version stays in use.",
        { cause, ...origin },
      );
      return;
    }
    const { version, queues, pools } = config.val;
    // Reads may be outdated.
    if (version <= this.#current.version) return;
    this.#journal.info("A new queue configuration is in use.", {
      version,
      former: this.#current.version,
      ...origin,
      queues: queues.length,
      pools: pools.length,
    });
    this.#current = config.val;
    this.#text = text;
  }
}
