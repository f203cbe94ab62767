import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import fc from "fast-check";
import { type Slot, SlotLedger } from "./slot_ledger";
import type { SlotId } from "./slot_shares";

const LOAN_MS = 100;
const MAX_REQUEST_MS = 50;
const ALL_SLOTS: readonly SlotId[] = Array.from({ length: 12 }, (_, index) => ({
  endpoint: `e${index % 3}`,
  index: Math.floor(index / 3),
}));

interface Running {
  readonly slot: Slot;
  readonly endMs: number;
}

/**
 * Simulates two gateways that own half of the slots each and lend to each
 * other, and checks after each step that no slot serves two requests at a
 * time. Returns the largest number of slots in use at once.
 */
function simulateLending(seed: number): number {
  const dice = new SeededRandom(seed);
  const ledgers = [new SlotLedger(), new SlotLedger()] as const;
  ledgers[0].setOwned(ALL_SLOTS.slice(0, 6));
  ledgers[1].setOwned(ALL_SLOTS.slice(6));
  const running: Running[][] = [[], []];
  let peakUsed = 0;
  for (let nowMs = 0; nowMs < 3000; nowMs += dice.between(1, 20)) {
    const ownIndex = dice.between(0, 1);
    const own = ledgers[ownIndex === 0 ? 0 : 1];
    const peer = ledgers[ownIndex === 0 ? 1 : 0];
    for (const [owner, requests] of running.entries()) {
      for (const request of [...requests]) {
        if (request.endMs > nowMs) continue;
        requests.splice(requests.indexOf(request), 1);
        ledgers[owner === 0 ? 0 : 1].release(request.slot);
      }
    }
    own.reclaimLent(nowMs);
    peer.takeBack(own.dropExpiredBorrowed(nowMs));
    if (dice.chance(0.5)) {
      const untilMs = nowMs + LOAN_MS + MAX_REQUEST_MS;
      const lent = peer.lend(dice.between(1, 4), 1, untilMs);
      // The reply that carries the loan can be lost.
      if (dice.chance(0.8)) own.addBorrowed(lent, nowMs + LOAN_MS);
    }
    const [endpoint] = own.freeEndpoints();
    const slot = endpoint === undefined ? undefined : own.take(endpoint);
    if (slot !== undefined) {
      const endMs = nowMs + dice.between(1, MAX_REQUEST_MS);
      running[ownIndex]?.push({ slot, endMs });
    }
    const used = running
      .flat()
      .map((r) => `${r.slot.endpoint}#${r.slot.index}`);
    assert.equal(new Set(used).size, used.length);
    peakUsed = Math.max(peakUsed, used.length);
  }
  return peakUsed;
}

test("slot ledger: a slot serves one request at a time", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 100_000 }), (seed) => {
      assert.ok(simulateLending(seed) <= ALL_SLOTS.length);
    }),
    { seed: 1, numRuns: 60 },
  );
});

test("slot ledger: a slot reassigned while in use is dropped on release", () => {
  const ledger = new SlotLedger();
  ledger.setOwned([{ endpoint: "e", index: 0 }]);
  const slot = ledger.take("e");
  assert.ok(slot !== undefined);
  ledger.setOwned([]);
  assert.equal(ledger.count().busy, 1);
  ledger.release(slot);
  assert.deepEqual(ledger.freeEndpoints(), []);
  assert.equal(ledger.count().free, 0);
});

test("slot ledger: the reserve is not lent", () => {
  const ledger = new SlotLedger();
  ledger.setOwned(ALL_SLOTS.slice(0, 5));
  assert.equal(ledger.lend(10, 2, 1000).length, 3);
  assert.equal(ledger.lend(10, 2, 1000).length, 0);
});
