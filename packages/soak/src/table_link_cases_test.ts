import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "@laburnumtrack/core/clock";
import { JsonClient } from "@laburnumtrack/http_ports/json_client";
import { serveTable } from "@laburnumtrack/platform/platform_standin_server";
import { PlatformTable } from "@laburnumtrack/platform/platform_table";
import { listenHttp } from "@laburnumtrack/process/http_listener";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { LoopbackProxy } from "./loopback_proxy";

const TABLE_TIMEOUT_MS = 1000;
/** A link of 10 Mbit/s. */
const LINK_BYTES_PER_S = 1_250_000;
/** Jobs that take 4 s on the link, spread over all partitions. */
const JOBS = 800;
const JOB_BYTES = 4600;
/** Time from the start of the reads to the other call, in ms. */
const HEAD_START_MS = 300;

const CASES: readonly {
  readonly name: string;
  readonly call: (table: PlatformTable) => Promise<{ readonly ok: boolean }>;
}[] = [
  {
    name: "a commit",
    call: (table) =>
      table.commit({ checks: [], writes: [{ key: "leader/x", value: "1" }] }),
  },
  { name: "the read of a row", call: (table) => table.get(["leader/x"]) },
  {
    name: "a read of changes",
    call: (table) => table.changes("op/", 0, { waitMs: 100 }),
  },
];

for (const { name, call } of CASES) {
  // Guards against a leader on a small link that takes over, cannot commit while
  // it reads all jobs, and is replaced by the next one before it has read them.
  test(`table on a narrow link: ${name} is answered while all jobs are read`, async (t) => {
    const standin = new FeedTableStandin(new SystemClock());
    const server = await listenHttp("127.0.0.1:0", (request, response) => {
      void serveTable(standin, request, response);
    });
    const link = await LoopbackProxy.open(server.address);
    link.isNarrow = true;
    link.narrowBytesPerS = LINK_BYTES_PER_S;
    const clients = createClients();
    const table = new PlatformTable(clients, `http://${link.address}`);
    t.after(async () => {
      link.close();
      for (const client of Object.values(clients)) await client.close();
      server.server.closeAllConnections();
      await server.close();
    });
    const writes = Array.from({ length: JOBS }, (_, index) => {
      const id = `${(index % 16).toString(16)}${index.toString(16)}`;
      return { key: `jobs/${id}`, value: "x".repeat(JOB_BYTES) };
    });
    assert.ok((await standin.commit({ checks: [], writes })).ok);
    const reading = table.snapshot("jobs/");
    await new Promise((resolve) => setTimeout(resolve, HEAD_START_MS));
    const answer = await call(table);
    assert.ok(answer.ok);
    const jobs = await reading;
    assert.equal(jobs.ok && jobs.val.rows.length, JOBS);
  });
}

function createClients() {
  const options = { timeoutMs: TABLE_TIMEOUT_MS, connections: 16, name: "t" };
  return {
    calls: new JsonClient(options),
    reads: new JsonClient(options),
  };
}
