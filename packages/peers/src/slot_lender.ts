import type { BorrowReply, LentSlot } from "./gen/peer";

/** Lends slots of this process to its peers. */
export abstract class SlotLender {
  /** Lends up to `wanted` slots of a service's endpoints. */
  abstract lend(service: string, wanted: number): BorrowReply;
  /** Takes back slots that a peer returns before their term ends. */
  abstract takeBack(slots: readonly LentSlot[]): void;
}
