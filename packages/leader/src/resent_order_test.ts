import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { OrderLatency } from "./order_latency";
import { type ResentReply, sendWithResends } from "./resent_order";

/** What becomes of one try: when it settles and with what. */
type Try = readonly [afterMs: number, result: Result<string, Fault>];

interface ResendCase {
  readonly name: string;
  readonly resendDelayMs?: number;
  readonly tries: readonly Try[];
  readonly reply: ResentReply<string>;
  /** Monotonic ms at which the reply is known. */
  readonly atMs: number;
  readonly sentMs: readonly number[];
}

const TIMED_OUT = Err(new Fault(FaultCode.OutcomeUnknown, "w"));
const NOT_SENT = Err(new Fault(FaultCode.WorkerUnreachable, "w"));
const FENCED = Err(new Fault(FaultCode.Fenced, "w"));
const MAX_TRIES = 3;

const CASES: readonly ResendCase[] = [
  {
    name: "an answer in time is not followed by another try",
    resendDelayMs: 100,
    tries: [[20, Ok("a")]],
    reply: { value: "a", isFenced: false, isUncertain: false },
    atMs: 20,
    sentMs: [0],
  },
  {
    name: "a lost answer delayed an urgent start by a whole time-out",
    resendDelayMs: 100,
    tries: [
      [600, TIMED_OUT],
      [20, Ok("b")],
    ],
    reply: { value: "b", isFenced: false, isUncertain: true },
    atMs: 120,
    sentMs: [0, 100],
  },
  {
    name: "a late answer to the first try counts",
    resendDelayMs: 100,
    tries: [
      [110, Ok("a")],
      [50, Ok("b")],
    ],
    reply: { value: "a", isFenced: false, isUncertain: true },
    atMs: 110,
    sentMs: [0, 100],
  },
  {
    name: "without a resend delay only failed tries are repeated",
    tries: [
      [600, TIMED_OUT],
      [20, Ok("b")],
    ],
    reply: { value: "b", isFenced: false, isUncertain: true },
    atMs: 620,
    sentMs: [0, 600],
  },
  {
    name: "tries that were never sent leave nothing uncertain",
    tries: [
      [5, NOT_SENT],
      [5, NOT_SENT],
      [5, NOT_SENT],
    ],
    reply: { value: undefined, isFenced: false, isUncertain: false },
    atMs: 15,
    sentMs: [0, 5, 10],
  },
  {
    name: "no more than the most tries are sent, and all are waited for",
    resendDelayMs: 100,
    tries: [
      [600, TIMED_OUT],
      [600, TIMED_OUT],
      [600, TIMED_OUT],
    ],
    reply: { value: undefined, isFenced: false, isUncertain: true },
    atMs: 800,
    sentMs: [0, 100, 200],
  },
  {
    name: "a newer leader ends all tries",
    resendDelayMs: 100,
    tries: [
      [600, TIMED_OUT],
      [20, FENCED],
    ],
    reply: { value: undefined, isFenced: true, isUncertain: false },
    atMs: 120,
    sentMs: [0, 100],
  },
];

for (const { name, resendDelayMs, tries, reply, atMs, sentMs } of CASES) {
  test(`resent order: ${name}`, async () => {
    const clock = new VirtualClock();
    const sent: number[] = [];
    let found: { reply: ResentReply<string>; atMs: number } | undefined;
    const waiting = sendWithResends<string>({
      clock,
      maxTries: MAX_TRIES,
      resendDelayMs,
      send: () => {
        const [afterMs, result] = tries[sent.length] ?? [0, NOT_SENT];
        sent.push(clock.nowMs());
        return clock.sleep(afterMs).then(() => result);
      },
      onFault: () => {},
    }).then((value) => {
      found = { reply: value, atMs: clock.nowMs() };
    });
    await clock.run(2000);
    await waiting;
    assert.deepEqual(found, { reply, atMs });
    assert.deepEqual(sent, sentMs);
  });
}

test("order latency: a slow fleet is not sent each order twice", () => {
  const latency = new OrderLatency(100);
  assert.equal(latency.resendDelayMs, undefined);
  for (let count = 0; count < 50; count += 1) {
    latency.record(count % 2 === 0 ? 150 : 250);
  }
  assert.ok((latency.resendDelayMs ?? 0) > 250);
});

test("order latency: nothing is sent again where the setting is 0", () => {
  const latency = new OrderLatency(0);
  latency.record(10);
  assert.equal(latency.resendDelayMs, undefined);
});
