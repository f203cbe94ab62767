import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createJob,
  createQueue,
  createStep,
} from "@laburnumtrack/jobs/test_samples";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { EntryAdmission, type StoredLoad } from "./entry_admission";
import { createDigest, createQueueLoad } from "./test_digests";

const ENTRIES = 40;
/** A job of 10 tasks of 1 s on a core: 10,000 milli-core-seconds. */
const JOB = createJob("00000000000000aa", [createStep({ count: 10 })]);
/** Work that the pool does in a second. */
const SECOND = 1_600_000;
/** Leaves room for work of 4 s: 16 jobs at each entry. */
const BUSY = createDigest({
  queues: [createQueueLoad({ backlogMilliS: 4 * SECOND })],
});
const FULL = createDigest({
  queues: [createQueueLoad({ backlogMilliS: 90 * SECOND })],
});

interface World {
  readonly clock: VirtualClock;
  /** Stores a load, read by the entry now. */
  readonly store: (load: unknown) => void;
  /** Number of accepted jobs of so many. */
  readonly submit: (count: number) => number;
  readonly admission: EntryAdmission;
}

const CASES: readonly {
  readonly name: string;
  readonly act: (world: World) => Promise<number>;
  readonly accepted: number;
}[] = [
  {
    name: "before the first read, jobs are accepted",
    act: async ({ submit }) => submit(50),
    accepted: 50,
  },
  {
    name: "a leader that stores no load: jobs are accepted",
    act: async ({ store, submit }) => {
      store(undefined);
      return submit(50);
    },
    accepted: 50,
  },
  {
    name: "an unreadable load: jobs are accepted",
    act: async ({ store, submit }) => {
      store({ pools: "?" });
      return submit(50);
    },
    accepted: 50,
  },
  {
    name: "each entry takes its share of the room",
    act: async ({ store, submit }) => {
      store(BUSY);
      return submit(50);
    },
    accepted: 16,
  },
  {
    name: "the next digest, which has the accepted jobs, gives the next share",
    act: async ({ clock, store, submit }) => {
      store(BUSY);
      const first = submit(50);
      await clock.run(1500);
      store({ ...BUSY });
      return first + submit(50);
    },
    accepted: 32,
  },
  {
    name: "a digest from just after the jobs may lack them",
    act: async ({ clock, store, submit }) => {
      store(BUSY);
      const first = submit(50);
      await clock.run(450);
      store({ ...BUSY });
      return first + submit(50);
    },
    accepted: 16,
  },
  {
    name: "jobs that were not stored give their room back",
    act: async ({ store, submit, admission }) => {
      store(BUSY);
      const queue = createQueue();
      for (let count = 0; count < 10; count += 1) {
        admission.decide(JOB, queue).giveBack();
      }
      return submit(50);
    },
    accepted: 16,
  },
  {
    name: "a full pool: none",
    act: async ({ store, submit }) => {
      store(FULL);
      return submit(50);
    },
    accepted: 0,
  },
  {
    name: "the load was stored with an age",
    act: async ({ store, submit }) => {
      store({ ...FULL, ageMs: 3100 });
      return submit(50);
    },
    accepted: 50,
  },
  {
    name: "no new load is read for 3 s: jobs are accepted",
    act: async ({ clock, store, submit }) => {
      store(FULL);
      await clock.run(3100);
      return submit(50);
    },
    accepted: 50,
  },
  {
    name: "a new leader that stores none yet: the last one counts for 3 s",
    act: async ({ clock, store, submit }) => {
      store(FULL);
      const early = submit(50);
      await clock.run(1000);
      store(undefined);
      const later = submit(50);
      await clock.run(3100);
      return early + later + submit(50);
    },
    accepted: 50,
  },
];

for (const { name, act, accepted } of CASES) {
  // Guards against entries that refuse by a digest that is lost, late or old, and
  // against entries that each take all of the room.
  test(`entry admission: ${name}`, async () => {
    const clock = new VirtualClock();
    let stored: StoredLoad | undefined;
    const admission = new EntryAdmission({
      clock,
      journal: createJournal("test", "fatal"),
      metrics: new Metrics(),
      stored: () => stored,
      countEntries: () => ENTRIES,
      limitBytes: 1e9,
      random: () => 0.99,
    });
    const submit = (count: number) => {
      let sum = 0;
      for (let index = 0; index < count; index += 1) {
        const { decision } = admission.decide(JOB, createQueue());
        sum += Number(decision.isAccepted);
      }
      return sum;
    };
    const store = (load: unknown) => {
      stored = { load, readMs: clock.nowMs() };
    };
    assert.equal(await act({ clock, store, submit, admission }), accepted);
  });
}
