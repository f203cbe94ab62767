import type { SlotId } from "./slot_shares";

/** State of a slot that this gateway owns or has borrowed. */
enum SlotState {
  Free = 0,
  /** A request of this gateway uses it. */
  Busy = 1,
  /** A peer may use it until the loan ends. */
  Lent = 2,
}

/** A slot that this gateway may use, either owned or borrowed. */
export interface Slot extends SlotId {
  readonly isBorrowed: boolean;
}

interface LedgerSlot extends Slot {
  state: SlotState;
  /** End of the loan, monotonic ms; 0 for a slot that was never on loan. */
  loanEndMs: number;
  /** False when it is borrowed, or was reassigned while busy or lent. */
  isOwned: boolean;
}

/**
 * Tracks the slots that this gateway may use. At any time a slot is free, used
 * by one request, or lent to one peer.
 */
export class SlotLedger {
  readonly #slots = new Map<string, LedgerSlot>();
  /** Free slots by endpoint id. */
  readonly #free = new Map<string, LedgerSlot[]>();

  /**
   * Replaces the owned slots. One that is no longer owned but is busy or lent
   * is dropped when it becomes free.
   */
  setOwned(names: readonly SlotId[]): void {
    const owned = new Set(names.map(keyOf));
    for (const [key, slot] of this.#slots) {
      if (slot.isBorrowed) continue;
      slot.isOwned = owned.has(key);
      if (!slot.isOwned && slot.state === SlotState.Free) this.#drop(slot);
    }
    for (const name of names) {
      const current = this.#slots.get(keyOf(name));
      if (current === undefined || current.isBorrowed) {
        if (current?.state === SlotState.Busy) {
          // A borrowed slot in use is now owned: replace it instead of adding a
          // second slot of the same id.
          this.#slots.set(keyOf(name), {
            ...current,
            isBorrowed: false,
            isOwned: true,
          });
          continue;
        }
        if (current !== undefined) this.#drop(current);
        this.#add({ ...name, isBorrowed: false }, 0);
      }
    }
  }

  /** Ids of the endpoints that have a free slot. */
  freeEndpoints(): string[] {
    const ids: string[] = [];
    for (const [id, slots] of this.#free) if (slots.length > 0) ids.push(id);
    return ids;
  }

  /** Takes a free slot of an endpoint for a request. */
  take(endpoint: string): Slot | undefined {
    const slot = this.#free.get(endpoint)?.pop();
    if (slot !== undefined) slot.state = SlotState.Busy;
    return slot;
  }

  /** Frees a slot after its request; ignores a slot that is not busy. */
  release(slot: SlotId): void {
    const entry = this.#slots.get(keyOf(slot));
    if (entry === undefined || entry.state !== SlotState.Busy) return;
    this.#setFree(entry);
  }

  /** Lends up to `wanted` free owned slots but keeps `reserve` of them. */
  lend(wanted: number, reserve: number, untilMs: number): SlotId[] {
    const lent: SlotId[] = [];
    let lendable = this.#countFreeOwned() - reserve;
    for (const slots of this.#free.values()) {
      for (const slot of [...slots]) {
        if (lent.length >= wanted || lendable <= 0) return lent;
        if (slot.isBorrowed) continue;
        slots.splice(slots.indexOf(slot), 1);
        slot.state = SlotState.Lent;
        slot.loanEndMs = untilMs;
        lendable -= 1;
        lent.push({ endpoint: slot.endpoint, index: slot.index });
      }
    }
    return lent;
  }

  /** Frees lent slots that a peer returns. */
  takeBack(names: readonly SlotId[]): void {
    for (const name of names) {
      const slot = this.#slots.get(keyOf(name));
      if (slot?.state === SlotState.Lent) this.#setFree(slot);
    }
  }

  /** Frees lent slots whose loan has ended. */
  reclaimLent(nowMs: number): void {
    for (const slot of this.#slots.values()) {
      if (slot.state !== SlotState.Lent || slot.loanEndMs > nowMs) continue;
      this.#setFree(slot);
    }
  }

  /** Adds slots that a peer lends until `untilMs`; skips known ones. */
  addBorrowed(names: readonly SlotId[], untilMs: number): void {
    for (const name of names) {
      if (this.#slots.has(keyOf(name))) continue;
      this.#add({ ...name, isBorrowed: true }, untilMs);
    }
  }

  /** Removes and returns the free borrowed slots whose loan has ended. */
  dropExpiredBorrowed(nowMs: number): SlotId[] {
    const dropped: SlotId[] = [];
    for (const slot of this.#slots.values()) {
      if (!slot.isBorrowed || slot.loanEndMs > nowMs) continue;
      if (slot.state !== SlotState.Free) continue;
      this.#drop(slot);
      dropped.push({ endpoint: slot.endpoint, index: slot.index });
    }
    return dropped;
  }

  /** Number of slots by state; borrowed ones are also counted by state. */
  count(): {
    readonly free: number;
    readonly busy: number;
    readonly lent: number;
    readonly borrowed: number;
  } {
    let [free, busy, lent, borrowed] = [0, 0, 0, 0];
    for (const slot of this.#slots.values()) {
      if (slot.state === SlotState.Free) free += 1;
      else if (slot.state === SlotState.Busy) busy += 1;
      else lent += 1;
      if (slot.isBorrowed) borrowed += 1;
    }
    return { free, busy, lent, borrowed };
  }

  #countFreeOwned(): number {
    let count = 0;
    for (const slots of this.#free.values()) {
      for (const slot of slots) if (!slot.isBorrowed) count += 1;
    }
    return count;
  }

  #add(slot: Slot, untilMs: number): void {
    const entry: LedgerSlot = {
      ...slot,
      state: SlotState.Free,
      loanEndMs: untilMs,
      isOwned: !slot.isBorrowed,
    };
    this.#slots.set(keyOf(slot), entry);
    this.#setFree(entry);
  }

  #setFree(slot: LedgerSlot): void {
    slot.state = SlotState.Free;
    if (!slot.isBorrowed && !slot.isOwned) {
      this.#slots.delete(keyOf(slot));
      return;
    }
    const slots = this.#free.get(slot.endpoint) ?? [];
    slots.push(slot);
    this.#free.set(slot.endpoint, slots);
  }

  #drop(slot: LedgerSlot): void {
    this.#slots.delete(keyOf(slot));
    const slots = this.#free.get(slot.endpoint) ?? [];
    const index = slots.indexOf(slot);
    if (index >= 0) slots.splice(index, 1);
    if (slots.length === 0) this.#free.delete(slot.endpoint);
  }
}

function keyOf({ endpoint, index }: SlotId): string {
  return `${endpoint}#${index}`;
}
