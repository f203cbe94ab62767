import type { Clock } from "@laburnumtrack/core/clock";
import type { Table } from "@laburnumtrack/core/table";
import type { Journal } from "@laburnumtrack/process/journal";
import { readRelays } from "./relay_directory";

/** Options of {@linkcode PeerAddresses}. */
export interface PeerAddressesOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  /** Name of this process, which is not its own peer. */
  readonly member: string;
}

/** Interval at which the addresses are read, in ms. */
const READ_INTERVAL_MS = 15_000;
/** Interval while no peer is known, or reads fail, in ms. */
const RETRY_INTERVAL_MS = 2500;

/** Addresses at which the other entry processes tell their configuration. */
export class PeerAddresses {
  readonly #options: PeerAddressesOptions;
  #addresses: readonly string[] = [];

  constructor(options: PeerAddressesOptions) {
    this.#options = options;
  }

  /** `host:port` of each process, also of ones that have ended since. */
  get addresses(): readonly string[] {
    return this.#addresses;
  }

  /** Reads the addresses from time to time until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const isRead = await this.#read();
      const isComplete = isRead && this.#addresses.length > 0;
      const pauseMs = isComplete ? READ_INTERVAL_MS : RETRY_INTERVAL_MS;
      await clock.sleep(pauseMs, signal);
    }
  }

  async #read(): Promise<boolean> {
    const { table, journal, member } = this.#options;
    const read = await readRelays(table, journal);
    if (read.err) return false;
    this.#addresses = read.val.flatMap(({ name, adminAddress }) =>
      name === member || adminAddress === undefined ? [] : [adminAddress],
    );
    return true;
  }
}
