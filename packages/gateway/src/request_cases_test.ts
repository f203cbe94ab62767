import assert from "node:assert/strict";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { SystemClock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { RowCache } from "@laburnumtrack/core/row_cache";
import { chunkKey, createTask, TaskState } from "@laburnumtrack/core/rows";
import type { Table } from "@laburnumtrack/core/table";
import { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import {
  type Listener,
  listenHttp,
} from "@laburnumtrack/process/http_listener";
import { Metrics } from "@laburnumtrack/process/metrics";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { Err } from "ts-results";
import { Agent, request } from "undici";
import { Claims } from "./claims";
import { Dispatch } from "./dispatch";
import { EndpointDirectory } from "./endpoint_directory";
import { EndpointPool } from "./endpoint_pool";
import { LeavingVms } from "./leaving_vms";
import { RequestServer } from "./request_server";

const FILES = readFileSet([
  {
    file: "f.ini",
    text: `
[team t]
cpu_cores = 1
memory_mb = 1
[service s]
team = t
route = /s/
replicas = 4
cpu_cores = 1
memory_mb = 1
latency_target_ms = 100
deadline_ms = 2000
slots = 2
connections = 8
idempotent_paths = /s/search/
`,
  },
]).unwrap();

/** An endpoint with a given request listener; counts its requests. */
class FakeEndpoint {
  requests = 0;
  readonly #server: Server;

  constructor(answer: RequestListener) {
    this.#server = createServer((req, res) => {
      this.requests += 1;
      answer(req, res);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

/** One or more gateways with the same table. */
class GatewayHarness {
  readonly table = new MemoryTable();
  readonly #listeners: Listener[] = [];
  readonly #pools: EndpointPool[] = [];
  readonly #agent = new Agent({ connections: 8 });
  readonly directories: EndpointDirectory[] = [];
  queueLimit = 4;
  stallMs = 300;

  async addGateway(
    addresses: readonly string[],
    table: Table = this.table,
  ): Promise<string> {
    const clock = new SystemClock();
    const cache = new RowCache();
    const metrics = new Metrics();
    const pool = new EndpointPool({ connectMs: 300 });
    this.#pools.push(pool);
    const directory = new EndpointDirectory(FILES, {
      clock,
      table,
      cache,
      leavingVms: new LeavingVms(),
      self: () => ({ instance: "g", failureDomain: "d" }),
      queueLimit: this.queueLimit,
      retryShare: 0.5,
      onShortage: () => {},
    });
    this.directories.push(directory);
    directory.setFiles(FILES);
    directory.setSharers([{ instance: "g", failureDomain: "d" }]);
    cache.merge({
      key: chunkKey("s", 0),
      revision: 1,
      value: JSON.stringify({
        workload: "s",
        tasks: addresses.map(createRunningTask),
      }),
    });
    const server = new RequestServer({
      clock,
      metrics,
      configuration: () => ({ version: 1, text: "[]", files: FILES }),
      directory,
      dispatch: new Dispatch({ clock, sender: pool, metrics }),
      claims: new Claims(table, new TokenCommitter(table, clock), { clock }),
      stallMs: this.stallMs,
      whenReady: () => Promise.resolve(),
    });
    const listener = await listenHttp("127.0.0.1:0", (req, res) => {
      void server.serve(req, res);
    });
    this.#listeners.push(listener);
    return listener.address;
  }

  async call(
    gateway: string,
    options: {
      readonly method?: "GET" | "POST" | "PUT";
      readonly path?: string;
      readonly body?: string;
      readonly headers?: Record<string, string>;
    } = {},
  ): Promise<Reply> {
    try {
      const response = await request(
        `http://${gateway}${options.path ?? "/s/x"}`,
        {
          method: options.method ?? "GET",
          body: options.body ?? null,
          headers: options.headers ?? {},
          dispatcher: this.#agent,
        },
      );
      const text = await response.body.text();
      const outcome = text.startsWith("{")
        ? String((JSON.parse(text) as { outcome?: string }).outcome)
        : "";
      return { status: response.statusCode, text, outcome };
    } catch {
      return { status: 0, text: "", outcome: "broken" };
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
    for (const { server } of this.#listeners) {
      server.closeAllConnections();
      server.close();
    }
    await Promise.all(this.#pools.map((pool) => pool.close()));
  }
}

interface Reply {
  readonly status: number;
  readonly text: string;
  readonly outcome: string;
}

interface Case {
  readonly name: string;
  readonly endpoints: readonly RequestListener[];
  /** Addresses besides those of the endpoints; nothing listens there. */
  readonly deadAddresses?: readonly string[];
  readonly call: Parameters<GatewayHarness["call"]>[1];
  readonly status: number;
  readonly outcome: string;
  /** Total number of requests that reached endpoints. */
  readonly sent: number;
}

const answerOk: RequestListener = (_req, res) => {
  res.end("ok");
};
const closeAfterReading: RequestListener = (req, res) => {
  req.resume();
  req.on("end", () => res.destroy());
};
const refuseUnprocessed: RequestListener = (_req, res) => {
  res.writeHead(503, { "x-laburnumtrack-refused": "1" }).end();
};
const truncateSized: RequestListener = (_req, res) => {
  res.writeHead(200, { "content-length": "1000" });
  res.write("half");
  setTimeout(() => res.destroy(), 20);
};
const truncateChunked: RequestListener = (_req, res) => {
  res.write("half");
  setTimeout(() => res.destroy(), 20);
};
const answerOtherRequest: RequestListener = (_req, res) => {
  res.writeHead(200, { "x-request-id": "another" }).end("of another caller");
};
const neverAnswer: RequestListener = () => {};

const CASES: readonly Case[] = [
  {
    name: "a response is relayed to the caller",
    endpoints: [answerOk],
    call: {},
    status: 200,
    outcome: "",
    sent: 1,
  },
  {
    name: "a path without a service is refused",
    endpoints: [answerOk],
    call: { path: "/other/" },
    status: 404,
    outcome: "not run",
    sent: 0,
  },
  {
    name: "a non-idempotent request is not retried after its response is lost",
    endpoints: [closeAfterReading, closeAfterReading],
    call: { method: "POST", body: "x" },
    status: 502,
    outcome: "outcome unknown",
    sent: 1,
  },
  {
    name: "an idempotent request is retried after its response is lost",
    endpoints: [closeAfterReading, closeAfterReading],
    call: { method: "PUT", body: "x" },
    status: 502,
    outcome: "outcome unknown",
    sent: 3,
  },
  {
    name: "a POST on an idempotent path is retried after its response is lost",
    endpoints: [closeAfterReading, closeAfterReading],
    call: { method: "POST", path: "/s/search/", body: "x" },
    status: 502,
    outcome: "outcome unknown",
    sent: 3,
  },
  {
    name: "a request that an endpoint refuses unprocessed is retried elsewhere",
    endpoints: [refuseUnprocessed, refuseUnprocessed],
    call: { method: "POST", body: "x" },
    status: 503,
    outcome: "not run",
    sent: 3,
  },
  {
    name: "a request to endpoints that refuse connections does not run",
    endpoints: [],
    deadAddresses: ["127.0.0.1:1"],
    call: { method: "POST", body: "x" },
    status: 503,
    outcome: "not run",
    sent: 0,
  },
  {
    name: "a truncated response with a content length reaches the caller as broken",
    endpoints: [truncateSized],
    call: {},
    status: 0,
    outcome: "broken",
    sent: 1,
  },
  {
    name: "a truncated chunked response reaches the caller as broken",
    endpoints: [truncateChunked],
    call: {},
    status: 0,
    outcome: "broken",
    sent: 1,
  },
  {
    name: "a response with another request id is discarded",
    endpoints: [answerOtherRequest],
    call: { method: "POST", body: "x" },
    status: 502,
    outcome: "outcome unknown",
    sent: 1,
  },
  {
    name: "a deadline that passes during an attempt leaves the outcome unknown",
    endpoints: [neverAnswer],
    call: { headers: { "x-deadline-ms": "150" } },
    status: 504,
    outcome: "outcome unknown",
    sent: 1,
  },
  {
    name: "an invalid x-deadline-ms is refused",
    endpoints: [answerOk],
    call: { headers: { "x-deadline-ms": "soon" } },
    status: 400,
    outcome: "not run",
    sent: 0,
  },
  {
    name: "a request to a service without endpoints does not run",
    endpoints: [],
    call: { headers: { "x-deadline-ms": "100" } },
    status: 503,
    outcome: "not run",
    sent: 0,
  },
  {
    name: "an idempotency key that is too long is refused",
    endpoints: [answerOk],
    call: {
      method: "POST",
      headers: { "idempotency-key": "k".repeat(300) },
    },
    status: 400,
    outcome: "not run",
    sent: 0,
  },
];

for (const oneCase of CASES) {
  test(`request: ${oneCase.name}`, async () => {
    const endpoints = oneCase.endpoints.map((one) => new FakeEndpoint(one));
    const addresses = await Promise.all(endpoints.map((one) => one.listen()));
    const harness = new GatewayHarness();
    const gateway = await harness.addGateway([
      ...addresses,
      ...(oneCase.deadAddresses ?? []),
    ]);
    const reply = await harness.call(gateway, oneCase.call);
    const sent = endpoints.reduce((sum, { requests }) => sum + requests, 0);
    await harness.close();
    for (const endpoint of endpoints) endpoint.close();
    const { status, outcome } = reply;
    assert.deepEqual(
      { status, outcome, sent },
      {
        status: oneCase.status,
        outcome: oneCase.outcome,
        sent: oneCase.sent,
      },
    );
  });
}

const KEYED = {
  method: "POST" as const,
  body: "buy",
  headers: { "idempotency-key": "order-1" },
};

test("request: with a key sent to two gateways it runs once", async () => {
  const endpoint = new FakeEndpoint((_req, res) => {
    setTimeout(() => res.end(`sold ${endpoint.requests}`), 30);
  });
  const address = await endpoint.listen();
  const harness = new GatewayHarness();
  const [first, second] = [
    await harness.addGateway([address]),
    await harness.addGateway([address]),
  ];
  const atOnce = await Promise.all([
    harness.call(first, KEYED),
    harness.call(second, KEYED),
  ]);
  const later = await harness.call(second, KEYED);
  const other = await harness.call(second, {
    ...KEYED,
    body: "something else",
  });
  await harness.close();
  endpoint.close();
  assert.equal(endpoint.requests, 1);
  const statuses = atOnce.map(({ status }) => status).sort();
  assert.deepEqual(statuses, [200, 409]);
  assert.deepEqual([later.status, later.text], [200, "sold 1"]);
  assert.equal(other.status, 409);
});

test("request: a key can be used again after a request that did not run", async () => {
  let isRefusing = true;
  const endpoint = new FakeEndpoint((req, res) => {
    if (isRefusing) refuseUnprocessed(req, res);
    else answerOk(req, res);
  });
  const harness = new GatewayHarness();
  const gateway = await harness.addGateway([await endpoint.listen()]);
  const refused = await harness.call(gateway, KEYED);
  isRefusing = false;
  const again = await harness.call(gateway, KEYED);
  await harness.close();
  endpoint.close();
  assert.equal(refused.outcome, "not run");
  assert.equal(again.status, 200);
});

test("request: with a key it does not run while the table is unavailable", async () => {
  const endpoint = new FakeEndpoint(answerOk);
  const harness = new GatewayHarness();
  const down = new MemoryTable();
  const fault = new Fault(FaultCode.StoreUnavailable);
  down.get = () => Promise.resolve(Err(fault));
  const gateway = await harness.addGateway([await endpoint.listen()], down);
  const keyed = await harness.call(gateway, KEYED);
  const plain = await harness.call(gateway);
  await harness.close();
  endpoint.close();
  assert.deepEqual([keyed.status, keyed.outcome], [503, "not run"]);
  assert.equal(plain.status, 200);
  assert.equal(endpoint.requests, 1);
});

test("request: what a full queue refuses does not run", async () => {
  const endpoint = new FakeEndpoint((_req, res) => {
    setTimeout(() => res.end("ok"), 200);
  });
  const harness = new GatewayHarness();
  harness.queueLimit = 1;
  const gateway = await harness.addGateway([await endpoint.listen()]);
  const replies = await Promise.all(
    Array.from({ length: 6 }, () => harness.call(gateway, { method: "POST" })),
  );
  await harness.close();
  endpoint.close();
  const refused = replies.filter(({ outcome }) => outcome === "not run");
  const answered = replies.filter(({ status }) => status === 200);
  assert.equal(refused.length + answered.length, 6);
  assert.equal(answered.length, endpoint.requests);
  assert.notEqual(refused.length, 0);
});

test("request: a caller that stops reading is disconnected and its slot freed", async () => {
  const endpoint = new FakeEndpoint((req, res) => {
    if (req.url === "/s/big") res.end(Buffer.alloc(32 * 1024 * 1024));
    else res.end("ok");
  });
  const harness = new GatewayHarness();
  const gateway = await harness.addGateway([await endpoint.listen()]);
  const [host = "", port = ""] = gateway.split(":");
  const sockets = Array.from({ length: 2 }, () => {
    const socket = connect(Number(port), host);
    socket.pause();
    socket.on("error", () => {});
    socket.write("GET /s/big HTTP/1.1\r\nhost: x\r\n\r\n");
    return socket;
  });
  // Both slots are taken until a caller that does not read is disconnected.
  await new Promise((resolve) => setTimeout(resolve, 100));
  const reply = await harness.call(gateway);
  for (const socket of sockets) socket.destroy();
  await harness.close();
  endpoint.close();
  assert.equal(reply.status, 200);
});

test("request: large bodies are streamed in both directions", async () => {
  const endpoint = new FakeEndpoint((req, res) => {
    let length = 0;
    req.on("data", (chunk: Buffer) => {
      length += chunk.length;
    });
    req.on("end", () => res.end(`${length} ${"y".repeat(1_000_000)}`));
  });
  const harness = new GatewayHarness();
  const gateway = await harness.addGateway([await endpoint.listen()]);
  const body = "x".repeat(3_000_000);
  const reply = await harness.call(gateway, { method: "POST", body });
  await harness.close();
  endpoint.close();
  assert.equal(reply.text.length, "3000000 ".length + 1_000_000);
  assert.ok(reply.text.startsWith("3000000 "));
});

function createRunningTask(address: string, index: number) {
  return {
    ...createTask(index),
    state: TaskState.Placed,
    epoch: 1,
    worker: `vm-${index}`,
    endpoint: { address, failureDomain: "d" },
  };
}
