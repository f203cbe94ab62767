import type { Clock } from "@laburnumtrack/core/clock";
import type { Table } from "@laburnumtrack/core/table";
import { BID_KEY, readBid } from "@laburnumtrack/jobs/job_rows";
import type { Bid, Leadership } from "@laburnumtrack/jobs/leadership_row";
import type { Journal } from "@laburnumtrack/process/journal";

/** How a succession is set up. */
export interface SuccessionOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  readonly member: string;
  readonly instance: string;
  /** Processing capacity of this VM in cores. */
  readonly capacity: number;
}

/** A VM is better suited when its capacity is this many times the other's. */
const BETTER_FACTOR = 1.3;
/** Time between two bids of one candidate, and between two looks, in ms. */
const BID_MS = 1000;
/** A leader serves this long before it looks for a better one, in ms. */
const LEAST_TERM_MS = 2000;
/** How much longer a VM waits when better ones may take over, in ms. */
const YIELD_MS = 400;
/** A chosen successor that takes nothing over for this long is lost, in ms. */
const SUCCESSOR_MS = 1000;

/**
 * Brings leadership to VMs with more processor. A candidate on a better VM
 * writes a bid; the leader, once it has served for a while, hands over to the
 * bidder. Bids are advice: losing one, or acting on an old one, costs time only.
 */
export class Succession {
  readonly #options: SuccessionOptions;
  #bidMs = Number.NEGATIVE_INFINITY;

  constructor(options: SuccessionOptions) {
    this.#options = options;
  }

  /** How much longer than others this VM is to wait for a vacancy, in ms. */
  patienceMs(former: Leadership | undefined): number {
    if (former === undefined) return 0;
    if (former.successor === this.#options.instance) return 0;
    if (former.successor !== "") return SUCCESSOR_MS;
    return isBetter(former.capacity, this.#options.capacity) ? YIELD_MS : 0;
  }

  /** Bids for leadership where this VM is better suited than the leader's. */
  async bid({ epoch, capacity, isReleased }: Leadership): Promise<void> {
    const { clock, table, member, instance } = this.#options;
    const nowMs = clock.nowMs();
    if (isReleased || nowMs - this.#bidMs < BID_MS) return;
    if (!isBetter(this.#options.capacity, capacity)) return;
    this.#bidMs = nowMs;
    const bid: Bid = {
      member,
      instance,
      epoch,
      capacity: this.#options.capacity,
    };
    // A bid that is lost is followed by the next one.
    await table.commit({
      checks: [],
      writes: [{ key: BID_KEY, value: JSON.stringify(bid) }],
    });
  }

  /** Waits for a bid that was renewed in this term; undefined at its end. */
  async findSuccessor(
    epoch: number,
    signal: AbortSignal,
  ): Promise<Bid | undefined> {
    const { clock, journal } = this.#options;
    await clock.sleep(LEAST_TERM_MS, signal);
    let seen = await this.#look();
    while (!signal.aborted) {
      await clock.sleep(BID_MS, signal);
      const found = await this.#look();
      const isNew = found !== undefined && found.revision !== seen?.revision;
      seen = found;
      if (!isNew || found.bid.epoch !== epoch) continue;
      if (!isBetter(found.bid.capacity, this.#options.capacity)) continue;
      journal.info("A VM with more processor takes over.", {
        successor: found.bid.member,
        capacity: found.bid.capacity,
        ownCapacity: this.#options.capacity,
        epoch,
      });
      return found.bid;
    }
    return undefined;
  }

  async #look(): Promise<{ bid: Bid; revision: number } | undefined> {
    const read = await this.#options.table.get([BID_KEY]);
    // Without an answer nothing changes; the next look tells.
    const row = read.ok ? read.val[0] : undefined;
    if (row === undefined) return undefined;
    const bid = readBid(row);
    if (bid.ok) return { bid: bid.val, revision: row.revision };
    this.#options.journal.warn("A bid for leadership cannot be read.", {
      cause: bid.val.message,
    });
    return undefined;
  }
}

function isBetter(capacity: number, other: number): boolean {
  return capacity > other * BETTER_FACTOR;
}
