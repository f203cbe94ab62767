import type { Clock } from "@laburnumtrack/core/clock";
import type { Table } from "@laburnumtrack/core/table";
import { BID_KEY, readBid } from "@laburnumtrack/jobs/job_rows";
import type { Bid, Leadership } from "@laburnumtrack/jobs/leadership_row";
import type { Journal } from "@laburnumtrack/process/journal";

/** Options of the succession. */
export interface SuccessionOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  /** Name of this member. */
  readonly member: string;
  /** Identifies this start of the process. */
  readonly instance: string;
  /** Processing capacity of this VM in cores. */
  readonly capacity: number;
  /**
   * Capacity of the largest VM that may take over, in cores, as far as known; it
   * may have ended.
   */
  readonly largestCapacity?: () => number;
}

/**
 * A VM is better suited when its capacity exceeds this multiple of the other's.
 */
const MIN_CAPACITY_RATIO = 1.3;
/**
 * Interval between two bids of a candidate, and between two reads of bids, in
 * ms.
 */
const BID_INTERVAL_MS = 1000;
/** Time that a leader serves before it looks for a better suited one, in ms. */
const MIN_TERM_MS = 2000;
/** Delay of a candidate while better suited VMs may take over, in ms. */
const YIELD_DELAY_MS = 400;
/** Time for the chosen successor to take over before others may, in ms. */
const SUCCESSOR_TIMEOUT_MS = 1000;

/**
 * Moves the leadership to VMs with more processing capacity. A candidate on a
 * better suited VM writes a bid; the leader hands over to the bidder once it
 * has served a minimum term. Bids are only hints: losing one, or acting on an
 * outdated one, costs time but no correctness.
 */
export class Succession {
  readonly #options: SuccessionOptions;
  #lastBidMs = Number.NEGATIVE_INFINITY;

  constructor(options: SuccessionOptions) {
    this.#options = options;
  }

  /** Extra time that this VM waits before it replaces `former`, in ms. */
  extraTimeoutMs(former: Leadership | undefined): number {
    if (former === undefined) return 0;
    if (former.successor === this.#options.instance) return 0;
    if (former.successor !== "") return SUCCESSOR_TIMEOUT_MS;
    const { capacity, largestCapacity = () => 0 } = this.#options;
    const largest = Math.max(former.capacity, largestCapacity());
    return isBetter(largest, capacity) ? YIELD_DELAY_MS : 0;
  }

  /** Writes a bid if this VM is better suited than the leader's. */
  async bid({ epoch, capacity, isReleased }: Leadership): Promise<void> {
    const { clock, table, member, instance } = this.#options;
    const nowMs = clock.nowMs();
    if (isReleased || nowMs - this.#lastBidMs < BID_INTERVAL_MS) return;
    if (!isBetter(this.#options.capacity, capacity)) return;
    this.#lastBidMs = nowMs;
    const bid: Bid = {
      member,
      instance,
      epoch,
      capacity: this.#options.capacity,
    };
    // The outcome is ignored: the next bid follows after a lost one.
    await table.commit({
      checks: [],
      writes: [{ key: BID_KEY, value: JSON.stringify(bid) }],
    });
  }

  /**
   * Waits for a bid of a better suited VM that is renewed during this term;
   * undefined once `signal` is aborted.
   */
  async findSuccessor(
    epoch: number,
    signal: AbortSignal,
  ): Promise<Bid | undefined> {
    const { clock, journal } = this.#options;
    await clock.sleep(MIN_TERM_MS, signal);
    let former = await this.#readBid();
    while (!signal.aborted) {
      await clock.sleep(BID_INTERVAL_MS, signal);
      const found = await this.#readBid();
      const isNew = found !== undefined && found.revision !== former?.revision;
      former = found;
      if (!isNew || found.bid.epoch !== epoch) continue;
      if (!isBetter(found.bid.capacity, this.#options.capacity)) continue;
      journal.info("Leader hands over to a VM with more processing capacity.", {
        successor: found.bid.member,
        capacity: found.bid.capacity,
        ownCapacity: this.#options.capacity,
        epoch,
      });
      return found.bid;
    }
    return undefined;
  }

  async #readBid(): Promise<{ bid: Bid; revision: number } | undefined> {
    const read = await this.#options.table.get([BID_KEY]);
    // A failed read counts as no bid; the next read decides.
    const row = read.ok ? read.val[0] : undefined;
    if (row === undefined) return undefined;
    const bid = readBid(row);
    if (bid.ok) return { bid: bid.val, revision: row.revision };
    this.#options.journal.warn(
      "Leader ignores a leadership bid that cannot be decoded.",
      {
        cause: bid.val.message,
      },
    );
    return undefined;
  }
}

function isBetter(capacity: number, other: number): boolean {
  return capacity > other * MIN_CAPACITY_RATIO;
}
