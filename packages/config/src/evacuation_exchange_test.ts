import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { DomainEvacuations } from "@laburnumtrack/evacuation/domain_evacuations";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { QueueSource } from "@laburnumtrack/jobs/worker_registry";
import { createJournal } from "@laburnumtrack/process/journal";
import {
  FeedTableStandin,
  TableFault,
} from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { ConfigExchange } from "./config_exchange";
import {
  type ConfigMessage,
  encodeConfigMessage,
  parseConfigMessage,
} from "./config_message";
import { ConfigOffer } from "./config_offer";
import { ConfigPeer } from "./config_peer";
import { QueueConfigWatcher } from "./queue_config_watcher";

interface World {
  readonly table: FeedTableStandin;
  /** Members that answer no other. */
  readonly isolated: Set<string>;
  /** Writes or removes the request for a domain. */
  readonly request: (domain: string, isRequested?: boolean) => Promise<void>;
  readonly advance: (ms: number) => Promise<void>;
}

/** A request must be known after this time, in ms. */
const LEARN_LIMIT_MS = 1500;
const LIMIT_MS = 5000;
const ASK_AGE_MS = 1200;
const MEMBERS = ["a", "b", "c"];

const CASES: readonly {
  readonly name: string;
  readonly act: (world: World) => Promise<void>;
  /** Domains that the member `a` knows as evacuated in the end. */
  readonly domains: readonly string[];
  /** Whether it knows of no newer state to be possible for the time limit. */
  readonly isCurrent: boolean;
}[] = [
  {
    name: "requests are read from the table",
    act: ({ request }) => request("x"),
    domains: ["x"],
    isCurrent: true,
  },
  {
    name: "a member that the table refuses learns of a request from another",
    act: async ({ table, request, advance }) => {
      table.refused.add("a");
      await advance(5000);
      await request("x");
    },
    domains: ["x"],
    isCurrent: true,
  },
  {
    name: "it learns from another that an evacuation is lifted",
    act: async ({ table, request, advance }) => {
      await request("x");
      await request("y");
      await advance(1000);
      table.refused.add("a");
      await advance(5000);
      await request("x", false);
    },
    domains: ["y"],
    isCurrent: true,
  },
  {
    name: "what is known stays in force while nobody can confirm it",
    act: async ({ table, request, advance }) => {
      await request("x");
      await advance(1000);
      table.fault = TableFault.Down;
      await advance(8000);
    },
    domains: ["x"],
    isCurrent: false,
  },
  {
    name: "a member with an older state reverts nothing",
    act: async ({ table, isolated, request, advance }) => {
      table.refused.add("b");
      isolated.add("b");
      await request("x");
      await advance(1000);
      isolated.delete("b");
      isolated.add("c");
      table.refused.add("a");
      await advance(8000);
    },
    domains: ["x"],
    isCurrent: false,
  },
  {
    name: "a request that is lost with the table's history is read with all rows",
    act: async ({ table, request, advance }) => {
      table.refused.add("a").add("b").add("c");
      await advance(1000);
      await request("x");
      table.dropHistory();
      table.refused.clear();
      await advance(1000);
    },
    domains: ["x"],
    isCurrent: true,
  },
  {
    name: "a removal that is lost with the table's history is noticed",
    act: async ({ table, request, advance }) => {
      await request("x");
      await advance(1000);
      table.refused.add("a").add("b").add("c");
      await advance(1000);
      await request("x", false);
      table.dropHistory();
      table.refused.clear();
      await advance(1000);
    },
    domains: [],
    isCurrent: true,
  },
];

for (const { name, act, domains, isCurrent } of CASES) {
  // Guards against a leader that the table refuses and that goes on starting
  // tasks in a domain whose evacuation the other entries know of.
  test(`evacuation exchange: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const journal = createJournal("test", "fatal");
    const over = new AbortController();
    const isolated = new Set<string>();
    const watchers = new Map<string, QueueConfigWatcher>();
    const running: Promise<void>[] = [];
    const advance = (ms: number) => clock.run(clock.nowMs() + ms);
    const write = async (key: string, value: string | null) => {
      const done = table.commit({ checks: [], writes: [{ key, value }] });
      await advance(20);
      assert.ok((await done).ok);
    };
    for (const member of MEMBERS) {
      const watcher = new QueueConfigWatcher({
        clock,
        table: table.viewOf(member),
        journal,
        source: new SourceStandin(),
        evacuations: new DomainEvacuations({
          clock,
          journal,
          limitMs: LIMIT_MS,
        }),
      });
      watchers.set(member, watcher);
      const exchange = new ConfigExchange({
        clock,
        journal,
        watcher,
        peer: new PeerStandin(watchers, { member, isolated }),
        addresses: () => MEMBERS.filter((other) => other !== member),
        random: () => (0.618 * clock.nowMs()) % 1,
        askAgeMs: ASK_AGE_MS,
      });
      running.push(watcher.run(over.signal), exchange.run(over.signal));
    }
    await write("op/config", "1");
    await advance(1500);
    const request = (domain: string, isRequested = true) =>
      write(`op/evacuate/${domain}`, isRequested ? "{}" : null);
    await act({ table, isolated, request, advance });
    await advance(LEARN_LIMIT_MS);
    const evacuations = watchers.get("a")?.evacuations;
    assert.ok(evacuations);
    assert.deepEqual(
      evacuations.list().map(({ domain }) => domain),
      domains,
    );
    assert.equal(evacuations.ageMs <= LIMIT_MS, isCurrent);
    over.abort();
    await advance(5000);
    await Promise.all(running);
  });
}

const UNREADABLE: readonly unknown[] = [
  null,
  7,
  {},
  { revision: "1", requests: [] },
  { revision: -1, requests: [] },
  { revision: 1 },
  { revision: 1, requests: {} },
  { revision: 1, requests: [null] },
  { revision: 1, requests: [["x"]] },
  { revision: 1, requests: [[7, 1]] },
  { revision: 1, requests: [["x", "1"]] },
  { revision: 1, ageMs: -1, requests: [] },
  { revision: 1, ageMs: "1", requests: [] },
];

for (const evacuations of UNREADABLE) {
  // Guards against a process whose answer ends others, or keeps them from a
  // configuration that is readable.
  test(`evacuation exchange: unreadable: ${JSON.stringify(evacuations)}`, () => {
    const body = JSON.stringify({ version: 1, ageMs: 5, evacuations });
    const message = parseConfigMessage(body).unwrap();
    assert.equal(message.version, 1);
    assert.equal(message.evacuations, undefined);
  });
}

// Guards against evacuations that get lost on the way to another process.
test("evacuation exchange: a message tells all evacuations with their revisions", () => {
  const evacuations = {
    revision: 9,
    ageMs: 12,
    requests: [{ domain: "x", revision: 4 }],
  };
  const base = { version: 1, ageMs: 5, gzip: undefined };
  const body = encodeConfigMessage({ ...base, evacuations });
  const message = parseConfigMessage(body).unwrap();
  assert.deepEqual(message.evacuations, evacuations);
  const ageMs = Number.POSITIVE_INFINITY;
  const unsure = encodeConfigMessage({
    ...base,
    evacuations: { ...evacuations, ageMs },
  });
  const read = parseConfigMessage(unsure).unwrap().evacuations;
  assert.equal(read?.ageMs, undefined);
});

/** Other members, each of which answers as it does over HTTP. */
class PeerStandin extends ConfigPeer {
  readonly #watchers: ReadonlyMap<string, QueueConfigWatcher>;
  readonly #options: { member: string; isolated: ReadonlySet<string> };

  constructor(
    watchers: ReadonlyMap<string, QueueConfigWatcher>,
    options: { member: string; isolated: ReadonlySet<string> },
  ) {
    super();
    this.#watchers = watchers;
    this.#options = options;
  }

  override ask(
    address: string,
    aboveVersion: number,
  ): Promise<Result<ConfigMessage, Fault>> {
    const { member, isolated } = this.#options;
    const watcher = this.#watchers.get(address);
    const isCut = isolated.has(address) || isolated.has(member);
    if (watcher === undefined || isCut) {
      return Promise.resolve(Err(new Fault(FaultCode.PeerUnreachable)));
    }
    const body = new ConfigOffer(watcher).answer(aboveVersion);
    return Promise.resolve(parseConfigMessage(body));
  }
}

class SourceStandin extends QueueSource {
  override readonly prefix = "op/";
  override readonly key = "op/config";

  override decode(value: string): Result<QueueConfig, Fault> {
    return Ok({ version: Number(value), queues: [], pools: [] });
  }

  override evacuatedDomainOf(key: string): string | undefined {
    const [, kind, domain] = key.split("/");
    return kind === "evacuate" ? domain : undefined;
  }
}
