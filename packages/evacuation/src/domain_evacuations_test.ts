import assert from "node:assert/strict";
import { test } from "node:test";
import { createJournal } from "@laburnumtrack/process/journal";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { DomainEvacuations } from "./domain_evacuations";

interface Situation {
  readonly evacuations: DomainEvacuations;
  readonly clock: VirtualClock;
  /** What is known of the reader of the table. */
  readonly feed: { confirmedMs: number; revision: number };
}

const LIMIT_MS = 5000;

const CASES: readonly {
  readonly name: string;
  readonly act: (situation: Situation) => void;
  /** Domains that are evacuated in the end. */
  readonly domains: readonly string[];
}[] = [
  {
    name: "a request counts until its row is removed",
    act: ({ evacuations }) => {
      evacuations.onChange({ domain: "a", revision: 3 }, true);
      evacuations.onChange({ domain: "b", revision: 4 }, true);
      evacuations.onChange({ domain: "a", revision: 5 }, false);
    },
    domains: ["b"],
  },
  {
    name: "a snapshot without the row ends an evacuation",
    act: ({ evacuations }) => {
      evacuations.onChange({ domain: "a", revision: 3 }, true);
      evacuations.onSnapshot([], 7);
    },
    domains: [],
  },
  {
    name: "a snapshot that is older than a request does not end it",
    act: ({ evacuations }) => {
      evacuations.onSnapshot([{ domain: "a", revision: 8 }], 5);
      evacuations.onSnapshot([], 6);
    },
    domains: ["a"],
  },
  {
    name: "a change that a snapshot held already has no effect twice",
    act: ({ evacuations }) => {
      evacuations.onSnapshot([{ domain: "a", revision: 8 }], 5);
      evacuations.onChange({ domain: "a", revision: 6 }, false);
    },
    domains: ["a"],
  },
  {
    name: "request and removal in one burst leave nothing",
    act: ({ evacuations }) => {
      evacuations.onChange({ domain: "a", revision: 3 }, true);
      evacuations.onChange({ domain: "a", revision: 4 }, false);
    },
    domains: [],
  },
  {
    name: "removal and new request in one burst leave the request",
    act: ({ evacuations }) => {
      evacuations.onChange({ domain: "a", revision: 3 }, true);
      evacuations.onChange({ domain: "a", revision: 4 }, false);
      evacuations.onChange({ domain: "a", revision: 5 }, true);
    },
    domains: ["a"],
  },
  {
    name: "the newer state of another process is taken over",
    act: ({ evacuations, feed }) => {
      evacuations.onChange({ domain: "a", revision: 3 }, true);
      feed.revision = 3;
      const requests = [{ domain: "b", revision: 9 }];
      evacuations.adopt({ revision: 9, requests }, 0);
    },
    domains: ["b"],
  },
  {
    name: "an older state of another process is not",
    act: ({ evacuations, feed }) => {
      evacuations.onChange({ domain: "a", revision: 10 }, true);
      feed.revision = 10;
      evacuations.adopt({ revision: 9, requests: [] }, 0);
    },
    domains: ["a"],
  },
  {
    name: "changes and snapshots from before a state that was taken over are ignored",
    act: ({ evacuations, feed }) => {
      feed.revision = 3;
      const requests = [{ domain: "b", revision: 9 }];
      evacuations.adopt({ revision: 9, requests }, 0);
      evacuations.onChange({ domain: "a", revision: 5 }, true);
      evacuations.onChange({ domain: "b", revision: 6 }, false);
      evacuations.onSnapshot([{ domain: "a", revision: 5 }], 8);
    },
    domains: ["b"],
  },
  {
    name: "the table ends an evacuation that was taken over",
    act: ({ evacuations, feed }) => {
      feed.revision = 3;
      const requests = [{ domain: "b", revision: 9 }];
      evacuations.adopt({ revision: 9, requests }, 0);
      evacuations.onChange({ domain: "b", revision: 10 }, false);
    },
    domains: [],
  },
];

for (const { name, act, domains } of CASES) {
  // Guards against an older read that reverts an evacuation, or a lifted one
  // that comes back.
  test(`domain evacuations: ${name}`, () => {
    const situation = createSituation();
    act(situation);
    const { evacuations } = situation;
    const listed = evacuations.list().map(({ domain }) => domain);
    assert.deepEqual(listed, domains);
    for (const domain of domains) assert.ok(evacuations.isEvacuated(domain));
    assert.equal(evacuations.isEvacuated("other"), false);
  });
}

// Guards against starts that are sent by a state that nobody confirmed.
test("domain evacuations: the age counts from the newest confirmation", async () => {
  const { evacuations, clock, feed } = createSituation();
  assert.equal(evacuations.ageMs, Number.POSITIVE_INFINITY);
  await clock.run(10_000);
  feed.confirmedMs = 9000;
  feed.revision = 5;
  assert.equal(evacuations.ageMs, 1000);
  evacuations.adopt({ revision: 5, requests: [] }, 9400);
  assert.equal(evacuations.ageMs, 600);
  evacuations.adopt({ revision: 4, requests: [] }, 9900);
  assert.equal(evacuations.ageMs, 600, "an older state confirms nothing");
});

// Guards against a listener that stays after the end of a term.
test("domain evacuations: listeners hear of changes until they unsubscribe", () => {
  const { evacuations } = createSituation();
  let calls = 0;
  const unsubscribe = evacuations.subscribe(() => {
    calls += 1;
  });
  evacuations.onChange({ domain: "a", revision: 3 }, true);
  unsubscribe();
  evacuations.onChange({ domain: "a", revision: 4 }, false);
  assert.equal(calls, 1);
});

function createSituation(): Situation {
  const clock = new VirtualClock();
  const journal = createJournal("test", "fatal");
  const evacuations = new DomainEvacuations({
    clock,
    journal,
    limitMs: LIMIT_MS,
  });
  const feed = { confirmedMs: Number.NEGATIVE_INFINITY, revision: 0 };
  evacuations.follow(feed);
  return { evacuations, clock, feed };
}
