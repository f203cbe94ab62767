import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "@laburnumtrack/core/clock";
import { AttemptOutcome, type Endpoint } from "./endpoint";
import { chooseEndpoint } from "./endpoint_choice";
import { EndpointRecord } from "./endpoint_record";
import { RetryBudget } from "./retry_budget";
import { ServiceRouter } from "./service_router";

function createEndpoint(name: string, failureDomain = "near"): Endpoint {
  const address = `10.0.0.1:${name.length}`;
  return { id: name, address, failureDomain, slots: 2, connections: 8 };
}

const CONTEXT = {
  nowMs: 1000,
  meanLatencyMs: 10,
  failureDomain: "near",
  waitedMs: 0,
};

interface History {
  readonly name: string;
  readonly domain?: string;
  readonly outcomes: readonly (readonly [AttemptOutcome, number])[];
}

const CASES: readonly {
  readonly name: string;
  readonly histories: readonly History[];
  readonly waitedMs?: number;
  readonly chosen: string | undefined;
}[] = [
  {
    name: "the one with the lower latency",
    histories: [
      { name: "a", outcomes: [[AttemptOutcome.Answered, 12]] },
      { name: "b", outcomes: [[AttemptOutcome.Answered, 9]] },
    ],
    chosen: "b",
  },
  {
    name: "the one in the same failure domain while no latency is known",
    histories: [
      { name: "a", domain: "far", outcomes: [] },
      { name: "b", outcomes: [] },
    ],
    chosen: "b",
  },
  {
    name: "the one in another failure domain when its latency is lower",
    histories: [
      { name: "a", domain: "far", outcomes: [[AttemptOutcome.Answered, 14]] },
      { name: "b", outcomes: [[AttemptOutcome.Answered, 25]] },
    ],
    chosen: "a",
  },
  {
    name: "none while the only free one is slow and the request has not waited",
    histories: [{ name: "a", outcomes: [[AttemptOutcome.Answered, 500]] }],
    chosen: undefined,
  },
  {
    name: "the slow one once the request has waited as long as it would cost",
    histories: [{ name: "a", outcomes: [[AttemptOutcome.Answered, 500]] }],
    waitedMs: 600,
    chosen: "a",
  },
  {
    name: "none that has failed three times in a row",
    histories: [
      {
        name: "a",
        outcomes: [
          [AttemptOutcome.Lost, 1],
          [AttemptOutcome.Failed, 1],
          [AttemptOutcome.Lost, 1],
        ],
      },
    ],
    waitedMs: 10_000,
    chosen: undefined,
  },
  {
    name: "one whose attempts were only cancelled",
    histories: [
      {
        name: "a",
        outcomes: [
          [AttemptOutcome.Cancelled, 1],
          [AttemptOutcome.Cancelled, 1],
          [AttemptOutcome.Cancelled, 1],
        ],
      },
    ],
    chosen: "a",
  },
];

for (const { name, histories, waitedMs = 0, chosen } of CASES) {
  test(`endpoint choice: ${name}`, () => {
    const records = histories.map(({ name: id, domain, outcomes }) => {
      const record = new EndpointRecord(createEndpoint(id, domain));
      for (const [outcome, latencyMs] of outcomes) {
        record.onOutcome(outcome, latencyMs, CONTEXT.nowMs);
      }
      return record;
    });
    const choice = chooseEndpoint(records, { ...CONTEXT, waitedMs });
    assert.equal(choice?.endpoint.id, chosen);
  });
}

test("endpoint record: ejected, probed by one request, restored by an answer", () => {
  const record = new EndpointRecord(createEndpoint("a"));
  for (let at = 0; at < 3; at += 1) record.onOutcome(AttemptOutcome.Lost, 1, 0);
  assert.ok(record.isEjected(400));
  assert.ok(!record.isEjected(600), "a probe is allowed");
  record.onSent(600);
  assert.ok(record.isEjected(600), "only one probe at a time");
  record.onOutcome(AttemptOutcome.Answered, 5, 700);
  assert.ok(!record.isEjected(700));
});

test("retry budget: a share of first attempts, and a small burst", () => {
  const budget = new RetryBudget(0.1);
  let taken = 0;
  for (let at = 0; at < 1000; at += 1) {
    budget.onFirstAttempt();
    if (budget.tryTake()) taken += 1;
  }
  assert.ok(taken >= 100 && taken <= 111);
});

test("service router: a gateway never sends more requests than it has slots", async () => {
  const router = new ServiceRouter({
    clock: new SystemClock(),
    self: () => ({ instance: "g", failureDomain: "near" }),
    queueLimit: 100,
    retryShare: 0.1,
    hedgePercentile: () => 95,
    onShortage: () => {},
  });
  router.setEndpoints([createEndpoint("a"), createEndpoint("bb")]);
  const deadlineMs = new SystemClock().nowMs() + 5000;
  const used = new Map<string, number>();
  await Promise.all(
    Array.from({ length: 50 }, async () => {
      const grant = (await router.acquire({ deadlineMs })).unwrap();
      const { id } = grant.endpoint;
      used.set(id, (used.get(id) ?? 0) + 1);
      assert.ok((used.get(id) ?? 0) <= 2);
      await new Promise((resolve) => setTimeout(resolve, 2));
      used.set(id, (used.get(id) ?? 0) - 1);
      router.finish(grant, AttemptOutcome.Answered);
    }),
  );
  assert.equal(router.waiting, 0);
});
