import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock } from "@laburnumtrack/core/clock";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { LoadFleetStandin } from "@laburnumtrack/standins/load_fleet_standin";
import { RELAY_PREFIX, type RelayEntry } from "./relay_directory";
import { RelayPool } from "./relay_pool";
import { RelayServer } from "./relay_server";

const TERM = { epoch: 7, instance: "i7", workers: 200 };
const TARGET = { id: "w", address: "10.0.0.1:80" };
const LIMIT_MS = 3000;
const POLL_INTERVAL_MS = 20;

const ODD_ADDRESSES = [
  "127.0.0.1:99999",
  "127.0.0.1:0",
  "999.1.1.1:80",
  "....:80",
];

for (const address of ODD_ADDRESSES) {
  // Guards against one odd row that keeps the pool from using any relay, and
  // from closing the connections that it has opened.
  test(`relay pool: a row with the address ${address} does not stop the others`, async () => {
    const clock = new SystemClock();
    const journal = createJournal("test", "fatal");
    const table = new FeedTableStandin(clock);
    const server = new RelayServer({
      clock,
      journal,
      metrics: new Metrics(),
      port: new LoadFleetStandin(clock),
      leadership: () => TERM,
    });
    const good = await server.listen("127.0.0.1:0");
    const entries: RelayEntry[] = [
      { name: "a", address: good, failureDomain: "x", capacity: 2 },
      { name: "b", address, failureDomain: "y", capacity: 1 },
    ];
    await table.commit({
      checks: [],
      writes: entries.map((entry) => ({
        key: `${RELAY_PREFIX}${entry.name}`,
        value: JSON.stringify(entry),
      })),
    });
    const pool = new RelayPool({
      clock,
      table,
      journal,
      member: "self",
      term: () => TERM,
      minWorkers: 1,
    });
    const stop = new AbortController();
    const running = pool.run(stop.signal);
    const limitMs = clock.nowMs() + LIMIT_MS;
    let link = pool.linkFor(TARGET, TERM.epoch);
    while (link === undefined && clock.nowMs() < limitMs) {
      await sleep(POLL_INTERVAL_MS);
      link = pool.linkFor(TARGET, TERM.epoch);
    }
    stop.abort();
    await running;
    server.close();
    assert.equal(link?.name, "a");
    assert.equal(link.isClosed, true);
  });
}
