import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Endpoint } from "./endpoint";
import {
  assignedSlots,
  type GatewayIdentity,
  SlotShareCache,
} from "./slot_shares";

function createEndpoints(count: number): Endpoint[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `e${index}@1`,
    address: `10.0.0.${index}:80`,
    failureDomain: `d${index % 3}`,
    slots: 8,
    connections: 60,
  }));
}

function createSharers(count: number): GatewayIdentity[] {
  return Array.from({ length: count }, (_, index) => ({
    instance: `g${index}`,
    failureDomain: `d${index % 3}`,
  }));
}

test("slot shares: every slot has one owner", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 30 }),
      fc.integer({ min: 1, max: 12 }),
      (endpointCount, sharerCount) => {
        const endpoints = createEndpoints(endpointCount);
        const sharers = createSharers(sharerCount);
        const owned = sharers.flatMap(({ instance }) =>
          assignedSlots(endpoints, sharers, instance),
        );
        const names = new Set(owned.map((s) => `${s.endpoint}#${s.index}`));
        assert.equal(owned.length, endpointCount * 8);
        assert.equal(names.size, endpointCount * 8);
      },
    ),
    { seed: 1, numRuns: 50 },
  );
});

const CASES = [
  { gateways: 3, min: 50, max: 110 },
  { gateways: 9, min: 10, max: 45 },
];

for (const { gateways, min, max } of CASES) {
  test(`slot shares: 240 slots over ${gateways} gateways`, () => {
    const endpoints = createEndpoints(30);
    const sharers = createSharers(gateways);
    for (const { instance, failureDomain } of sharers) {
      const slots = assignedSlots(endpoints, sharers, instance);
      assert.ok(slots.length >= min && slots.length <= max);
      const local = slots.filter(({ endpoint }) => {
        const index = Number(endpoint.slice(1, endpoint.indexOf("@")));
        return `d${index % 3}` === failureDomain;
      });
      assert.ok(
        local.length * 3 > slots.length,
        "more than a third is in the same failure domain",
      );
    }
  });
}

test("slot shares: cached shares equal newly computed ones", () => {
  const table = new SlotShareCache();
  for (const [endpointCount, sharerCount] of [
    [5, 3],
    [9, 3],
    [9, 4],
    [4, 4],
    [4, 2],
  ] as const) {
    const endpoints = createEndpoints(endpointCount);
    const sharers = createSharers(sharerCount);
    assert.deepEqual(
      table.assignedSlots(endpoints, sharers, "g1"),
      assignedSlots(endpoints, sharers, "g1"),
    );
  }
});
