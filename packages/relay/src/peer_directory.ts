import type { Clock } from "@laburnumtrack/core/clock";
import type { Table } from "@laburnumtrack/core/table";
import type { Journal } from "@laburnumtrack/process/journal";
import { type RelayEntry, readRelays } from "./relay_directory";

/** Options of {@linkcode PeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  /** Name of this process, which is not its own peer. */
  readonly member: string;
}

/** Where another entry process answers requests of its peers. */
export interface AdminTarget {
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Interval at which the peers are read, in ms. */
const READ_INTERVAL_MS = 15_000;
/** Interval while no peer is known, or reads fail, in ms. */
const RETRY_INTERVAL_MS = 2500;

/**
 * The other entry processes as they are listed in the table, also ones that have
 * ended since.
 */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  #peers: readonly RelayEntry[] = [];
  #adminTargets: readonly AdminTarget[] = [];

  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
  }

  /** `host:port` where each process tells its configuration. */
  get configAddresses(): readonly string[] {
    return this.#peers.flatMap(({ adminAddress }) =>
      adminAddress === undefined ? [] : [adminAddress],
    );
  }

  /** Where each process carries out calls for others, `host:port`. */
  get adminTargets(): readonly AdminTarget[] {
    return this.#adminTargets;
  }

  /** Processing capacity of the largest VM in cores; 0 if none is known. */
  get largestCapacity(): number {
    return Math.max(0, ...this.#peers.map(({ capacity }) => capacity));
  }

  /** Reads the peers from time to time until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const isRead = await this.#read();
      const isComplete = isRead && this.#peers.length > 0;
      const pauseMs = isComplete ? READ_INTERVAL_MS : RETRY_INTERVAL_MS;
      await clock.sleep(pauseMs, signal);
    }
  }

  async #read(): Promise<boolean> {
    const { table, journal, member } = this.#options;
    const read = await readRelays(table, journal);
    if (read.err) return false;
    this.#peers = read.val.filter(({ name }) => name !== member);
    this.#adminTargets = this.#peers.flatMap(
      ({ adminAddress, failureDomain }) =>
        adminAddress === undefined
          ? []
          : [{ address: adminAddress, failureDomain }],
    );
    return true;
  }
}
