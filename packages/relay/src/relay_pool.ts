import type { Clock } from "@laburnumtrack/core/clock";
import type { Table } from "@laburnumtrack/core/table";
import type { WorkerTarget } from "@laburnumtrack/jobs/task_worker";
import type { Journal } from "@laburnumtrack/process/journal";
import { assignRelay, chooseRelays } from "./relay_choice";
import { type RelayEntry, readRelays } from "./relay_directory";
import { RelayLink } from "./relay_link";

/** What the relay pool needs to know of the leader's term. */
export interface LedTerm {
  readonly epoch: number;
  readonly instance: string;
  /** Number of workers that the leader knows. */
  readonly workers: number;
}

/** Options of a relay pool. */
export interface RelayPoolOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  /** Name of this process, which is not its own relay. */
  readonly member: string;
  /** The term of this process; undefined while it does not lead. */
  readonly term: () => LedTerm | undefined;
  /** Number of workers from which relays are used. */
  readonly minWorkers: number;
}

interface PooledRelay extends RelayEntry {
  readonly link: RelayLink;
}

/** Interval at which links are opened and closed as needed, in ms. */
const CHECK_INTERVAL_MS = 250;
/** Interval at which the list of relays is read, in ms. */
const READ_INTERVAL_MS = 3000;
/** Time for which a relay is not used after its link failed, in ms. */
const BACKOFF_MS = 1500;

/**
 * The leader's links to relays. A small fleet has none: below a number of
 * workers, the leader calls them itself.
 */
export class RelayPool {
  readonly #options: RelayPoolOptions;
  #entries: readonly RelayEntry[] = [];
  #readMs = Number.NEGATIVE_INFINITY;
  #relays: PooledRelay[] = [];
  #epoch = 0;
  /** Monotonic ms until which a relay is not used, by name. */
  readonly #backoffs = new Map<string, number>();
  /** Relay of each worker, as long as the set of relays is the same. */
  readonly #assigned = new Map<string, PooledRelay | undefined>();

  constructor(options: RelayPoolOptions) {
    this.#options = options;
  }

  /** Keeps links open while this process leads; until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, journal } = this.#options;
    while (!signal.aborted) {
      try {
        await this.#update();
      } catch (error) {
        journal.error("The relays could not be updated; the pool goes on.", {
          error: error instanceof Error ? error.stack : String(error),
        });
      }
      await clock.sleep(CHECK_INTERVAL_MS, signal);
    }
    this.#closeAll();
  }

  /** Open link for a call of this epoch to the worker; undefined for none. */
  linkFor(target: WorkerTarget, epoch: number): RelayLink | undefined {
    if (epoch !== this.#epoch || this.#relays.length === 0) return undefined;
    let relay = this.#assigned.get(target.id);
    if (relay === undefined || relay.link.isClosed) {
      const open = this.#relays.filter(({ link }) => link.isOpen);
      relay = assignRelay(target, open);
      this.#assigned.set(target.id, relay);
    }
    return relay?.link.isOpen ? relay.link : undefined;
  }

  async #update(): Promise<void> {
    const { term, minWorkers } = this.#options;
    const led = term();
    if (led === undefined || led.workers < minWorkers) {
      this.#closeAll();
      return;
    }
    if (led.epoch !== this.#epoch) {
      this.#closeAll();
      this.#epoch = led.epoch;
    }
    await this.#readEntries();
    // The term may have ended during the read.
    if (term()?.epoch === this.#epoch) this.#openLinks(led);
  }

  async #readEntries(): Promise<void> {
    const { clock, table, member, journal } = this.#options;
    if (clock.nowMs() - this.#readMs < READ_INTERVAL_MS) return;
    const read = await readRelays(table, journal);
    if (read.err) return;
    this.#readMs = clock.nowMs();
    this.#entries = read.val.filter(({ name }) => name !== member);
  }

  #openLinks({ epoch, instance, workers }: LedTerm): void {
    const { clock, journal } = this.#options;
    const nowMs = clock.nowMs();
    for (const { name, link } of this.#relays) {
      if (link.isClosed) this.#backoffs.set(name, nowMs + BACKOFF_MS);
    }
    const kept = this.#relays.filter(({ link }) => !link.isClosed);
    const usable = this.#entries.filter(
      ({ name }) => (this.#backoffs.get(name) ?? nowMs) <= nowMs,
    );
    const known = new Map(kept.map((relay) => [relay.name, relay]));
    const chosen = chooseRelays(usable, workers).map((entry): PooledRelay => {
      const relay = known.get(entry.name);
      if (relay !== undefined && relay.address === entry.address) return relay;
      const { name, address } = entry;
      const hello = { epoch, instance };
      const link = new RelayLink({ clock, journal, name, address, hello });
      return { ...entry, link };
    });
    for (const relay of kept) {
      if (!chosen.includes(relay)) relay.link.close();
    }
    const isSame =
      chosen.length === this.#relays.length &&
      chosen.every((relay, index) => relay === this.#relays[index]);
    this.#relays = chosen;
    if (!isSame || chosen.some(({ link }) => !link.isOpen)) {
      this.#assigned.clear();
    }
  }

  #closeAll(): void {
    for (const { link } of this.#relays) link.close();
    this.#relays = [];
    this.#assigned.clear();
  }
}
