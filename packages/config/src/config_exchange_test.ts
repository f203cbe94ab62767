import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
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
import { type ConfigMessage, parseConfigMessage } from "./config_message";
import { ConfigOffer } from "./config_offer";
import { ConfigPeer } from "./config_peer";
import { QueueConfigWatcher } from "./queue_config_watcher";

/** A stored version must be in use after this time, in ms. */
const APPLY_LIMIT_MS = 2000;
const ASK_AGE_MS = 1200;
const MEMBERS = ["a", "b", "c"];

interface World {
  readonly table: FeedTableStandin;
  /** Members that answer no other. */
  readonly isolated: Set<string>;
  readonly watcherOf: (member: string) => QueueConfigWatcher;
  readonly store: (value: string) => Promise<void>;
  readonly advance: (ms: number) => Promise<void>;
}

const CASES: readonly {
  readonly name: string;
  readonly act: (world: World) => Promise<void>;
  /** Version in use at the member `a` in the end. */
  readonly version: number;
  /** Whether that member knows it to be the newest. */
  readonly isCurrent: boolean;
}[] = [
  {
    name: "while the table answers, a version is known to be the newest",
    act: ({ advance }) => advance(20_000),
    version: 1,
    isCurrent: true,
  },
  {
    name: "a member that the table refuses learns of a version from another",
    act: async ({ table, store, advance }) => {
      table.refused.add("a");
      await advance(5000);
      await store("2");
    },
    version: 2,
    isCurrent: true,
  },
  {
    name: "it learns of a version while another member is refused as well",
    act: async ({ table, store, advance }) => {
      table.refused.add("a").add("b");
      await advance(5000);
      await store("2");
    },
    version: 2,
    isCurrent: true,
  },
  {
    name: "two members that are both refused confirm nothing to each other",
    act: async ({ table, isolated, store, advance }) => {
      table.refused.add("a").add("b");
      isolated.add("c");
      await advance(5000);
      await store("2");
    },
    version: 1,
    isCurrent: false,
  },
  {
    name: "no member is said to be up to date while the table is down",
    act: async ({ table, advance }) => {
      table.fault = TableFault.Down;
      await advance(5000);
    },
    version: 1,
    isCurrent: false,
  },
  {
    name: "outdated reads of the table confirm nothing",
    act: async ({ table, isolated, store, advance }) => {
      table.saveStaleSnapshot();
      await store("2");
      await advance(100);
      isolated.add("b").add("c");
      table.fault = TableFault.Stale;
      await advance(5000);
    },
    version: 2,
    isCurrent: false,
  },
  {
    name: "an older version of another member does not come back",
    act: async ({ table, isolated, store, advance }) => {
      table.refused.add("b");
      isolated.add("b");
      await store("2");
      await advance(1000);
      isolated.delete("b");
      isolated.add("c");
      table.refused.add("a");
      await advance(5000);
    },
    version: 2,
    isCurrent: false,
  },
  {
    name: "a member that uses an older version confirms nothing",
    act: async ({ table, isolated, watcherOf, store, advance }) => {
      await store("2");
      await advance(1000);
      table.refused.add("a");
      isolated.add("b").add("c");
      await advance(3000);
      const confirmedMs = Number.MAX_SAFE_INTEGER;
      watcherOf("a").adopt({ version: 1, confirmedMs, text: undefined });
    },
    version: 2,
    isCurrent: false,
  },
  {
    name: "a version that cannot be decoded is not taken",
    act: async ({ table, store, advance }) => {
      table.refused.add("a");
      await store("?");
      await advance(5000);
    },
    version: 1,
    isCurrent: true,
  },
];

for (const { name, act, version, isCurrent } of CASES) {
  // Guards against an entry that keeps an old version for as long as the table
  // refuses it, and against one that believes it to be the newest.
  test(`config exchange: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const journal = createJournal("test", "fatal");
    const over = new AbortController();
    const isolated = new Set<string>();
    const watchers = new Map<string, QueueConfigWatcher>();
    const running: Promise<void>[] = [];
    const advance = (ms: number) => clock.run(clock.nowMs() + ms);
    const store = async (value: string) => {
      const writes = [{ key: "config/current", value }];
      const done = table.commit({ checks: [], writes });
      await advance(20);
      assert.ok((await done).ok);
    };
    const watcherOf = (member: string) => {
      const watcher = watchers.get(member);
      assert.ok(watcher !== undefined);
      return watcher;
    };
    for (const member of MEMBERS) {
      const watcher = new QueueConfigWatcher({
        clock,
        table: table.viewOf(member),
        journal,
        source: new SourceStandin(),
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
    await store("1");
    await advance(1500);
    await act({ table, isolated, watcherOf, store, advance });
    await advance(APPLY_LIMIT_MS);
    const watcher = watcherOf("a");
    assert.equal(watcher.current.version, version);
    assert.equal(watcher.ageMs <= APPLY_LIMIT_MS, isCurrent);
    over.abort();
    await advance(5000);
    await Promise.all(running);
  });
}

const MALFORMED = [
  "",
  "null",
  "7",
  "{}",
  '{"version":"1"}',
  '{"version":1,"ageMs":"2"}',
  '{"version":1,"ageMs":-1}',
  '{"version":1,"gzip":7}',
  '{"version":1,"gzip":"bm90IGd6aXA="}',
];

for (const body of MALFORMED) {
  // Guards against an answer of a broken process that ends others, or that makes
  // them take their configuration for the newest.
  test(`config message: malformed: ${body}`, () => {
    const message = parseConfigMessage(body);
    assert.equal(message.err && message.val.code, FaultCode.Malformed);
  });
}

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
  override readonly prefix = "config/";
  override readonly key = "config/current";

  override decode(value: string): Result<QueueConfig, Fault> {
    const version = Number(value);
    if (Number.isNaN(version)) {
      return Err(new Fault(FaultCode.Malformed, value));
    }
    return Ok({ version, queues: [], pools: [] });
  }
}
