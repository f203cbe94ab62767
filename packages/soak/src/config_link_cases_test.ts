import assert from "node:assert/strict";
import { test } from "node:test";
import { QueueConfigWatcher } from "@laburnumtrack/config/queue_config_watcher";
import { SystemClock } from "@laburnumtrack/core/clock";
import { JsonClient } from "@laburnumtrack/http_ports/json_client";
import { PlatformQueues } from "@laburnumtrack/platform/platform_queues";
import { serveTable } from "@laburnumtrack/platform/platform_standin_server";
import { PlatformTable } from "@laburnumtrack/platform/platform_table";
import { listenHttp } from "@laburnumtrack/process/http_listener";
import { createJournal } from "@laburnumtrack/process/journal";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { LinkFault, LoopbackProxy } from "./loopback_proxy";

/** A version must be in use this long after it was stored, in ms. */
const APPLY_LIMIT_MS = 3000;
/** Time limit of the table client and its connections, as in the entry. */
const TABLE_TIMEOUT_MS = 1000;
const TABLE_CONNECTIONS = 16;
const POLL_INTERVAL_MS = 20;
/** A version of this size takes 0.45 s on the link, encoded. */
const VERSION_BYTES = 42_000;

/** A version of this size takes 1.5 s on the link, encoded. */
const LARGE_VERSION_BYTES = 140_000;

interface World {
  readonly link: LoopbackProxy;
  readonly table: FeedTableStandin;
  /** Stores the next version; `bytes` is the size of its text. */
  readonly store: (bytes?: number) => Promise<void>;
  readonly pause: (ms: number) => Promise<void>;
}

const CASES: readonly {
  readonly name: string;
  /** Size of the first version's text; `VERSION_BYTES` by default. */
  readonly firstBytes?: number;
  /** After it, the newest version must be in use within the limit. */
  readonly act: (world: World) => Promise<void>;
}[] = [
  {
    name: "the first version takes longer on the link than the table may be silent",
    firstBytes: LARGE_VERSION_BYTES,
    act: async () => {},
  },
  {
    name: "three versions are stored while the link resets connections",
    act: (world) => storeDuring(world, LinkFault.Reset),
  },
  {
    name: "three versions are stored while the link is silent",
    act: (world) => storeDuring(world, LinkFault.Silent),
  },
  {
    name: "versions are stored faster than the link passes them",
    act: async ({ store, pause }) => {
      for (let count = 0; count < 25; count += 1) {
        await store();
        await pause(80);
      }
    },
  },
  {
    name: "a version takes longer on the link than the table may be silent",
    act: ({ store }) => store(LARGE_VERSION_BYTES),
  },
  {
    name: "the change history is dropped while the link resets connections",
    act: async (world) => {
      await storeDuring(world, LinkFault.Reset);
      world.table.dropHistory();
    },
  },
];

for (const { name, firstBytes, act } of CASES) {
  // Guards against reads that cannot end within their time limit and are
  // repeated until the table drops its history, while an old version is in use.
  test(`configuration on a narrow link: ${name}`, async (t) => {
    const clock = new SystemClock();
    const table = new FeedTableStandin(clock);
    const server = await listenHttp("127.0.0.1:0", (request, response) => {
      void serveTable(table, request, response);
    });
    const link = await LoopbackProxy.open(server.address);
    link.isNarrow = true;
    const client = new JsonClient({
      timeoutMs: TABLE_TIMEOUT_MS,
      connections: TABLE_CONNECTIONS,
      name: "test",
    });
    const watcher = new QueueConfigWatcher({
      clock,
      table: new PlatformTable(
        { calls: client, reads: client },
        `http://${link.address}`,
      ),
      journal: createJournal("test", "fatal"),
      source: new PlatformQueues(),
    });
    const over = new AbortController();
    t.after(async () => {
      over.abort();
      link.close();
      await client.close();
      server.server.closeAllConnections();
      await server.close();
    });
    let version = 0;
    const store = async (bytes = VERSION_BYTES) => {
      version += 1;
      const value = createConfigText(version, bytes);
      const writes = [{ key: "op/config", value }];
      assert.ok((await table.commit({ checks: [], writes })).ok);
    };
    const awaitNewest = async () => {
      const deadlineMs = clock.nowMs() + APPLY_LIMIT_MS;
      while (watcher.current.version < version && clock.nowMs() < deadlineMs) {
        await clock.sleep(POLL_INTERVAL_MS);
      }
      assert.equal(watcher.current.version, version);
    };
    void watcher.run(over.signal);
    await store(firstBytes);
    await awaitNewest();
    await act({ link, table, store, pause: (ms) => clock.sleep(ms) });
    await awaitNewest();
  });
}

async function storeDuring(world: World, fault: LinkFault): Promise<void> {
  const { link, store, pause } = world;
  link.injectFault(fault);
  for (let count = 0; count < 3; count += 1) {
    await store();
    await pause(700);
  }
  if (fault === LinkFault.Silent) link.injectFault(LinkFault.Reset);
  link.injectFault(LinkFault.None);
}

/** Text of a configuration, filled up with unused routes. */
function createConfigText(version: number, bytes: number): string {
  const route = { host: "h.example", service: "pool", kind: "unsafe" };
  const size = JSON.stringify(route).length + 50;
  const routes = Array.from(
    { length: Math.ceil(bytes / size) },
    (_, index) => ({
      ...route,
      name: `route-${index}`,
      pathPrefix: `/route${index}/`,
    }),
  );
  return JSON.stringify({ version, routes, services: [{ name: "pool" }] });
}
