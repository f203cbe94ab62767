import type { Clock } from "@laburnumtrack/core/clock";
import type { Fault } from "@laburnumtrack/core/fault";
import type {
  BorrowReply,
  BorrowRequest,
  GiveBackRequest,
  LentSlot,
} from "@laburnumtrack/peers/gen/peer";
import { SlotLender } from "@laburnumtrack/peers/slot_lender";
import type { ServiceRouter } from "@laburnumtrack/routing/service_router";
import type { Result } from "ts-results";

/** A peer gateway that may lend slots. */
export interface Lender {
  /** Address of its peer server. */
  readonly address: string;
  borrow(request: BorrowRequest): Promise<Result<BorrowReply, Fault>>;
  giveBack(request: GiveBackRequest): Promise<Result<unknown, Fault>>;
}

/** Dependencies of {@linkcode SlotLending}. */
export interface SlotLendingOptions {
  readonly clock: Clock;
  readonly routers: () => ReadonlyMap<string, ServiceRouter>;
  /** The other gateways, reachable ones first. */
  readonly lenders: () => readonly Lender[];
  /** Instance id of this gateway. */
  readonly instance: () => string;
  /** Longest time that a request of the service may take, in ms. */
  readonly deadlineMsOf: (service: string) => number;
}

/** How long borrowed slots may start requests. */
const LOAN_TERM_MS = 2000;
const MAX_SLOTS_PER_LOAN = 16;
/** Pause after all gateways were asked for slots of a service. */
const BORROW_PAUSE_MS = 20;

/**
 * Lends idle slots to peer gateways whose requests wait, and borrows slots from
 * them. The borrower may start requests in a slot until the term of the loan
 * ends. The lender reserves the slot until the last such request must have ended.
 */
export class SlotLending extends SlotLender {
  readonly #options: SlotLendingOptions;
  /** Services for which peers are being asked for slots. */
  readonly #borrowing = new Set<string>();
  /** Address of the lender of each borrowed slot. */
  readonly #lenderOfSlot = new Map<string, string>();
  #lastLenderIndex = 0;

  constructor(options: SlotLendingOptions) {
    super();
    this.#options = options;
  }

  override lend(service: string, wanted: number): BorrowReply {
    const router = this.#options.routers().get(service);
    if (router === undefined) return { slots: [], termMs: 0 };
    const reservedMs = LOAN_TERM_MS + this.#options.deadlineMsOf(service);
    const untilMs = this.#options.clock.nowMs() + reservedMs;
    const limit = Math.min(wanted, MAX_SLOTS_PER_LOAN);
    return {
      slots: router.lend(limit, untilMs).map(toLentSlot),
      termMs: LOAN_TERM_MS,
    };
  }

  override takeBack(slots: readonly LentSlot[]): void {
    const slotNames = slots.map(({ endpoint, slot }) => ({
      endpoint,
      index: slot,
    }));
    for (const router of this.#options.routers().values()) {
      router.takeBack(slotNames);
    }
  }

  /** Asks peers for slots of a service whose requests wait. */
  onShortage(service: string): void {
    if (this.#borrowing.has(service)) return;
    this.#borrowing.add(service);
    void this.#borrow(service).finally(() => this.#borrowing.delete(service));
  }

  /**
   * Ends expired loans and gives borrowed slots back. Must be called about every
   * 100 ms.
   */
  endExpiredLoans(): void {
    for (const router of this.#options.routers().values()) {
      const byLender = new Map<string, LentSlot[]>();
      for (const name of router.settleLoans()) {
        const key = `${name.endpoint}#${name.index}`;
        const lender = this.#lenderOfSlot.get(key);
        this.#lenderOfSlot.delete(key);
        if (lender === undefined) continue;
        const slots = byLender.get(lender) ?? [];
        slots.push(toLentSlot(name));
        byLender.set(lender, slots);
      }
      for (const [lender, slots] of byLender) this.#giveBack(lender, slots);
    }
  }

  #giveBack(lender: string, slots: LentSlot[]): void {
    const links = this.#options.lenders();
    const link = links.find(({ address }) => address === lender);
    void link?.giveBack({ instance: this.#options.instance(), slots });
  }

  async #borrow(service: string): Promise<void> {
    const { clock, routers, instance } = this.#options;
    const links = this.#options.lenders();
    for (let tries = 0; tries < links.length; tries += 1) {
      const router = routers().get(service);
      if (router === undefined || router.waiting === 0) return;
      this.#lastLenderIndex = (this.#lastLenderIndex + 1) % links.length;
      const link = links[this.#lastLenderIndex];
      if (link === undefined) return;
      const wanted = Math.min(router.waiting, MAX_SLOTS_PER_LOAN);
      const sentMs = clock.nowMs();
      const reply = await link.borrow({
        instance: instance(),
        service,
        wanted,
      });
      if (reply.err || reply.val.slots.length === 0) continue;
      for (const { endpoint, slot } of reply.val.slots) {
        this.#lenderOfSlot.set(`${endpoint}#${slot}`, link.address);
      }
      const slotNames = reply.val.slots.map(({ endpoint, slot }) => ({
        endpoint,
        index: slot,
      }));
      // The term counts from before the request, so it ends here no later than
      // at the lender, which starts counting when the request arrives.
      router.borrow(slotNames, sentMs + reply.val.termMs);
    }
    await clock.sleep(BORROW_PAUSE_MS);
  }
}

function toLentSlot(name: {
  readonly endpoint: string;
  readonly index: number;
}): LentSlot {
  return { endpoint: name.endpoint, slot: name.index };
}
